//! The seven invariants that the program checks at run time.
//!
//! Every component gets a clone of [`InvariantChecks`] and reports each check to it. A violation is
//! counted and logged; it stops nothing. Tests and benchmarks fail if any was counted.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// An invariant of the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Invariant {
    /// The probes of a council stay within its budget, in every window and network partition.
    ProbeBudget,
    /// A caller gets the complete response to its own request, and no other.
    OwnAnswer,
    /// `not-run` implies that no server started the request.
    NotRun,
    /// A non-idempotent request starts at most once.
    AtMostOnce,
    /// A server gets no new request after the grace period that begins when it is known to leave.
    LeavingServer,
    /// A graceful stop aborts no request in flight.
    GracefulStop,
    /// The active configuration of a council is never replaced by an older version.
    ConfigForward,
}

impl Invariant {
    /// All invariants, in the order of declaration.
    pub const ALL: [Self; 7] = [
        Self::ProbeBudget,
        Self::OwnAnswer,
        Self::NotRun,
        Self::AtMostOnce,
        Self::LeavingServer,
        Self::GracefulStop,
        Self::ConfigForward,
    ];

    /// The invariant in one sentence, for operators.
    pub fn statement(self) -> &'static str {
        match self {
            Self::ProbeBudget => "probes of a council's servers stay within the council's budget",
            Self::OwnAnswer => "a caller gets the complete response to its own request, no other",
            Self::NotRun => "a call answered with not-run was started by no server",
            Self::AtMostOnce => "a non-idempotent request starts at most once",
            Self::LeavingServer => "a leaving server gets no new request after the grace period",
            Self::GracefulStop => "a graceful stop aborts no request in flight",
            Self::ConfigForward => "a council's active configuration never becomes older",
        }
    }

    /// Label for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::ProbeBudget => "probe_budget",
            Self::OwnAnswer => "own_answer",
            Self::NotRun => "not_run",
            Self::AtMostOnce => "at_most_once",
            Self::LeavingServer => "leaving_server",
            Self::GracefulStop => "graceful_stop",
            Self::ConfigForward => "config_forward",
        }
    }
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

#[derive(Debug, Default)]
struct Counts {
    checked: [AtomicU64; 7],
    broken: [AtomicU64; 7],
}

/// Shared counts of checks made and checks failed, per invariant.
#[derive(Debug, Clone, Default)]
pub struct InvariantChecks(Arc<Counts>);

impl InvariantChecks {
    /// Records one check; `detail` is evaluated only if it failed. Returns `holds`.
    pub fn check(
        &self,
        invariant: Invariant,
        holds: bool,
        detail: impl FnOnce() -> String,
    ) -> bool {
        let i = invariant as usize;
        self.0.checked[i].fetch_add(1, Ordering::Relaxed);
        if !holds {
            self.0.broken[i].fetch_add(1, Ordering::Relaxed);
            log::error!("event=promise_broken promise={invariant} {}", detail());
        }
        holds
    }

    /// Checks of one invariant since the start, passed or failed.
    pub fn checked(&self, invariant: Invariant) -> u64 {
        self.0.checked[invariant as usize].load(Ordering::Relaxed)
    }

    /// Failed checks of one invariant since the start.
    pub fn broken(&self, invariant: Invariant) -> u64 {
        self.0.broken[invariant as usize].load(Ordering::Relaxed)
    }

    /// Failed checks of all invariants since the start.
    pub fn total_broken(&self) -> u64 {
        Invariant::ALL.into_iter().map(|i| self.broken(i)).sum()
    }
}
