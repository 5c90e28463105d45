//! Size of a daemon's subset of the servers of a service.
//!
//! Load pattern: hundreds of daemons share the traffic, so that each sends less than one request a
//! second to a service, and connections that are idle for some seconds are closed. In a subset
//! that is larger than the daemon's probes can keep in use, most probes open a connection.

use std::time::Duration;

use super::settings::PlacementSettings;

/// Probes that a server of the subset gets on average within the idle timeout of a connection; then
/// one connection in twenty is closed before the next probe.
const PROBES_PER_IDLE_TIMEOUT: f32 = 3.0;
/// Half-life of the rate of probes of a service.
pub const PROBE_RATE_HALF_LIFE: Duration = Duration::from_secs(6);

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
