//! HTTP server for callers.
//!
//! A request's body is read completely before a server is chosen: the request may need several
//! attempts, and a caller that sends slowly must not hold a server's slot. Hyper closes a
//! connection whose response was sent before its request was read, and drops the future of the
//! response when the caller closes the connection.

use std::convert::Infallible;
use std::net::IpAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use cuminspread::coordination::delivery::{Awaited, DELIVERY_GRACE, OpenResponse, deliver_by};
use cuminspread::coordination::refusal::RefusalReason;
use cuminspread::protocol::header::Outcome;
use cuminspread::state::Name;
use cuminspread::state::routing::Route;
use cuminspread::state::time::Mono;
use cuminspread_platform::headers::read_request;
use http::header::{CONNECTION, HOST};
use http::{HeaderValue, Method, Request, StatusCode, Version};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout_at};

use super::admission::{self, Admission, Rejection};
use super::ahead::{StartedCall, Starter};
use super::caller_stream::{CallerConnection, CallerStream, FrontRequest, StreamLimits};
use super::forward::{ADDED_FIELDS, ADDED_HEAD_BYTES, mark_response, take_fields};
use super::request::{Origin, Reply};
use super::response::{GuardedBody, HttpResponse, has_length, rejection_response, reply_response};
use super::state::{Edge, ServerKey};
use crate::body_buffer::BodyBuffer;

/// Pause after a failed accept; the usual cause is a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Smallest read buffer that hyper accepts.
const MIN_HEAD_BYTES: usize = 8192;
/// Time after the daemon's start for which requests wait for the first configuration and servers,
/// instead of being refused; they usually come within 0.2 s.
const START_HOLD: Duration = Duration::from_millis(600);
/// Requests wait for them for this part of the caller's timeout at most.
const START_HOLD_DIVISOR: u32 = 4;

/// Activity of one caller's connection.
#[derive(Debug, Default)]
struct Activity {
    in_flight: AtomicUsize,
    /// Time of the last response, or of the accept, in microseconds of [`Mono`].
    last: AtomicU64,
    /// Server whose response is passed on as it arrives, unless it comes through a peer.
    streamed_from: Mutex<Option<ServerKey>>,
}

