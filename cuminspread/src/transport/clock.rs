//! Clocks of the machine.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::state::time::{Mono, Now, Wall};

/// Clocks of this machine; their monotonic time starts at zero when the value is created.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// Clocks whose monotonic time is zero now.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Reads both clocks; a wall clock before 1970 counts as 1970.
    pub fn now(&self) -> Now {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Now {
            mono: Mono(self.start.elapsed().as_micros() as u64),
            wall: Wall(wall.as_millis() as u64),
        }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}
