//! One daemon's view of a server, and the score of sending it a request.

use std::time::Duration;

use super::load_slowdown::{LoadSlowdown, useful_slots};
use super::settings::PlacementSettings;
use crate::state::time::Mono;

/// Load that a server reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerLoad {
    /// Requests being processed.
    pub running: u32,
    /// Requests queued at the server for a slot.
    pub waiting: u32,
    /// Requests that the server can process at once.
    pub slots: u32,
    /// Current processing time as a multiple of the usual one.
    pub slowness: f32,
}

impl ServerLoad {
    /// Running and waiting requests; saturates, since a server may report any number.
    pub fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }

    /// Whether one more request would be processed at once.
    pub fn has_free_slot(&self) -> bool {
        self.requests() < self.slots
    }
}

/// A request in flight at a server.
#[derive(Debug, Clone, Copy)]
struct InFlight {
    /// Id within the daemon, given by the caller of [`ServerState::record_sent`].
    id: u64,
    sent: Mono,
    expected: Duration,
    /// A slot was free when it was sent, so the response time shows the server's speed.
    had_free_slot: bool,
    /// The server became nearly full with this request.
    nearly_full: bool,
    /// The server reported its load right before.
    had_exact_load: bool,
}

/// Weighted mean that decays to a baseline.
#[derive(Debug, Clone, Copy)]
struct DecayingMean {
    value: f32,
    baseline: f32,
    updated: Mono,
}

impl DecayingMean {
    fn new(baseline: f32) -> Self {
        Self {
            value: baseline,
            baseline,
            updated: Mono::default(),
        }
    }

    fn read(&self, now: Mono, half_life: Duration) -> f32 {
        let halvings = now.since(self.updated).as_secs_f32() / half_life.as_secs_f32();
        self.baseline + (self.value - self.baseline) * (-halvings).exp2()
    }

    fn record(&mut self, now: Mono, half_life: Duration, sample: f32, weight: f32) {
        let value = self.read(now, half_life);
        self.value = value + (sample - value) * weight;
        self.updated = now;
    }
}

/// State of one server as seen by this daemon.
#[derive(Debug, Clone)]
pub struct ServerState {
    /// In this daemon's data centre.
    pub near: bool,
    /// Slots in the server's registration, at least 1.
    pub slots: u32,
    /// One of the near servers that this daemon probes first, so that it reuses their connections;
    /// each daemon has another subset.
    pub in_subset: bool,
    /// Time until which the server is slow because it has just started.
    pub warm_until: Mono,
    /// Last reported load, and when it came.
    load: Option<(Mono, ServerLoad)>,
    /// Requests sent since the last report.
    sent_since_report: u32,
    in_flight: Vec<InFlight>,
    latency_ratio: DecayingMean,
    error_rate: DecayingMean,
    consecutive_failures: u32,
    avoid_until: Mono,
    unhealthy: bool,
}

/// Inputs of a score that don't depend on the server.
#[derive(Debug, Clone, Copy)]
pub struct PlacementContext {
    /// Time of the decision.
    pub now: Mono,
    /// Usual processing time of the request.
    pub processing_time: Duration,
    /// Time left until the latency target.
    pub target_left: Duration,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Servers of this service don't report their load.
    pub load_unknown: bool,
    /// Time at a nearly full server of this service as a multiple of the usual one.
    pub load_slowdown: f32,
    /// Other requests wait in the queue of this service.
    pub contended: bool,
    /// Longest wait for a near server before far servers are probed.
    pub near_wait: Duration,
}

/// How an attempt at a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The server answered.
    Answered {
        /// The status means that the server failed.
        failed: bool,
    },
    /// The head of a response that is passed on while it arrives; [`ServerState::record_body`] tells how
    /// it ended.
    Begun,
    /// The server answered that it did not run the request.
    Refused,
    /// No response came: the connection failed or the time ran out.
    NoAnswer,
    /// Another server answered the same request first.
    LostRace,
    /// The daemon cancelled the attempt for a reason unrelated to the server.
    Cancelled,
}

impl PlacementContext {
    /// Chance of a response within the latency target if `expected` seconds are expected.
    ///
    /// Processing times scatter: if the expected time equals the target, a third of the responses
    /// are in time; at two thirds of the target nearly all are.
    fn in_time(&self, expected: f32) -> f32 {
        ((self.target_left.as_secs_f32() / expected - 0.8) / 0.7).clamp(0.0, 1.0)
    }

