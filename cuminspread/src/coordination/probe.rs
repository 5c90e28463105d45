//! Paces probes so that the whole fleet stays within each council's budget.
//!
//! A daemon's share follows from its place in the published list alone, never from which peers it
//! believes to be alive, so a split changes nothing. The share is a whole number of probes in any
//! window of one second, and the shares of one list add up to at most the part of the budget that
//! [`ProbeSettings::part`] allows; the rest covers daemons that still go by an older list. A share
//! that grows is used only after the settling time, one that shrinks at once, and a place that is
//! not confirmed within the same time gives no share. Nothing is saved up.

use std::time::Duration;

use crate::invariant::{Invariant, InvariantChecks};
use crate::state::time::Mono;

/// Window in which the budget holds.
const WINDOW: Duration = Duration::from_secs(1);
/// Extra distance between probes, against rounding of clocks.
const MARGIN: Duration = Duration::from_millis(1);
/// Probes of one window that are checked against the share.
const RING: usize = 64;

/// Settings of probing.
#[derive(Debug, Clone)]
pub struct ProbeSettings {
    /// Part of the budget that the daemons of one list share.
    pub budget_fraction: f64,
    /// Time before a larger share is used, and after which a place must be confirmed.
    pub settling_time: Duration,
    /// Age of a server's last sign of life that calls for a probe.
    pub stale_after: Duration,
}

impl Default for ProbeSettings {
    fn default() -> Self {
        Self {
            budget_fraction: 0.5,
            settling_time: Duration::from_secs(30),
            stale_after: Duration::from_millis(100),
        }
    }
}

/// Position of a daemon in the published list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Position, from 0.
    pub index: u32,
    /// Number of daemons.
    pub daemons: u32,
}

/// Probes a second that the daemon at this place may send.
pub fn share(fraction: f64, budget: f64, place: Place) -> u32 {
    let total = (fraction * budget).floor().max(0.0) as u32;
    let daemons = place.daemons.max(1);
    let extra = u32::from(place.index < total % daemons);
    total / daemons + extra
}

/// Paces the probes of one council.
#[derive(Debug)]
pub struct ProbePacer {
    settings: ProbeSettings,
    budget: f64,
    place: Option<Place>,
    confirmed: Mono,
    active: u32,
    wanted: u32,
    wanted_from: Mono,
    next: Mono,
    sent: [Option<Mono>; RING],
    cursor: usize,
}

impl ProbePacer {
    /// Pacer without a share.
    pub fn new(settings: ProbeSettings) -> Self {
        Self {
            settings,
            budget: 0.0,
            place: None,
            confirmed: Mono::default(),
            active: 0,
            wanted: 0,
            wanted_from: Mono::default(),
            next: Mono::default(),
            sent: [None; RING],
            cursor: 0,
        }
    }

    /// Takes the budget in force.
    pub fn set_budget(&mut self, now: Mono, budget: f64) {
        self.budget = budget;
        self.reckon(now);
    }

    /// Takes this daemon's place, or confirms it.
    pub fn set_place(&mut self, now: Mono, place: Place) {
        self.place = Some(place);
        self.confirmed = now;
        self.reckon(now);
    }

    fn reckon(&mut self, now: Mono) {
        let Some(place) = self.place else {
            return;
        };
        let wanted = share(self.settings.budget_fraction, self.budget, place).min(RING as u32);
        if wanted != self.wanted {
            self.wanted = wanted;
            self.wanted_from = now + self.settings.settling_time;
        }
        if wanted < self.active {
            self.active = wanted;
            self.next = self.next.max(now + WINDOW);
        }
    }

    /// When the next probe may be sent; `None` without a share.
    pub fn due(&self) -> Option<Mono> {
        if self.wanted == 0 {
            return None;
        }
        if self.active < self.wanted {
            return Some(self.next.max(self.wanted_from));
        }
        Some(self.next)
    }

    /// Takes leave to send one probe now.
    pub fn try_take(&mut self, now: Mono, invariants: &InvariantChecks, guarded: bool) -> bool {
        if now >= self.wanted_from {
            self.active = self.wanted;
        }
        if now.since(self.confirmed) >= self.settings.settling_time * 2 {
            self.active = 0;
            self.wanted = 0;
        }
        if guarded && (self.active == 0 || now < self.next) {
            return false;
        }
        let gap = WINDOW / self.active.max(1) + MARGIN;
        self.next = now + gap;
        self.check(now, invariants);
        true
    }

    /// Asserts that the last window holds no more probes than the share.
    fn check(&mut self, now: Mono, invariants: &InvariantChecks) {
        self.sent[self.cursor] = Some(now);
        self.cursor = (self.cursor + 1) % RING;
        let recent = self.sent.iter().flatten();
        let count = recent.filter(|t| now.since(**t) < WINDOW).count() as u32;
        let share = self.active;
        invariants.check(Invariant::ProbeBudget, count <= share, || {
            format!("probes={count} share={share}")
        });
    }
}
