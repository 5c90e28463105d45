//! One request, from its arrival to its caller's answer.
//!
//! Each request runs in a task of its own. When its caller leaves, it ends at once, unless it may run
//! only once and is already at a server: breaking that off could leave half an order.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use cuminspread::coordination::placement::{AttemptEnd, PlacementContext};
use cuminspread::coordination::refusal::{self, RefusalReason};
use cuminspread::state::Name;
use cuminspread::state::time::Mono;
use cuminspread_platform::headers::ResponseFields;
use futures_util::StreamExt as _;
use futures_util::future::OptionFuture;
use futures_util::stream::FuturesUnordered;
use http::StatusCode;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until};

use super::attempt::{AttemptResult, BROKEN, send};
use super::crash;
use super::placement::{Target, place};
use super::request::{InboundRequest, Reply};
use super::state::{Edge, MOVED_SERVER_PAUSE, ServerKey};

/// Sends of one request that may end with a proof that it has not run.
const MAX_SENDS: u32 = 5;
/// Silence, as a multiple of the expected time, after which a request may get a second server.
const HEDGE_AFTER: f32 = 1.6;
/// Least such silence: one answer in six takes longer than this.
const HEDGE_AFTER_LEAST: f32 = 1.35;
/// Multiple of the usual work time that is kept for the second server.
const HEDGE_WORK: f32 = 1.2;

/// What a request has gone through.
#[derive(Debug, Default)]
struct Trail {
    tried: Vec<ServerKey>,
    /// Sends that may have run.
    runs: u32,
    sends: u32,
    looks: u32,
    hedges: u32,
    /// Last server, for the log.
    server: Name,
    /// It is in the own data centre.
    near: bool,
    /// Time until the first send.
    waited: Option<Duration>,
    /// Slowness that the last server reported, and the age of that report.
    slowness: f32,
    report_age: Duration,
}

/// A send that has begun; its end is noted when it is dropped, unless that was done before.
struct Flight<'a> {
    edge: &'a Arc<Edge>,
    job: &'a InboundRequest,
    target: Target,
    ticket: u64,
    sent: Mono,
    left: Duration,
    ended: bool,
    /// The request has its answer.
    answered: &'a AtomicBool,
}

impl Flight<'_> {
    fn end(&mut self, end: AttemptEnd) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let (edge, now) = (self.edge, self.edge.now());
        let mut fleet = edge.fleet();
        let route = &self.job.route;
        fleet.note_end(
            now,
            self.target.key,
            self.ticket,
            end,
            route,
            edge.placing(),
        );
    }
}

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        let end = if self.edge.now() >= self.job.deadline {
            AttemptEnd::NoAnswer
        } else if self.answered.load(Ordering::Relaxed) {
            AttemptEnd::LostRace
        } else {
            AttemptEnd::Cancelled
        };
        self.end(end);
    }
}

/// Brings a request to its end and gives its caller the answer.
pub async fn run(edge: Arc<Edge>, job: InboundRequest, mut reply: oneshot::Sender<Reply>) {
    let committed = AtomicBool::new(false);
    let mut trail = Trail::default();
    let answer = {
        let mut work = pin!(serve(&edge, &job, &committed, &mut trail));
        tokio::select! {
            biased;
            answer = &mut work => Some(answer),
            () = reply.closed() => {
                if !job.route.idempotent && committed.load(Ordering::Relaxed) {
                    work.await;
                }
                None
            }
        }
    };
    report(&edge, &job, &trail, answer.as_ref());
    if let Some(answer) = answer {
        // Fails only if the caller left just now.
        let _ = reply.send(answer);
    }
}

