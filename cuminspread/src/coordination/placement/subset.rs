//! Size of a daemon's subset of the servers of a service.
//!
//! Load pattern: hundreds of daemons share the traffic, so that each sends less than one request a
//! second to a service, and connections that are idle for some seconds are closed. In a subset
//! that is larger than the daemon's probes can keep in use, most probes open a connection.

use std::time::Duration;

use super::settings::PlacementSettings;
use crate::state::time::Mono;

/// Probes that a server of the subset gets on average within the idle timeout of a connection; then
/// one connection in twenty is closed before the next probe.
const PROBES_PER_IDLE_TIMEOUT: f32 = 3.0;
/// Half-life of the rate of probes.
const RATE_HALF_LIFE: Duration = Duration::from_secs(6);

/// Decaying mean rate of the probes of one service.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProbeRate {
    per_s: f32,
    updated: Mono,
}

impl ProbeRate {
    /// Records probes that were sent now.
    pub fn record(&mut self, now: Mono, probes: usize) {
        // Steady probing has its rate as the mean with this gain.
        let gain = std::f32::consts::LN_2 / RATE_HALF_LIFE.as_secs_f32();
        self.per_s = self.read(now) + probes as f32 * gain;
        self.updated = now;
    }

    /// Probes a second.
    pub fn read(&self, now: Mono) -> f32 {
        let halvings = now.since(self.updated).as_secs_f32() / RATE_HALF_LIFE.as_secs_f32();
        self.per_s * (-halvings).exp2()
    }
}

/// Number of near servers for a daemon that sends so many probes a second to their service.
///
/// `current` is the size so far; the subset shrinks only if it is too large by two or more, since
/// a server that leaves it costs a new connection when it comes back.
pub fn subset_size(
    probes_per_s: f32,
    idle_timeout: Duration,
    current: usize,
    settings: &PlacementSettings,
) -> usize {
    let in_use = probes_per_s * idle_timeout.as_secs_f32() / PROBES_PER_IDLE_TIMEOUT;
    let size = (in_use as usize).clamp(settings.min_subset_size, settings.max_subset_size);
    if size + 1 == current { current } else { size }
}
