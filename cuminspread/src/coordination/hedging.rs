//! Whether and when a request that may be repeated gets a second server while the first still runs
//! it, and how many requests of a service do.
//!
//! Load pattern: at any moment three servers in ten take five times as long for about 150 ms, a
//! different set each time; a few never answer; three runs in a hundred take seven times as long.
//! A server that was fast when it got a request has often slowed down halfway.
//!
//! Two signs call for a hedge. A request is *slowed* if its server reports that it is slow now and
//! a second server is expected to be done earlier; that is checked a few times while the work that
//! is left makes a second run worth it. A request is *overdue* if it takes longer than nearly all
//! requests do, in multiples of their usual times; this covers servers that report nothing.
//!
//! The limit is a fraction of the service's requests. Each daemon earns its hedges with its own
//! requests, so the sum over the fleet needs no messages. Fractions add up from a random start, so
//! that daemons with few requests earn their hedges at different times, and a hedge that isn't used
//! soon is lost: if all daemons could keep one each, a disturbance that hits all of them would
//! exceed the limit at once.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::placement::{PlacementContext, PlacementSettings, ServerState};
use crate::state::Name;
use crate::state::routing::Route;
use crate::state::time::Mono;

/// Fraction of the limit that requests earn; the rest covers the hedges kept from before a window.
const EARNED_FRACTION: f32 = 0.7;
/// Time for which an earned hedge is kept.
const HEDGE_LIFETIME: Duration = Duration::from_secs(4);
/// Time without hedges after a server refused a request of the service.
const REFUSAL_PAUSE: Duration = Duration::from_secs(1);
/// Checks of one attempt's server.
const MAX_CHECKS: u32 = 3;
/// Time between checks, as a fraction of the usual processing time.
const CHECK_INTERVAL_FRACTION: f32 = 0.4;
/// Shortest time between checks; a report is new for about as long.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(15);
/// Age up to which the result of a check is used.
const MAX_CHECK_AGE: Duration = Duration::from_millis(12);
/// Slowness from which a server counts as slow.
const MIN_SLOWNESS: f32 = 2.0;
/// Mean time for which a slow server stays slow after a check.
const SLOW_SPELL_LEFT: Duration = Duration::from_millis(75);
/// Least work that an unanswered request has left, as a fraction of the usual processing time.
const MIN_WORK_FRACTION: f32 = 0.15;
/// Time at a fast server as a multiple of the usual one; it may slow down, too.
const FAST_SERVER_FACTOR: f32 = 1.2;
/// Least time that a hedge must gain, as a fraction of the usual processing time.
const MIN_GAIN_FRACTION: f32 = 0.2;
/// Longest expected time at a second server, as a multiple of the usual one.
const MAX_SECOND_FACTOR: f32 = 1.6;
/// First estimate of the time that few requests exceed, as a multiple of the usual one.
const INITIAL_TAIL_RATIO: f32 = 2.5;
/// Range of that estimate.
const TAIL_RATIO_RANGE: (f32, f32) = (1.5, 8.0);
/// Step of that estimate for one response.
const TAIL_RATIO_STEP: f32 = 0.05;

/// Why a request is hedged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeCause {
    /// Its server has slowed down.
    Slowed,
    /// It takes longer than nearly all requests do.
    Overdue,
}

impl HedgeCause {
    /// Value of `cause` in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Slowed => "slowed",
            Self::Overdue => "overdue",
        }
    }
}

/// Why a request isn't hedged now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeDenial {
    /// Requests of the service wait for a server.
    Waiting,
    /// A server has just refused a request of the service.
    Refusals,
    /// The limit on hedges is used up.
    Limit,
    /// The retry budget or the route's attempts are used up.
    Retries,
    /// No other server is fast and free.
    NoServer,
}

impl HedgeDenial {
    /// Value of `result` in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Waiting => "denied_waiting",
            Self::Refusals => "denied_refusals",
            Self::Limit => "denied_limit",
            Self::Retries => "denied_retries",
            Self::NoServer => "denied_no_server",
        }
    }
}

