//! Chooses a server for one send: asks servers, and waits in line where none is good enough.

use std::sync::Arc;
use std::time::Duration;

use cuminspread::coordination::placement::{self, PlacementContext, Progress, Step};
use cuminspread::coordination::refusal::RefusalReason;
use cuminspread::coordination::wait_queue::{QueuedRequest, Ticket};
use cuminspread::state::time::Mono;
use cuminspread::transport::upstream::Upstream;
use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::probe::{ProbeResult, look};
use super::request::InboundRequest;
use super::state::{Edge, ServerKey};

/// Longest wait for the servers that were asked; near ones answer within 2 ms.
const ANSWERS: Duration = Duration::from_millis(40);
/// Longest wait for the others after the first answer.
const OTHER_ANSWERS: Duration = Duration::from_millis(4);
/// A question that is open for longer than this shows a server that is silent.
const OPEN_QUESTION: Duration = Duration::from_millis(15);
/// Time after which a service whose servers are all silent counts as having none.
const SILENCE: Duration = Duration::from_millis(100);
/// Multiple of the usual work time that most work takes at most.
const AIM_WORK: f32 = 1.3;
/// Part of the time until its latest start that a request that begins to wait may expect to wait and
/// still count as in time.
const LINE_PART: f32 = 0.7;
/// Longest time between two looks at whether the process stops.
const STOP_CHECK: Duration = Duration::from_millis(200);
/// Part of the usual work time that must be left for a send to make sense.
const LEAST_WORK: f32 = 0.6;

/// A server that was chosen.
#[derive(Debug)]
pub struct Target {
    /// Server.
    pub key: ServerKey,
    /// Connections to it.
    pub upstream: Arc<Upstream>,
    /// What the request needed at the time.
    pub need: PlacementContext,
}

/// Chooses a server; also gives the number of servers that were asked.
pub async fn place(
    edge: &Arc<Edge>,
    job: &InboundRequest,
    tried: Vec<ServerKey>,
) -> (Result<Target, RefusalReason>, u32) {
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
            return (Err(RefusalReason::NoServer), looks);
        }
        let nobody = left.near.is_empty() && left.far.is_empty() && asked.is_empty();
        if nobody && (left.silent == 0 || now.since(began) > SILENCE) {
            return (Err(RefusalReason::NoServer), looks);
        }
        let waited = if left.no_near {
            settings.near_wait
        } else {
            now.since(began)
        };
        let progress = Progress {
            near_unprobed: left.near.len(),
            far_unprobed: left.far.len(),
            waited,
        };
        let step = {
            let fleet = edge.fleet();
            placement::decide(fleet.states(&asked), &need, progress, settings)
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
            Step::ProbeNear if asked.is_empty() => (left.near, settings.first_probes),
            Step::ProbeNear => (left.near, settings.next_probes),
            Step::ProbeFar => (left.far, settings.next_probes),
            Step::Pause => {
                turn.pause();
                asked.clear();
                continue;
            }
        };
        let (keys, allowed) = shortlist(edge, &from, &need, count);
        if need.load_unknown {
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
    need: &PlacementContext,
    count: usize,
) -> (Vec<ServerKey>, usize) {
    let settings = edge.placing();
    let mut fleet = edge.fleet();
    let mut rng = fleet.rng.clone();
    let standings = fleet.states(from);
    let keys = placement::shortlist(standings, need, settings, count, &mut rng);
    fleet.rng = rng;
    if need.load_unknown {
        return (keys, 0);
    }
    let allowed = fleet.take_probes(need.now, keys.len(), &edge.platform);
    (keys, allowed)
}

/// Place of a request among those that wait for the same service.
struct Turn<'a> {
    edge: &'a Edge,
    job: &'a InboundRequest,
    claim: QueuedRequest,
    waiting: Option<(Ticket, Arc<Notify>)>,
}

impl<'a> Turn<'a> {
    fn new(edge: &'a Edge, job: &'a InboundRequest) -> Self {
        let work = edge.fleet().work(&job.route);
        let claim = QueuedRequest {
            latest_start: job.arrived + job.route.latency_target - work.mul_f32(AIM_WORK),
            priority: job.route.priority,
            latency_target: job.route.latency_target,
        };
        Self {
            edge,
            job,
            claim,
            waiting: None,
        }
    }

    /// Waits until no other request goes first; fails if that takes too long.
    async fn wait(&mut self) -> Result<(), RefusalReason> {
        loop {
            let now = self.edge.now();
            let (wake_at, waiter) = {
                let mut fleet = self.edge.fleet();
                if self.edge.rejects_waiting() {
                    return Err(RefusalReason::Stopping);
                }
                let work = fleet.work(&self.job.route);
                let last = self.job.deadline - work.mul_f32(LEAST_WORK);
                if now >= last {
                    return Err(RefusalReason::NoRoom);
                }
                let queue = fleet.queue(&self.job.service);
                let Some((ticket, waiter)) = &self.waiting else {
                    if !queue.line.must_wait(now, &self.claim) {
                        return Ok(());
                    }
                    let wait = queue.line.expected_wait(now, &self.claim);
                    if wait.is_some_and(|w| now + w > last) {
                        return Err(RefusalReason::NoRoom);
                    }
                    // If all waited until their latest start, half would be late in the end.
                    let slack = self.claim.latest_start.since(now).mul_f32(LINE_PART);
                    if wait.is_some_and(|w| w > slack) {
                        self.claim.latest_start = now - Duration::from_micros(1);
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

fn note_waiting(job: &InboundRequest, waiting: usize) {
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
    need: PlacementContext,
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
    fn new(
        edge: &Edge,
        job: &InboundRequest,
        tried: &[ServerKey],
        asked: &mut Vec<ServerKey>,
    ) -> Self {
        let now = edge.now();
        let mut fleet = edge.fleet();
        let need = PlacementContext {
            now,
            processing_time: fleet.work(&job.route),
            target_left: (job.arrived + job.route.latency_target).since(now),
            time_left: job.deadline.since(now),
            load_unknown: fleet.is_load_unknown(&job.service),
            load_slowdown: fleet.crowding(&job.service),
            contended: fleet.queue(&job.service).line.len() > 1,
        };
        let mut keys = fleet.available(now, &job.service);
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
async fn look_at(edge: &Arc<Edge>, keys: &[ServerKey], need: &PlacementContext) {
    let tasks = keys
        .iter()
        .map(|k| tokio::spawn(look(Arc::clone(edge), *k)));
    let mut tasks: FuturesUnordered<_> = tasks.collect();
    let mut until = Instant::now() + ANSWERS;
    // Those that are later are noted when they answer.
    while let Ok(Some(looked)) = timeout_at(until, tasks.next()).await {
        if !matches!(looked, Ok(ProbeResult::Answered)) {
            continue;
        }
        until = until.min(Instant::now() + OTHER_ANSWERS);
        let need = PlacementContext {
            now: edge.now(),
            ..*need
        };
        let fleet = edge.fleet();
        let asked = fleet.states(keys).map(|(_, s)| s);
        if placement::is_settled(asked, &need, edge.placing()) {
            return;
        }
    }
}
