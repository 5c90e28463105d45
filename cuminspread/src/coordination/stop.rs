//! What a daemon still sends to servers while it stops, and until when they have to answer.
//!
//! Load pattern: a planned stop under steady calls. Callers go on sending until the platform has noticed
//! the stop, and the process ends at a fixed time, whatever is still running then.

use std::time::Duration;

use crate::state::time::Mono;

/// Time from the start of a stop until idle connections are closed: the platform checks readiness
/// twice, one second apart, before it sends new connections elsewhere.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(2800);
/// Part of a short grace period after which they are closed.
const IDLE_CLOSE_DIVISOR: u32 = 2;
/// Time at the end of the grace period for the process to exit.
const EXIT_MARGIN: Duration = Duration::from_millis(600);
/// Part of a short grace period that is left for the process to exit.
const EXIT_DIVISOR: u32 = 10;
/// Part of the exit margin that the last answers of servers have to reach their callers, before the end.
const ANSWER_DIVISOR: u32 = 2;

/// Times of one graceful stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    idle_close: Mono,
    answer_by: Mono,
    end: Mono,
}

impl StopPlan {
    /// Plan of a stop that begins now, in a process that is killed after `grace`.
    pub fn new(now: Mono, grace: Duration) -> Self {
        let exit_margin = EXIT_MARGIN.min(grace / EXIT_DIVISOR);
        let end = now + grace.saturating_sub(exit_margin);
        Self {
            idle_close: now + IDLE_CLOSE_DELAY.min(grace / IDLE_CLOSE_DIVISOR),
            answer_by: end - exit_margin / ANSWER_DIVISOR,
            end,
        }
    }

    /// Time at which idle connections are closed, and from which on nothing is sent to servers.
    pub fn idle_close(&self) -> Mono {
        self.idle_close
    }

    /// Time at which the daemon ends, with whatever is still running.
    pub fn end(&self) -> Mono {
        self.end
    }

    /// Whether a request that usually takes `processing` may be sent to a server now.
    pub fn may_send(&self, now: Mono, processing: Duration) -> bool {
        now < self.idle_close && now + processing <= self.answer_by
    }

    /// Deadline of a server that gets a request during the stop.
    ///
    /// A server that reaches it answers so, whereas the end of the process would leave the caller
    /// without an answer.
    pub fn server_deadline(&self, deadline: Mono) -> Mono {
        deadline.min(self.answer_by)
    }
}