/// What to do next about an attempt without a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeStep {
    /// Send the request to a second server.
    Hedge(HedgeCause),
    /// Ask the server for its load at this time.
    CheckAt(Mono),
    /// Decide again at this time.
    WaitUntil(Mono),
    /// No second server can answer before the deadline.
    Never,
}

/// An attempt without a response, as far as this daemon can tell.
#[derive(Debug, Clone, Copy)]
pub struct AttemptProgress {
    sent: Mono,
    deadline: Mono,
    /// Usual processing time of the request.
    usual: Duration,
    /// Work done until `updated`, as the time that it takes at the usual speed.
    done: Duration,
    updated: Mono,
    /// Slowness at that time.
    slowness: f32,
    checks: u32,
    /// Time of the last check with a result.
    checked: Option<Mono>,
}

impl AttemptProgress {
    /// An attempt that was just sent to a server that reported `slowness`.
    pub fn new(cx: &PlacementContext, slowness: f32) -> Self {
        Self {
            sent: cx.now,
            deadline: cx.now + cx.time_left,
            usual: cx.processing_time,
            done: Duration::ZERO,
            updated: cx.now,
            slowness: slowness.max(0.1),
            checks: 0,
            checked: None,
        }
    }

    /// Records the end of a check; `slowness` is `None` if the server didn't answer it.
    pub fn record_check(&mut self, now: Mono, slowness: Option<f32>) {
        self.checks += 1;
        let Some(slowness) = slowness else {
            return;
        };
        let slowness = slowness.max(0.1);
        // The server may have changed its speed at any time since the last check.
        let speed = f32::midpoint(1.0 / self.slowness, 1.0 / slowness);
        self.done += now.since(self.updated).mul_f32(speed);
        self.updated = now;
        self.slowness = slowness;
        self.checked = Some(now);
    }

    /// Next step; `tail_ratio` is the time that few requests exceed, as a multiple of the usual one,
    /// and `checkable` tells whether the server reports its load.
    pub fn next_step(&self, now: Mono, tail_ratio: f32, checkable: bool) -> HedgeStep {
        let second = self.usual.mul_f32(FAST_SERVER_FACTOR);
        if now + second > self.deadline {
            return HedgeStep::Never;
        }
        let overdue_at = self.sent + self.usual.mul_f32(tail_ratio);
        if now >= overdue_at {
            return HedgeStep::Hedge(HedgeCause::Overdue);
        }
        let is_new = |at| now.since(at) <= MAX_CHECK_AGE;
        if self.checked.is_some_and(is_new) && self.is_gain(now) {
            return HedgeStep::Hedge(HedgeCause::Slowed);
        }
        let interval = check_interval(self.usual);
        let check_at = self.sent + interval * (self.checks + 1);
        if !checkable || self.checks >= MAX_CHECKS || check_at >= overdue_at {
            return HedgeStep::WaitUntil(overdue_at);
        }
        HedgeStep::CheckAt(check_at.max(now))
    }

    /// Whether a second server is expected to be done earlier by enough time.
    fn is_gain(&self, now: Mono) -> bool {
        if self.slowness < MIN_SLOWNESS {
            return false;
        }
        let done = self.done + now.since(self.updated).mul_f32(1.0 / self.slowness);
        let least = self.usual.mul_f32(MIN_WORK_FRACTION);
        let work_left = self.usual.saturating_sub(done).max(least);
        let left = work_left
            .mul_f32(self.slowness)
            .min(SLOW_SPELL_LEFT + work_left);
        let needed = FAST_SERVER_FACTOR + MIN_GAIN_FRACTION;
        left >= self.usual.mul_f32(needed)
    }
}

/// Whether requests of a route may be hedged: only if they may run more than once.
pub fn may_hedge(route: &Route) -> bool {
    route.idempotent && route.max_attempts >= 2
}

/// Time between two checks of an attempt, and between two tries to hedge it.
pub fn check_interval(usual: Duration) -> Duration {
    usual
        .mul_f32(CHECK_INTERVAL_FRACTION)
        .max(MIN_CHECK_INTERVAL)
}

/// Whether a hedge may go to a server: it is fast, has a free slot, and doesn't get nearly full.
pub fn is_fast_and_free(
    server: &ServerState,
    cx: &PlacementContext,
    settings: &PlacementSettings,
) -> bool {
    let longest = cx.processing_time.mul_f32(MAX_SECOND_FACTOR);
    server.has_free_slot(cx.now, settings) && server.expected_time(cx, settings) <= longest
}