impl Activity {
    fn streamed_from(&self) -> MutexGuard<'_, Option<ServerKey>> {
        self.streamed_from
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
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
    let limits = StreamLimits {
        max_head: max_head + added_bytes,
        max_fields: edge.settings.callers.max_headers + added_fields,
    };
    let mut builder = http1::Builder::new();
    builder
        .max_buf_size(limits.max_head)
        .max_headers(limits.max_fields);
    let starter = Starter::new(Arc::clone(&edge), sender.origin);
    let stream = CallerStream::new(stream, starter, limits);
    let connection = stream.connection();
    let activity = Arc::new(Activity::default());
    activity.last.store(edge.now().0, Ordering::Relaxed);
    let service = {
        let (edge, activity, phase) = (Arc::clone(&edge), Arc::clone(&activity), phase.clone());
        let connection = connection.clone();
        service_fn(move |req| {
            let (edge, phase) = (Arc::clone(&edge), phase.clone());
            let guard = ActivityGuard::new(&edge, &activity, &connection);
            async move {
                let res = respond(&edge, req, &guard, &phase, sender).await;
                Ok::<_, Infallible>(res.map(|body| GuardedBody::new(body, guard)))
            }
        })
    };
    let mut conn = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let mut overdue = pin!(connection.overdue());
    let mut closing = false;
    let ended = loop {
        let check_in = head_left(&edge, &connection).min(idle_left(&edge, &activity));
        tokio::select! {
            biased;
            ended = conn.as_mut() => break ended,
            (response, awaited) = &mut overdue => {
                cut_response(&edge, &response, awaited, sender.origin);
                if awaited == Awaited::Server {
                    let server = *activity.streamed_from();
                    edge.record_body(server, false);
                }
                return;
            }
            () = sleep(check_in), if !closing => {
                let stalled = head_left(&edge, &connection) == Duration::ZERO;
                let idle = idle_left(&edge, &activity) == Duration::ZERO;
                // Without a complete request, hyper has nothing to shut down gracefully.
                if stalled || idle && connection.is_empty() {
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
                // Else the last of the responses that are due closes the connection.
                if !connection.has_started() {
                    conn.as_mut().graceful_shutdown();
                }
            }
        }
    };
    if let Err(e) = ended {
        log::debug!("event=caller_connection_ended cause={:?}", e.to_string());
    }
}

/// Records that a response is cut, since it isn't written in time.
fn cut_response(edge: &Edge, response: &OpenResponse, awaited: Awaited, origin: Origin) {
    let cause = awaited.label();
    edge.metrics.count_cut_response(cause);
    log::warn!(
        "event=response_cut id={} route={} from={} cause={cause} late_us={}",
        response.id,
        response.route,
        origin.label(),
        edge.now().since(response.due).as_micros(),
    );
}

/// A request that has no complete response; records its end when dropped.
struct ActivityGuard {
    edge: Arc<Edge>,
    activity: Arc<Activity>,
    connection: CallerConnection,
}

impl ActivityGuard {
    fn new(edge: &Arc<Edge>, activity: &Arc<Activity>, connection: &CallerConnection) -> Self {
        activity.in_flight.fetch_add(1, Ordering::AcqRel);
        Self {
            edge: Arc::clone(edge),
            activity: Arc::clone(activity),
            connection: connection.clone(),
        }
    }
}

impl Drop for ActivityGuard {
    fn drop(&mut self) {
        let now = self.edge.now();
        self.activity.last.store(now.0, Ordering::Relaxed);
        self.activity.in_flight.fetch_sub(1, Ordering::AcqRel);
        self.connection.end_request();
    }
}

/// Time left for the request head that is being read; the full head timeout if none is being read.
fn head_left(edge: &Edge, connection: &CallerConnection) -> Duration {
    let limit = edge.table().routing().limits.head_timeout;
    limit.saturating_sub(connection.head_age().unwrap_or_default())
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
    guard: &ActivityGuard,
    phase: &watch::Receiver<StopPhase>,
    sender: Sender,
) -> HttpResponse {
    let connection = &guard.connection;
    let at_arrival = *phase.borrow();
    let front = connection.take_front();
    let reads_chunks = req.version() != Version::HTTP_10;
    let handled = handle(edge, req, front, at_arrival, sender).await;
    let (outcome, reason) = match &handled {
        Ok(replied) => (replied.reply.outcome(), replied.reply.reason()),
        Err(rejection) => (Outcome::NotRun, rejection.reason()),
    };
    *guard.activity.streamed_from() = match &handled {
        Ok(replied) => replied.reply.streamed_from(),
        Err(_) => None,
    };
    let open = open_response(edge, &handled);
    let mut res = match handled {
        Ok(replied) => reply_response(edge, &replied.id, replied.reply),
        Err(rejection) => rejection_response(edge, rejection),
    };
    connection.begin_response(OpenResponse {
        ends_with_connection: !reads_chunks && !has_length(&res),
        ..open
    });
    if sender.origin == Origin::Peer {
        mark_response(res.headers_mut(), outcome, reason);
    }
    if res.headers().contains_key(CONNECTION) {
        let cancelled = connection.close();
        if cancelled > 0 {
            log::error!("event=ahead_cancelled calls={cancelled}");
        }
    } else if *phase.borrow() != StopPhase::Serving && connection.close_if_last() {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(CONNECTION, close);
    }
    res
}

/// The response that begins now, as one whose length the caller knows.
fn open_response(edge: &Edge, handled: &Result<Replied, Rejection>) -> OpenResponse {
    let now = edge.now();
    match handled {
        Ok(replied) => OpenResponse {
            id: replied.id.clone(),
            route: replied.route.name.clone(),
            due: deliver_by(replied.arrived, replied.route.timeout, now),
            ends_with_connection: false,
        },
        Err(rejection) => OpenResponse {
            id: rejection.id().cloned().unwrap_or_default(),
            route: Name::default(),
            due: now + DELIVERY_GRACE,
            ends_with_connection: false,
        },
    }
}

/// The reply to a request that found a route.
struct Replied {
    id: Name,
    route: Arc<Route>,
    arrived: Mono,
    reply: Reply,
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
    front: Option<FrontRequest>,
    phase: StopPhase,
    sender: Sender,
) -> Result<Replied, Rejection> {
    let arrived = front.as_ref().map_or_else(|| edge.now(), |f| f.arrived);
    let ambiguous = front.as_ref().is_none_or(|f| f.ambiguous)
        && req.headers().contains_key(http::header::TRANSFER_ENCODING);
    if ambiguous || req.headers().get_all(HOST).iter().count() > 1 {
        return Err(Rejection::Bad(StatusCode::BAD_REQUEST, "ambiguous"));
    }
    if req.method() == Method::CONNECT {
        return Err(Rejection::Bad(StatusCode::BAD_REQUEST, "not_a_path"));
    }
    let fields = read_request(req.headers());
    let fields = fields.ok_or(Rejection::Bad(StatusCode::BAD_REQUEST, "no_identity"))?;
    let id = fields.id.clone();
    if let Some(call) = take_started(front, &req, &id) {
        let (route, reply) = call.into_reply();
        return Ok(wait_reply(edge, reply, route, id, arrived).await);
    }
    let in_flight = edge.track_request();
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
    let route = admission::find_route(&table, req.headers(), req.uri());
    let route = Arc::clone(route.ok_or_else(|| Rejection::NoRoute(id.clone()))?);
    let chosen = from_peer.map(|f| f.service);
    let chosen = chosen.filter(|s| route.services.iter().any(|r| r.service == *s));
    let service = chosen.or_else(|| edge.servers().pick_service(&route));
    let service = service.ok_or_else(|| Rejection::Refused(id.clone(), RefusalReason::NoServer))?;
    let admission = Admission {
        origin: sender.origin,
        version,
        fields,
        route: Arc::clone(&route),
        service,
        arrived,
        in_flight,
    };
    let (head, body) = req.into_parts();
    let limits = BodyLimits {
        size: table.routing().limits.max_body,
        arrives_by: edge.instant(arrived + admission.time()),
    };
    let (body, buffered) = read_body(edge, body, &limits, &id).await?;
    let inbound = admission.into_request(head, body);
    let reply = admission::start(edge, inbound, buffered)?;
    Ok(wait_reply(edge, reply, route, id, arrived).await)
}

/// Takes the call of a request if it was started before the request was in front.
fn take_started(
    front: Option<FrontRequest>,
    req: &Request<Incoming>,
    id: &Name,
) -> Option<StartedCall> {
    let call = front?.started?;
    if call.is_of(req, id) {
        return Some(call);
    }
    log::error!("event=ahead_mismatch id={id} started={}", call.id());
    None
}

async fn wait_reply(
    edge: &Edge,
    reply: oneshot::Receiver<Reply>,
    route: Arc<Route>,
    id: Name,
    arrived: Mono,
) -> Replied {
    let reply = admission::reply(reply, &id).await;
    if let Reply::Streaming(..) = &reply {
        edge.record_streamed(&route.name);
    }
    Replied {
        id,
        route,
        arrived,
        reply,
    }
}

/// Counts the bytes of a body as buffered until dropped.
#[derive(Debug)]
pub struct BufferedBytes {
    edge: Arc<Edge>,
    bytes: usize,
}

impl BufferedBytes {
    /// Counts nothing yet.
    pub fn new(edge: &Arc<Edge>) -> Self {
        Self {
            edge: Arc::clone(edge),
            bytes: 0,
        }
    }

    /// Counts more bytes; false if all bodies together exceed the limit. A body that is the only
    /// one buffered is always allowed.
    pub fn grow(&mut self, more: usize) -> bool {
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
    arrives_by: Instant,
}

/// Reads a complete body; its bytes count as buffered as they arrive.
async fn read_body(
    edge: &Arc<Edge>,
    body: Incoming,
    limits: &BodyLimits,
    id: &Name,
) -> Result<(Bytes, BufferedBytes), Rejection> {
    let mut buffered = BufferedBytes::new(edge);
    let read = collect(body, limits.size, &mut buffered, id);
    let body = match timeout_at(limits.arrives_by, read).await {
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