    /// Score from which a server is chosen without further probes: a fraction of the best score in
    /// reach.
    pub(super) fn accept_score(&self, settings: &PlacementSettings) -> f32 {
        let in_time = self.in_time(self.processing_time.as_secs_f32().max(0.001));
        settings.accept_fraction * (settings.late_value + (1.0 - settings.late_value) * in_time)
    }
}

impl ServerState {
    /// State of a server that this daemon has not used yet.
    pub fn new(near: bool, slots: u32, warm_until: Mono) -> Self {
        Self {
            near,
            slots: slots.max(1),
            in_subset: false,
            warm_until,
            load: None,
            sent_since_report: 0,
            in_flight: Vec::new(),
            latency_ratio: DecayingMean::new(1.0),
            error_rate: DecayingMean::new(0.0),
            consecutive_failures: 0,
            avoid_until: Mono::default(),
            unhealthy: false,
        }
    }

    /// Requests of this daemon in flight at the server.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Last reported load and when it came; `None` before the first report and after a failure.
    pub fn report(&self) -> Option<(Mono, ServerLoad)> {
        self.load
    }

    /// Whether the last report is so new that a probe would add nothing.
    pub fn is_fresh(&self, now: Mono, max_age: Duration) -> bool {
        self.load.is_some_and(|(at, _)| now.since(at) <= max_age)
    }

    /// Whether its load is known, as far as the servers of its service report it.
    pub fn is_reported(&self, cx: &PlacementContext, settings: &PlacementSettings) -> bool {
        cx.load_unknown || self.recent_load(cx.now, settings).is_some()
    }

    /// Last reported load, unless it is too old to be used.
    fn recent_load(&self, now: Mono, settings: &PlacementSettings) -> Option<ServerLoad> {
        let (at, load) = self.load?;
        (now.since(at) < settings.max_report_age).then_some(load)
    }

    /// Failures since the last response.
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// Measured response time as a multiple of the expected one, overdue requests included.
    pub fn latency_ratio(&self, now: Mono, settings: &PlacementSettings) -> f32 {
        let overdue = self.in_flight.iter().map(|f| {
            let expected = f.expected.as_secs_f32().max(0.001);
            now.since(f.sent).as_secs_f32() / expected
        });
        // Up to twice the expected time is within the usual scatter.
        let overdue = overdue.fold(0.0, f32::max) - 1.0;
        self.latency_ratio
            .read(now, settings.half_life)
            .max(overdue)
    }

    /// Fraction of its attempts that failed, from 0 to 1; decays with the half-life.
    pub fn error_rate(&self, now: Mono, settings: &PlacementSettings) -> f32 {
        self.error_rate.read(now, settings.half_life)
    }

    /// Whether the server failed recently, which lowers its score.
    pub fn is_avoided(&self, now: Mono) -> bool {
        now < self.avoid_until
    }

    /// Records a load report; `healthy` is `None` if the report has no health status.
    pub fn record_load(&mut self, now: Mono, load: ServerLoad, healthy: Option<bool>) {
        self.load = Some((now, load));
        self.sent_since_report = 0;
        if let Some(healthy) = healthy {
            self.unhealthy = !healthy;
        }
    }

    /// Records that the server can't be reached or sent no response, and avoids it for a while.
    pub fn record_failure(&mut self, now: Mono, settings: &PlacementSettings) {
        let avoid_for = settings.first_avoid * (1 << self.consecutive_failures.min(6));
        self.consecutive_failures += 1;
        self.avoid_until = now + avoid_for.min(settings.max_avoid);
        self.error_rate.record(now, settings.half_life, 1.0, 0.3);
        self.load = None;
    }

    /// Records how a response ended after [`AttemptEnd::Begun`], unless its caller has left.
    ///
    /// Load pattern: servers whose health checks and heads are sound break large responses off, fall silent
    /// in them, or never end them.
    pub fn record_body(&mut self, now: Mono, complete: bool, settings: &PlacementSettings) {
        if complete {
            self.record_answer(now, false, settings);
        } else {
            self.record_failure(now, settings);
        }
    }

    fn record_answer(&mut self, now: Mono, failed: bool, settings: &PlacementSettings) {
        self.consecutive_failures = 0;
        self.avoid_until = Mono::default();
        let error = if failed { 1.0 } else { 0.0 };
        self.error_rate.record(now, settings.half_life, error, 0.2);
    }

