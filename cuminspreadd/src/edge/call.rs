//! One request, from its arrival to its caller's answer.
//!
//! Each request runs in a task of its own. When its caller leaves, it ends at once, unless it may run
//! only once and is already at a server: breaking that off could leave half an order.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use cuminspread::coordination::placing::{self, End, Need, Progress, Step};
use cuminspread::coordination::refusal::{self, Cause};
use cuminspread::coordination::waiting::{Claim, Ticket};
use cuminspread::state::Name;
use cuminspread::state::routing::Route;
use cuminspread::state::time::Mono;
use cuminspread::transport::upstream::Upstream;
use cuminspread::transport::upstream::exchange::Exchange;
use cuminspread_platform::headers::Marks;
use futures_util::StreamExt as _;
use futures_util::future::OptionFuture;
use futures_util::stream::FuturesUnordered;
use http::StatusCode;
use http::response::Parts;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep_until, timeout_at};

use super::exchange::{Outgoing, Sent, send};
use super::look::{Looked, look};
use super::state::{Edge, MOVED, Running, ServerKey};

/// Longest wait for the servers that were asked; near ones answer within 2 ms.
const ANSWERS: Duration = Duration::from_millis(40);
/// Longest wait for the others after the first answer.
const OTHER_ANSWERS: Duration = Duration::from_millis(4);
/// A question that is open for longer than this shows a server that is silent.
const OPEN_QUESTION: Duration = Duration::from_millis(15);
/// Time after which a service whose servers are all silent counts as having none.
const SILENCE: Duration = Duration::from_millis(100);
/// Sends of one request that may end with a proof that it has not run.
const MAX_SENDS: u32 = 5;
/// Time by which an answer may follow the end of the time that a server was given.
const LAST_ANSWER: Duration = Duration::from_millis(30);
/// Silence, as a multiple of the expected time, after which a request may get a second server.
const HEDGE_AFTER: f32 = 1.6;
/// Least such silence: one answer in six takes longer than this.
const HEDGE_AFTER_LEAST: f32 = 1.35;
/// Multiple of the usual work time that is kept for the second server.
const HEDGE_WORK: f32 = 1.2;
/// Multiple of the usual work time that most work takes at most.
const AIM_WORK: f32 = 1.3;
/// Part of the time until its latest start that a request that begins to wait may expect to wait and
/// still count as in time.
const LINE_PART: f32 = 0.7;
/// Longest time between two looks at whether the process stops.
const STOP_CHECK: Duration = Duration::from_millis(200);
/// Part of the usual work time that must be left for a send to make sense.
const LEAST_WORK: f32 = 0.6;

/// A request that was read whole.
#[derive(Debug)]
pub struct Job {
    /// The request.
    pub out: Outgoing,
    /// Its route.
    pub route: Arc<Route>,
    /// Version of the configuration that gave the route.
    pub version: u64,
    /// Service that serves it.
    pub service: Name,
    /// Time of its arrival.
    pub arrived: Mono,
    /// Time by which its caller gets a final answer.
    pub deadline: Mono,
    /// Counts the request.
    pub running: Running,
}

/// What a caller gets.
#[derive(Debug)]
pub enum Reply {
    /// A server's whole answer.
    Whole(Parts, Bytes),
    /// A server's answer that is still arriving.
    Large(Parts, Bytes, Exchange),
    /// The request has not run, and won't.
    Refused {
        /// Why.
        cause: Cause,
        /// What happened last.
        detail: &'static str,
        /// When there may be room.
        retry_after: Duration,
    },
    /// The request may have run.
    Failed {
        /// Status.
        status: StatusCode,
        /// What happened last.
        detail: &'static str,
    },
}

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

/// A server that was chosen.
struct Target {
    key: ServerKey,
    upstream: Arc<Upstream>,
    need: Need,
}

