//! What a daemon believes of one server, and the value of sending it a request.

use std::time::Duration;

use super::load_slowdown::LoadSlowdown;
use super::settings::PlacementSettings;
use crate::state::time::Mono;

/// What a server says of its load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Slots.
    pub slots: u32,
    /// How long work takes now, as a multiple of the usual time.
    pub slowness: f32,
}

impl ServerLoad {
    /// Requests that it has; a server may say anything.
    pub fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// A request that a server has.
#[derive(Debug, Clone, Copy)]
struct Flight {
    ticket: u64,
    sent: Mono,
    expected: Duration,
    /// The server had a free slot, so the time tells its speed.
    direct: bool,
    /// With this request the server was nearly full.
    crowded: bool,
}

/// A belief that fades.
#[derive(Debug, Clone, Copy)]
struct Fading {
    value: f32,
    rest: f32,
    at: Mono,
}

impl Fading {
    fn new(rest: f32) -> Self {
        Self {
            value: rest,
            rest,
            at: Mono::default(),
        }
    }

    fn read(&self, now: Mono, half_life: Duration) -> f32 {
        let halvings = now.since(self.at).as_secs_f32() / half_life.as_secs_f32();
        self.rest + (self.value - self.rest) * (-halvings).exp2()
    }

    fn note(&mut self, now: Mono, half_life: Duration, sample: f32, weight: f32) {
        let value = self.read(now, half_life);
        self.value = value + (sample - value) * weight;
        self.at = now;
    }
}

/// What this daemon believes of one server.
#[derive(Debug, Clone)]
pub struct ServerState {
    /// In the own data centre.
    pub near: bool,
    /// Slots that it registered.
    pub slots: u32,
    /// It is one of the near servers that this daemon asks first, so that connections are used
    /// again; each daemon has its own.
    pub in_subset: bool,
    /// Until then it is slow from its start.
    pub warm_until: Mono,
    room: Option<(Mono, ServerLoad)>,
    /// Sent since the last report.
    unreported: u32,
    flights: Vec<Flight>,
    lag: Fading,
    errors: Fading,
    strikes: u32,
    avoid_until: Mono,
    ill: bool,
}

/// What a request needs.
#[derive(Debug, Clone, Copy)]
pub struct PlacementContext {
    /// Time of the decision.
    pub now: Mono,
    /// Usual time of the work.
    pub processing_time: Duration,
    /// Time until the aim.
    pub target_left: Duration,
    /// Time until the answer is useless.
    pub time_left: Duration,
    /// Servers of this service don't tell their load.
    pub load_unknown: bool,
    /// How much longer work takes at a nearly full server of this service, as a multiple.
    pub load_slowdown: f32,
    /// Other requests wait for a server of this service.
    pub contended: bool,
}

/// How a request at a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// With an answer; `failed` if the server says that it failed.
    Answered {
        /// A status of failure.
        failed: bool,
    },
    /// The server says that it did not run it.
    Refused,
    /// Without an answer.
    NoAnswer,
    /// Another server answered the same request first.
    LostRace,
    /// The daemon gave it up for a reason that isn't the server's.
    Cancelled,
}

impl PlacementContext {
    /// Chance of an answer within the aim if the work takes `expected`.
    ///
    /// Work times scatter: at the aim itself a third is in time, at two thirds of it nearly all.
    fn in_time(&self, expected: f32) -> f32 {
        ((self.target_left.as_secs_f32() / expected - 0.8) / 0.7).clamp(0.0, 1.0)
    }

    /// Score from which a server is taken without asking more: a part of what is still in reach.
    pub(super) fn good(&self, settings: &PlacementSettings) -> f32 {
        let in_time = self.in_time(self.processing_time.as_secs_f32().max(0.001));
        settings.accept_fraction * (settings.late_value + (1.0 - settings.late_value) * in_time)
    }
}

impl ServerState {
    /// Server without a history.
    pub fn new(near: bool, slots: u32, warm_until: Mono) -> Self {
        Self {
            near,
            slots: slots.max(1),
            in_subset: false,
            warm_until,
            room: None,
            unreported: 0,
            flights: Vec::new(),
            lag: Fading::new(1.0),
            errors: Fading::new(0.0),
            strikes: 0,
            avoid_until: Mono::default(),
            ill: false,
        }
    }

    /// Requests of this daemon that it has.
    pub fn in_flight(&self) -> usize {
        self.flights.len()
    }

    /// Last report and its time.
    pub fn report(&self) -> Option<(Mono, ServerLoad)> {
        self.room
    }