async fn serve(
    edge: &Arc<Edge>,
    job: &InboundRequest,
    committed: &AtomicBool,
    trail: &mut Trail,
) -> Reply {
    let answered = AtomicBool::new(false);
    let mut flights = FuturesUnordered::new();
    let mut fallback = None;
    let mut hedge_at: Option<Instant> = None;
    let mut placing = pin!(OptionFuture::from(Some(place(edge, job, Vec::new()))));
    let last = edge.instant(job.last_answer);
    loop {
        let hedge_timer = OptionFuture::from(hedge_at.map(sleep_until));
        tokio::select! {
            biased;
            Some((placed, looks)) = &mut placing => {
                placing.set(OptionFuture::from(None));
                trail.looks += looks;
                match placed {
                    Ok(target) => {
                        committed.store(true, Ordering::Relaxed);
                        let flight = launch(edge, job, target, &answered, trail);
                        hedge_at = hedge_time(job, &flight);
                        flights.push(fly(flight));
                    }
                    Err(_) if !flights.is_empty() => {}
                    Err(cause) => return conclude(edge, job, trail, fallback, cause, "unplaced"),
                }
            }
            Some((mut flight, sent)) = flights.next(), if !flights.is_empty() => {
                let (detail, arrived) = match judge(&mut flight, sent, trail) {
                    Judged::Final(reply) => {
                        answered.store(true, Ordering::Relaxed);
                        return reply;
                    }
                    Judged::Again { detail, arrived, answer } => {
                        fallback = answer.or(fallback);
                        (detail, arrived)
                    }
                };
                drop(flight);
                let again = may_repeat(edge, job, trail, arrived);
                let (id, server) = (&job.out.id, &trail.server);
                log::info!("event=send_ended id={id} server={server} cause={detail} again={again}");
                if again {
                    hedge_at = None;
                    placing.set(OptionFuture::from(Some(place(edge, job, trail.tried.clone()))));
                } else if flights.is_empty() {
                    return conclude(edge, job, trail, fallback, RefusalReason::NoRoom, detail);
                }
            }
            Some(()) = hedge_timer, if flights.len() == 1 => {
                hedge_at = None;
                // A second send must not take the slot of a request that waits.
                let crowded = !edge.fleet().queue(&job.service).line.is_empty();
                if !crowded && may_repeat(edge, job, trail, true) {
                    trail.hedges += 1;
                    let after = edge.now().since(job.arrived).as_micros();
                    let (id, server) = (&job.out.id, &trail.server);
                    log::info!("event=hedged id={id} silent={server} after_us={after}");
                    placing.set(OptionFuture::from(Some(place(edge, job, trail.tried.clone()))));
                }
            }
            () = sleep_until(last) => {
                return conclude(edge, job, trail, fallback, RefusalReason::NoRoom, "timeout");
            }
        }
    }
}

fn launch<'a>(
    edge: &'a Arc<Edge>,
    job: &'a InboundRequest,
    target: Target,
    answered: &'a AtomicBool,
    trail: &mut Trail,
) -> Flight<'a> {
    let now = edge.now();
    let need = PlacementContext { now, ..target.need };
    let mut fleet = edge.fleet();
    let ticket = fleet.note_sent(target.key, &need, edge.placing());
    fleet.queue(&job.service).line.record_sent(now);
    if let Some(server) = fleet.server(target.key) {
        trail.server = server.entry.id.clone();
        trail.near = server.standing.near;
        if let Some((at, room)) = server.standing.report() {
            trail.slowness = room.slowness;
            trail.report_age = now.since(at);
        }
    }
    drop(fleet);
    log::info!(
        "event=placed id={} server={} near={} service={} version={} slowness={:.2} \
         report_age_us={} looks={} aim_left_ms={}",
        job.out.id,
        trail.server,
        trail.near,
        job.service,
        job.version,
        trail.slowness,
        trail.report_age.as_micros(),
        trail.looks,
        need.target_left.as_millis(),
    );
    trail.tried.push(target.key);
    trail.sends += 1;
    trail.runs += 1;
    trail.waited.get_or_insert(now.since(job.arrived));
    Flight {
        edge,
        job,
        ticket,
        sent: now,
        left: job.deadline.since(now),
        target,
        ended: false,
        answered,
    }
}

async fn fly(flight: Flight<'_>) -> (Flight<'_>, AttemptResult) {
    let sent = send(
        flight.edge,
        &flight.target.upstream,
        &flight.job.out,
        flight.left,
    )
    .await;
    (flight, sent)
}

/// Time at which an idempotent request without an answer gets a second server.
fn hedge_time(job: &InboundRequest, flight: &Flight<'_>) -> Option<Instant> {
    if !job.route.idempotent || job.route.max_attempts < 2 {
        return None;
    }
    let need = &flight.target.need;
    let mut fleet = flight.edge.fleet();
    let server = fleet.server(flight.target.key)?;
    let expected = server
        .standing
        .expected_time(need, flight.edge.placing())
        .max(need.processing_time);
    // The second server's answer should still be in time.
    let latest = need
        .target_left
        .saturating_sub(need.processing_time.mul_f32(HEDGE_WORK));
    let patience = latest.clamp(
        expected.mul_f32(HEDGE_AFTER_LEAST),
        expected.mul_f32(HEDGE_AFTER),
    );
    Some(flight.edge.instant(need.now + patience))
}

enum Judged {
    Final(Reply),
    Again {
        detail: &'static str,
        /// The server received the request.
        arrived: bool,
        answer: Option<Reply>,
    },
}

