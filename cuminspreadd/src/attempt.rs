//! Runs one attempt of a call: sends the request to one server and reads the response.

use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use cuminspread::coordination::event::{Attempt, CallEvent, CallId, Connection, Ending};
use cuminspread::invariant::Invariant;
use cuminspread::protocol::header as cumin;
use cuminspread::state::council::ServiceConfig;
use cuminspread::transport::turn;
use cuminspread::transport::upstream::exchange::{Exchange, WriteCounter};
use cuminspread::transport::upstream::{ConnectionChoice, Failure, Step, Upstream};
use futures_util::future::OptionFuture;
use http::response::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Uri};
use http_body_util::Full;
use opentelemetry::KeyValue;
use tokio::sync::Notify;

use crate::engine::Engine;
use crate::spans::{SpanRecord, SpanRecordKind};
use crate::trace_context::{TraceContext, span_id};
use crate::{headers, probe};

/// A request as it is sent to servers, the same for all attempts of a call.
#[derive(Debug)]
pub struct OutboundRequest {
    /// HTTP method of the caller's request.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// End-to-end header fields, without those that the daemon sets for each attempt.
    pub headers: HeaderMap,
    /// Body, read to its end.
    pub body: Bytes,
    /// Trace context of the call.
    pub trace: TraceContext,
    /// Number of calls above this one in its chain; 0 for the first.
    pub depth: u8,
    /// Time by which the caller needs the response.
    pub deadline: Instant,
}

/// Inputs of an attempt.
#[derive(Debug)]
pub struct AttemptSpec {
    /// Call that the attempt belongs to.
    pub call: CallId,
    /// Number of the attempt within its call.
    pub attempt: Attempt,
    /// Service of the request.
    pub service: Arc<ServiceConfig>,
    /// Whether running the request twice does no harm.
    pub idempotent: bool,
    /// Request to send.
    pub request: Arc<OutboundRequest>,
    /// Server to send it to.
    pub upstream: Arc<Upstream>,
    /// Which connections it may use.
    pub connection: Connection,
    /// Extra attempts that the server's own calls may make.
    pub retry_budget: u8,
}

/// Handle by which a call controls a running attempt.
#[derive(Debug, Default)]
pub struct AttemptControl {
    cancel: Notify,
    abandoned: AtomicBool,
    written: OnceLock<WriteCounter>,
}

impl AttemptControl {
    /// Asks the attempt to cancel; it ends at once if no byte of the request has left the daemon.
    pub fn cancel(&self) {
        self.cancel.notify_one();
    }

    /// Marks the response as no longer needed: a cancelled attempt of an idempotent request then
    /// ends even without the server's confirmation.
    pub fn abandon(&self) {
        self.abandoned.store(true, Ordering::Release);
    }

    /// Bytes of the request that have left the daemon.
    pub fn written(&self) -> u64 {
        self.written.get().map_or(0, WriteCounter::count)
    }
}

/// How an attempt ended.
#[derive(Debug)]
pub enum AttemptResult {
    /// A response whose body was read to its end.
    Buffered {
        /// Status and header fields.
        head: Parts,
        /// Complete body of the response.
        body: Bytes,
    },
    /// A large response whose body is still arriving.
    Streaming {
        /// Status and header fields.
        head: Parts,
        /// Beginning of the body.
        prefix: Bytes,
        /// Exchange from which the rest is read.
        exchange: Exchange,
    },
    /// A streaming response was passed on, or broke off.
    StreamEnded {
        /// Whether its body reached its end.
        complete: bool,
    },
    /// No usable response.
    Failed {
        /// How it ended, which tells whether the server may have started the request.
        ending: Ending,
        /// Step and peer of the failure; `None` if the daemon ended the attempt or the server
        /// refused it.
        failure: Option<Failure>,
    },
}

/// An attempt that has ended.
#[derive(Debug)]
pub struct EndedAttempt {
    /// Number of the attempt within its call.
    pub attempt: Attempt,
    /// How it ended.
    pub result: AttemptResult,
}

/// A server's response to a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cancellation {
    BeforeStart,
    Started,
    Unconfirmed,
}

/// Runs an attempt until its response has arrived or it has failed, and exports its span.
pub async fn run(
    engine: Arc<Engine>,
    spec: AttemptSpec,
    control: Arc<AttemptControl>,
) -> EndedAttempt {
    let started = Instant::now();
    let result = supervise(&engine, &spec, &control).await;
    if let Some(spans) = engine.spans() {
        spans.record(span_record(&engine, &spec, &result, started.elapsed()));
    }
    EndedAttempt {
        attempt: spec.attempt,
        result,
    }
}

