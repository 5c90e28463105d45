//! Paces the dispatcher's probes so that all daemons together stay within each council's budget.
//!
//! Daemons that use a store have a [`ProbeLimiter`](super::probe_limiter::ProbeLimiter) instead.
//!
//! A daemon's share depends only on its place in the VM list, never on which peers are alive, so a
//! network partition does not change it. The share is a whole number of probes in any window of
//! one second. The shares of one list add up to at most [`ProbeSettings::budget_fraction`] of the
//! budget; the rest covers daemons that still use an older list. An increased share is used only
//! after [`ProbeSettings::settling_time`], a decreased one at once. A place that is not confirmed
//! within twice that time gives no share. Unused probes are not saved up.

use std::time::Duration;

use crate::invariant::{Invariant, InvariantChecks};
use crate::state::time::Mono;

/// Window in which the budget holds.
const WINDOW: Duration = Duration::from_secs(1);
/// Extra gap between probes, to allow for rounding of clocks.
const MARGIN: Duration = Duration::from_millis(1);
/// Largest share; the check keeps the times of this many probes.
const MAX_SHARE: usize = 64;

/// Settings of probing.
#[derive(Debug, Clone)]
pub struct ProbeSettings {
    /// Fraction of the budget that is divided among the daemons of one VM list.
    pub budget_fraction: f64,
    /// Time before an increased share is used; a place expires after twice this time.
    pub settling_time: Duration,
    /// Time since a server's last response from which on the server is probed.
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

/// Position of a daemon in the VM list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Position, from 0.
    pub index: u32,
    /// Number of daemons.
    pub daemons: u32,
}

/// Probes per second that the daemon at this place may send, of a budget in probes per second.
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
    /// Share in use.
    active: u32,
    /// Share that is used from `pending_from` on.
    pending: u32,
    pending_from: Mono,
    next_probe: Mono,
    sent: [Option<Mono>; MAX_SHARE],
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
            pending: 0,
            pending_from: Mono::default(),
            next_probe: Mono::default(),
            sent: [None; MAX_SHARE],
            cursor: 0,
        }
    }

    /// Sets the active budget, in probes per second.
    pub fn set_budget(&mut self, now: Mono, budget: f64) {
        self.budget = budget;
        self.update_share(now);
    }

    /// Sets this daemon's place, or confirms it.
    pub fn set_place(&mut self, now: Mono, place: Place) {
        self.place = Some(place);
        self.confirmed = now;
        self.update_share(now);
    }

    fn update_share(&mut self, now: Mono) {
        let Some(place) = self.place else {
            return;
        };
        let pending =
            share(self.settings.budget_fraction, self.budget, place).min(MAX_SHARE as u32);
        if pending != self.pending {
            self.pending = pending;
            self.pending_from = now + self.settings.settling_time;
        }
        if pending < self.active {
            self.active = pending;
            self.next_probe = self.next_probe.max(now + WINDOW);
        }
    }

    /// Time from which on the next probe may be sent; `None` without a share.
    pub fn due(&self) -> Option<Mono> {
        if self.pending == 0 {
            return None;
        }
        if self.active < self.pending {
            return Some(self.next_probe.max(self.pending_from));
        }
        Some(self.next_probe)
    }

    /// Whether a probe may be sent now; if so, it is counted.
    ///
    /// Without `guarded` the result is always true, and the invariant check can fail.
    pub fn try_acquire(&mut self, now: Mono, invariants: &InvariantChecks, guarded: bool) -> bool {
        if now >= self.pending_from {
            self.active = self.pending;
        }
        if now.since(self.confirmed) >= self.settings.settling_time * 2 {
            self.active = 0;
            self.pending = 0;
        }
        if guarded && (self.active == 0 || now < self.next_probe) {
            return false;
        }
        let gap = WINDOW / self.active.max(1) + MARGIN;
        self.next_probe = now + gap;
        self.check(now, invariants);
        true
    }

    /// Checks that the last window has no more probes than the share.
    fn check(&mut self, now: Mono, invariants: &InvariantChecks) {
        self.sent[self.cursor] = Some(now);
        self.cursor = (self.cursor + 1) % MAX_SHARE;
        let recent = self.sent.iter().flatten();
        let count = recent.filter(|t| now.since(**t) < WINDOW).count() as u32;
        let share = self.active;
        invariants.check(Invariant::ProbeBudget, count <= share, || {
            format!("probes={count} share={share}")
        });
    }
}
