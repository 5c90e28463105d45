//! Requests of one service that wait for a server.

use std::collections::HashMap;
use std::sync::Arc;

use cuminspread::coordination::wait_queue::{QueuedRequest, Ticket, WaitQueue};
use cuminspread::state::time::Mono;
use tokio::sync::Notify;

/// Requests that wait for a server of one service, and their wakers.
#[derive(Debug, Default)]
pub struct ServiceQueue {
    /// Order in which the requests are sent.
    pub order: WaitQueue,
    /// Earliest time at which the first request probes servers again.
    pub probe_at: Mono,
    waiters: HashMap<Ticket, Arc<Notify>>,
}

impl ServiceQueue {
    /// Adds a request; it is notified when it may be the first.
    pub fn push(&mut self, now: Mono, queued: QueuedRequest) -> (Ticket, Arc<Notify>) {
        let ticket = self.order.push(now, queued);
        let waiter = Arc::new(Notify::new());
        self.waiters.insert(ticket, Arc::clone(&waiter));
        (ticket, waiter)
    }

    /// Removes a request and wakes the first of the rest.
    pub fn remove(&mut self, now: Mono, ticket: Ticket, queued: &QueuedRequest) {
        self.order.remove(ticket, queued);
        self.forget(now, ticket);
    }

    /// Removes a request that is sent and wakes the first of the rest.
    pub fn remove_sent(&mut self, now: Mono, ticket: Ticket, queued: &QueuedRequest) {
        self.order.remove_sent(now, ticket, queued);
        self.forget(now, ticket);
    }

    fn forget(&mut self, now: Mono, ticket: Ticket) {
        self.waiters.remove(&ticket);
        self.wake(now);
    }

    /// Wakes the first request.
    pub fn wake(&mut self, now: Mono) {
        if let Some(waiter) = self.order.head(now).and_then(|t| self.waiters.get(&t)) {
            waiter.notify_one();
        }
    }
}
