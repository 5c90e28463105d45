//! Limits on the calls that one daemon accepts and sends.
//!
//! The concurrency limit of a service follows additive increase, multiplicative decrease (AIMD): a
//! call that succeeds close to the limit raises it, a refusal or a time-out lowers it, at most once
//! per mean latency. A call above the limit waits in the daemon, but only while its deadline can
//! still be met; as in `CoDel` (Nichols and Jacobson, 2012), the time in the queue decides, not the
//! queue's length.

use std::time::Duration;

use crate::state::time::Mono;

/// Settings of the limits.
#[derive(Debug, Clone)]
pub struct LimitSettings {
    /// Maximum number of accepted calls of all councils together.
    pub max_in_flight: u32,
    /// Fraction of `max_in_flight` from which on each council is limited to an equal share.
    pub fair_share_above: f32,
    /// Longest time in the queue.
    pub max_queue_wait: Duration,
    /// Factor on the concurrency limit after a refusal or a time-out.
    pub decrease_factor: f32,
    /// Shortest time after which a refused caller is told to retry.
    pub min_retry_after: Duration,
    /// Longest time after which a refused caller is told to retry.
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

/// Adaptive limit on the attempts in flight from one daemon to one service.
#[derive(Debug, Clone, Copy)]
pub struct ConcurrencyLimit {
    limit: f32,
    min: f32,
    max: f32,
    last_lowered: Mono,
}

impl ConcurrencyLimit {
    /// Limit that starts at `max`.
    pub fn new(min: u32, max: u32) -> Self {
        let max = max.max(1) as f32;
        Self {
            limit: max,
            min: (min as f32).clamp(1.0, max),
            max,
            last_lowered: Mono::default(),
        }
    }

    /// Changes the range. A limit at its old maximum moves to the new one, any other is clamped.
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

    /// Whether another attempt stays within the limit.
    pub fn has_capacity(&self, in_flight: u32) -> bool {
        (in_flight as f32) < self.limit
    }

    /// Current limit.
    pub fn limit(&self) -> f32 {
        self.limit
    }

    /// Raises the limit after a success, if it was nearly reached.
    pub fn raise(&mut self, in_flight: u32) {
        if in_flight as f32 + 1.0 >= 0.8 * self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(self.max);
        }
    }

    /// Lowers the limit after a refusal or a time-out, at most once per `period`.
    pub fn lower(&mut self, now: Mono, period: Duration, factor: f32) {
        if now.since(self.last_lowered) < period {
            return;
        }
        self.last_lowered = now;
        self.limit = (self.limit * factor).max(self.min);
    }
}

/// Calls of one council at this daemon.
#[derive(Debug, Clone, Default)]
pub struct CouncilLoad {
    /// Calls that are accepted and not finished.
    pub accepted: u32,
    /// Maximum number of accepted calls of the council; 0 for no limit.
    pub max_in_flight: u32,
}

/// Whether another call of a council may be accepted, given `total` accepted calls of all councils.
pub fn admits(settings: &LimitSettings, council: &CouncilLoad, total: u32, councils: u32) -> bool {
    let below_limit = council.max_in_flight == 0 || council.accepted < council.max_in_flight;
    if !below_limit || total >= settings.max_in_flight {
        return false;
    }
    let fair_total = settings.fair_share_above * settings.max_in_flight as f32;
    let share = settings.max_in_flight / councils.max(1);
    (total as f32) < fair_total || council.accepted < share
}

/// Time that a call would wait behind `queued` calls, while `limit` calls run at once for a mean
/// of `mean_us` microseconds.
pub fn expected_wait(queued: usize, mean_us: f32, limit: f32) -> Duration {
    let micros = (queued + 1) as f32 * mean_us / limit.max(1.0);
    Duration::from_micros(micros as u64)
}
