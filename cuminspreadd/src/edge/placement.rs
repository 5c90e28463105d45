//! Chooses a server for one attempt: probes servers, and queues the request until one is good
//! enough.

use std::sync::Arc;
use std::time::Duration;

use cuminspread::coordination::cold_server::MAX_CHECK_AGE;
use cuminspread::coordination::hold_off::{HoldOffCause, SendPermit};
use cuminspread::coordination::placement::{self, LimitedServer, PlacementContext, Progress, Step};
use cuminspread::coordination::refusal::RefusalReason;
use cuminspread::coordination::wait_queue::{QueuedRequest, Ticket, WaitQueue};
use cuminspread::state::Name;
use cuminspread::state::time::Mono;
use cuminspread::transport::upstream::{ConnectionChoice, Upstream};
use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::hedge::suits_hedge;
use super::probe::{ProbeResult, probe};
use super::request::InboundRequest;
use super::state::{Edge, ServerKey, ServerTable};

/// Longest wait for the responses to probes; near servers answer within 2 ms.
const MAX_PROBE_WAIT: Duration = Duration::from_millis(40);
/// Longest wait for further responses to probes after the first.
const MAX_LATER_PROBE_WAIT: Duration = Duration::from_millis(4);
/// A server whose probe has been open for longer than this counts as silent.
const SILENT_AFTER: Duration = Duration::from_millis(15);
/// Time after which a request is refused if all servers of its service are silent.
const NO_SERVER_AFTER: Duration = Duration::from_millis(100);
/// Processing time that most requests don't exceed, as a multiple of the usual one.
const MAX_PROCESSING_FACTOR: f32 = 1.3;
/// Longest expected wait at which a request still queues as in time, as a fraction of the time
/// until its latest start.
const MAX_WAIT_FRACTION: f32 = 0.7;
/// Longest time until a waiting request notices that the daemon stops.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Least time left at which a request is still sent, as a fraction of the usual processing time.
const MIN_PROCESSING_FRACTION: f32 = 0.6;

/// A server that was chosen.
#[derive(Debug)]
pub struct Target {
    /// Key of the server.
    pub key: ServerKey,
    /// Connections to the server.
    pub upstream: Arc<Upstream>,
    /// Inputs of the decision, at its time.
    pub cx: PlacementContext,
}

/// What a server is chosen for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// An attempt that the request needs.
    Attempt,
    /// A second attempt beside one that runs, only if a near server is fast and free now.
    Hedge,
}

/// Chooses a server that isn't in `tried`; also returns the number of probes.
pub async fn place(
    edge: &Arc<Edge>,
    req: &InboundRequest,
    tried: Vec<ServerKey>,
    purpose: Purpose,
) -> (Result<Target, RefusalReason>, u32) {
    let began = edge.now();
    let settings = edge.placement();
    let mut probed: Vec<ServerKey> = Vec::new();
    let mut probe_count = 0;
    let mut position = QueuePosition::new(edge, req);
    loop {
        if purpose == Purpose::Hedge && !edge.servers().queue(&req.service).order.is_empty() {
            return (Err(RefusalReason::NoRoom), probe_count);
        }
        if let Err(reason) = position.wait().await {
            return (Err(reason), probe_count);
        }
        let now = edge.now();
        let candidates = Candidates::new(edge, req, &tried, &mut probed);
        let cx = candidates.cx;
        if probe_count > 0 && !candidates.alive {
            return (Err(candidates.refusal()), probe_count);
        }
        if candidates.is_empty() && probed.is_empty() {
            if purpose == Purpose::Hedge {
                return (Err(candidates.refusal()), probe_count);
            }
            match (candidates.held_off, candidates.next_send) {
                (Some(_), Some(next)) if position.can_wait_until(next) => {
                    position.pause_until(next);
                    continue;
                }
                (Some(_), None) => {
                    // This daemon's parts of the limits are known in a moment.
                    position.pause();
                    continue;
                }
                _ => {}
            }
            if candidates.silent == 0 || now.since(began) > NO_SERVER_AFTER {
                return (Err(candidates.refusal()), probe_count);
            }
        }
        let waited = if candidates.no_near {
            cx.near_wait
        } else {
            now.since(began)
        };
        let progress = Progress {
            near_unprobed: candidates.near.len(),
            far_unprobed: candidates.far.len(),
            waited,
            limited: candidates.limited,
        };
        let step = {
            let servers = edge.servers();
            placement::decide(servers.states(&probed), &cx, progress, settings)
        };
        if purpose == Purpose::Hedge && !suits_hedge(edge, step, &cx, probe_count) {
            return (Err(RefusalReason::NoRoom), probe_count);
        }
        let (from, count) = match step {
            Step::Send(key) => {
                let mut servers = edge.servers();
                // The data centre may have been emptied during the probes.
                if !servers.is_in_emptied(key)
                    && servers.reserve(now, key)
                    && let Some(server) = servers.get_mut(key)
                {
                    let upstream = Arc::clone(&server.upstream);
                    position.leave_as_sent(&mut servers);
                    return (Ok(Target { key, upstream, cx }), probe_count);
                }
                probed.retain(|k| *k != key);
                continue;
            }
            Step::ProbeNear if probed.is_empty() => (candidates.near, settings.first_probes),
            Step::ProbeNear => (candidates.near, settings.next_probes),
            Step::ProbeFar => (candidates.far, settings.next_probes),
            Step::Pause => {
                position.pause();
                probed.clear();
                continue;
            }
        };
        let (keys, allowed) = shortlist(edge, &req.service, &from, &cx, count);
        if cx.load_unknown {
            probed.extend(keys);
            continue;
        }
        if allowed == 0 && purpose == Purpose::Hedge {
            return (Err(RefusalReason::NoRoom), probe_count);
        }
        if allowed == 0 {
            // Until probes are allowed again, responses to other requests report free slots.
            position.pause();
            continue;
        }
        probe_count += allowed as u32;
        probe_servers(edge, &keys[..allowed], &cx).await;
        probed.extend(&keys[..allowed]);
    }
}

