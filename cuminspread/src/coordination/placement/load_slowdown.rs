//! How much longer requests take at servers that are nearly full.

/// Running estimate of how much longer requests of a service take at nearly full servers.
#[derive(Debug, Clone, Copy)]
pub struct LoadSlowdown {
    /// Mean ratio of measured to expected time at servers with spare slots.
    spare_ratio: f32,
    /// Mean ratio of measured to expected time at nearly full servers.
    nearly_full_ratio: f32,
}

impl Default for LoadSlowdown {
    fn default() -> Self {
        Self {
            spare_ratio: 1.0,
            nearly_full_ratio: 1.0,
        }
    }
}

impl LoadSlowdown {
    /// Weight of a new sample in the running means.
    const SAMPLE_WEIGHT: f32 = 0.03;

    /// Records the ratio of the measured to the expected time of a response.
    pub(super) fn record(&mut self, ratio: f32, nearly_full: bool) {
        let mean = if nearly_full {
            &mut self.nearly_full_ratio
        } else {
            &mut self.spare_ratio
        };
        *mean += (ratio.clamp(0.3, 4.0) - *mean) * Self::SAMPLE_WEIGHT;
    }

    /// Time at a nearly full server, relative to one with spare slots; from 1 to 4.
    pub fn factor(&self) -> f32 {
        (self.nearly_full_ratio / self.spare_ratio.max(0.1)).clamp(1.0, 4.0)
    }
}
