//! Decaying mean rate of events.

use std::time::Duration;

use crate::state::time::Mono;

/// Mean rate of events, in which an event counts half after the half-life.
#[derive(Debug, Clone, Copy)]
pub struct DecayingRate {
    half_life: Duration,
    per_s: f32,
    updated: Mono,
}

impl DecayingRate {
    /// Rate of no events yet.
    pub fn new(half_life: Duration) -> Self {
        Self {
            half_life,
            per_s: 0.0,
            updated: Mono::default(),
        }
    }

    /// Records events that happen now.
    pub fn record(&mut self, now: Mono, events: usize) {
        // With this gain, the rate of steady events is their mean rate.
        let gain = std::f32::consts::LN_2 / self.half_life.as_secs_f32();
        self.per_s = self.read(now) + events as f32 * gain;
        self.updated = now;
    }

    /// Events a second.
    pub fn read(&self, now: Mono) -> f32 {
        let halvings = now.since(self.updated).as_secs_f32() / self.half_life.as_secs_f32();
        self.per_s * (-halvings).exp2()
    }
}