/// Picks servers to probe; returns how many of them, from the first, may be probed now.
fn shortlist(
    edge: &Edge,
    service: &Name,
    from: &[ServerKey],
    cx: &PlacementContext,
    count: usize,
) -> (Vec<ServerKey>, usize) {
    let settings = edge.placement();
    let mut servers = edge.servers();
    let mut rng = servers.rng.clone();
    let states = servers.states(from);
    let keys = placement::shortlist(states, cx, settings, count, &mut rng);
    servers.rng = rng;
    if cx.load_unknown {
        return (keys, 0);
    }
    let allowed = servers.take_probes(cx.now, service, keys.len(), &edge.edge_settings);
    (keys, allowed)
}

/// Position of a request in its service's queue; leaves the queue when dropped.
struct QueuePosition<'a> {
    edge: &'a Edge,
    req: &'a InboundRequest,
    queued: QueuedRequest,
    /// Set while the request is in the queue.
    ticket: Option<(Ticket, Arc<Notify>)>,
}

impl<'a> QueuePosition<'a> {
    fn new(edge: &'a Edge, req: &'a InboundRequest) -> Self {
        let time = edge.servers().processing_time(&req.route);
        let queued = QueuedRequest {
            latest_start: req.arrived + req.route.latency_target
                - time.mul_f32(MAX_PROCESSING_FACTOR),
            priority: req.route.priority,
            latency_target: req.route.latency_target,
        };
        Self {
            edge,
            req,
            queued,
            ticket: None,
        }
    }

    /// Waits until the request is the first and may probe servers; fails if that takes too long.
    async fn wait(&mut self) -> Result<(), RefusalReason> {
        loop {
            let now = self.edge.now();
            let (wake_at, waiter) = {
                let mut servers = self.edge.servers();
                let time = servers.processing_time(&self.req.route);
                if !self.edge.may_send(now, time) {
                    return Err(RefusalReason::Stopping);
                }
                let latest_send = self.req.deadline - time.mul_f32(MIN_PROCESSING_FRACTION);
                if now >= latest_send {
                    return Err(RefusalReason::NoRoom);
                }
                let queue = servers.queue(&self.req.service);
                let Some((ticket, waiter)) = &self.ticket else {
                    if !queue.order.must_wait(now, &self.queued) {
                        return Ok(());
                    }
                    let wait = queue.order.expected_wait(now, &self.queued);
                    if wait.is_some_and(|w| now + w > latest_send) {
                        return Err(RefusalReason::NoRoom);
                    }
                    // A request with a longer wait goes behind those in time. If every request
                    // waited until its latest start, half would be late.
                    let slack = self
                        .queued
                        .latest_start
                        .since(now)
                        .mul_f32(MAX_WAIT_FRACTION);
                    if wait.is_some_and(|w| w > slack) {
                        self.queued.latest_start = now - Duration::from_micros(1);
                        if now >= queue.order.give_up_at(&self.queued, latest_send) {
                            log_given_up(self.req, &queue.order, now, latest_send);
                            return Err(RefusalReason::NoRoom);
                        }
                    }
                    self.ticket = Some(queue.push(now, self.queued));
                    log_waiting(self.req, queue.order.len());
                    continue;
                };
                let give_up_at = queue.order.give_up_at(&self.queued, latest_send);
                if now >= give_up_at {
                    log_given_up(self.req, &queue.order, now, latest_send);
                    return Err(RefusalReason::NoRoom);
                }
                let mut wake_at = give_up_at.min(now + STOP_CHECK_INTERVAL);
                if queue.order.head(now) == Some(*ticket) {
                    if now >= queue.probe_at {
                        return Ok(());
                    }
                    wake_at = wake_at.min(queue.probe_at);
                }
                (wake_at, Arc::clone(waiter))
            };
            tokio::select! {
                () = waiter.notified() => {
                    let mut servers = self.edge.servers();
                    // A server has just reported a free slot.
                    servers.queue(&self.req.service).probe_at = Mono::default();
                }
                () = sleep_until(self.edge.instant(wake_at)) => {}
            }
        }
    }

