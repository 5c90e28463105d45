//! Finds pauses of the process: times in which none of its tasks ran.
//!
//! Load pattern: a VM stands still for some seconds, or a process is so busy that its tasks get late. Bounds
//! on what callers wait for are extended after a pause, and not for delays that the process causes itself.

use std::time::Duration;

use crate::state::time::Mono;

/// Shortest time without any activity that counts as a pause.
const MIN_PAUSE: Duration = Duration::from_millis(200);

/// Follows the activity of the process.
#[derive(Debug, Default)]
pub struct PauseWatch {
    last_active: Mono,
    /// Begin and end of the last pause.
    last_pause: Option<(Mono, Mono)>,
}

impl PauseWatch {
    /// Records that a task runs now.
    pub fn record_activity(&mut self, now: Mono) {
        if now.since(self.last_active) >= MIN_PAUSE {
            self.last_pause = Some((self.last_active, now));
        }
        self.last_active = now;
    }

    /// Whether the process stood still at a time.
    pub fn was_paused_at(&self, at: Mono) -> bool {
        self.last_pause
            .is_some_and(|(begin, end)| begin <= at && at < end)
    }
}
