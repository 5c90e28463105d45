//! What really happened at the servers, against which told outcomes are compared.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// One start of an operation at a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Execution {
    /// Attempt that the server ran.
    pub attempt: u64,
    /// Server.
    pub server: String,
    /// The server gave, or will give, its complete answer.
    pub complete: bool,
}

/// Record that all stand-ins of a deployment write to.
#[derive(Debug, Default)]
pub struct ExecutionLog {
    starts: Mutex<HashMap<String, Vec<Execution>>>,
    probes: Mutex<HashMap<String, Vec<Instant>>>,
    late: Mutex<Vec<LateWork>>,
}

/// Work that reached a leaving server after the bound.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LateWork {
    /// Server.
    pub server: String,
    /// Time since the server began to leave.
    pub after: Duration,
}

impl ExecutionLog {
    /// Records that a server starts an operation.
    pub fn start(&self, operation: &str, start: Execution) {
        let mut starts = lock(&self.starts);
        starts.entry(operation.to_owned()).or_default().push(start);
    }

    /// Starts of an operation, in their order.
    pub fn executions(&self, operation: &str) -> Vec<Execution> {
        lock(&self.starts)
            .get(operation)
            .cloned()
            .unwrap_or_default()
    }

    /// Records that a server broke off its answer to an attempt.
    pub fn broke_off(&self, operation: &str, attempt: u64) {
        let mut starts = lock(&self.starts);
        let own = starts.get_mut(operation).into_iter().flatten();
        for start in own.filter(|s| s.attempt == attempt) {
            start.complete = false;
        }
    }

    /// Drops the record of an operation.
    pub fn remove(&self, operation: &str) {
        lock(&self.starts).remove(operation);
    }

    /// Records a probe of a council's server.
    pub fn probe(&self, council: &str) {
        let mut probes = lock(&self.probes);
        let times = probes.entry(council.to_owned()).or_default();
        times.push(Instant::now());
    }

    /// Probes of a council so far.
    pub fn probes(&self, council: &str) -> usize {
        lock(&self.probes).get(council).map_or(0, Vec::len)
    }

    /// Most probes of a council within any window of this length.
    pub fn most_probes(&self, council: &str, window: Duration) -> usize {
        let probes = lock(&self.probes);
        let Some(times) = probes.get(council) else {
            return 0;
        };
        let mut first = 0;
        let mut most = 0;
        for (i, time) in times.iter().enumerate() {
            while time.duration_since(times[first]) > window {
                first += 1;
            }
            most = most.max(i + 1 - first);
        }
        most
    }

    /// Records work that reached a leaving server after the bound.
    pub fn late(&self, work: LateWork) {
        lock(&self.late).push(work);
    }

    /// All work that reached a leaving server after the bound.
    pub fn late_work(&self) -> Vec<LateWork> {
        lock(&self.late).clone()
    }
}

/// Locks a mutex, also after a panic elsewhere.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
