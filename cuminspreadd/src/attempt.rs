//! One attempt of a call at one server.

use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use cuminspread::coordination::event::{Attempt, CallEvent, CallId, Connection, Ending};
use cuminspread::invariant::Invariant;
use cuminspread::protocol::header as cumin;
use cuminspread::state::council::ServiceConfig;
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

/// A request as it goes to a server; the same for all attempts.
#[derive(Debug)]
pub struct Outgoing {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// End-to-end fields.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Trace context.
    pub trace: TraceContext,
    /// Calls above this one in its chain.
    pub depth: u8,
    /// Time by which the caller needs the answer.
    pub deadline: Instant,
}

/// One attempt.
#[derive(Debug)]
pub struct AttemptSpec {
    /// Call.
    pub call: CallId,
    /// Attempt.
    pub attempt: Attempt,
    /// Service.
    pub service: Arc<ServiceConfig>,
    /// Running the request twice does no harm.
    pub idempotent: bool,
    /// Request.
    pub request: Arc<Outgoing>,
    /// Server.
    pub upstream: Arc<Upstream>,
    /// Connection to use.
    pub connection: Connection,
    /// Extra attempts to pass on.
    pub retry_budget: u8,
}

/// Handle of a running attempt.
#[derive(Debug, Default)]
pub struct AttemptControl {
    cancel: Notify,
    abandoned: AtomicBool,
    written: OnceLock<WriteCounter>,
}

impl AttemptControl {
    /// Asks the attempt to end.
    pub fn cancel(&self) {
        self.cancel.notify_one();
    }

    /// Nobody waits for the answer of this attempt.
    pub fn abandon(&self) {
        self.abandoned.store(true, Ordering::Release);
    }

    /// Bytes of the request that left the daemon.
    pub fn written(&self) -> u64 {
        self.written.get().map_or(0, WriteCounter::count)
    }
}

/// How an attempt ended.
#[derive(Debug)]
pub enum AttemptResult {
    /// Its whole answer.
    Buffered {
        /// Head of the answer.
        head: Parts,
        /// Body.
        body: Bytes,
    },
    /// A large answer that is still arriving.
    Streaming {
        /// Head of the answer.
        head: Parts,
        /// Body so far.
        prefix: Bytes,
        /// The rest.
        rest: Exchange,
    },
    /// A large answer went to the caller.
    StreamEnded {
        /// To its end.
        complete: bool,
    },
    /// No whole answer.
    Failed {
        /// What is proven.
        ending: Ending,
        /// Step and peer, if one failed.
        failure: Option<Failure>,
    },
}

/// An attempt that ended.
#[derive(Debug)]
pub struct EndedAttempt {
    /// Attempt.
    pub attempt: Attempt,
    /// How.
    pub result: AttemptResult,
}

/// What a server says of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cancellation {
    BeforeStart,
    Started,
    Unconfirmed,
}

/// Sends an attempt and waits for its end.
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
    let mut work = pin!(exchange(engine, spec, control));
    let mut deadline = pin!(tokio::time::sleep_until(spec.request.deadline.into()));
    let mut confirm = pin!(OptionFuture::from(None));
    let mut cancelled = false;
    loop {
        tokio::select! {
            biased;
            result = &mut work => return result,
            () = &mut deadline => return stopped_result(control, Ending::TimedOut),
            () = control.cancel.notified(), if !cancelled => {
                cancelled = true;
                if control.written() == 0 {
                    return stopped_result(control, Ending::CancelledBeforeStart);
                }
                confirm.set(OptionFuture::from(Some(cancel_at_server(engine, spec))));
            }
            Some(answer) = &mut confirm, if cancelled => {
                confirm.set(OptionFuture::from(None));
                if answer == Cancellation::BeforeStart {
                    return stopped_result(control, Ending::CancelledBeforeStart);
                }
                if spec.idempotent && control.abandoned.load(Ordering::Acquire) {
                    return stopped_result(control, Ending::Abandoned);
                }
            }
        }
    }
}

/// Ends an attempt whose exchange isn't polled any more; its connection closes.
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
    // The daemon may have been paused since the attempt was decided.
    if Instant::now() >= spec.request.deadline {
        return Err(spec.upstream.failure(Step::Head, "the deadline passed"));
    }
    let id = attempt_id(engine, spec);
    let req = build_request(engine, spec, &id);
    let (mut head, rest) = Exchange::send(conn, req).await?;
    check_attempt_id(engine, &head, &id, &rest)?;
    let status = head.status.as_u16();
    engine.handle(CallEvent::Head {
        call: spec.call,
        attempt: spec.attempt,
        status,
        load: probe::load_of(&head.headers),
    });
    if spec.service.refused_statuses.contains(&status) {
        discard_body(rest).await;
        return Ok(AttemptResult::Failed {
            ending: Ending::Refused,
            failure: None,
        });
    }
    headers::strip_response(&mut head.headers);
    read_response(engine, spec, head, rest).await
}

async fn read_response(
    engine: &Engine,
    spec: &AttemptSpec,
    head: Parts,
    mut rest: Exchange,
) -> Result<AttemptResult, Failure> {
    let max = spec.service.max_body;
    if rest.remaining().is_some_and(|len| len > max) {
        return Err(rest.failure("the answer is larger than the service allows"));
    }
    let mut buf = BytesMut::new();
    let limit = engine.settings.servers.stream_above;
    let whole = rest.read_up_to(limit, &mut buf).await?;
    if buf.len() as u64 > max {
        return Err(rest.failure("the answer is larger than the service allows"));
    }
    let body = buf.freeze();
    if whole {
        rest.finish();
        return Ok(AttemptResult::Buffered { head, body });
    }
    Ok(AttemptResult::Streaming {
        head,
        prefix: body,
        rest,
    })
}

/// Reads the rest of a refusal, so that its connection can be used again.
async fn discard_body(mut rest: Exchange) {
    const MAX_REFUSAL_BYTES: usize = 64 << 10;
    const TIMEOUT: Duration = Duration::from_millis(100);
    let mut buf = BytesMut::new();
    let read = rest.read_up_to(MAX_REFUSAL_BYTES, &mut buf);
    if let Ok(Ok(true)) = tokio::time::timeout(TIMEOUT, read).await {
        rest.finish();
    }
}

/// Checks that an answer that names its attempt names this one.
fn check_attempt_id(
    engine: &Engine,
    head: &Parts,
    id: &str,
    rest: &Exchange,
) -> Result<(), Failure> {
    let named = head.headers.get(cumin::CALL_ID);
    let own = named.is_none_or(|named| named.as_bytes() == id.as_bytes());
    engine.invariants.check(Invariant::OwnAnswer, own, || {
        format!("sent={id} got={named:?}")
    });
    if own {
        return Ok(());
    }
    Err(rest.failure("the answer belongs to another request"))
}

/// Name of an attempt, unique over all daemons.
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
    let left = out.deadline.saturating_duration_since(Instant::now());
    let fields = req.headers_mut();
    if let Ok(id) = HeaderValue::try_from(id) {
        fields.insert(cumin::CALL_ID, id);
    }
    let left_ms = left.as_millis() as u64;
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
        Ending::Complete => "whole",
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
    let answer = probe::request(&spec.upstream, Method::POST, &target);
    let timeout = engine.settings.servers.cancel_timeout;
    let Ok(Ok(answer)) = tokio::time::timeout(timeout, answer).await else {
        return Cancellation::Unconfirmed;
    };
    match answer.body.trim_ascii() {
        b"before-start" => Cancellation::BeforeStart,
        b"started" => Cancellation::Started,
        _ => Cancellation::Unconfirmed,
    }
}
