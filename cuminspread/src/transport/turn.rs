//! Shares of a task's turn, which is one poll of the task by its runtime.
//!
//! A daemon has one thread, so a task that is always ready keeps all others waiting until its turn
//! ends. `tokio` ends a turn after a number of operations on sockets, but one read of a socket may
//! hold thousands of frames. Each frame and each [`BYTES_PER_STEP`] of a read therefore count as an
//! operation of their own here.
//!
//! A task that has used up its turn finds all its timers pending, however late they are. Bounds on
//! what such a task does are kept by [`deadline`].
//!
//! Load pattern: a server sends tiny chunks, informational responses or trailers without end, faster
//! than they are passed on.

use std::pin::pin;
use std::task::{Context, Poll};

use tokio::task::coop::{Unconstrained, poll_proceed, unconstrained};
use tokio::time::{Instant, Sleep, sleep_until};

/// Bytes of a read that count as one operation.
pub const BYTES_PER_STEP: usize = 1024;

/// Takes one operation out of the turn; pending, with a wake-up in the next turn, if none is left.
pub fn poll_step(cx: &mut Context<'_>) -> Poll<()> {
    poll_proceed(cx).map(|step| step.made_progress())
}

/// Takes the operations that a read of `count` bytes counts as out of the turn.
pub fn record_read(cx: &mut Context<'_>, count: usize) {
    for _ in 0..count / BYTES_PER_STEP {
        if poll_step(cx).is_pending() {
            return;
        }
    }
}

/// Timer that also ends in a turn that is used up.
pub fn deadline(at: Instant) -> Unconstrained<Sleep> {
    unconstrained(sleep_until(at))
}

/// Polls a future as if the turn had just begun.
pub fn poll_unconstrained<F: Future>(f: F, cx: &mut Context<'_>) -> Poll<F::Output> {
    pin!(unconstrained(f)).poll(cx)
}
