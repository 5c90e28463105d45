//! What the servers executed, against which the outcomes that callers received are checked.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// One start of an operation at a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Execution {
    /// Number of the attempt that the server ran.
    pub attempt: u64,
    /// Name of the server.
    pub server: String,
    /// The server sends its complete response; false if it cut the response off.
    pub complete: bool,
}

/// Log that all stand-in servers of a deployment write to.
#[derive(Debug, Default)]
pub struct ExecutionLog {
    executions: Mutex<HashMap<String, Vec<Execution>>>,
    probes: Mutex<HashMap<String, Vec<Instant>>>,
    late_requests: Mutex<Vec<LateRequest>>,
}

/// Request that reached a leaving server after its grace time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LateRequest {
    /// Name of the server.
    pub server: String,
    /// Time since the server began to leave.
    pub after: Duration,
}

impl ExecutionLog {
    /// Records that a server starts an operation.
    pub fn record_execution(&self, operation: &str, execution: Execution) {
        let mut executions = lock(&self.executions);
        executions
            .entry(operation.to_owned())
            .or_default()
            .push(execution);
    }

    /// Executions of an operation, in the order of their starts.
    pub fn executions(&self, operation: &str) -> Vec<Execution> {
        lock(&self.executions)
            .get(operation)
            .cloned()
            .unwrap_or_default()
    }

    /// Records that a server cut off its response to an attempt.
    pub fn record_cut_off(&self, operation: &str, attempt: u64) {
        let mut executions = lock(&self.executions);
        let of_operation = executions.get_mut(operation).into_iter().flatten();
        for execution in of_operation.filter(|e| e.attempt == attempt) {
            execution.complete = false;
        }
    }

    /// Drops the executions of an operation, to bound the memory of a long run.
    pub fn remove(&self, operation: &str) {
        lock(&self.executions).remove(operation);
    }

    /// Records a probe of one of a council's servers.
    pub fn record_probe(&self, council: &str) {
        let mut probes = lock(&self.probes);
        let times = probes.entry(council.to_owned()).or_default();
        times.push(Instant::now());
    }

    /// Number of probes of a council so far.
    pub fn probes(&self, council: &str) -> usize {
        lock(&self.probes).get(council).map_or(0, Vec::len)
    }

    /// Largest number of probes of a council within any window of this length.
    pub fn max_probes(&self, council: &str, window: Duration) -> usize {
        let probes = lock(&self.probes);
        let Some(times) = probes.get(council) else {
            return 0;
        };
        let mut first = 0;
        let mut max = 0;
        for (i, time) in times.iter().enumerate() {
            while time.duration_since(times[first]) > window {
                first += 1;
            }
            max = max.max(i + 1 - first);
        }
        max
    }

    /// Records a request that reached a leaving server after its grace time.
    pub fn record_late_request(&self, request: LateRequest) {
        lock(&self.late_requests).push(request);
    }

    /// All requests that reached a leaving server after its grace time.
    pub fn late_requests(&self) -> Vec<LateRequest> {
        lock(&self.late_requests).clone()
    }
}

/// Locks a mutex; a panic of an earlier holder is ignored.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
