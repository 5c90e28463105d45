//! Accepts callers' requests.
//!
//! Bodies are read whole before a server is chosen: a request may need several sends, and a caller
//! that trickles takes no slot of a server. The HTTP server closes a connection whose answer was
//! given before its request was read, and drops the answer's future when the caller closes.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use cuminspread::coordination::refusal::{self, RefusalReason};
use cuminspread::state::Name;
use cuminspread::state::time::Mono;
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
use super::request::{InboundRequest, Reply};
use super::state::Edge;
use crate::body_buffer::BodyBuffer;
use crate::framing::{InspectedStream, RequestPrefix};
use crate::headers;
use cuminspread::transport::upstream::exchange::{Chunk, Exchange};

/// Pause after a failed accept, which is most often a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Longest time for a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest margin for the way of an answer that comes at the end of a caller's patience: a round trip
/// between data centres and the caller's own delay.
const MAX_ANSWER_MARGIN: Duration = Duration::from_millis(25);
/// Time by which an answer may follow the end of the time that a server was given.
const LAST_ANSWER: Duration = Duration::from_millis(30);
/// Smallest read buffer that the HTTP server allows.
const MIN_HEAD: usize = 8192;

type Answer = Response<UnsyncBoxBody<Bytes, BoxError>>;
type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Use of one connection.
#[derive(Debug, Default)]
struct Activity {
    running: AtomicUsize,
    /// Time of the last answer.
    last: AtomicU64,
}

/// Where a daemon's connections stand in a planned stop.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StopPhase {
    /// No stop.
    #[default]
    Serving,
    /// Answers close their connections; idle ones are still kept.
    Closing,
    /// Idle connections are closed, and new requests turned away.
    Closed,
}

