//! How long a request waits for a server of its own data centre.
//!
//! Load pattern: the few servers of the own data centre are slow, full or turn requests away for a
//! moment, while others a few milliseconds away have room. A wait pays as long as it costs no more
//! than the distance, so its limit follows the measured distance: a request doesn't spend a fifth
//! of its time to save three milliseconds, and leaves for another region only after a longer wait.

use std::time::Duration;

use super::settings::PlacementSettings;

/// Weight of a new sample in the mean round-trip times.
const SAMPLE_WEIGHT: f32 = 0.1;

/// Mean round-trip times of probes on open connections, in seconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct RoundTrips {
    near: Option<f32>,
    far: Option<f32>,
}

impl RoundTrips {
    /// Records the round-trip time of a probe to a server in the own data centre or another one.
    pub fn record(&mut self, near: bool, time: Duration) {
        let mean = if near { &mut self.near } else { &mut self.far };
        let sample = time.as_secs_f32();
        let before = mean.unwrap_or(sample);
        *mean = Some(before + (sample - before) * SAMPLE_WEIGHT);
    }

    /// Longest wait for a near server before far servers are probed.
    pub fn near_wait(&self, settings: &PlacementSettings) -> Duration {
        let Some(far) = self.far else {
            return settings.max_near_wait;
        };
        let distance = (far - self.near.unwrap_or_default()).max(0.0);
        Duration::from_secs_f32(distance * settings.near_wait_round_trips)
            .min(settings.max_near_wait)
    }
}