async fn supervise(
    engine: &Arc<Engine>,
    spec: &AttemptSpec,
    control: &AttemptControl,
) -> AttemptResult {
    let mut exchange = pin!(exchange(engine, spec, control));
    let mut deadline = pin!(turn::deadline(spec.request.deadline.into()));
    let mut confirm = pin!(OptionFuture::from(None));
    let mut cancelled = false;
    loop {
        tokio::select! {
            biased;
            result = &mut exchange => return result,
            () = &mut deadline => return stopped_result(control, Ending::TimedOut),
            () = control.cancel.notified(), if !cancelled => {
                cancelled = true;
                if control.written() == 0 {
                    return stopped_result(control, Ending::CancelledBeforeStart);
                }
                confirm.set(OptionFuture::from(Some(cancel_at_server(engine, spec))));
            }
            Some(confirmed) = &mut confirm, if cancelled => {
                confirm.set(OptionFuture::from(None));
                if confirmed == Cancellation::BeforeStart {
                    return stopped_result(control, Ending::CancelledBeforeStart);
                }
                if spec.idempotent && control.abandoned.load(Ordering::Acquire) {
                    return stopped_result(control, Ending::Abandoned);
                }
            }
        }
    }
}

/// Result of an attempt that the daemon stops; dropping its exchange closes the connection.
fn stopped_result(control: &AttemptControl, ending: Ending) -> AttemptResult {
    let ending = match ending {
        Ending::TimedOut if control.written() == 0 => Ending::NotSent,
        ending => ending,
    };
    AttemptResult::Failed {
        ending,
        failure: None,
    }
}

async fn exchange(
    engine: &Arc<Engine>,
    spec: &AttemptSpec,
    control: &AttemptControl,
) -> AttemptResult {
    match try_exchange(engine, spec, control).await {
        Ok(result) => result,
        Err(failure) => {
            log::debug!(
                "event=attempt_failed call={} attempt={} server={} {failure}",
                spec.call.0,
                spec.attempt.0,
                spec.upstream.name()
            );
            let ending = if failure.written == 0 {
                Ending::NotSent
            } else {
                Ending::Broken
            };
            AttemptResult::Failed {
                ending,
                failure: Some(failure),
            }
        }
    }
}

async fn try_exchange(
    engine: &Arc<Engine>,
    spec: &AttemptSpec,
    control: &AttemptControl,
) -> Result<AttemptResult, Failure> {
    let choice = match spec.connection {
        Connection::Any => ConnectionChoice::Any,
        Connection::Live => ConnectionChoice::Live,
        Connection::New => ConnectionChoice::New,
    };
    let conn = spec.upstream.acquire(choice).await?;
    let _ = control.written.set(WriteCounter::start(&conn));
    // The process may have been paused since the dispatcher chose the server.
    if Instant::now() >= spec.request.deadline {
        return Err(spec.upstream.failure(Step::Head, "the deadline passed"));
    }
    let id = attempt_id(engine, spec);
    let req = build_request(engine, spec, &id);
    let (mut head, exchange) = Exchange::send(conn, req).await?;
    check_attempt_id(engine, &head, &id, &exchange)?;
    let status = head.status.as_u16();
    engine.handle(CallEvent::Head {
        call: spec.call,
        attempt: spec.attempt,
        status,
        load: probe::load_of(&head.headers),
    });
    if spec.service.refused_statuses.contains(&status) {
        exchange.discard().await;
        return Ok(AttemptResult::Failed {
            ending: Ending::Refused,
            failure: None,
        });
    }
    headers::strip_response(&mut head.headers);
    read_response(engine, spec, head, exchange).await
}

async fn read_response(
    engine: &Engine,
    spec: &AttemptSpec,
    head: Parts,
    mut exchange: Exchange,
) -> Result<AttemptResult, Failure> {
    let max = spec.service.max_body;
    if exchange.remaining().is_some_and(|len| len > max) {
        return Err(exchange.failure("the answer is larger than the service allows"));
    }
    let mut buf = BytesMut::new();
    let limit = engine.settings.servers.stream_above;
    let complete = exchange.read_up_to(limit, &mut buf).await?;
    if buf.len() as u64 > max {
        return Err(exchange.failure("the answer is larger than the service allows"));
    }
    let body = buf.freeze();
    if complete {
        exchange.finish();
        return Ok(AttemptResult::Buffered { head, body });
    }
    Ok(AttemptResult::Streaming {
        head,
        prefix: body,
        exchange,
    })
}