/// Hedges of one service that this daemon may send.
#[derive(Debug, Clone)]
struct ServiceBudget {
    /// Fraction of a hedge that requests have earned, below 1.
    earned: f32,
    /// When the hedges that may be sent were earned, oldest first.
    hedges: VecDeque<Mono>,
    refused_at: Option<Mono>,
}

impl ServiceBudget {
    fn expire(&mut self, now: Mono) {
        while let Some(at) = self.hedges.front()
            && now.since(*at) > HEDGE_LIFETIME
        {
            self.hedges.pop_front();
        }
    }
}

/// Hedges that this daemon may send, and how long its requests take.
#[derive(Debug, Clone)]
pub struct Hedging {
    ratio: f32,
    services: HashMap<Name, ServiceBudget>,
    /// Time that few requests exceed, as a multiple of their usual processing times.
    tail_ratio: f32,
}

impl Hedging {
    /// Hedges of at most `ratio` of the requests of each service.
    pub fn new(ratio: f32) -> Self {
        Self {
            ratio,
            services: HashMap::new(),
            tail_ratio: INITIAL_TAIL_RATIO,
        }
    }

    /// Records the arrival of a request.
    ///
    /// `start` is a random number from 0 to 1, at which the fractions of a new service begin.
    pub fn record_request(&mut self, now: Mono, service: &Name, start: f32) {
        let budget = self.services.entry(service.clone());
        let budget = budget.or_insert_with(|| ServiceBudget {
            earned: start,
            hedges: VecDeque::new(),
            refused_at: None,
        });
        budget.expire(now);
        budget.earned += self.ratio * EARNED_FRACTION;
        if budget.earned >= 1.0 {
            budget.earned -= 1.0;
            budget.hedges.push_back(now);
        }
    }

    /// Records that a server refused a request.
    pub fn record_refusal(&mut self, now: Mono, service: &Name) {
        if let Some(budget) = self.services.get_mut(service) {
            budget.refused_at = Some(now);
        }
    }

    /// Records the time of a response, or that a request without one has taken that long.
    pub fn record_time(&mut self, time: Duration, usual: Duration, answered: bool) {
        let exceeds = time > usual.mul_f32(self.tail_ratio);
        if !exceeds && !answered {
            // Whether it would have taken longer isn't known.
            return;
        }
        let sample = if exceeds { 1.0 } else { 0.0 };
        let step = TAIL_RATIO_STEP * (sample - self.ratio * EARNED_FRACTION);
        let (low, high) = TAIL_RATIO_RANGE;
        self.tail_ratio = (self.tail_ratio + step).clamp(low, high);
    }

    /// Time that few requests exceed, as a multiple of their usual processing times.
    pub fn tail_ratio(&self) -> f32 {
        self.tail_ratio
    }

    /// Whether a request of the service may be hedged now, while `waiting` others wait.
    ///
    /// # Errors
    ///
    /// Fails with the reason if none may be.
    pub fn permit(&mut self, now: Mono, service: &str, waiting: usize) -> Result<(), HedgeDenial> {
        if waiting > 0 {
            return Err(HedgeDenial::Waiting);
        }
        let budget = self.services.get_mut(service).ok_or(HedgeDenial::Limit)?;
        let is_recent = |at| now.since(at) < REFUSAL_PAUSE;
        if budget.refused_at.is_some_and(is_recent) {
            return Err(HedgeDenial::Refusals);
        }
        budget.expire(now);
        if budget.hedges.is_empty() {
            return Err(HedgeDenial::Limit);
        }
        Ok(())
    }

    /// Takes one hedge out of the budget of a service; returns when it was earned.
    pub fn withdraw(&mut self, service: &str) -> Option<Mono> {
        self.services.get_mut(service)?.hedges.pop_front()
    }

    /// Returns a hedge that was not sent, with the time at which it was earned.
    pub fn refund(&mut self, service: &str, earned: Mono) {
        if let Some(budget) = self.services.get_mut(service) {
            budget.hedges.push_front(earned);
        }
    }
}
