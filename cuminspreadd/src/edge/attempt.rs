//! One send of a request to one server, and what its end proves.

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

/// Refusals are short; what is longer is no refusal that the connection survives.
const MAX_REFUSAL: usize = 64 << 10;

/// Cause of a send whose connection broke before any answer.
pub const BROKEN: &str = "broken";

/// A request as it goes to servers; the same for all sends.
#[derive(Debug)]
pub struct OutboundRequest {
    /// Identity of the client's attempt.
    pub id: Name,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// End-to-end fields.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// How one send ended.
#[derive(Debug)]
pub enum AttemptResult {
    /// A whole answer of the server's.
    Buffered(Parts, Bytes, ResponseFields),
    /// An answer of the server's whose body is still arriving.
    Streaming(Parts, Bytes, Exchange, ResponseFields),
    /// Proven not to have run.
    NotRun(&'static str, Option<ResponseFields>),
    /// No answer that can be passed on; it may have run.
    Unknown(&'static str),
}

/// Sends a request and reads the beginning of its answer.
///
/// Dropping the future closes the connection, upon which servers stop most work.
pub async fn send(
    edge: &Edge,
    upstream: &Arc<Upstream>,
    out: &OutboundRequest,
    left: Duration,
) -> AttemptResult {
    let conn = match upstream.acquire(ConnectionChoice::Any).await {
        Ok(conn) => conn,
        Err(e) => {
            log::debug!(
                "event=send_failed id={} server={} {e}",
                out.id,
                upstream.name()
            );
            return AttemptResult::NotRun("unreachable", None);
        }
    };
    let written = WriteCounter::start(&conn);
    let req = build(out, upstream.name(), left);
    let (head, mut rest) = match Exchange::send(conn, req).await {
        Ok(answer) => answer,
        Err(e) => {
            log::debug!(
                "event=send_failed id={} server={} {e}",
                out.id,
                upstream.name()
            );
            return if written.count() == 0 {
                AttemptResult::NotRun("not_written", None)
            } else {
                AttemptResult::Unknown(BROKEN)
            };
        }
    };
    let marks = platform::read_response(head.status, &head.headers, &out.id);
    if marks.id_matches == Some(false) {
        return AttemptResult::Unknown("foreign_answer");
    }
    let mut body = BytesMut::new();
    if marks.not_run {
        if let Ok(true) = rest.read_up_to(MAX_REFUSAL, &mut body).await {
            rest.finish();
        }
        let reason = if marks.misdirected {
            "misdirected"
        } else {
            "refused"
        };
        return AttemptResult::NotRun(reason, Some(marks));
    }
    if marks.encoded {
        return AttemptResult::Unknown("altered");
    }
    if !marks.signed || marks.id_matches.is_none() {
        return AttemptResult::Unknown("unsigned");
    }
    let limit = edge.settings.servers.stream_above;
    match rest.read_up_to(limit, &mut body).await {
        Ok(true) => {
            rest.finish();
            AttemptResult::Buffered(head, body.freeze(), marks)
        }
        Ok(false) => AttemptResult::Streaming(head, body.freeze(), rest, marks),
        Err(e) => {
            log::debug!(
                "event=send_failed id={} server={} {e}",
                out.id,
                upstream.name()
            );
            AttemptResult::Unknown("cut_short")
        }
    }
}

fn build(out: &OutboundRequest, server: &str, left: Duration) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(out.body.clone()));
    *req.method_mut() = out.method.clone();
    *req.uri_mut() = out.target.clone();
    *req.headers_mut() = out.headers.clone();
    platform::set_server_fields(req.headers_mut(), left, server);
    req
}

/// Fields of a request that go on to a server.
pub fn forwarded(mut fields: HeaderMap) -> HeaderMap {
    headers::strip_hop_by_hop(&mut fields);
    fields.remove(CONTENT_LENGTH);
    fields.remove(http::header::EXPECT);
    fields
}
