//! Times of the monotonic and the wall clock.
//!
//! Code that makes decisions reads no clock; callers pass the time in. Timeouts use [`Mono`], ages
//! of messages between machines [`Wall`].

use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Monotonic time, in microseconds since an arbitrary start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Mono(pub u64);

impl Mono {
    /// Time since `earlier`; zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Mono {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span.as_micros() as u64))
    }
}

impl Sub<Duration> for Mono {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span.as_micros() as u64))
    }
}

/// Wall-clock time, in milliseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Wall(pub u64);

impl Add<Duration> for Wall {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span.as_millis() as u64))
    }
}

impl Sub<Duration> for Wall {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span.as_millis() as u64))
    }
}

/// Time of both clocks at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Now {
    /// Time of the monotonic clock.
    pub mono: Mono,
    /// Time of the wall clock.
    pub wall: Wall,
}
