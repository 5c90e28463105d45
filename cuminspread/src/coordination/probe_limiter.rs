//! Questions to servers that one daemon may ask.
//!
//! Servers bound the questions of all daemons together.
//!
//! Load pattern: clients move to one data centre, so that a few daemons take most requests. With an
//! equal share these ran out of questions and held requests until their time was over, while the
//! others used a tenth of theirs. Daemons tell each other how many questions they ask; from the mean
//! of what it hears each one knows how much of the bound is in use, and widens or narrows its share
//! until the fleet as a whole uses a set part. Nobody has to know who needs how much.

use std::time::Duration;

use crate::state::time::Mono;

/// Settings of the allowance.
#[derive(Debug, Clone)]
pub struct ProbeLimiterSettings {
    /// Part of the equal share that a daemon has in any case, and part of the bound that the fleet
    /// uses when all daemons need more; the rest is left for what they don't know of each other.
    pub target: f32,
    /// Most equal shares that one daemon takes.
    pub max_shares: f32,
    /// Time in which unused questions are saved.
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

/// Weight of one more report of a peer, of which one or two come a second.
const REPORT_WEIGHT: f32 = 0.15;
/// Factor on the share for each report while the fleet uses less than its target.
const WIDEN: f32 = 1.1;
/// Factor on the share for each report while it uses more; harder, since use can rise at once.
const NARROW: f32 = 0.75;
/// Part of the target below which the share is widened.
const ROOMY: f32 = 0.85;
/// Time in which the own rate forgets half.
const RATE_HALF_LIFE: Duration = Duration::from_secs(1);
/// Gain that makes [`ProbeLimiter::rate`] the mean rate of a steady asker: the natural logarithm of 2.
const RATE_GAIN: f32 = std::f32::consts::LN_2;

/// Questions of one daemon, refilled over time.
#[derive(Debug)]
pub struct ProbeLimiter {
    settings: ProbeLimiterSettings,
    /// Equal shares that this daemon takes.
    factor: f32,
    left: f32,
    refilled: Mono,
    /// Mean of the shares that daemons use, from the reports of peers.
    in_use: Option<f32>,
    /// Questions a second lately.
    rate: f32,
    rated: Mono,
}

impl ProbeLimiter {
    /// Allowance without any question yet.
    pub fn new(settings: ProbeLimiterSettings) -> Self {
        Self {
            factor: settings.target,
            settings,
            left: 0.0,
            refilled: Mono::default(),
            in_use: None,
            rate: 0.0,
            rated: Mono::default(),
        }
    }

    /// Takes up to `wanted` questions; `share` is the daemon's equal part of the bound, a second.
    pub fn take(&mut self, now: Mono, wanted: usize, share: f32) -> usize {
        let per_s = share * self.factor;
        let refill = now.since(self.refilled).as_secs_f32() * per_s;
        let most = self.settings.burst.as_secs_f32() * per_s;
        self.left = (self.left + refill).min(most);
        self.refilled = now;
        let taken = (self.left as usize).min(wanted);
        self.left -= taken as f32;
        self.rate = self.rate(now) + taken as f32 * RATE_GAIN / RATE_HALF_LIFE.as_secs_f32();
        self.rated = now;
        taken
    }

    /// Questions a second that this daemon asked lately.
    pub fn rate(&self, now: Mono) -> f32 {
        let halvings = now.since(self.rated).as_secs_f32() / RATE_HALF_LIFE.as_secs_f32();
        self.rate * (-halvings).exp2()
    }

    /// A peer says how many questions a second it asks.
    pub fn record_peer_rate(&mut self, rate: f32, share: f32) {
        if share <= 0.0 || !rate.is_finite() {
            return;
        }
        let sample = (rate / share).clamp(0.0, self.settings.max_shares);
        let known = self.in_use.unwrap_or(sample);
        let in_use = known + (sample - known) * REPORT_WEIGHT;
        self.in_use = Some(in_use);
        let target = self.settings.target;
        if in_use > target {
            self.factor *= NARROW;
        } else if in_use < target * ROOMY {
            self.factor *= WIDEN;
        }
        self.factor = self.factor.clamp(target, self.settings.max_shares);
    }
}
