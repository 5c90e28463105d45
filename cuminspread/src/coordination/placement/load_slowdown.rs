//! How much longer work takes at servers that are nearly full.

/// Learns how much longer work takes at servers of a service that are nearly full.
#[derive(Debug, Clone, Copy)]
pub struct LoadSlowdown {
    roomy: f32,
    crowded: f32,
}

impl Default for LoadSlowdown {
    fn default() -> Self {
        Self {
            roomy: 1.0,
            crowded: 1.0,
        }
    }
}

impl LoadSlowdown {
    /// Weight of one more sample.
    const WEIGHT: f32 = 0.03;

    /// Takes the time of an answer against what was expected.
    pub(super) fn record(&mut self, sample: f32, crowded: bool) {
        let known = if crowded {
            &mut self.crowded
        } else {
            &mut self.roomy
        };
        *known += (sample.clamp(0.3, 4.0) - *known) * Self::WEIGHT;
    }

    /// How much longer work takes at a nearly full server, at least 1.
    pub fn factor(&self) -> f32 {
        (self.crowded / self.roomy.max(0.1)).clamp(1.0, 4.0)
    }
}