/// Accepts connections until the task is aborted.
pub async fn serve(edge: Arc<Edge>, listener: TcpListener, mut phase: watch::Receiver<StopPhase>) {
    let mut connections = JoinSet::new();
    let most = edge.settings.callers.max_connections;
    loop {
        while connections.try_join_next().is_some() {}
        if connections.len() >= most {
            connections.join_next().await;
            continue;
        }
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|p| *p == StopPhase::Closed) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                connections.spawn(serve_connection(Arc::clone(&edge), stream, phase.clone()));
            }
            Err(e) => {
                log::warn!("event=accept_failed cause={e:?}");
                sleep(ACCEPT_PAUSE).await;
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
) {
    let _ = stream.set_nodelay(true);
    let max_head = edge.table().routing().limits.max_head.max(MIN_HEAD);
    let mut builder = http1::Builder::new();
    builder
        .max_buf_size(max_head)
        .max_headers(edge.settings.callers.max_headers);
    let stream = InspectedStream::new(stream);
    let beginning = stream.prefix();
    let activity = Arc::new(Activity::default());
    activity.last.store(edge.now().0, Ordering::Relaxed);
    let heads = beginning.clone();
    let service = {
        let (edge, activity, phase) = (Arc::clone(&edge), Arc::clone(&activity), phase.clone());
        service_fn(move |req| {
            let (edge, activity) = (Arc::clone(&edge), Arc::clone(&activity));
            let (beginning, phase) = (beginning.clone(), phase.clone());
            beginning.record_head_end();
            async move {
                activity.running.fetch_add(1, Ordering::AcqRel);
                let _busy = Busy {
                    edge: &edge,
                    activity: &activity,
                };
                let answer = answer(&edge, req, &beginning, &phase).await;
                Ok::<_, Infallible>(answer)
            }
        })
    };
    let mut conn = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let mut closing = false;
    let ended = loop {
        let look_in = head_left(&edge, &heads).min(idle_left(&edge, &activity));
        tokio::select! {
            ended = conn.as_mut() => break ended,
            () = sleep(look_in), if !closing => {
                let stalled = head_left(&edge, &heads) == Duration::ZERO;
                let idle = idle_left(&edge, &activity) == Duration::ZERO;
                // Without a whole request the HTTP server has nothing to end gracefully.
                if stalled || idle && heads.is_empty() {
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

/// Notes the end of a request, however it ends.
struct Busy<'a> {
    edge: &'a Edge,
    activity: &'a Activity,
}

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        self.activity
            .last
            .store(self.edge.now().0, Ordering::Relaxed);
        self.activity.running.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Time that is left for the head that is being read; if there is none, the whole time for one, after
/// which a connection has to be looked at again.
fn head_left(edge: &Edge, heads: &RequestPrefix) -> Duration {
    let limit = edge.table().routing().limits.head_timeout;
    limit.saturating_sub(heads.head_age().unwrap_or_default())
}

/// Time for which a connection may stay idle from now on.
fn idle_left(edge: &Edge, activity: &Activity) -> Duration {
    let limit = edge.table().routing().limits.idle_timeout;
    if activity.running.load(Ordering::Acquire) > 0 {
        return limit;
    }
    let last = Mono(activity.last.load(Ordering::Relaxed));
    limit.saturating_sub(edge.now().since(last))
}

async fn answer(
    edge: &Arc<Edge>,
    req: Request<Incoming>,
    beginning: &RequestPrefix,
    phase: &watch::Receiver<StopPhase>,
) -> Answer {
    let at_arrival = *phase.borrow();
    let mut res = match accept(edge, req, beginning, at_arrival).await {
        Ok(reply) => respond(reply),
        Err(fault) => own_answer(edge, fault),
    };
    if *phase.borrow() != StopPhase::Serving {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(CONNECTION, close);
    }
    res
}

/// A request that is answered without a server.
#[derive(Debug)]
enum Fault {
    /// It breaks the rules of HTTP or the limits.
    Bad(StatusCode, &'static str),
    /// No route leads to a service.
    NoRoute(Name),
    /// It can't be served now.
    Refused(Name, RefusalReason),
}

async fn accept(
    edge: &Arc<Edge>,
    req: Request<Incoming>,
    beginning: &RequestPrefix,
    phase: StopPhase,
) -> Result<Reply, Fault> {
    let arrived = edge.now();
    let running = edge.begin();
    let ambiguous =
        req.headers().contains_key(http::header::TRANSFER_ENCODING) && beginning.is_ambiguous();
    if ambiguous || req.headers().get_all(HOST).iter().count() > 1 {
        return Err(Fault::Bad(StatusCode::BAD_REQUEST, "ambiguous"));
    }
    if req.method() == Method::CONNECT {
        return Err(Fault::Bad(StatusCode::BAD_REQUEST, "not_a_path"));
    }
    let terms = read_request(req.headers());
    let terms = terms.ok_or(Fault::Bad(StatusCode::BAD_REQUEST, "no_identity"))?;
    let id = terms.id;
    if phase == StopPhase::Closed {
        return Err(Fault::Refused(id, RefusalReason::Stopping));
    }
    let table = edge.table();
    let version = table.routing().version;
    if version == 0 {
        return Err(Fault::Refused(id, RefusalReason::NoConfiguration));
    }
    let host = req.headers().get(HOST).and_then(|h| h.to_str().ok());
    let host = host.or_else(|| req.uri().host()).unwrap_or_default();
    let route = table.find(host, req.uri().path());
    let route = Arc::clone(route.ok_or_else(|| Fault::NoRoute(id.clone()))?);
    let service = edge.fleet().pick_service(&route);
    let service = service.ok_or_else(|| Fault::Refused(id.clone(), RefusalReason::NoServer))?;
    edge.fleet().deposit_retry(&service, &edge.platform);
    let (head, body) = req.into_parts();
    let patience = terms.timeout.map(|p| p.saturating_sub(answer_margin(p)));
    let time = patience.unwrap_or(route.timeout).min(route.timeout);
    let last = route.timeout + LAST_ANSWER;
    let limits = BodyLimits {
        size: table.routing().limits.max_body,
        time: BODY_TIMEOUT.min(time),
    };
    let (body, guard) = read_body(edge, body, &limits, &id).await?;
    let target = head.uri.path_and_query().cloned();
    let job = InboundRequest {
        out: OutboundRequest {
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
        last_answer: arrived + patience.map_or(last, |p| p.min(last)),
        running,
    };
    if edge.crash_tracker().refuses(edge.now(), &job.out) {
        return Err(Fault::Refused(job.out.id, RefusalReason::Crashing));
    }
    let (tx, rx) = oneshot::channel();
    let id = job.out.id.clone();
    let edge = Arc::clone(edge);
    tokio::spawn(async move {
        call::run(edge, job, tx).await;
        drop(guard);
    });
    // The task sends a reply unless it panicked, and then the request may have run.
    rx.await.or_else(|_| {
        log::error!("event=call_lost id={id}");
        Ok(Reply::Failed {
            status: StatusCode::BAD_GATEWAY,
            detail: "lost",
        })
    })
}

/// Part of a caller's patience that is left for the way of the last answer.
fn answer_margin(patience: Duration) -> Duration {
    (patience / 20).min(MAX_ANSWER_MARGIN)
}

/// Bytes of a body that count as held until they are dropped.
struct Held {
    edge: Arc<Edge>,
    bytes: usize,
}

impl Held {
    /// Counts more bytes; false if all bodies together are too large. One alone always fits.
    fn grow(&mut self, more: usize) -> bool {
        self.bytes += more;
        let all = self.edge.buffered().fetch_add(more, Ordering::AcqRel) + more;
        all <= self.edge.settings.callers.max_buffered || all == self.bytes
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.edge.buffered().fetch_sub(self.bytes, Ordering::AcqRel);
    }
}

/// Bounds on one body.
struct BodyLimits {
    /// Bytes.
    size: usize,
    time: Duration,
}

/// Reads a body whole; its bytes count as held from their arrival on.
async fn read_body(
    edge: &Arc<Edge>,
    body: Incoming,
    limits: &BodyLimits,
    id: &Name,
) -> Result<(Bytes, Held), Fault> {
    let mut held = Held {
        edge: Arc::clone(edge),
        bytes: 0,
    };
    let read = collect(body, limits.size, &mut held, id);
    let body = match timeout(limits.time, read).await {
        Ok(body) => body?,
        Err(_elapsed) => return Err(Fault::Bad(StatusCode::REQUEST_TIMEOUT, "body_timeout")),
    };
    Ok((body, held))
}

async fn collect(
    mut body: Incoming,
    size: usize,
    held: &mut Held,
    id: &Name,
) -> Result<Bytes, Fault> {
    let mut pieces = BodyBuffer::default();
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(e) => {
                log::debug!("event=body_broken id={id} cause={:?}", e.to_string());
                return Err(Fault::Bad(StatusCode::BAD_REQUEST, "bad_body"));
            }
        };
        // Trailers are dropped.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if pieces.len() + data.len() > size {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            return Err(Fault::Bad(status, "body_too_large"));
        }
        if !held.grow(data.len()) {
            return Err(Fault::Refused(id.clone(), RefusalReason::NoRoom));
        }
        pieces.push(data);
    }
    Ok(pieces.finish())
}

fn respond(reply: Reply) -> Answer {
    match reply {
        Reply::Buffered(head, body) => {
            let mut res = with_head(head, Full::new(body).map_err(Into::into).boxed_unsync());
            // The server sets it anew from the body.
            res.headers_mut().remove(CONTENT_LENGTH);
            res
        }
        Reply::Streaming(head, prefix, rest) => with_head(head, streamed(prefix, rest)),
        Reply::Refused {
            cause, retry_after, ..
        } => refused(cause, retry_after),
        Reply::Failed { status, detail } => plain(status, detail),
    }
}

fn with_head(head: Parts, body: UnsyncBoxBody<Bytes, BoxError>) -> Answer {
    let mut res = Response::new(body);
    *res.status_mut() = head.status;
    *res.headers_mut() = head.headers;
    headers::strip_hop_by_hop(res.headers_mut());
    res
}

/// Body whose beginning was read; an answer that breaks off ends the caller's connection.
fn streamed(prefix: Bytes, rest: Exchange) -> UnsyncBoxBody<Bytes, BoxError> {
    let pieces = stream::unfold((Some(prefix), Some(rest)), |(prefix, rest)| async move {
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
    StreamBody::new(pieces).boxed_unsync()
}

fn own_answer(edge: &Edge, fault: Fault) -> Answer {
    match fault {
        Fault::Bad(status, reason) => {
            edge.metrics
                .count_request(&Name::default(), "bad_request", reason);
            log::warn!(
                "event=request_bad status={} reason={reason}",
                status.as_u16()
            );
            let mut res = plain(status, reason);
            // The rest of the request may not have been read.
            let close = HeaderValue::from_static("close");
            res.headers_mut().insert(CONNECTION, close);
            res
        }
        Fault::NoRoute(id) => {
            edge.metrics
                .count_request(&Name::default(), "no_route", "no_route");
            log::info!(
                "event=request id={id} outcome=no_route version={}",
                edge.version()
            );
            plain(StatusCode::NOT_FOUND, "no_route")
        }
        Fault::Refused(id, cause) => {
            let reason = cause.label();
            edge.metrics
                .count_request(&Name::default(), "refused", reason);
            log::warn!("event=request id={id} outcome=refused detail={reason} sends=0");
            let retry_after = refusal::retry_after(cause, Duration::ZERO, &mut edge.fleet().rng);
            refused(cause, retry_after)
        }
    }
}

fn refused(cause: RefusalReason, retry_after: Duration) -> Answer {
    let mut res = plain(StatusCode::SERVICE_UNAVAILABLE, cause.label());
    let secs = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(secs) = HeaderValue::try_from(secs) {
        res.headers_mut().insert(RETRY_AFTER, secs);
    }
    res
}

fn plain(status: StatusCode, reason: &str) -> Answer {
    let text = Bytes::from(format!("{reason}\n"));
    let mut res = Response::new(Full::new(text).map_err(Into::into).boxed_unsync());
    *res.status_mut() = status;
    let kind = HeaderValue::from_static("text/plain");
    res.headers_mut().insert(CONTENT_TYPE, kind);
    res
}