/// What the end of a send means for its request.
fn judge(flight: &mut Flight<'_>, sent: AttemptResult, trail: &mut Trail) -> Judged {
    let idempotent = flight.job.route.idempotent;
    match sent {
        AttemptResult::Buffered(head, body, marks) => {
            let failed = head.status.is_server_error();
            flight.edge.crash_tracker().acquit(&flight.job.out);
            note_room(flight, &marks);
            flight.end(AttemptEnd::Answered { failed });
            let reply = Reply::Buffered(head, body);
            if failed && idempotent {
                return Judged::Again {
                    detail: "server_failed",
                    arrived: true,
                    answer: Some(reply),
                };
            }
            Judged::Final(reply)
        }
        AttemptResult::Streaming(head, body, rest, marks) => {
            note_room(flight, &marks);
            flight.end(AttemptEnd::Answered {
                failed: head.status.is_server_error(),
            });
            Judged::Final(Reply::Streaming(head, body, rest))
        }
        AttemptResult::NotRun(detail, marks) => {
            trail.runs -= 1;
            if let Some(marks) = &marks {
                if marks.misdirected
                    && let Some(server) = flight.edge.fleet().server(flight.target.key)
                {
                    server.moved_until = flight.edge.now() + MOVED_SERVER_PAUSE;
                }
                note_room(flight, marks);
                flight.end(AttemptEnd::Refused);
            } else {
                flight.end(AttemptEnd::NoAnswer);
            }
            Judged::Again {
                detail,
                arrived: marks.is_some(),
                answer: None,
            }
        }
        AttemptResult::Unknown(detail) => {
            if detail == BROKEN {
                let ran = flight.edge.now().since(flight.sent);
                let address = flight.target.upstream.address();
                crash::check(flight.edge, address, &flight.job.out, ran);
            }
            flight.end(AttemptEnd::NoAnswer);
            if idempotent {
                return Judged::Again {
                    detail,
                    arrived: true,
                    answer: None,
                };
            }
            let status = StatusCode::BAD_GATEWAY;
            Judged::Final(Reply::Failed { status, detail })
        }
    }
}

fn note_room(flight: &Flight<'_>, marks: &ResponseFields) {
    if let Some(room) = marks.load {
        let now = flight.edge.now();
        flight
            .edge
            .fleet()
            .note_room(now, flight.target.key, room, None);
    }
}

/// Whether a request may go to one more server.
fn may_repeat(edge: &Edge, job: &InboundRequest, trail: &Trail, arrived: bool) -> bool {
    let runs_left = trail.runs < u32::from(job.route.max_attempts);
    let may_run = trail.runs == 0 || job.route.idempotent && runs_left;
    if !may_run || trail.sends >= MAX_SENDS {
        return false;
    }
    // A send that no server received is no load, so it costs nothing.
    !arrived || edge.fleet().withdraw_retry(&job.service, &edge.platform)
}

fn conclude(
    edge: &Edge,
    job: &InboundRequest,
    trail: &Trail,
    fallback: Option<Reply>,
    cause: RefusalReason,
    detail: &'static str,
) -> Reply {
    if let Some(reply) = fallback {
        return reply;
    }
    if trail.runs == 0 {
        let mut fleet = edge.fleet();
        let work = fleet.work(&job.route);
        return Reply::Refused {
            cause,
            detail,
            retry_after: refusal::retry_after(cause, work, &mut fleet.rng),
        };
    }
    let status = if detail == "timeout" {
        StatusCode::GATEWAY_TIMEOUT
    } else {
        StatusCode::BAD_GATEWAY
    };
    Reply::Failed { status, detail }
}

fn report(edge: &Edge, job: &InboundRequest, trail: &Trail, answer: Option<&Reply>) {
    let took = edge.now().since(job.arrived);
    let (outcome, status, detail, last) = match answer {
        Some(Reply::Buffered(head, _) | Reply::Streaming(head, ..)) => {
            let outcome = if head.status.is_success() {
                "served"
            } else {
                "passed_on"
            };
            (outcome, head.status, "answer", "answer")
        }
        Some(Reply::Refused { cause, detail, .. }) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            ("refused", status, cause.label(), *detail)
        }
        Some(Reply::Failed { status, detail }) => ("failed", *status, *detail, *detail),
        None => ("caller_left", StatusCode::OK, "caller_left", "caller_left"),
    };
    edge.metrics.count_request(&job.service, outcome, detail);
    edge.metrics.observe(&job.service, took);
    let level = match outcome {
        "served" | "caller_left" => log::Level::Info,
        _ => log::Level::Warn,
    };
    log::log!(
        level,
        "event=request id={} route={} version={} service={} server={} near={} outcome={outcome} \
         status={} detail={detail} last={last} sends={} runs={} hedges={} looks={} waited_us={} \
         took_us={} slowness={:.2} report_age_us={}",
        job.out.id,
        job.route.name,
        job.version,
        job.service,
        trail.server,
        trail.near,
        status.as_u16(),
        trail.sends,
        trail.runs,
        trail.hedges,
        trail.looks,
        trail.waited.unwrap_or_default().as_micros(),
        took.as_micros(),
        trail.slowness,
        trail.report_age.as_micros(),
    );
}
