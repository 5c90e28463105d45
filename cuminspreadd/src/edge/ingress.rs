//! HTTP server for callers.
//!
//! A request's body is read completely before a server is chosen: the request may need several
//! attempts, and a caller that sends slowly must not hold a server's slot. Hyper closes a
//! connection whose response was sent before its request was read, and drops the future of the
//! response when the caller closes the connection.

use std::convert::Infallible;
use std::net::IpAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use cuminspread::coordination::refusal::{self, RefusalReason, ServiceState};
use cuminspread::protocol::header::Outcome;
use cuminspread::state::Name;
use cuminspread::state::time::Mono;
use cuminspread::transport::upstream::exchange::{Chunk, Exchange};
use cuminspread_platform::headers::read_request;
use futures_util::stream;
use http::header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, RETRY_AFTER};
use http::response::Parts;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body::Frame;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full, StreamBody};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::attempt::{OutboundRequest, forwarded};
use super::call;
use super::forward::{ADDED_FIELDS, ADDED_HEAD_BYTES, mark_response, take_fields};
use super::request::{InboundRequest, Origin, Reply};
use super::state::Edge;
use crate::body_buffer::BodyBuffer;
use crate::framing::{InspectedStream, RequestPrefix};
use crate::headers;

/// Pause after a failed accept; the usual cause is a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time within which a request's body must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest part of a caller's timeout that is reserved for the response to reach it: a round trip
/// between data centres and the caller's own delay.
const MAX_RESPONSE_MARGIN: Duration = Duration::from_millis(25);
/// Time after the server's deadline in which the caller still gets a final response.
const FINAL_RESPONSE_DELAY: Duration = Duration::from_millis(30);
/// Smallest read buffer that hyper accepts.
const MIN_HEAD_BYTES: usize = 8192;
/// Time after the daemon's start for which requests wait for the first configuration and servers,
/// instead of being refused; they usually come within 0.2 s.
const START_HOLD: Duration = Duration::from_millis(600);
/// Requests wait for them for this part of the caller's timeout at most.
const START_HOLD_DIVISOR: u32 = 4;

type HttpResponse = Response<UnsyncBoxBody<Bytes, BoxError>>;
type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Activity of one caller's connection.
#[derive(Debug, Default)]
struct Activity {
    in_flight: AtomicUsize,
    /// Time of the last response, or of the accept, in microseconds of [`Mono`].
    last: AtomicU64,
}

/// Phase of a graceful stop, for the callers' connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StopPhase {
    /// Not stopping.
    #[default]
    Serving,
    /// Responses close their connections; idle connections stay open.
    Closing,
    /// Idle connections are closed and new requests refused.
    Closed,
}

