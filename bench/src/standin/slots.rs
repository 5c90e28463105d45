//! Slots and wait queue of a server, with deadlines and cancellation of waiting requests.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};

use crate::standin::execution_log::lock;

/// Result of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelResult {
    /// The request was waiting and will not start.
    BeforeStart,
    /// The request has started and goes on.
    Started,
    /// No request of this call runs or waits.
    Unknown,
}

impl CancelResult {
    /// Response body.
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
    /// Dropping the sender ends the wait.
    Waiting(oneshot::Sender<()>),
    Started,
}

/// Slots and wait queue of one server.
#[derive(Debug)]
pub struct Slots {
    semaphore: Arc<Semaphore>,
    max_in_flight: usize,
    in_flight: AtomicUsize,
    /// Requests that wait or run, by call id.
    calls: Mutex<HashMap<String, Phase>>,
}

/// A started request; dropping it frees the slot.
#[derive(Debug)]
pub struct Running {
    _permit: OwnedSemaphorePermit,
    _in_flight: InFlight,
}

#[derive(Debug)]
/// Counts a request as in flight until it is dropped.
struct InFlight {
    slots: Arc<Slots>,
    call: String,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.slots.in_flight.fetch_sub(1, Ordering::Relaxed);
        lock(&self.slots.calls).remove(&self.call);
    }
}

impl Slots {
    /// Slots of an idle server, with room for `queue` waiting requests.
    pub fn new(slots: usize, queue: usize) -> Arc<Self> {
        Arc::new(Self {
            semaphore: Arc::new(Semaphore::new(slots)),
            max_in_flight: slots + queue,
            in_flight: AtomicUsize::new(0),
            calls: Mutex::new(HashMap::new()),
        })
    }

    /// Requests that run or wait for a slot.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Waits for a slot, at most for `max_wait`. `None` if the queue is full, the wait too long or
    /// the request cancelled; it has not started then.
    pub async fn admit(self: &Arc<Self>, call: &str, max_wait: Duration) -> Option<Running> {
        let in_flight_before = self.in_flight.fetch_add(1, Ordering::Relaxed);
        let in_flight = InFlight {
            slots: Arc::clone(self),
            call: call.to_owned(),
        };
        if in_flight_before >= self.max_in_flight {
            return None;
        }
        let (tx, rx) = oneshot::channel();
        lock(&self.calls).insert(call.to_owned(), Phase::Waiting(tx));
        let permit = tokio::select! {
            biased;
            _ = rx => return None,
            () = tokio::time::sleep(max_wait) => return None,
            permit = Arc::clone(&self.semaphore).acquire_owned() => permit.ok()?,
        };
        self.begin(call).then_some(Running {
            _permit: permit,
            _in_flight: in_flight,
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

    /// Cancels a request that waits for a slot.
    pub fn cancel(&self, call: &str) -> CancelResult {
        let mut calls = lock(&self.calls);
        match calls.remove(call) {
            Some(Phase::Waiting(tx)) => {
                drop(tx);
                CancelResult::BeforeStart
            }
            Some(Phase::Started) => {
                calls.insert(call.to_owned(), Phase::Started);
                CancelResult::Started
            }
            None => CancelResult::Unknown,
        }
    }
}