    /// Stops avoiding the server for failures that were not its own.
    pub fn forgive_failures(&mut self) {
        self.consecutive_failures = 0;
        self.avoid_until = Mono::default();
        self.error_rate = DecayingMean::new(0.0);
    }

    /// Records that a request was sent; the same `id` goes to [`ServerState::record_end`].
    pub fn record_sent(&mut self, id: u64, cx: &PlacementContext, settings: &PlacementSettings) {
        let expected = cx
            .processing_time
            .mul_f32(self.slowness(cx.now, settings).max(0.1));
        self.in_flight.push(InFlight {
            id,
            sent: cx.now,
            expected,
            had_free_slot: self.free_slots(cx.now, settings) > 0,
            nearly_full: self.is_nearly_full(cx.now, settings),
            had_exact_load: self.is_fresh(cx.now, settings.exact_age),
        });
        self.sent_since_report += 1;
    }

    /// Records the end of a request.
    ///
    /// Returns the usual processing time that the end implies; `None` if it implies none, or if the
    /// id is unknown.
    pub fn record_end(
        &mut self,
        now: Mono,
        id: u64,
        end: AttemptEnd,
        load_slowdown: &mut LoadSlowdown,
        settings: &PlacementSettings,
    ) -> Option<Duration> {
        let i = self.in_flight.iter().position(|f| f.id == id)?;
        let request = self.in_flight.swap_remove(i);
        let took = now.since(request.sent);
        let half_life = settings.half_life;
        match end {
            AttemptEnd::Answered { .. } | AttemptEnd::Begun => {
                let failed = end == AttemptEnd::Answered { failed: true };
                if end != AttemptEnd::Begun {
                    self.record_answer(now, failed, settings);
                }
                if !request.had_free_slot || failed {
                    return None;
                }
                let mut ratio = took.as_secs_f32() / request.expected.as_secs_f32().max(0.001);
                if request.had_exact_load {
                    load_slowdown.record(now, ratio, request.nearly_full);
                }
                if request.nearly_full {
                    // The slowdown of all nearly full servers says nothing about this server.
                    ratio /= load_slowdown.factor(now);
                }
                self.latency_ratio
                    .record(now, half_life, ratio.clamp(0.3, 10.0), 0.3);
                let latency_ratio = self.latency_ratio.read(now, half_life).max(1.0);
                (!request.nearly_full).then(|| took.mul_f32(1.0 / latency_ratio))
            }
            AttemptEnd::Refused => {
                self.error_rate.record(now, half_life, 0.5, 0.2);
                None
            }
            AttemptEnd::NoAnswer => {
                let ratio = took.as_secs_f32() / request.expected.as_secs_f32().max(0.001);
                self.latency_ratio
                    .record(now, half_life, ratio.clamp(1.0, 10.0), 0.5);
                self.record_failure(now, settings);
                None
            }
            AttemptEnd::LostRace => {
                // The server may be slow or dead, so it ranks behind other servers for a while.
                let ratio = took.as_secs_f32() / request.expected.as_secs_f32().max(0.001);
                let ratio = ratio.clamp(settings.lost_race_ratio, 10.0);
                self.latency_ratio.record(now, half_life, ratio, 0.5);
                None
            }
            AttemptEnd::Cancelled => {
                let ratio = took.as_secs_f32() / request.expected.as_secs_f32().max(0.001);
                if request.had_free_slot && ratio > 1.0 {
                    self.latency_ratio
                        .record(now, half_life, ratio.min(10.0), 0.3);
                }
                None
            }
        }
    }