/// Accepts connections until the phase is [`StopPhase::Closed`], then waits for them to end.
pub async fn serve(
    edge: Arc<Edge>,
    listener: TcpListener,
    mut phase: watch::Receiver<StopPhase>,
    origin: Origin,
) {
    let mut connections = JoinSet::new();
    let limit = edge.settings.callers.max_connections;
    loop {
        while connections.try_join_next().is_some() {}
        if connections.len() >= limit {
            connections.join_next().await;
            continue;
        }
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|p| *p == StopPhase::Closed) => break,
        };
        match accepted {
            Ok((stream, client)) => {
                let sender = Sender {
                    origin,
                    host: client.ip(),
                };
                connections.spawn(serve_connection(
                    Arc::clone(&edge),
                    stream,
                    phase.clone(),
                    sender,
                ));
            }
            Err(e) => {
                log::warn!("event=accept_failed cause={e:?}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection(
    edge: Arc<Edge>,
    stream: TcpStream,
    mut phase: watch::Receiver<StopPhase>,
    sender: Sender,
) {
    let _ = stream.set_nodelay(true);
    let max_head = edge.table().routing().limits.max_head.max(MIN_HEAD_BYTES);
    let (added_bytes, added_fields) = match sender.origin {
        Origin::Caller => (0, 0),
        Origin::Peer => (ADDED_HEAD_BYTES, ADDED_FIELDS),
    };
    let mut builder = http1::Builder::new();
    builder
        .max_buf_size(max_head + added_bytes)
        .max_headers(edge.settings.callers.max_headers + added_fields);
    let stream = InspectedStream::new(stream);
    let prefix = stream.prefix();
    let activity = Arc::new(Activity::default());
    activity.last.store(edge.now().0, Ordering::Relaxed);
    let pending = prefix.clone();
    let service = {
        let (edge, activity, phase) = (Arc::clone(&edge), Arc::clone(&activity), phase.clone());
        service_fn(move |req| {
            let (edge, activity) = (Arc::clone(&edge), Arc::clone(&activity));
            let (prefix, phase) = (prefix.clone(), phase.clone());
            prefix.record_head_end();
            async move {
                activity.in_flight.fetch_add(1, Ordering::AcqRel);
                let _guard = ActivityGuard {
                    edge: &edge,
                    activity: &activity,
                };
                let res = respond(&edge, req, &prefix, &phase, sender).await;
                Ok::<_, Infallible>(res)
            }
        })
    };
    let mut conn = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let mut closing = false;
    let ended = loop {
        let check_in = head_left(&edge, &pending).min(idle_left(&edge, &activity));
        tokio::select! {
            ended = conn.as_mut() => break ended,
            () = sleep(check_in), if !closing => {
                let stalled = head_left(&edge, &pending) == Duration::ZERO;
                let idle = idle_left(&edge, &activity) == Duration::ZERO;
                // Without a complete request, hyper has nothing to shut down gracefully.
                if stalled || idle && pending.is_empty() {
                    log::debug!("event=caller_connection_closed stalled={stalled}");
                    return;
                }
                if idle {
                    closing = true;
                    conn.as_mut().graceful_shutdown();
                }
            }
            _ = phase.wait_for(|p| *p == StopPhase::Closed), if !closing => {
                closing = true;
                conn.as_mut().graceful_shutdown();
            }
        }
    };
    if let Err(e) = ended {
        log::debug!("event=caller_connection_ended cause={:?}", e.to_string());
    }
}

/// Records the end of a request when dropped, also if its future is cancelled.
struct ActivityGuard<'a> {
    edge: &'a Edge,
    activity: &'a Activity,
}

impl Drop for ActivityGuard<'_> {
    fn drop(&mut self) {
        self.activity
            .last
            .store(self.edge.now().0, Ordering::Relaxed);
        self.activity.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Time left for the request head that is being read; the full head timeout if none is being read.
fn head_left(edge: &Edge, prefix: &RequestPrefix) -> Duration {
    let limit = edge.table().routing().limits.head_timeout;
    limit.saturating_sub(prefix.head_age().unwrap_or_default())
}

/// Time left until the connection counts as idle; the full idle timeout while a request runs.
fn idle_left(edge: &Edge, activity: &Activity) -> Duration {
    let limit = edge.table().routing().limits.idle_timeout;
    if activity.in_flight.load(Ordering::Acquire) > 0 {
        return limit;
    }
    let last = Mono(activity.last.load(Ordering::Relaxed));
    limit.saturating_sub(edge.now().since(last))
}

async fn respond(
    edge: &Arc<Edge>,
    req: Request<Incoming>,
    prefix: &RequestPrefix,
    phase: &watch::Receiver<StopPhase>,
    sender: Sender,
) -> HttpResponse {
    let at_arrival = *phase.borrow();
    let handled = handle(edge, req, prefix, at_arrival, sender).await;
    let (outcome, reason) = match &handled {
        Ok(reply) => (reply.outcome(), reply.reason()),
        Err(rejection) => (Outcome::NotRun, rejection.reason()),
    };
    let mut res = match handled {
        Ok(reply) => reply_response(reply),
        Err(rejection) => rejection_response(edge, rejection),
    };
    if sender.origin == Origin::Peer {
        mark_response(res.headers_mut(), outcome, reason);
    }
    if *phase.borrow() != StopPhase::Serving {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(CONNECTION, close);
    }
    res
}

/// Why a request is answered without a server.
#[derive(Debug)]
enum Rejection {
    /// The request violates HTTP or exceeds a limit.
    Bad(StatusCode, &'static str),
    /// No route matches the request of this id.
    NoRoute(Name),
    /// The request of this id can't be served now.
    Refused(Name, RefusalReason),
}

impl Rejection {
    fn reason(&self) -> &'static str {
        match self {
            Self::Bad(_, reason) => reason,
            Self::NoRoute(_) => "no_route",
            Self::Refused(_, reason) => reason.label(),
        }
    }
}

/// Who sent a request, and from where.
#[derive(Debug, Clone, Copy)]
struct Sender {
    origin: Origin,
    host: IpAddr,
}

async fn handle(
    edge: &Arc<Edge>,
    mut req: Request<Incoming>,
    prefix: &RequestPrefix,
    phase: StopPhase,
    sender: Sender,
) -> Result<Reply, Rejection> {
    let arrived = edge.now();
    let in_flight = edge.track_request();
    let ambiguous =
        req.headers().contains_key(http::header::TRANSFER_ENCODING) && prefix.is_ambiguous();
    if ambiguous || req.headers().get_all(HOST).iter().count() > 1 {
        return Err(Rejection::Bad(StatusCode::BAD_REQUEST, "ambiguous"));
    }
    if req.method() == Method::CONNECT {
        return Err(Rejection::Bad(StatusCode::BAD_REQUEST, "not_a_path"));
    }
    let fields = read_request(req.headers());
    let fields = fields.ok_or(Rejection::Bad(StatusCode::BAD_REQUEST, "no_identity"))?;
    let id = fields.id;
    // Only a peer's request may have these; a caller's are dropped.
    let fields_of_peer = take_fields(req.headers_mut());
    let from_peer = (sender.origin == Origin::Peer).then_some(fields_of_peer);
    if from_peer.is_some() && !edge.forward_pool().peers.has_host(sender.host) {
        return Err(Rejection::Bad(StatusCode::FORBIDDEN, "not_a_peer"));
    }
    let stops = match sender.origin {
        Origin::Caller => phase == StopPhase::Closed,
        Origin::Peer => phase != StopPhase::Serving,
    };
    if stops {
        return Err(Rejection::Refused(id, RefusalReason::Stopping));
    }
    if from_peer.is_none() {
        let longest = fields.timeout.map(|t| t / START_HOLD_DIVISOR);
        let known_by = Mono::default() + START_HOLD;
        edge.wait_known(longest.map_or(known_by, |l| known_by.min(arrived + l)))
            .await;
    }
    let table = edge.table();
    let version = table.routing().version;
    if version == 0 {
        return Err(Rejection::Refused(id, RefusalReason::NoConfiguration));
    }
    if from_peer.as_ref().is_some_and(|f| f.version > version) {
        return Err(Rejection::Refused(id, RefusalReason::Outdated));
    }
    let host = req.headers().get(HOST).and_then(|h| h.to_str().ok());
    let host = host.or_else(|| req.uri().host()).unwrap_or_default();
    let route = table.find(host, req.uri().path());
    let route = Arc::clone(route.ok_or_else(|| Rejection::NoRoute(id.clone()))?);
    let chosen = from_peer.map(|f| f.service);
    let chosen = chosen.filter(|s| route.services.iter().any(|r| r.service == *s));
    let service = chosen.or_else(|| edge.servers().pick_service(&route));
    let service = service.ok_or_else(|| Rejection::Refused(id.clone(), RefusalReason::NoServer))?;
    let (head, body) = req.into_parts();
    let caller_timeout = fields.timeout.map(|t| t.saturating_sub(response_margin(t)));
    let time = caller_timeout.unwrap_or(route.timeout).min(route.timeout);
    let latest = route.timeout + FINAL_RESPONSE_DELAY;
    let limits = BodyLimits {
        size: table.routing().limits.max_body,
        time: BODY_TIMEOUT.min(time),
    };
    let (body, buffered) = read_body(edge, body, &limits, &id).await?;
    let target = head.uri.path_and_query().cloned();
    let inbound = InboundRequest {
        origin: sender.origin,
        outbound: OutboundRequest {
            id,
            method: head.method,
            target: target.map(Into::into).unwrap_or_default(),
            headers: forwarded(head.headers),
            body,
        },
        route,
        version,
        service,
        arrived,
        deadline: arrived + time,
        respond_by: arrived + caller_timeout.map_or(latest, |t| t.min(latest)),
        in_flight,
    };
    if edge.crash_tracker().refuses(edge.now(), &inbound.outbound) {
        return Err(Rejection::Refused(
            inbound.outbound.id,
            RefusalReason::Crashing,
        ));
    }
    let (tx, rx) = oneshot::channel();
    let id = inbound.outbound.id.clone();
    let edge = Arc::clone(edge);
    tokio::spawn(async move {
        call::run(edge, inbound, tx).await;
        drop(buffered);
    });
    // The task always sends a reply unless it panicked; then the request may have run.
    rx.await.or_else(|_| {
        log::error!("event=call_lost id={id}");
        Ok(Reply::Failed {
            status: StatusCode::BAD_GATEWAY,
            detail: "lost",
        })
    })
}

/// Part of a caller's timeout that is reserved for the final response to reach it.
fn response_margin(timeout: Duration) -> Duration {
    (timeout / 20).min(MAX_RESPONSE_MARGIN)
}

/// Counts the bytes of a body as buffered until dropped.
struct BufferedBytes {
    edge: Arc<Edge>,
    bytes: usize,
}

impl BufferedBytes {
    /// Counts more bytes; false if all bodies together exceed the limit. A body that is the only
    /// one buffered is always allowed.
    fn grow(&mut self, more: usize) -> bool {
        self.bytes += more;
        let total = self.edge.buffered().fetch_add(more, Ordering::AcqRel) + more;
        total <= self.edge.settings.callers.max_buffered || total == self.bytes
    }
}

impl Drop for BufferedBytes {
    fn drop(&mut self) {
        self.edge.buffered().fetch_sub(self.bytes, Ordering::AcqRel);
    }
}

/// Limits of one body.
struct BodyLimits {
    /// Largest size, in bytes.
    size: usize,
    time: Duration,
}

/// Reads a complete body; its bytes count as buffered as they arrive.
async fn read_body(
    edge: &Arc<Edge>,
    body: Incoming,
    limits: &BodyLimits,
    id: &Name,
) -> Result<(Bytes, BufferedBytes), Rejection> {
    let mut buffered = BufferedBytes {
        edge: Arc::clone(edge),
        bytes: 0,
    };
    let read = collect(body, limits.size, &mut buffered, id);
    let body = match timeout(limits.time, read).await {
        Ok(body) => body?,
        Err(_elapsed) => {
            return Err(Rejection::Bad(StatusCode::REQUEST_TIMEOUT, "body_timeout"));
        }
    };
    Ok((body, buffered))
}

async fn collect(
    mut body: Incoming,
    size: usize,
    buffered: &mut BufferedBytes,
    id: &Name,
) -> Result<Bytes, Rejection> {
    let mut buf = BodyBuffer::default();
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(e) => {
                log::debug!("event=body_broken id={id} cause={:?}", e.to_string());
                return Err(Rejection::Bad(StatusCode::BAD_REQUEST, "bad_body"));
            }
        };
        // Trailers are not forwarded.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buf.len() + data.len() > size {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            return Err(Rejection::Bad(status, "body_too_large"));
        }
        if !buffered.grow(data.len()) {
            return Err(Rejection::Refused(id.clone(), RefusalReason::NoRoom));
        }
        buf.push(data);
    }
    Ok(buf.finish())
}

