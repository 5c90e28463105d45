//! What callers were told about one operation, compared with what the servers did.

use std::fmt;

use cuminspread::invariant::Invariant;

use crate::fronts::FrontState;
use crate::standin::ledger::{Ledger, Start};

/// What a caller learned from one sending.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Word {
    /// `ran`, with the whole answer to this sending of the operation.
    Ran(u64),
    /// `ran`, but the answer is not the whole answer to the operation.
    Wrong,
    /// `ran`, with a status of the server's own that means failure.
    Failed,
    /// `not-run`.
    NotRun,
    /// `unknown`.
    Unknown,
    /// The answer carries no outcome.
    NoOutcome,
    /// The connection was refused.
    Refused,
    /// The connection broke.
    Broken,
    /// The caller went away before the answer.
    Gone,
}

impl Word {
    /// Label for reports.
    pub fn label(self) -> &'static str {
        match self {
            Self::Ran(_) => "ran",
            Self::Wrong => "wrong",
            Self::Failed => "failed",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::NoOutcome => "no-outcome",
            Self::Refused => "refused",
            Self::Broken => "broken",
            Self::Gone => "gone",
        }
    }
}

/// One sending and what its caller learned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sending {
    /// Number of the sending, growing in time.
    pub number: u64,
    /// What its caller learned.
    pub word: Word,
    /// What happened to the daemon that took it, when the caller learned it.
    pub front: FrontState,
}

/// One operation and all its sendings, in their order; each began after the one before it had ended.
#[derive(Debug, Clone)]
pub struct Operation {
    /// Name.
    pub name: String,
    /// Running it twice does no harm.
    pub idempotent: bool,
    /// Sendings.
    pub sendings: Vec<Sending>,
}

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Breach {
    /// Invariant.
    pub promise: Invariant,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise, self.detail)
    }
}

impl Operation {
    /// Compares what was told with the servers' record.
    pub fn check(&self, ledger: &Ledger) -> Vec<Breach> {
        let starts = ledger.starts(&self.name);
        let mut breaches = Vec::new();
        if !self.idempotent && starts.len() > 1 {
            breaches.push(self.breach(Invariant::AtMostOnce, &starts));
        }
        for sending in &self.sendings {
            if let Some(promise) = self.broken_by(sending, &starts) {
                breaches.push(self.breach(promise, &starts));
            }
        }
        breaches
    }

    fn breach(&self, promise: Invariant, starts: &[Start]) -> Breach {
        let told: Vec<String> = self
            .sendings
            .iter()
            .map(|s| format!("{}={}", s.number, s.word.label()))
            .collect();
        let ran: Vec<String> = starts
            .iter()
            .map(|s| format!("{}@{}", s.sending, s.server))
            .collect();
        Breach {
            promise,
            detail: format!(
                "operation={} told={} starts={}",
                self.name,
                told.join(","),
                ran.join(",")
            ),
        }
    }

    /// An order is sent again only after a proof, so its earlier sendings count, too.
    fn broken_by(&self, sending: &Sending, starts: &[Start]) -> Option<Invariant> {
        let number = sending.number;
        let meant = |s: &Start| {
            let earlier = !self.idempotent && s.sending < number;
            earlier || s.sending == number
        };
        match sending.word {
            Word::Ran(ran) if starts.iter().any(|s| s.sending == ran) => None,
            Word::Ran(_) | Word::Wrong | Word::NoOutcome => Some(Invariant::OwnAnswer),
            Word::NotRun => starts.iter().any(meant).then_some(Invariant::NotRun),
            Word::Broken if sending.front == FrontState::Stopping => {
                let cut_off = starts.iter().any(|s| s.sending == number && s.whole);
                cut_off.then_some(Invariant::GracefulStop)
            }
            Word::Failed | Word::Unknown | Word::Refused | Word::Broken | Word::Gone => None,
        }
    }
}