    /// Queues the request, since no server is good enough now; probing continues after a pause.
    fn pause(&mut self) {
        self.pause_until(self.edge.now() + self.edge.placement().pause);
    }

    /// Leaves the queue, since the request is sent.
    fn leave_as_sent(&mut self, servers: &mut ServerTable) {
        if let Some((ticket, _)) = self.ticket.take() {
            let now = self.edge.now();
            let queue = servers.queue(&self.req.service);
            queue.remove_sent(now, ticket, &self.queued);
        }
    }

    /// Whether a request that is sent at `at` is expected to be answered in time. Otherwise the
    /// caller had better ask another daemon.
    fn can_wait_until(&self, at: Mono) -> bool {
        at <= self.queued.latest_start
    }

    /// Queues the request until a server may take it.
    fn pause_until(&mut self, at: Mono) {
        let now = self.edge.now();
        let mut servers = self.edge.servers();
        let queue = servers.queue(&self.req.service);
        queue.probe_at = at;
        if self.ticket.is_none() {
            self.ticket = Some(queue.push(now, self.queued));
            log_waiting(self.req, queue.order.len());
        }
    }
}

fn log_waiting(req: &InboundRequest, waiting: usize) {
    let (id, service) = (&req.outbound.id, &req.service);
    log::info!("event=waits id={id} service={service} waiting={waiting}");
}

/// Logs that a waiting request is refused.
fn log_given_up(req: &InboundRequest, queue: &WaitQueue, now: Mono, latest_send: Mono) {
    let (id, service, waiting) = (&req.outbound.id, &req.service, queue.len());
    log::info!(
        "event=given_up id={id} service={service} waiting={waiting} late_blocked_ms={} left_ms={}",
        queue.late_blocked(now).as_millis(),
        latest_send.since(now).as_millis()
    );
}

impl Drop for QueuePosition<'_> {
    fn drop(&mut self) {
        if let Some((ticket, _)) = self.ticket.take() {
            let now = self.edge.now();
            let mut servers = self.edge.servers();
            let queue = servers.queue(&self.req.service);
            queue.remove(now, ticket, &self.queued);
        }
    }
}

/// Servers that a placement may still probe.
struct Candidates {
    cx: PlacementContext,
    near: Vec<ServerKey>,
    far: Vec<ServerKey>,
    /// A server that names a limit and takes a request now.
    limited: Option<LimitedServer>,
    /// Earliest time at which a server that takes no request now takes one.
    next_send: Option<Mono>,
    /// Why the first server that takes no request now doesn't.
    held_off: Option<HoldOffCause>,
    /// Number of servers whose probe has been open for longer than [`SILENT_AFTER`].
    silent: usize,
    /// No server of the own data centre can take this request.
    no_near: bool,
    /// At least one server has not failed recently.
    alive: bool,
    /// Why there is no server, if that isn't for want of a healthy one.
    none_because: Option<RefusalReason>,
}