fn reply_response(reply: Reply) -> HttpResponse {
    match reply {
        Reply::Buffered(head, body) => {
            let mut res = with_head(head, Full::new(body).map_err(Into::into).boxed_unsync());
            // Hyper sets the length from the body.
            res.headers_mut().remove(CONTENT_LENGTH);
            res
        }
        Reply::Streaming(head, prefix, rest) => with_head(head, streaming_body(prefix, rest)),
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
fn streaming_body(prefix: Bytes, rest: Exchange) -> UnsyncBoxBody<Bytes, BoxError> {
    let frames = stream::unfold((Some(prefix), Some(rest)), |(prefix, rest)| async move {
        if let Some(prefix) = prefix {
            return Some((Ok(Frame::data(prefix)), (None, rest)));
        }
        let mut rest = rest?;
        match std::future::poll_fn(|cx| rest.poll_chunk(cx)).await {
            Ok(Chunk::Data(data)) => Some((Ok(Frame::data(data)), (None, Some(rest)))),
            Ok(Chunk::End) => {
                rest.finish();
                None
            }
            Err(e) => {
                log::warn!("event=answer_cut_short {e}");
                Some((Err(BoxError::from(e)), (None, None)))
            }
        }
    });
    StreamBody::new(frames).boxed_unsync()
}

fn rejection_response(edge: &Edge, rejection: Rejection) -> HttpResponse {
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
