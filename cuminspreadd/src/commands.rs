//! What the dispatcher asks of one call, and the attempts that follow.
//!
//! Most calls have a handful of orders and one attempt, so both are plain vectors: a channel and a
//! set of futures with wakers of their own would cost more than the rest of the call.

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

/// What a call's task is asked to do.
#[derive(Debug)]
pub enum Command {
    /// Send an attempt.
    Send(SendCommand),
    /// Cancel an attempt.
    Cancel(Attempt),
    /// Answer the caller.
    Finish(Verdict),
}

/// One attempt to send.
#[derive(Debug)]
pub struct SendCommand {
    /// Attempt.
    pub attempt: Attempt,
    /// Server to send to.
    pub upstream: Arc<Upstream>,
    /// Connection to use.
    pub connection: Connection,
    /// Extra attempts to pass on to the server's own calls.
    pub retry_budget: u8,
}

/// Orders for one call, in the order in which they were decided.
#[derive(Debug, Default)]
pub struct CommandQueue {
    queue: Mutex<VecDeque<Command>>,
    closed: AtomicBool,
    changed: Notify,
}

impl CommandQueue {
    /// Adds an order.
    pub fn push(&self, command: Command) {
        self.lock().push_back(command);
        self.changed.notify_one();
    }

    /// Takes the next order.
    pub fn next(&self) -> Option<Command> {
        self.lock().pop_front()
    }

    /// Ends the call without any further order.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Release);
        self.changed.notify_one();
    }

    /// Waits until there may be an order; false once the call has to end.
    pub async fn wait(&self) -> bool {
        self.changed.notified().await;
        !self.closed.load(Ordering::Acquire)
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Command>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Attempts of one call that have not ended.
pub struct AttemptSet<T>(Vec<Pin<Box<dyn Future<Output = T> + Send>>>);

impl<T> Default for AttemptSet<T> {
    fn default() -> Self {
        Self(Vec::new())
    }
}

impl<T> AttemptSet<T> {
    /// Adds an attempt.
    pub fn push(&mut self, attempt: impl Future<Output = T> + Send + 'static) {
        self.0.push(Box::pin(attempt));
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Waits until one ends; for ever if there is none.
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
