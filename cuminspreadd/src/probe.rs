//! Sends probes: requests that ask a server for its load.

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

/// Largest body of a response to a probe or a cancellation.
const MAX_BODY_BYTES: usize = 4096;

/// Probes a server at `path`; `None` if the probe fails or its response has no load report.
pub async fn run(upstream: &Arc<Upstream>, path: &str, timeout: Duration) -> Option<LoadReport> {
    let res = request(upstream, Method::GET, path);
    let cause = match tokio::time::timeout(timeout, res).await {
        Ok(Ok(res)) => return load_of(&res.headers),
        Ok(Err(e)) => e.to_string(),
        Err(_) => format!("no response within {timeout:?}"),
    };
    log::debug!("event=probe_failed server={} {cause}", upstream.name());
    None
}

/// Load report in the header fields of a response; `None` if there is none or it is malformed.
pub fn load_of(headers: &HeaderMap) -> Option<LoadReport> {
    let value = headers.get(cumin::LOAD)?;
    cumin::parse_load(value.to_str().ok()?)
}

/// Response to a probe or a cancellation.
#[derive(Debug)]
pub struct SmallResponse {
    /// Header fields.
    pub headers: HeaderMap,
    /// Body, of limited length.
    pub body: Bytes,
}

/// Sends a request of the daemon itself, without a body, and reads the response.
///
/// # Errors
///
/// Fails if there is no connection, or no complete and small response with status 200.
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
    let complete = exchange.read_up_to(MAX_BODY_BYTES, &mut body).await?;
    if !complete || head.status != http::StatusCode::OK {
        return Err(exchange.failure("not a complete response of status 200 within 4096 bytes"));
    }
    exchange.finish();
    Ok(SmallResponse {
        headers: head.headers,
        body: body.freeze(),
    })
}
