//! Exponential backoff with jitter.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Pauses after failures that double up to a maximum, with jitter.
#[derive(Debug)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    next: Duration,
    rng: Pcg64Mcg,
}

impl Backoff {
    /// Backoff whose pauses grow from `initial` to `max`, before jitter.
    pub fn new(initial: Duration, max: Duration, seed: u64) -> Self {
        Self {
            initial,
            max,
            next: initial,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Next pause: a random fraction, between 0.5 and 1, of a value that doubles with each pause.
    pub fn pause(&mut self) -> Duration {
        let full = self.next;
        self.next = (full * 2).min(self.max);
        full.mul_f64(0.5 + self.rng.random::<f64>() / 2.0)
    }

    /// Returns to the initial pause, after a success.
    pub fn reset(&mut self) {
        self.next = self.initial;
    }
}