    /// Whether its last report is as good as one that is asked for now.
    pub fn is_fresh(&self, now: Mono, settings: &PlacementSettings) -> bool {
        self.room
            .is_some_and(|(at, _)| now.since(at) <= settings.fresh_age)
    }

    /// Failures in a row.
    pub fn consecutive_failures(&self) -> u32 {
        self.strikes
    }

    /// How long its work takes against what it says.
    pub fn latency_ratio(&self, now: Mono, settings: &PlacementSettings) -> f32 {
        let overdue = self.flights.iter().map(|f| {
            let expected = f.expected.as_secs_f32().max(0.001);
            now.since(f.sent).as_secs_f32() / expected
        });
        // A request that takes twice its time is no sign yet.
        let overdue = overdue.fold(0.0, f32::max) - 1.0;
        self.lag.read(now, settings.half_life).max(overdue)
    }

    /// Part of its answers that were failures.
    pub fn error_rate(&self, now: Mono, settings: &PlacementSettings) -> f32 {
        self.errors.read(now, settings.half_life)
    }

    /// It failed lately and is only used if nothing else is there.
    pub fn is_avoided(&self, now: Mono) -> bool {
        now < self.avoid_until
    }

    /// It reported its load; `healthy` if it also says that it is well.
    pub fn record_load(&mut self, now: Mono, room: ServerLoad, healthy: Option<bool>) {
        self.room = Some((now, room));
        self.unreported = 0;
        if let Some(healthy) = healthy {
            self.ill = !healthy;
        }
    }

    /// It can't be reached, or broke off.
    pub fn record_failure(&mut self, now: Mono, settings: &PlacementSettings) {
        let span = settings.first_avoid * (1 << self.strikes.min(6));
        self.strikes += 1;
        self.avoid_until = now + span.min(settings.max_avoid);
        self.errors.note(now, settings.half_life, 1.0, 0.3);
        self.room = None;
    }

    /// A request goes to it; returns a ticket for [`ServerState::record_end`].
    pub fn record_sent(
        &mut self,
        ticket: u64,
        need: &PlacementContext,
        settings: &PlacementSettings,
    ) {
        let expected = need
            .processing_time
            .mul_f32(self.slowness(need.now, settings).max(0.1));
        self.flights.push(Flight {
            ticket,
            sent: need.now,
            expected,
            direct: self.free(need.now, settings) > 0,
            crowded: self.is_crowded(need.now, settings),
        });
        self.unreported += 1;
    }

    /// A request that went to it has ended; gives its usual work time if the end tells that.
    pub fn record_end(
        &mut self,
        now: Mono,
        ticket: u64,
        end: AttemptEnd,
        crowding: &mut LoadSlowdown,
        settings: &PlacementSettings,
    ) -> Option<Duration> {
        let i = self.flights.iter().position(|f| f.ticket == ticket)?;
        let flight = self.flights.swap_remove(i);
        let took = now.since(flight.sent);
        let half_life = settings.half_life;
        match end {
            AttemptEnd::Answered { failed } => {
                self.strikes = 0;
                self.avoid_until = Mono::default();
                let error = if failed { 1.0 } else { 0.0 };
                self.errors.note(now, half_life, error, 0.2);
                if !flight.direct || failed {
                    return None;
                }
                let mut ratio = took.as_secs_f32() / flight.expected.as_secs_f32().max(0.001);
                crowding.record(ratio, flight.crowded);
                if flight.crowded {
                    // What all nearly full servers share isn't this one's fault.
                    ratio /= crowding.factor();
                }
                self.lag.note(now, half_life, ratio.clamp(0.3, 10.0), 0.3);
                let lag = self.lag.read(now, half_life).max(1.0);
                (!flight.crowded).then(|| took.mul_f32(1.0 / lag))
            }
            AttemptEnd::Refused => {
                self.errors.note(now, half_life, 0.5, 0.2);
                None
            }
            AttemptEnd::NoAnswer => {
                let ratio = took.as_secs_f32() / flight.expected.as_secs_f32().max(0.001);
                self.lag.note(now, half_life, ratio.clamp(1.0, 10.0), 0.5);
                self.record_failure(now, settings);
                None
            }
            AttemptEnd::LostRace => {
                // It may be slow or dead; servers that are neither go first for a while.
                let ratio = took.as_secs_f32() / flight.expected.as_secs_f32().max(0.001);
                let ratio = ratio.clamp(settings.lost_race_ratio, 10.0);
                self.lag.note(now, half_life, ratio, 0.5);
                None
            }
            AttemptEnd::Cancelled => {
                let ratio = took.as_secs_f32() / flight.expected.as_secs_f32().max(0.001);
                if flight.direct && ratio > 1.0 {
                    self.lag.note(now, half_life, ratio.min(10.0), 0.3);
                }
                None
            }
        }
    }

