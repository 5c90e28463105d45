//! Shares of a task's turn, which is one poll of the task by its runtime.
//!
//! A daemon has one thread, so a task that is always ready keeps all others waiting until its turn
//! ends. `tokio` ends a turn after a number of operations on sockets, but one read of a socket may
//! hold thousands of frames. Frames, and the bytes of a read, therefore count as operations here.
//!
//! A task that has used up its turn finds all its timers pending, however late they are. Bounds on
//! what such a task does are kept by [`deadline`].
//!
//! Load pattern: a server sends tiny chunks, informational responses or trailers without end, faster
//! than they are passed on.

use std::pin::pin;
use std::task::{Context, Poll, ready};

use tokio::task::coop::{Unconstrained, poll_proceed, unconstrained};
use tokio::time::{Instant, Sleep, sleep_until};

/// Bytes of a read that count as one operation.
const BYTES_PER_STEP: usize = 1024;
/// Bytes of heads that count as one operation; the smallest informational response has 25.
const HEAD_BYTES_PER_STEP: usize = 128;
/// Operations that a frame counts as; a turn has 128.
const STEPS_PER_FRAME: usize = 8;

/// Takes a frame out of the turn; pending, with a wake-up in the next turn, if it is used up.
pub fn poll_frame(cx: &mut Context<'_>) -> Poll<()> {
    ready!(poll_step(cx));
    take_steps(cx, STEPS_PER_FRAME - 1);
    Poll::Ready(())
}

/// Takes a read of `count` bytes out of the turn.
pub fn record_read(cx: &mut Context<'_>, count: usize) {
    take_steps(cx, count / BYTES_PER_STEP);
}

/// Takes a read of `count` bytes of heads out of the turn.
pub fn record_head_read(cx: &mut Context<'_>, count: usize) {
    take_steps(cx, count / HEAD_BYTES_PER_STEP);
}

fn take_steps(cx: &mut Context<'_>, steps: usize) {
    for _ in 0..steps {
        if poll_step(cx).is_pending() {
            return;
        }
    }
}

fn poll_step(cx: &mut Context<'_>) -> Poll<()> {
    poll_proceed(cx).map(|step| step.made_progress())
}

/// Timer that ends at its time also if the task has used up its turn.
pub fn deadline(at: Instant) -> Unconstrained<Sleep> {
    unconstrained(sleep_until(at))
}

/// Polls a future as if the turn had just begun.
pub fn poll_unconstrained<F: Future>(f: F, cx: &mut Context<'_>) -> Poll<F::Output> {
    pin!(unconstrained(f)).poll(cx)
}
