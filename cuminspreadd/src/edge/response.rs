//! Responses to callers.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use cuminspread::coordination::refusal::{self, RefusalReason, ServiceState};
use cuminspread::state::Name;
use cuminspread::transport::upstream::exchange::Chunk;
use futures_util::{StreamExt as _, stream};
use http::header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER};
use http::response::Parts;
use http::{HeaderValue, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full, StreamBody};

use super::admission::Rejection;
use super::request::{Reply, StreamedBody};
use super::state::Edge;
use crate::headers;

/// Error of a body that is passed on.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;
/// Response to a caller.
pub type HttpResponse = Response<UnsyncBoxBody<Bytes, BoxError>>;

/// Body of a response that drops its guard at the end, or when it is given up.
#[derive(Debug)]
pub struct GuardedBody<G> {
    body: UnsyncBoxBody<Bytes, BoxError>,
    _guard: G,
}

impl<G> GuardedBody<G> {
    /// Adds a guard to a body.
    pub fn new(body: UnsyncBoxBody<Bytes, BoxError>, guard: G) -> Self {
        Self {
            body,
            _guard: guard,
        }
    }
}

impl<G: Unpin> Body for GuardedBody<G> {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Response that passes on a reply.
pub fn reply_response(edge: &Arc<Edge>, id: &Name, reply: Reply) -> HttpResponse {
    match reply {
        Reply::Buffered(head, body) => {
            let mut res = with_head(head, Full::new(body).map_err(Into::into).boxed_unsync());
            // Hyper sets the length from the body.
            res.headers_mut().remove(CONTENT_LENGTH);
            res
        }
        Reply::Streaming(head, body) => {
            let body = streaming_body(Arc::clone(edge), id.clone(), body);
            with_head(head, body)
        }
        Reply::Refused {
            reason,
            retry_after,
            ..
        } => refusal_response(reason, retry_after),
        Reply::Failed { status, detail } => text_response(status, detail),
    }
}

fn with_head(head: Parts, body: UnsyncBoxBody<Bytes, BoxError>) -> HttpResponse {
    let mut res = Response::new(body);
    *res.status_mut() = head.status;
    *res.headers_mut() = head.headers;
    headers::strip_hop_by_hop(res.headers_mut());
    res
}

/// Body that starts with the bytes read so far; an error while it streams closes the caller's
/// connection, so that the caller doesn't take a truncated body for a complete one.
fn streaming_body(edge: Arc<Edge>, id: Name, body: StreamedBody) -> UnsyncBoxBody<Bytes, BoxError> {
    let first = stream::iter([Ok(Frame::data(body.prefix))]);
    let source = Some((edge, body.rest));
    let server = body.server;
    let others = stream::unfold(source, move |source| {
        let id = id.clone();
        async move {
            let (edge, mut rest) = source?;
            match std::future::poll_fn(|cx| rest.poll_chunk(cx)).await {
                Ok(Chunk::Data(data)) => Some((Ok(Frame::data(data)), Some((edge, rest)))),
                Ok(Chunk::End) => {
                    rest.finish();
                    edge.record_body(server, true);
                    None
                }
                Err(e) => {
                    edge.metrics.count_cut_response("broken");
                    log::warn!("event=response_cut id={id} cause=broken {e}");
                    edge.record_body(server, false);
                    Some((Err(BoxError::from(e)), None))
                }
            }
        }
    });
    StreamBody::new(first.chain(others)).boxed_unsync()
}

/// Whether the length of a response is known when its head is sent.
pub fn has_length(res: &HttpResponse) -> bool {
    res.body().size_hint().exact().is_some() || res.headers().contains_key(CONTENT_LENGTH)
}

/// Response to a request that is answered without a server.
pub fn rejection_response(edge: &Edge, rejection: Rejection) -> HttpResponse {
    match rejection {
        Rejection::Bad(status, reason) => {
            edge.metrics
                .count_request(&Name::default(), "bad_request", reason);
            log::warn!(
                "event=request_bad status={} reason={reason}",
                status.as_u16()
            );
            let mut res = text_response(status, reason);
            // The rest of the request may be unread, so the connection can't be used again.
            let close = HeaderValue::from_static("close");
            res.headers_mut().insert(CONNECTION, close);
            res
        }
        Rejection::NoRoute(id) => {
            edge.metrics
                .count_request(&Name::default(), "no_route", "no_route");
            log::info!(
                "event=request id={id} outcome=no_route version={}",
                edge.version()
            );
            text_response(StatusCode::NOT_FOUND, "no_route")
        }
        Rejection::Refused(id, reason) => {
            let label = reason.label();
            edge.metrics
                .count_request(&Name::default(), "refused", label);
            log::warn!("event=request id={id} outcome=refused detail={label} sends=0");
            let retry_after =
                refusal::retry_after(reason, ServiceState::default(), &mut edge.servers().rng);
            refusal_response(reason, retry_after)
        }
    }
}

fn refusal_response(reason: RefusalReason, retry_after: Duration) -> HttpResponse {
    let mut res = text_response(StatusCode::SERVICE_UNAVAILABLE, reason.label());
    let value = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::try_from(value) {
        res.headers_mut().insert(RETRY_AFTER, value);
    }
    res
}

fn text_response(status: StatusCode, reason: &str) -> HttpResponse {
    let text = Bytes::from(format!("{reason}\n"));
    let mut res = Response::new(Full::new(text).map_err(Into::into).boxed_unsync());
    *res.status_mut() = status;
    let kind = HeaderValue::from_static("text/plain");
    res.headers_mut().insert(CONTENT_TYPE, kind);
    res
}
