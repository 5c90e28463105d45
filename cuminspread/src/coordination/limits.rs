//! Bounds on the work that one daemon accepts and sends.
//!
//! The concurrency of a service follows the additive-increase, multiplicative-decrease rule: a
//! call that succeeds close to the limit raises it, a refusal or a time-out lowers it at most once
//! in the normal latency. A call that finds no room waits in the daemon, but only as long as its
//! deadline can still be met; as in `CoDel` (Nichols and Jacobson, 2012), time in the queue and not
//! its length decides.

use std::time::Duration;

use crate::state::time::Mono;

/// Settings of the limits.
#[derive(Debug, Clone)]
pub struct LimitSettings {
    /// Calls that a daemon accepts at once for all councils.
    pub max_in_flight: u32,
    /// Part of `max_in_flight` above which each council is held to an equal share.
    pub fair_share_above: f32,
    /// Longest time in the queue.
    pub max_queue_wait: Duration,
    /// Part of the limit that remains after a refusal.
    pub decrease_factor: f32,
    /// Shortest advice when to come back.
    pub min_retry_after: Duration,
    /// Longest advice when to come back.
    pub max_retry_after: Duration,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_in_flight: 4096,
            fair_share_above: 0.5,
            max_queue_wait: Duration::from_secs(1),
            decrease_factor: 0.9,
            min_retry_after: Duration::from_millis(100),
            max_retry_after: Duration::from_secs(5),
        }
    }
}

/// Adaptive bound on the calls of one daemon at one service.
#[derive(Debug, Clone, Copy)]
pub struct ConcurrencyLimit {
    limit: f32,
    min: f32,
    max: f32,
    last_lowered: Mono,
}

impl ConcurrencyLimit {
    /// Bound that starts at its highest value.
    pub fn new(min: u32, max: u32) -> Self {
        let max = max.max(1) as f32;
        Self {
            limit: max,
            min: (min as f32).clamp(1.0, max),
            max,
            last_lowered: Mono::default(),
        }
    }

    /// Changes the range and keeps the present value where it fits.
    pub fn set_range(&mut self, min: u32, max: u32) {
        let was_full = self.limit >= self.max;
        self.max = max.max(1) as f32;
        self.min = (min as f32).clamp(1.0, self.max);
        self.limit = if was_full {
            self.max
        } else {
            self.limit.clamp(self.min, self.max)
        };
    }

    /// There is room for one more call.
    pub fn has_room(&self, in_flight: u32) -> bool {
        (in_flight as f32) < self.limit
    }

    /// Present bound.
    pub fn limit(&self) -> f32 {
        self.limit
    }

    /// Raises the bound after a success, if it was nearly reached.
    pub fn raise(&mut self, in_flight: u32) {
        if in_flight as f32 + 1.0 >= 0.8 * self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(self.max);
        }
    }

    /// Lowers the bound after a refusal, at most once in `normal`.
    pub fn lower(&mut self, now: Mono, normal: Duration, factor: f32) {
        if now.since(self.last_lowered) < normal {
            return;
        }
        self.last_lowered = now;
        self.limit = (self.limit * factor).max(self.min);
    }
}

/// Calls of one council at this daemon.
#[derive(Debug, Clone, Default)]
pub struct CouncilLoad {
    /// Calls accepted and not yet finished.
    pub accepted: u32,
    /// Bound of its own; 0 sets none.
    pub max_in_flight: u32,
}

/// Decides whether a council may have one more call accepted.
pub fn admits(settings: &LimitSettings, council: &CouncilLoad, total: u32, councils: u32) -> bool {
    let own_bound = council.max_in_flight == 0 || council.accepted < council.max_in_flight;
    if !own_bound || total >= settings.max_in_flight {
        return false;
    }
    let fair_total = settings.fair_share_above * settings.max_in_flight as f32;
    let share = settings.max_in_flight / councils.max(1);
    (total as f32) < fair_total || council.accepted < share
}

/// Time that a call would wait behind `queued` others, while `limit` run for `mean` µs each.
pub fn expected_wait(queued: usize, mean: f32, limit: f32) -> Duration {
    let micros = (queued + 1) as f32 * mean / limit.max(1.0);
    Duration::from_micros(micros as u64)
}
