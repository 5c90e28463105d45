//! Asks a server for its load.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cuminspread::protocol::header as cumin;
use cuminspread::state::load::LoadReport;
use cuminspread::transport::upstream::exchange::Exchange;
use cuminspread::transport::upstream::{ConnectionChoice, Failure, Upstream};
use http::header::HOST;
use http::{HeaderMap, Method, Request};
use http_body_util::Full;

/// Largest body of an answer to a probe or a cancellation, in bytes.
const MAX_BODY_BYTES: usize = 4096;

/// Probes a server at a path that answers with a load report; `None` if that fails.
pub async fn run(upstream: &Arc<Upstream>, path: &str, timeout: Duration) -> Option<LoadReport> {
    let answer = request(upstream, Method::GET, path);
    let cause = match tokio::time::timeout(timeout, answer).await {
        Ok(Ok(answer)) => return load_of(&answer.headers),
        Ok(Err(e)) => e.to_string(),
        Err(_) => format!("no answer within {timeout:?}"),
    };
    log::debug!("event=probe_failed server={} {cause}", upstream.name());
    None
}

/// Load report in an answer's head.
pub fn load_of(headers: &HeaderMap) -> Option<LoadReport> {
    let value = headers.get(cumin::LOAD)?;
    cumin::parse_load(value.to_str().ok()?)
}

/// A small answer.
#[derive(Debug)]
pub struct SmallResponse {
    /// Header fields.
    pub headers: HeaderMap,
    /// Body, at most a few kilobytes.
    pub body: Bytes,
}

/// Sends a small request of the daemon's own.
///
/// # Errors
///
/// Fails if there is no connection, or no whole answer of status 200.
pub async fn request(
    upstream: &Arc<Upstream>,
    method: Method,
    target: &str,
) -> Result<SmallResponse, Failure> {
    let conn = upstream.acquire(ConnectionChoice::Live).await?;
    let mut req = Request::new(Full::new(Bytes::new()));
    *req.method_mut() = method;
    *req.uri_mut() = target.parse().unwrap_or_default();
    let host = upstream.address().to_string();
    if let Ok(host) = host.try_into() {
        req.headers_mut().insert(HOST, host);
    }
    let (head, mut exchange) = Exchange::send(conn, req).await?;
    let mut body = BytesMut::new();
    let whole = exchange.read_up_to(MAX_BODY_BYTES, &mut body).await?;
    if !whole || head.status != http::StatusCode::OK {
        return Err(exchange.failure("not a small answer of status 200"));
    }
    exchange.finish();
    Ok(SmallResponse {
        headers: head.headers,
        body: body.freeze(),
    })
}