/// Checks that a response which names an attempt names this one.
fn check_attempt_id(
    engine: &Engine,
    head: &Parts,
    id: &str,
    exchange: &Exchange,
) -> Result<(), Failure> {
    let named = head.headers.get(cumin::CALL_ID);
    let matches = named.is_none_or(|named| named.as_bytes() == id.as_bytes());
    engine.invariants.check(Invariant::OwnAnswer, matches, || {
        format!("sent={id} got={named:?}")
    });
    if matches {
        return Ok(());
    }
    Err(exchange.failure("the answer belongs to another request"))
}

/// Identifier of an attempt in the `cumin-call` field, unique among all daemons.
fn attempt_id(engine: &Engine, spec: &AttemptSpec) -> String {
    let AttemptSpec { call, attempt, .. } = spec;
    format!("{:016x}-{}-{}", engine.run_id, call.0, attempt.0)
}

fn build_request(engine: &Engine, spec: &AttemptSpec, id: &str) -> Request<Full<Bytes>> {
    let out = &spec.request;
    let mut req = Request::new(Full::new(out.body.clone()));
    *req.method_mut() = out.method.clone();
    *req.uri_mut() = out.target.clone();
    *req.headers_mut() = out.headers.clone();
    let time_left = out.deadline.saturating_duration_since(Instant::now());
    let fields = req.headers_mut();
    if let Ok(id) = HeaderValue::try_from(id) {
        fields.insert(cumin::CALL_ID, id);
    }
    let left_ms = time_left.as_millis() as u64;
    fields.insert(cumin::DEADLINE_MS, headers::number_value(left_ms));
    fields.insert(cumin::DEPTH, headers::number_value(out.depth + 1));
    fields.insert(
        cumin::RETRY_BUDGET,
        headers::number_value(spec.retry_budget),
    );
    let traceparent = out.trace.for_attempt(attempt_span_id(engine, spec));
    fields.insert(cumin::TRACEPARENT, traceparent);
    req
}

fn attempt_span_id(engine: &Engine, spec: &AttemptSpec) -> u64 {
    span_id(engine.run_id, spec.call.0, u64::from(spec.attempt.0) + 1)
}

fn span_record(
    engine: &Engine,
    spec: &AttemptSpec,
    result: &AttemptResult,
    time: Duration,
) -> SpanRecord {
    let ending = match result {
        AttemptResult::Buffered { .. } | AttemptResult::StreamEnded { .. } => "whole",
        AttemptResult::Streaming { .. } => "streaming",
        AttemptResult::Failed { ending, .. } => ending_label(*ending),
    };
    let upstream = &spec.upstream;
    SpanRecord {
        context: spec.request.trace,
        span: attempt_span_id(engine, spec),
        parent: spec.request.trace.span,
        kind: SpanRecordKind::Attempt,
        time,
        attributes: vec![
            KeyValue::new("cumin.call", i64::try_from(spec.call.0).unwrap_or(i64::MAX)),
            KeyValue::new("cumin.attempt", i64::from(spec.attempt.0)),
            KeyValue::new("cumin.server", upstream.name().to_string()),
            KeyValue::new("cumin.ending", ending),
            KeyValue::new("network.peer.address", upstream.address().to_string()),
        ],
    }
}

fn ending_label(ending: Ending) -> &'static str {
    match ending {
        Ending::Whole => "whole",
        Ending::NotSent => "not_sent",
        Ending::Refused => "refused",
        Ending::CancelledBeforeStart => "cancelled_before_start",
        Ending::Broken => "broken",
        Ending::TimedOut => "timed_out",
        Ending::Abandoned => "abandoned",
    }
}

async fn cancel_at_server(engine: &Engine, spec: &AttemptSpec) -> Cancellation {
    let path = &spec.service.cancel_path;
    if path.is_empty() {
        return Cancellation::Unconfirmed;
    }
    let target = format!("{path}?call={}", attempt_id(engine, spec));
    let res = probe::request(&spec.upstream, Method::POST, &target);
    let timeout = engine.settings.servers.cancel_timeout;
    let Ok(Ok(res)) = tokio::time::timeout(timeout, res).await else {
        return Cancellation::Unconfirmed;
    };
    match res.body.trim_ascii() {
        b"before-start" => Cancellation::BeforeStart,
        b"started" => Cancellation::Started,
        _ => Cancellation::Unconfirmed,
    }
}
