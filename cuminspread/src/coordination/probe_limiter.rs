//! Limits the rate at which one daemon probes servers.
//!
//! Servers limit the probes of all daemons together.
//!
//! Load pattern: clients move to one data centre, so that a few daemons take most requests. With
//! equal shares of the limit these daemons ran out of probes and held requests until their
//! deadlines, while the other daemons used a tenth of their shares. Daemons send each other their
//! probe rates; from the mean of the rates received, each daemon estimates how much of the limit is
//! in use, and raises or lowers its own share until the fleet uses a target fraction. No daemon has
//! to know the demand of another.

use std::time::Duration;

use crate::coordination::decaying_rate::DecayingRate;
use crate::state::time::Mono;

/// Settings of the probe limiter.
#[derive(Debug, Clone)]
pub struct ProbeLimiterSettings {
    /// Fraction of its equal share that each daemon always has, and fraction of the limit that the
    /// fleet uses when all daemons need more; the rest covers rates not reported yet.
    pub target: f32,
    /// Largest share of one daemon, as a multiple of an equal share.
    pub max_shares: f32,
    /// Time over which unused probes are saved up.
    pub burst: Duration,
}

impl Default for ProbeLimiterSettings {
    fn default() -> Self {
        Self {
            target: 0.7,
            max_shares: 2.5,
            burst: Duration::from_secs(3),
        }
    }
}

/// Weight of a new peer report in the mean use; one or two reports come per second.
const REPORT_WEIGHT: f32 = 0.15;
/// Factor on the share for each report while the fleet uses clearly less than the target.
const INCREASE_FACTOR: f32 = 1.1;
/// Factor on the share for each report while the fleet uses more than the target; the larger step,
/// since use can rise at once.
const DECREASE_FACTOR: f32 = 0.75;
/// Fraction of the target below which the share is raised.
const INCREASE_BELOW: f32 = 0.85;
/// Half-life of the daemon's own probe rate.
const RATE_HALF_LIFE: Duration = Duration::from_secs(1);

/// Token bucket of one daemon's probes, whose rate follows the use by the fleet.
#[derive(Debug)]
pub struct ProbeLimiter {
    settings: ProbeLimiterSettings,
    /// This daemon's share, as a multiple of an equal share.
    shares: f32,
    tokens: f32,
    refilled_at: Mono,
    /// Mean rate of the peers, as a multiple of an equal share; `None` before the first report.
    mean_use: Option<f32>,
    /// This daemon's probes.
    rate: DecayingRate,
}

impl ProbeLimiter {
    /// Limiter without any saved probe.
    pub fn new(settings: ProbeLimiterSettings) -> Self {
        Self {
            shares: settings.target,
            settings,
            tokens: 0.0,
            refilled_at: Mono::default(),
            mean_use: None,
            rate: DecayingRate::new(RATE_HALF_LIFE),
        }
    }

    /// Takes up to `wanted` probes and returns how many were available.
    ///
    /// `share` is an equal share of the limit, in probes per second.
    pub fn take(&mut self, now: Mono, wanted: usize, share: f32) -> usize {
        let per_s = share * self.shares;
        let refill = now.since(self.refilled_at).as_secs_f32() * per_s;
        let max_tokens = self.settings.burst.as_secs_f32() * per_s;
        self.tokens = (self.tokens + refill).min(max_tokens);
        self.refilled_at = now;
        let taken = (self.tokens as usize).min(wanted);
        self.tokens -= taken as f32;
        self.rate.record(now, taken);
        taken
    }

    /// Recent rate of this daemon, in probes per second.
    pub fn rate(&self, now: Mono) -> f32 {
        self.rate.read(now)
    }

    /// Records the rate that a peer reports, and adapts this daemon's share.
    ///
    /// Both arguments are in probes per second; a rate that isn't finite is ignored.
    pub fn record_peer_rate(&mut self, rate: f32, share: f32) {
        if share <= 0.0 || !rate.is_finite() {
            return;
        }
        let sample = (rate / share).clamp(0.0, self.settings.max_shares);
        let mean = self.mean_use.unwrap_or(sample);
        let mean_use = mean + (sample - mean) * REPORT_WEIGHT;
        self.mean_use = Some(mean_use);
        let target = self.settings.target;
        if mean_use > target {
            self.shares *= DECREASE_FACTOR;
        } else if mean_use < target * INCREASE_BELOW {
            self.shares *= INCREASE_FACTOR;
        }
        self.shares = self.shares.clamp(target, self.settings.max_shares);
    }
}