    /// Score of sending a request to the server; at most 1, negative if costs outweigh the gain.
    ///
    /// The chance of a response in time, scaled by the server's health, less the costs of distance,
    /// load and response time.
    pub fn score(&self, cx: &PlacementContext, settings: &PlacementSettings) -> f32 {
        let expected_s = self.expected_s(cx, settings);
        let in_time = cx.in_time(expected_s);
        // While other requests wait, a late request must not occupy a slow server's slot for long.
        let too_slow =
            cx.contended && self.slowness(cx.now, settings) > settings.max_contended_slowness;
        let late_value = if !too_slow && expected_s < cx.time_left.as_secs_f32() {
            settings.late_value
        } else {
            0.0
        };
        // Without a fresh report the server may be slow or full.
        let reported = cx.load_unknown || self.is_fresh(cx.now, settings.fresh_age);
        if cx.contended && !reported {
            return -1.0;
        }
        // Several daemons may choose a server at the same moment, and one whose queue is full may
        // drop a request without an answer.
        if !cx.load_unknown && self.free_slots(cx.now, settings) < 0 {
            return -1.0;
        }
        // One more request would take more throughput than it gives.
        let useful = useful_slots(self.slots, cx.load_slowdown, settings);
        if !cx.load_unknown
            && useful < self.slots
            && self.free_slots(cx.now, settings) <= i64::from(self.slots - useful)
        {
            return -1.0;
        }
        let in_time = if reported {
            in_time
        } else {
            in_time * settings.unreported_confidence
        };
        let mut health = 1.0 - self.error_rate(cx.now, settings).clamp(0.0, 1.0);
        if self.unhealthy {
            health *= 0.5;
        }
        if self.is_avoided(cx.now) {
            health *= 0.2;
        }
        if self.free_slots(cx.now, settings) <= 0 {
            // A request queued at a server can't be sent elsewhere any more.
            health *= settings.full_factor;
        }
        // A late response is worth little, so the distance costs less, too.
        let distance = if self.near {
            0.0
        } else {
            settings.far_cost * in_time.max(0.2)
        };
        let mut load_cost = 0.1 * self.utilisation(cx.now, settings);
        if self.is_nearly_full(cx.now, settings) {
            // The response may still be in time, but the other requests at that server get slower.
            load_cost += settings.nearly_full_cost * (cx.load_slowdown - 1.0);
        }
        // Among servers that all answer in time, the fastest has the best score.
        let target_used = expected_s / cx.target_left.as_secs_f32().max(0.001);
        let latency_cost =
            settings.latency_cost * target_used.min(1.0) * in_time.max(settings.late_value);
        (late_value + (1.0 - settings.late_value) * in_time) * health
            - distance
            - load_cost
            - latency_cost
    }

    /// Expected time from sending the request to the response.
    pub fn expected_time(&self, cx: &PlacementContext, settings: &PlacementSettings) -> Duration {
        Duration::from_secs_f32(self.expected_s(cx, settings))
    }

    /// Expected time from sending the request to the response, in seconds.
    fn expected_s(&self, cx: &PlacementContext, settings: &PlacementSettings) -> f32 {
        let seconds = cx.processing_time.as_secs_f32() * self.slowness(cx.now, settings);
        let seconds = seconds * self.latency_ratio(cx.now, settings).max(0.7);
        let seconds = if self.is_nearly_full(cx.now, settings) {
            seconds * cx.load_slowdown
        } else {
            seconds
        };
        let free = self.free_slots(cx.now, settings);
        let rounds_waited = if free > 0 {
            0.0
        } else {
            (1 - free) as f32 / self.slots as f32
        };
        (seconds * (1.0 + rounds_waited)).max(0.001)
    }

    /// Processing time as a multiple of the usual one, from the last report.
    fn slowness(&self, now: Mono, settings: &PlacementSettings) -> f32 {
        let cold = if now < self.warm_until {
            settings.cold_factor
        } else {
            1.0
        };
        // A server that was slow a moment ago is usually still slow.
        let recent = self.recent_load(now, settings);
        recent.map_or(cold, |load| load.slowness * cold)
    }

    /// Free slots; negative if requests wait at the server.
    fn free_slots(&self, now: Mono, settings: &PlacementSettings) -> i64 {
        let by_own_count = i64::from(self.slots) - self.in_flight.len() as i64;
        let recent = self.recent_load(now, settings);
        recent.map_or(by_own_count, |load| {
            let used = load.requests().saturating_add(self.sent_since_report);
            by_own_count.min(i64::from(load.slots) - i64::from(used))
        })
    }

    /// Whether the server has a free slot, as far as is known.
    pub fn has_free_slot(&self, now: Mono, settings: &PlacementSettings) -> bool {
        self.free_slots(now, settings) > 0
    }

    /// Whether one more request makes the server nearly full.
    fn is_nearly_full(&self, now: Mono, settings: &PlacementSettings) -> bool {
        let used_fraction = self.utilisation(now, settings) + 1.0 / self.slots as f32;
        used_fraction > settings.nearly_full_fraction
    }

    /// Fraction of the slots in use, from 0 to 1.
    fn utilisation(&self, now: Mono, settings: &PlacementSettings) -> f32 {
        let free = self.free_slots(now, settings).max(0) as f32;
        1.0 - (free / self.slots as f32).min(1.0)
    }
}