/// A send that has begun; its end is noted when it is dropped, unless that was done before.
struct Flight<'a> {
    edge: &'a Edge,
    job: &'a Job,
    target: Target,
    ticket: u64,
    left: Duration,
    ended: bool,
    /// The request has its answer.
    answered: &'a AtomicBool,
}

impl Flight<'_> {
    fn end(&mut self, end: End) {
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
            End::Silent
        } else if self.answered.load(Ordering::Relaxed) {
            End::Outrun
        } else {
            End::Dropped
        };
        self.end(end);
    }
}

/// Brings a request to its end and gives its caller the answer.
pub async fn run(edge: Arc<Edge>, job: Job, mut reply: oneshot::Sender<Reply>) {
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

async fn serve(edge: &Arc<Edge>, job: &Job, committed: &AtomicBool, trail: &mut Trail) -> Reply {
    let answered = AtomicBool::new(false);
    let mut flights = FuturesUnordered::new();
    let mut fallback = None;
    let mut hedge_at: Option<Instant> = None;
    let mut placing = pin!(OptionFuture::from(Some(place(edge, job, Vec::new()))));
    let last = edge.instant(job.deadline + LAST_ANSWER);
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
                    return conclude(edge, job, trail, fallback, Cause::NoRoom, detail);
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
                return conclude(edge, job, trail, fallback, Cause::NoRoom, "timeout");
            }
        }
    }
}

fn launch<'a>(
    edge: &'a Edge,
    job: &'a Job,
    target: Target,
    answered: &'a AtomicBool,
    trail: &mut Trail,
) -> Flight<'a> {
    let now = edge.now();
    let need = Need { now, ..target.need };
    let mut fleet = edge.fleet();
    let ticket = fleet.note_sent(target.key, &need, edge.placing());
    fleet.queue(&job.service).line.note_sent(now);
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
        need.aim_left.as_millis(),
    );
    trail.tried.push(target.key);
    trail.sends += 1;
    trail.runs += 1;
    trail.waited.get_or_insert(now.since(job.arrived));
    Flight {
        edge,
        job,
        ticket,
        left: job.deadline.since(now),
        target,
        ended: false,
        answered,
    }
}

