//! Checks the outcomes that callers received for one operation against the servers' execution log.

use std::fmt;

use cuminspread::invariant::Invariant;

use crate::daemon_addresses::DaemonState;
use crate::standin::execution_log::{Execution, ExecutionLog};

/// Outcome of one attempt as its caller sees it; the words in backticks are values of the outcome
/// header field.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallerOutcome {
    /// `ran`, with the complete response to the attempt of the operation that has this number.
    Ran(u64),
    /// `ran`, but the body is not a complete response to the operation.
    WrongResponse,
    /// `ran`, with a status of the server that isn't 2xx.
    Failed,
    /// `not-run`.
    NotRun,
    /// `unknown`.
    Unknown,
    /// The response has no outcome header field, or an unknown value in it.
    NoOutcome,
    /// The connection was refused.
    ConnectionRefused,
    /// The connection broke before the response was complete.
    ConnectionBroken,
    /// The caller gave up before the response was complete.
    TimedOut,
}

impl CallerOutcome {
    /// Label for reports.
    pub fn label(self) -> &'static str {
        match self {
            Self::Ran(_) => "ran",
            Self::WrongResponse => "wrong",
            Self::Failed => "failed",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::NoOutcome => "no-outcome",
            Self::ConnectionRefused => "refused",
            Self::ConnectionBroken => "broken",
            Self::TimedOut => "gone",
        }
    }
}

/// One attempt and its outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// Number, unique in a run and growing with time.
    pub number: u64,
    /// Outcome for the caller.
    pub outcome: CallerOutcome,
    /// State of the daemon that handled it, when the caller received the outcome.
    pub daemon_state: DaemonState,
}

/// One operation and all its attempts in order; each began after the previous attempt had ended.
#[derive(Debug, Clone)]
pub struct Operation {
    /// Name, unique in a run.
    pub name: String,
    /// The route allows servers to run it more than once.
    pub idempotent: bool,
    /// Attempts; empty if no daemon was known.
    pub attempts: Vec<Attempt>,
}

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Invariant that does not hold.
    pub invariant: Invariant,
    /// What was seen, for people.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.invariant, self.detail)
    }
}

impl Operation {
    /// Checks all attempts against the servers' execution log. The result is final once all attempts
    /// are `Ran` or no server can start one any more.
    pub fn check(&self, execution_log: &ExecutionLog) -> Vec<Violation> {
        let executions = execution_log.executions(&self.name);
        let mut violations = Vec::new();
        if !self.idempotent && executions.len() > 1 {
            violations.push(self.violation(Invariant::AtMostOnce, &executions));
        }
        for attempt in &self.attempts {
            if let Some(invariant) = self.violated_by(attempt, &executions) {
                violations.push(self.violation(invariant, &executions));
            }
        }
        violations
    }

    fn violation(&self, invariant: Invariant, executions: &[Execution]) -> Violation {
        let outcomes: Vec<String> = self
            .attempts
            .iter()
            .map(|a| format!("{}={}", a.number, a.outcome.label()))
            .collect();
        let starts: Vec<String> = executions
            .iter()
            .map(|e| format!("{}@{}", e.attempt, e.server))
            .collect();
        Violation {
            invariant,
            detail: format!(
                "operation={} told={} starts={}",
                self.name,
                outcomes.join(","),
                starts.join(",")
            ),
        }
    }

    /// Invariant that an attempt's outcome violates.
    ///
    /// Callers retry an operation that isn't idempotent only when they know that it did not run. A
    /// `not-run` for such an operation is therefore false if any earlier attempt ran.
    fn violated_by(&self, attempt: &Attempt, executions: &[Execution]) -> Option<Invariant> {
        let number = attempt.number;
        let counts = |e: &Execution| {
            let earlier = !self.idempotent && e.attempt < number;
            earlier || e.attempt == number
        };
        match attempt.outcome {
            CallerOutcome::Ran(ran) if executions.iter().any(|e| e.attempt == ran) => None,
            CallerOutcome::Ran(_) | CallerOutcome::WrongResponse | CallerOutcome::NoOutcome => {
                Some(Invariant::OwnAnswer)
            }
            CallerOutcome::NotRun => executions.iter().any(counts).then_some(Invariant::NotRun),
            CallerOutcome::ConnectionBroken if attempt.daemon_state == DaemonState::Stopping => {
                let cut_off = executions.iter().any(|e| e.attempt == number && e.complete);
                cut_off.then_some(Invariant::GracefulStop)
            }
            CallerOutcome::Failed
            | CallerOutcome::Unknown
            | CallerOutcome::ConnectionRefused
            | CallerOutcome::ConnectionBroken
            | CallerOutcome::TimedOut => None,
        }
    }
}
