//! What callers were told about one operation, compared with what the servers did.

use std::fmt;

use cuminspread::invariant::Invariant;

use crate::daemon_addresses::DaemonState;
use crate::standin::execution_log::{Execution, ExecutionLog};

/// What a caller learned from one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallerOutcome {
    /// `ran`, with the complete answer to this attempt of the operation.
    Ran(u64),
    /// `ran`, but the answer is not the complete answer to the operation.
    WrongResponse,
    /// `ran`, with a status of the server's own that means failure.
    Failed,
    /// `not-run`.
    NotRun,
    /// `unknown`.
    Unknown,
    /// The answer carries no outcome.
    NoOutcome,
    /// The connection was refused.
    ConnectionRefused,
    /// The connection broke.
    ConnectionBroken,
    /// The caller went away before the answer.
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

/// One attempt and what its caller learned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// Number of the attempt, growing in time.
    pub number: u64,
    /// What its caller learned.
    pub outcome: CallerOutcome,
    /// What happened to the daemon that took it, when the caller learned it.
    pub daemon_state: DaemonState,
}

/// One operation and all its attempts, in their order; each began after the one before it had ended.
#[derive(Debug, Clone)]
pub struct Operation {
    /// Name.
    pub name: String,
    /// Running it twice does no harm.
    pub idempotent: bool,
    /// Sendings.
    pub attempts: Vec<Attempt>,
}

/// A broken invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Invariant.
    pub invariant: Invariant,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.invariant, self.detail)
    }
}

impl Operation {
    /// Compares what was told with the servers' record.
    pub fn check(&self, execution_log: &ExecutionLog) -> Vec<Violation> {
        let starts = execution_log.executions(&self.name);
        let mut violations = Vec::new();
        if !self.idempotent && starts.len() > 1 {
            violations.push(self.violation(Invariant::AtMostOnce, &starts));
        }
        for attempt in &self.attempts {
            if let Some(invariant) = self.broken_by(attempt, &starts) {
                violations.push(self.violation(invariant, &starts));
            }
        }
        violations
    }

    fn violation(&self, invariant: Invariant, starts: &[Execution]) -> Violation {
        let told: Vec<String> = self
            .attempts
            .iter()
            .map(|s| format!("{}={}", s.number, s.outcome.label()))
            .collect();
        let ran: Vec<String> = starts
            .iter()
            .map(|s| format!("{}@{}", s.attempt, s.server))
            .collect();
        Violation {
            invariant,
            detail: format!(
                "operation={} told={} starts={}",
                self.name,
                told.join(","),
                ran.join(",")
            ),
        }
    }

    /// An order is sent again only after a proof, so its earlier attempts count, too.
    fn broken_by(&self, attempt: &Attempt, starts: &[Execution]) -> Option<Invariant> {
        let number = attempt.number;
        let meant = |s: &Execution| {
            let earlier = !self.idempotent && s.attempt < number;
            earlier || s.attempt == number
        };
        match attempt.outcome {
            CallerOutcome::Ran(ran) if starts.iter().any(|s| s.attempt == ran) => None,
            CallerOutcome::Ran(_) | CallerOutcome::WrongResponse | CallerOutcome::NoOutcome => {
                Some(Invariant::OwnAnswer)
            }
            CallerOutcome::NotRun => starts.iter().any(meant).then_some(Invariant::NotRun),
            CallerOutcome::ConnectionBroken if attempt.daemon_state == DaemonState::Stopping => {
                let cut_off = starts.iter().any(|s| s.attempt == number && s.complete);
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