async fn fly(flight: Flight<'_>) -> (Flight<'_>, Sent) {
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
fn hedge_time(job: &Job, flight: &Flight<'_>) -> Option<Instant> {
    if !job.route.idempotent || job.route.max_attempts < 2 {
        return None;
    }
    let need = &flight.target.need;
    let mut fleet = flight.edge.fleet();
    let server = fleet.server(flight.target.key)?;
    let expected = server
        .standing
        .expected_time(need, flight.edge.placing())
        .max(need.work);
    // The second server's answer should still be in time.
    let latest = need.aim_left.saturating_sub(need.work.mul_f32(HEDGE_WORK));
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
fn judge(flight: &mut Flight<'_>, sent: Sent, trail: &mut Trail) -> Judged {
    let idempotent = flight.job.route.idempotent;
    match sent {
        Sent::Whole(head, body, marks) => {
            let failed = head.status.is_server_error();
            note_room(flight, &marks);
            flight.end(End::Answered { failed });
            let reply = Reply::Whole(head, body);
            if failed && idempotent {
                return Judged::Again {
                    detail: "server_failed",
                    arrived: true,
                    answer: Some(reply),
                };
            }
            Judged::Final(reply)
        }
        Sent::Large(head, body, rest, marks) => {
            note_room(flight, &marks);
            flight.end(End::Answered {
                failed: head.status.is_server_error(),
            });
            Judged::Final(Reply::Large(head, body, rest))
        }
        Sent::NotRun(detail, marks) => {
            trail.runs -= 1;
            if let Some(marks) = &marks {
                if marks.misdirected
                    && let Some(server) = flight.edge.fleet().server(flight.target.key)
                {
                    server.moved_until = flight.edge.now() + MOVED;
                }
                note_room(flight, marks);
                flight.end(End::Refused);
            } else {
                flight.end(End::Silent);
            }
            Judged::Again {
                detail,
                arrived: marks.is_some(),
                answer: None,
            }
        }
        Sent::Unknown(detail) => {
            flight.end(End::Silent);
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

fn note_room(flight: &Flight<'_>, marks: &Marks) {
    if let Some(room) = marks.room {
        let now = flight.edge.now();
        flight
            .edge
            .fleet()
            .note_room(now, flight.target.key, room, None);
    }
}

/// Whether a request may go to one more server.
fn may_repeat(edge: &Edge, job: &Job, trail: &Trail, arrived: bool) -> bool {
    let runs_left = trail.runs < u32::from(job.route.max_attempts);
    let may_run = trail.runs == 0 || job.route.idempotent && runs_left;
    if !may_run || trail.sends >= MAX_SENDS {
        return false;
    }
    // A send that no server received is no load, so it costs nothing.
    !arrived || edge.fleet().spend_retry(&job.service, &edge.platform)
}

fn conclude(
    edge: &Edge,
    job: &Job,
    trail: &Trail,
    fallback: Option<Reply>,
    cause: Cause,
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

/// Chooses a server; also gives the number of servers that were asked.
async fn place(edge: &Arc<Edge>, job: &Job, tried: Vec<ServerKey>) -> (Result<Target, Cause>, u32) {
    let began = edge.now();
    let settings = edge.placing();
    let mut asked: Vec<ServerKey> = Vec::new();
    let mut looks = 0;
    let mut turn = Turn::new(edge, job);
    loop {
        if let Err(cause) = turn.wait().await {
            return (Err(cause), looks);
        }
        let now = edge.now();
        let left = Left::new(edge, job, &tried, &mut asked);
        let need = left.need;
        if looks > 0 && !left.alive {
            return (Err(Cause::NoServer), looks);
        }
        let nobody = left.near.is_empty() && left.far.is_empty() && asked.is_empty();
        if nobody && (left.silent == 0 || now.since(began) > SILENCE) {
            return (Err(Cause::NoServer), looks);
        }
        let waited = if left.no_near {
            settings.near_wait
        } else {
            now.since(began)
        };
        let progress = Progress {
            near_left: left.near.len(),
            far_left: left.far.len(),
            waited,
        };
        let step = {
            let fleet = edge.fleet();
            placing::decide(fleet.standings(&asked), &need, progress, settings)
        };
        let (from, count) = match step {
            Step::Send(key) => {
                if let Some(server) = edge.fleet().server(key) {
                    let upstream = Arc::clone(&server.upstream);
                    return (
                        Ok(Target {
                            key,
                            upstream,
                            need,
                        }),
                        looks,
                    );
                }
                asked.retain(|k| *k != key);
                continue;
            }
            Step::LookNear if asked.is_empty() => (left.near, settings.first_look),
            Step::LookNear => (left.near, settings.next_look),
            Step::LookFar => (left.far, settings.next_look),
            Step::Pause => {
                turn.pause();
                asked.clear();
                continue;
            }
        };
        let (keys, allowed) = shortlist(edge, &from, &need, count);
        if need.blind {
            asked.extend(keys);
            continue;
        }
        if allowed == 0 {
            // Until there are questions again, answers to other requests tell of room.
            turn.pause();
            continue;
        }
        looks += allowed as u32;
        look_at(edge, &keys[..allowed], &need).await;
        asked.extend(&keys[..allowed]);
    }
}

/// Picks servers to ask; gives how many of them, from the first, may be asked now.
fn shortlist(
    edge: &Edge,
    from: &[ServerKey],
    need: &Need,
    count: usize,
) -> (Vec<ServerKey>, usize) {
    let settings = edge.placing();
    let mut fleet = edge.fleet();
    let mut rng = fleet.rng.clone();
    let standings = fleet.standings(from);
    let keys = placing::shortlist(standings, need, settings, count, &mut rng);
    fleet.rng = rng;
    if need.blind {
        return (keys, 0);
    }
    let allowed = fleet.take_looks(need.now, keys.len(), &edge.platform);
    (keys, allowed)
}

/// Place of a request among those that wait for the same service.
struct Turn<'a> {
    edge: &'a Edge,
    job: &'a Job,
    claim: Claim,
    waiting: Option<(Ticket, Arc<Notify>)>,
}

impl<'a> Turn<'a> {
    fn new(edge: &'a Edge, job: &'a Job) -> Self {
        let work = edge.fleet().work(&job.route);
        let claim = Claim {
            latest: job.arrived + job.route.aim - work.mul_f32(AIM_WORK),
            priority: job.route.priority,
            aim: job.route.aim,
        };
        Self {
            edge,
            job,
            claim,
            waiting: None,
        }
    }

    /// Waits until no other request goes first; fails if that takes too long.
    async fn wait(&mut self) -> Result<(), Cause> {
        loop {
            let now = self.edge.now();
            let (wake_at, waiter) = {
                let mut fleet = self.edge.fleet();
                if self.edge.hands_back() {
                    return Err(Cause::Stopping);
                }
                let work = fleet.work(&self.job.route);
                let last = self.job.deadline - work.mul_f32(LEAST_WORK);
                if now >= last {
                    return Err(Cause::NoRoom);
                }
                let queue = fleet.queue(&self.job.service);
                let Some((ticket, waiter)) = &self.waiting else {
                    if !queue.line.is_behind(now, &self.claim) {
                        return Ok(());
                    }
                    let wait = queue.line.expected_wait(now, &self.claim);
                    if wait.is_some_and(|w| now + w > last) {
                        return Err(Cause::NoRoom);
                    }
                    // If all waited until their latest start, half would be late in the end.
                    let slack = self.claim.latest.since(now).mul_f32(LINE_PART);
                    if wait.is_some_and(|w| w > slack) {
                        self.claim.latest = now - Duration::from_micros(1);
                    }
                    self.waiting = Some(queue.join(now, self.claim));
                    note_waiting(self.job, queue.line.len());
                    continue;
                };
                // A planned stop is noticed in time.
                let mut wake_at = last.min(now + STOP_CHECK);
                if queue.line.head(now) == Some(*ticket) {
                    if now >= queue.look_at {
                        return Ok(());
                    }
                    wake_at = wake_at.min(queue.look_at);
                }
                (wake_at, Arc::clone(waiter))
            };
            tokio::select! {
                () = waiter.notified() => {
                    let mut fleet = self.edge.fleet();
                    // A server has just reported room.
                    fleet.queue(&self.job.service).look_at = Mono::default();
                }
                () = sleep_until(self.edge.instant(wake_at)) => {}
            }
        }
    }

    /// No server is good enough now; the request waits, and asks again after a pause.
    fn pause(&mut self) {
        let now = self.edge.now();
        let mut fleet = self.edge.fleet();
        let queue = fleet.queue(&self.job.service);
        queue.look_at = now + self.edge.placing().pause;
        if self.waiting.is_none() {
            self.waiting = Some(queue.join(now, self.claim));
            note_waiting(self.job, queue.line.len());
        }
    }
}

fn note_waiting(job: &Job, waiting: usize) {
    let (id, service) = (&job.out.id, &job.service);
    log::info!("event=waits id={id} service={service} waiting={waiting}");
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        if let Some((ticket, _)) = self.waiting.take() {
            let now = self.edge.now();
            let mut fleet = self.edge.fleet();
            let queue = fleet.queue(&self.job.service);
            queue.leave(now, ticket, &self.claim);
        }
    }
}

/// What a placement may still ask.
struct Left {
    need: Need,
    near: Vec<ServerKey>,
    far: Vec<ServerKey>,
    /// Servers that have been asked and don't answer.
    silent: usize,
    /// No server of the data centre takes this request.
    no_near: bool,
    /// Some server hasn't failed lately.
    alive: bool,
}

impl Left {
    /// Sorts the servers of a service; those with fresh reports count as asked.
    fn new(edge: &Edge, job: &Job, tried: &[ServerKey], asked: &mut Vec<ServerKey>) -> Self {
        let now = edge.now();
        let mut fleet = edge.fleet();
        let need = Need {
            now,
            work: fleet.work(&job.route),
            aim_left: (job.arrived + job.route.aim).since(now),
            time_left: job.deadline.since(now),
            blind: fleet.is_blind(&job.service),
            crowding: fleet.crowding(&job.service),
            contended: fleet.queue(&job.service).line.len() > 1,
        };
        let mut keys = fleet.usable(now, &job.service);
        keys.retain(|k| !tried.contains(k));
        let mut left = Self {
            need,
            near: Vec::new(),
            far: Vec::new(),
            silent: 0,
            no_near: true,
            alive: false,
        };
        for key in keys {
            let Some(server) = fleet.server(key) else {
                continue;
            };
            let near = server.standing.near;
            let alive = !server.standing.is_avoided(now);
            left.alive |= alive;
            left.no_near &= !near || !alive;
            if asked.contains(&key) {
                continue;
            }
            if server.standing.is_fresh(now, edge.placing()) {
                asked.push(key);
            } else if server.asked.is_some_and(|t| now.since(t) > OPEN_QUESTION) {
                left.silent += 1;
            } else if near {
                left.near.push(key);
            } else {
                left.far.push(key);
            }
        }
        left
    }
}

/// Asks servers at once; returns when one is as good as any, soon after the first answer, or when
/// all have answered.
async fn look_at(edge: &Arc<Edge>, keys: &[ServerKey], need: &Need) {
    let tasks = keys
        .iter()
        .map(|k| tokio::spawn(look(Arc::clone(edge), *k)));
    let mut tasks: FuturesUnordered<_> = tasks.collect();
    let mut until = Instant::now() + ANSWERS;
    // Those that are later are noted when they answer.
    while let Ok(Some(looked)) = timeout_at(until, tasks.next()).await {
        if !matches!(looked, Ok(Looked::Answered)) {
            continue;
        }
        until = until.min(Instant::now() + OTHER_ANSWERS);
        let need = Need {
            now: edge.now(),
            ..*need
        };
        let fleet = edge.fleet();
        let asked = fleet.standings(keys).map(|(_, s)| s);
        if placing::is_settled(asked, &need, edge.placing()) {
            return;
        }
    }
}

fn report(edge: &Edge, job: &Job, trail: &Trail, answer: Option<&Reply>) {
    let took = edge.now().since(job.arrived);
    let (outcome, status, detail) = match answer {
        Some(Reply::Whole(head, _) | Reply::Large(head, ..)) => {
            let outcome = if head.status.is_success() {
                "served"
            } else {
                "passed_on"
            };
            (outcome, head.status, "answer")
        }
        Some(Reply::Refused { cause, .. }) => {
            ("refused", StatusCode::SERVICE_UNAVAILABLE, cause.label())
        }
        Some(Reply::Failed { status, detail }) => ("failed", *status, *detail),
        None => ("caller_left", StatusCode::OK, "caller_left"),
    };
    edge.metrics.count_request(&job.service, outcome, detail);
    edge.metrics.observe(&job.service, took);
    let level = match outcome {
        "served" | "caller_left" => log::Level::Info,
        _ => log::Level::Warn,
    };
    log::log!(
        level,
        "event=request id={} route={} version={} service={} server={} near={} outcome={outcome} status={} \
         detail={detail} sends={} runs={} hedges={} looks={} waited_us={} took_us={} slowness={:.2} \
         report_age_us={}",
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