    /// Value of sending it a request: chance of an answer in time, less the cost of distance.
    pub fn score(&self, need: &PlacementContext, settings: &PlacementSettings) -> f32 {
        let total = self.expected(need, settings);
        let in_time = need.in_time(total);
        // While others wait, a late request doesn't hold a slot for long.
        let too_slow =
            need.contended && self.slowness(need.now, settings) > settings.max_contended_slowness;
        let at_all = if !too_slow && total < need.time_left.as_secs_f32() {
            settings.late_value
        } else {
            0.0
        };
        // Without a fresh report the server may be as slow as any, and as full.
        let reported = need.load_unknown || self.is_fresh(need.now, settings);
        if need.contended && !reported {
            return -1.0;
        }
        let in_time = if reported {
            in_time
        } else {
            in_time * settings.unreported_confidence
        };
        let mut sound = 1.0 - self.error_rate(need.now, settings).clamp(0.0, 1.0);
        if self.ill {
            sound *= 0.5;
        }
        if self.is_avoided(need.now) {
            sound *= 0.2;
        }
        if self.free(need.now, settings) <= 0 {
            // What waits at a server can't be sent elsewhere any more.
            sound *= settings.full_factor;
        }
        // An answer that is late anyway is worth little, and so is its way.
        let distance = if self.near {
            0.0
        } else {
            settings.far_cost * in_time.max(0.2)
        };
        let mut crowd = 0.1 * self.crowd(need.now, settings);
        if self.is_crowded(need.now, settings) {
            // The answer may still be in time, but others at that server get slower too.
            crowd += settings.nearly_full_cost * (need.load_slowdown - 1.0);
        }
        // Of servers that are all in time the faster one goes first.
        let slow = total / need.target_left.as_secs_f32().max(0.001);
        let slow = settings.latency_cost * slow.min(1.0) * in_time.max(settings.late_value);
        (at_all + (1.0 - settings.late_value) * in_time) * sound - distance - crowd - slow
    }

    /// Time until an answer.
    pub fn expected_time(&self, need: &PlacementContext, settings: &PlacementSettings) -> Duration {
        Duration::from_secs_f32(self.expected(need, settings))
    }

    /// Time until an answer, in seconds.
    fn expected(&self, need: &PlacementContext, settings: &PlacementSettings) -> f32 {
        let work = need.processing_time.as_secs_f32() * self.slowness(need.now, settings);
        let work = work * self.latency_ratio(need.now, settings).max(0.7);
        let work = if self.is_crowded(need.now, settings) {
            work * need.load_slowdown
        } else {
            work
        };
        let free = self.free(need.now, settings);
        let waits = if free > 0 {
            0.0
        } else {
            (1 - free) as f32 / self.slots as f32
        };
        (work * (1.0 + waits)).max(0.001)
    }

    /// How long work takes, as a multiple of the usual.
    fn slowness(&self, now: Mono, settings: &PlacementSettings) -> f32 {
        let cold = if now < self.warm_until {
            settings.cold_factor
        } else {
            1.0
        };
        match self.room {
            // A server that was slow a moment ago mostly still is.
            Some((at, room)) if now.since(at) < settings.max_report_age => room.slowness * cold,
            _ => cold,
        }
    }

    /// Free slots; below zero if requests wait.
    fn free(&self, now: Mono, settings: &PlacementSettings) -> i64 {
        let own = i64::from(self.slots) - self.flights.len() as i64;
        match self.room {
            Some((at, room)) if now.since(at) < settings.max_report_age => {
                let taken = room.requests().saturating_add(self.unreported);
                own.min(i64::from(room.slots) - i64::from(taken))
            }
            _ => own,
        }
    }

    /// With one more request it is nearly full.
    fn is_crowded(&self, now: Mono, settings: &PlacementSettings) -> bool {
        let taken = self.crowd(now, settings) + 1.0 / self.slots as f32;
        taken > settings.nearly_full_fraction
    }

    /// Part of its slots that is taken, from 0 to 1.
    fn crowd(&self, now: Mono, settings: &PlacementSettings) -> f32 {
        let free = self.free(now, settings).max(0) as f32;
        1.0 - (free / self.slots as f32).min(1.0)
    }
}
