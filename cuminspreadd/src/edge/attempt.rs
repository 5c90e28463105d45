//! One attempt: sends a request to one server and classifies the result.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cuminspread::state::Name;
use cuminspread::transport::upstream::exchange::{Exchange, WriteCounter};
use cuminspread::transport::upstream::{ConnectionChoice, Upstream};
use cuminspread_platform::headers::{self as platform, ResponseFields};
use http::header::CONTENT_LENGTH;
use http::response::Parts;
use http::{HeaderMap, Method, Request, Uri};
use http_body_util::Full;

use super::state::Edge;
use crate::headers;

/// Detail of an attempt whose connection broke before any response.
pub const BROKEN: &str = "broken";

/// A request as it is sent to servers; the same for all its attempts.
#[derive(Debug)]
pub struct OutboundRequest {
    /// Id of the caller's attempt, which identifies the request.
    pub id: Name,
    /// HTTP method of the caller's request.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// Header fields that are forwarded; those of the attempt are added when it is sent.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// How one attempt ended.
#[derive(Debug)]
pub enum AttemptResult {
    /// The server's complete response.
    Buffered(Parts, Bytes, ResponseFields),
    /// The server's response whose body is still arriving, with the bytes read so far.
    Streaming(Parts, Bytes, Exchange, ResponseFields),
    /// Proven not to have run; the fields are set if the server refused the request.
    NotRun(&'static str, Option<ResponseFields>),
    /// No response that can be passed on; the request may have run.
    Unknown(&'static str),
}

/// Sends a request and reads its response, up to the size above which bodies are streamed.
///
/// Dropping the future closes the connection; most servers then cancel the request.
pub async fn send(
    edge: &Edge,
    upstream: &Arc<Upstream>,
    outbound: &OutboundRequest,
    time_left: Duration,
) -> AttemptResult {
    let conn = match upstream.acquire(ConnectionChoice::Any).await {
        Ok(conn) => conn,
        Err(e) => {
            log::debug!(
                "event=send_failed id={} server={} {e}",
                outbound.id,
                upstream.name()
            );
            return AttemptResult::NotRun("unreachable", None);
        }
    };
    let written = WriteCounter::start(&conn);
    let req = build(outbound, upstream.name(), time_left);
    let (head, mut exchange) = match Exchange::send(conn, req).await {
        Ok(res) => res,
        Err(e) => {
            log::debug!(
                "event=send_failed id={} server={} {e}",
                outbound.id,
                upstream.name()
            );
            return if written.count() == 0 {
                AttemptResult::NotRun("not_written", None)
            } else {
                AttemptResult::Unknown(BROKEN)
            };
        }
    };
    let fields = platform::read_response(head.status, &head.headers, &outbound.id);
    // A server may send an earlier response once more, also a refusal. Only the id tells.
    match fields.id_matches {
        Some(true) => {}
        Some(false) => return AttemptResult::Unknown("foreign_answer"),
        None => return AttemptResult::Unknown("unnamed_answer"),
    }
    if fields.not_run {
        exchange.discard().await;
        let reason = if fields.misdirected {
            "misdirected"
        } else {
            "refused"
        };
        return AttemptResult::NotRun(reason, Some(fields));
    }
    if fields.encoded {
        return AttemptResult::Unknown("altered");
    }
    if !fields.signed {
        return AttemptResult::Unknown("unsigned");
    }
    let mut body = BytesMut::new();
    let limit = edge.settings.servers.stream_above;
    match exchange.read_up_to(limit, &mut body).await {
        Ok(true) => {
            exchange.finish();
            AttemptResult::Buffered(head, body.freeze(), fields)
        }
        Ok(false) => AttemptResult::Streaming(head, body.freeze(), exchange, fields),
        Err(e) => {
            log::debug!(
                "event=send_failed id={} server={} {e}",
                outbound.id,
                upstream.name()
            );
            AttemptResult::Unknown("cut_short")
        }
    }
}

fn build(outbound: &OutboundRequest, server: &str, time_left: Duration) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(outbound.body.clone()));
    *req.method_mut() = outbound.method.clone();
    *req.uri_mut() = outbound.target.clone();
    *req.headers_mut() = outbound.headers.clone();
    platform::set_server_fields(req.headers_mut(), time_left, server);
    req
}

/// Header fields of a caller's request that are forwarded to a server.
pub fn forwarded(mut fields: HeaderMap) -> HeaderMap {
    headers::strip_hop_by_hop(&mut fields);
    fields.remove(CONTENT_LENGTH);
    fields.remove(http::header::EXPECT);
    fields
}