impl Candidates {
    /// Groups the servers of the request's service; those with fresh load reports count as probed.
    fn new(
        edge: &Edge,
        req: &InboundRequest,
        tried: &[ServerKey],
        probed: &mut Vec<ServerKey>,
    ) -> Self {
        let now = edge.now();
        let mut servers = edge.servers();
        let cx = PlacementContext {
            now,
            processing_time: servers.processing_time(&req.route),
            target_left: (req.arrived + req.route.latency_target).since(now),
            time_left: req.deadline.since(now),
            load_unknown: servers.is_load_unknown(&req.service),
            load_slowdown: servers.load_slowdown(now, &req.service),
            contended: servers.queue(&req.service).order.len() > 1,
            near_wait: servers.round_trips.near_wait(edge.placement()),
        };
        let mut keys = servers.available(now, &req.service);
        let none_because = servers.restrict_to_regions(edge, req, &mut keys);
        keys.retain(|k| !tried.contains(k));
        let mut candidates = Self {
            cx,
            near: Vec::new(),
            far: Vec::new(),
            limited: None,
            next_send: None,
            held_off: None,
            silent: 0,
            no_near: true,
            alive: false,
            none_because,
        };
        for key in keys {
            let Some(server) = servers.get_mut(key) else {
                continue;
            };
            let near = server.state.near;
            let alive = !server.state.is_avoided(now);
            candidates.alive |= alive;
            match (server.hold_off.permit(now), &server.hold_off.limit) {
                (SendPermit::From(at, cause), _) => {
                    probed.retain(|k| *k != key);
                    candidates.held_off = candidates.held_off.or(Some(cause));
                    let earliest = [candidates.next_send, at].into_iter().flatten().min();
                    candidates.next_send = earliest;
                    continue;
                }
                (SendPermit::Now, Some(limit)) => {
                    probed.retain(|k| *k != key);
                    if alive && candidates.limited.is_none_or(|l| !l.needs_confirmation) {
                        candidates.limited = Some(LimitedServer {
                            index: key,
                            needs_confirmation: limit.needs_confirmation(now),
                        });
                    }
                    continue;
                }
                (SendPermit::Now, None) => {}
            }
            candidates.no_near &= !near || !alive;
            // Servers that report no load aren't probed before requests.
            let cold = &server.hold_off.cold;
            let is_checked = |max_age| cx.load_unknown || cold.is_checked(now, max_age);
            if !is_checked(MAX_CHECK_AGE) {
                probed.retain(|k| *k != key);
            }
            if probed.contains(&key) {
                continue;
            }
            let fresh_age = edge.placement().fresh_age;
            if is_checked(fresh_age) && server.state.is_fresh(now, fresh_age) {
                probed.push(key);
            } else if server
                .probed_since
                .is_some_and(|t| now.since(t) > SILENT_AFTER)
            {
                candidates.silent += 1;
            } else if near {
                candidates.near.push(key);
            } else {
                candidates.far.push(key);
            }
        }
        candidates
    }
}

impl Candidates {
    /// Whether no server can be probed or takes a request without a probe.
    fn is_empty(&self) -> bool {
        self.near.is_empty() && self.far.is_empty() && self.limited.is_none()
    }

    /// Why the request is refused if none of the servers takes it.
    fn refusal(&self) -> RefusalReason {
        match self.held_off {
            Some(HoldOffCause::Pause) => {
                let left = self.next_send.unwrap_or_default().since(self.cx.now);
                RefusalReason::Paused { left }
            }
            Some(HoldOffCause::Limit) => RefusalReason::Limited,
            Some(HoldOffCause::Cold) => RefusalReason::Cold,
            None => self.none_because.unwrap_or(RefusalReason::NoServer),
        }
    }
}

/// Probes servers in parallel; returns when a response is as good as any can be, shortly after the
/// first response, or when all have answered.
async fn probe_servers(edge: &Arc<Edge>, keys: &[ServerKey], cx: &PlacementContext) {
    let tasks = keys
        .iter()
        .map(|k| tokio::spawn(probe(Arc::clone(edge), *k, ConnectionChoice::Any)));
    let mut tasks: FuturesUnordered<_> = tasks.collect();
    let mut until = Instant::now() + MAX_PROBE_WAIT;
    // Later responses are still recorded, since each probe is a task of its own.
    while let Ok(Some(result)) = timeout_at(until, tasks.next()).await {
        if !matches!(result, Ok(ProbeResult::Answered)) {
            continue;
        }
        until = until.min(Instant::now() + MAX_LATER_PROBE_WAIT);
        let cx = PlacementContext {
            now: edge.now(),
            ..*cx
        };
        let servers = edge.servers();
        let probed = servers.states(keys).map(|(_, s)| s);
        if placement::is_settled(probed, &cx, edge.placement()) {
            return;
        }
    }
}
