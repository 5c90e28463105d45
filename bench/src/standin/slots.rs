//! Slots and queue of a server, with deadlines and cancellation before start.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};

use crate::standin::execution_log::lock;

/// Answer to a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cancelled {
    /// The request had not started and never will.
    BeforeStart,
    /// The request has started.
    Started,
    /// No such request runs or waits.
    Unknown,
}

impl Cancelled {
    /// Body of the answer.
    pub fn label(self) -> &'static str {
        match self {
            Self::BeforeStart => "before-start",
            Self::Started => "started",
            Self::Unknown => "unknown",
        }
    }
}

#[derive(Debug)]
enum Phase {
    Waiting(oneshot::Sender<()>),
    Started,
}

/// Slots and queue of one server.
#[derive(Debug)]
pub struct Slots {
    semaphore: Arc<Semaphore>,
    limit: usize,
    in_flight: AtomicUsize,
    calls: Mutex<HashMap<String, Phase>>,
}

/// A started request; gives its slot back when dropped.
#[derive(Debug)]
pub struct Running {
    _permit: OwnedSemaphorePermit,
    _entry: Entry,
}

#[derive(Debug)]
struct Entry {
    slots: Arc<Slots>,
    call: String,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.slots.in_flight.fetch_sub(1, Ordering::Relaxed);
        lock(&self.slots.calls).remove(&self.call);
    }
}

impl Slots {
    /// Server with this many slots and places to wait.
    pub fn new(slots: usize, queue: usize) -> Arc<Self> {
        Arc::new(Self {
            semaphore: Arc::new(Semaphore::new(slots)),
            limit: slots + queue,
            in_flight: AtomicUsize::new(0),
            calls: Mutex::new(HashMap::new()),
        })
    }

    /// Requests that run or wait.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Waits for a slot; `None` if the request is refused before its start.
    pub async fn admit(self: &Arc<Self>, call: &str, left: Duration) -> Option<Running> {
        let earlier = self.in_flight.fetch_add(1, Ordering::Relaxed);
        let entry = Entry {
            slots: Arc::clone(self),
            call: call.to_owned(),
        };
        if earlier >= self.limit {
            return None;
        }
        let (tx, rx) = oneshot::channel();
        lock(&self.calls).insert(call.to_owned(), Phase::Waiting(tx));
        let permit = tokio::select! {
            biased;
            _ = rx => return None,
            () = tokio::time::sleep(left) => return None,
            permit = Arc::clone(&self.semaphore).acquire_owned() => permit.ok()?,
        };
        self.begin(call).then_some(Running {
            _permit: permit,
            _entry: entry,
        })
    }

    fn begin(&self, call: &str) -> bool {
        match lock(&self.calls).get_mut(call) {
            Some(phase @ Phase::Waiting(_)) => {
                *phase = Phase::Started;
                true
            }
            _ => false,
        }
    }

    /// Cancels a request that has not started.
    pub fn cancel(&self, call: &str) -> Cancelled {
        let mut calls = lock(&self.calls);
        match calls.remove(call) {
            Some(Phase::Waiting(tx)) => {
                drop(tx);
                Cancelled::BeforeStart
            }
            Some(Phase::Started) => {
                calls.insert(call.to_owned(), Phase::Started);
                Cancelled::Started
            }
            None => Cancelled::Unknown,
        }
    }
}
