//! The dispatcher's commands to one call, and the call's running attempts.
//!
//! Most calls get a handful of commands and make one attempt, so both are kept in plain vectors. A
//! channel, and a set of futures that wakes each separately, would cost more than the rest of the
//! call.

use std::collections::VecDeque;
use std::fmt;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Poll;

use cuminspread::coordination::event::{Attempt, Connection, Verdict};
use cuminspread::transport::upstream::Upstream;
use tokio::sync::Notify;

/// A command to the task of a call.
#[derive(Debug)]
pub enum Command {
    /// Start an attempt.
    Send(SendCommand),
    /// Cancel a running attempt.
    Cancel(Attempt),
    /// Reply to the caller.
    Finish(Verdict),
}

/// An attempt to start.
#[derive(Debug)]
pub struct SendCommand {
    /// Number of the attempt within its call.
    pub attempt: Attempt,
    /// Server to send to.
    pub upstream: Arc<Upstream>,
    /// Which connections it may use.
    pub connection: Connection,
    /// Extra attempts that the server's own calls may make.
    pub retry_budget: u8,
}

/// Commands to one call, in the order in which they were decided.
#[derive(Debug, Default)]
pub struct CommandQueue {
    queue: Mutex<VecDeque<Command>>,
    closed: AtomicBool,
    changed: Notify,
}

impl CommandQueue {
    /// Appends a command and wakes the call.
    pub fn push(&self, command: Command) {
        self.lock().push_back(command);
        self.changed.notify_one();
    }

    /// Takes the next command; `None` if there is none now.
    pub fn next(&self) -> Option<Command> {
        self.lock().pop_front()
    }

    /// Ends the call without any further command.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
        self.changed.notify_one();
    }

    /// Waits until there may be a command; false once the queue is closed and the call must end.
    pub async fn wait(&self) -> bool {
        self.changed.notified().await;
        !self.closed.load(Ordering::Acquire)
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Command>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Running attempts of one call, as futures.
pub struct AttemptSet<T>(Vec<Pin<Box<dyn Future<Output = T> + Send>>>);

impl<T> Default for AttemptSet<T> {
    fn default() -> Self {
        Self(Vec::new())
    }
}

impl<T> AttemptSet<T> {
    /// Adds an attempt; it starts when [`AttemptSet::next`] is polled.
    pub fn push(&mut self, attempt: impl Future<Output = T> + Send + 'static) {
        self.0.push(Box::pin(attempt));
    }

    /// Whether no attempt is running.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Waits until an attempt ends and returns its output; never returns if no attempt is running.
    pub async fn next(&mut self) -> T {
        poll_fn(|cx| {
            for i in 0..self.0.len() {
                if let Poll::Ready(ended) = self.0[i].as_mut().poll(cx) {
                    drop(self.0.swap_remove(i));
                    return Poll::Ready(ended);
                }
            }
            Poll::Pending
        })
        .await
    }
}

impl<T> fmt::Debug for AttemptSet<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("AttemptSet").field(&self.0.len()).finish()
    }
}
