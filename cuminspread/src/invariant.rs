//! The seven invariants, asserted inside the program.
//!
//! Every component gets a [`InvariantChecks`] and reports each check to it. A broken invariant is counted and
//! logged; tests and benchmarks read the counts and fail on any that is not zero.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// An invariant of the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Invariant {
    /// Probe load of a council stays within its budget, in every window and every split.
    ProbeBudget,
    /// An answer goes to the caller of its request, whole.
    OwnAnswer,
    /// `not-run` implies that no server started the request.
    NotRun,
    /// A non-idempotent request starts at most once.
    AtMostOnce,
    /// A leaving server gets no new work after the bound.
    LeavingServer,
    /// A planned stop cuts off no request in flight.
    GracefulStop,
    /// Configuration in force never goes back to an older version.
    ConfigForward,
}

impl Invariant {
    /// All invariants, in the order of the brief.
    pub const ALL: [Self; 7] = [
        Self::ProbeBudget,
        Self::OwnAnswer,
        Self::NotRun,
        Self::AtMostOnce,
        Self::LeavingServer,
        Self::GracefulStop,
        Self::ConfigForward,
    ];

    /// What the invariant states, for operators.
    pub fn statement(self) -> &'static str {
        match self {
            Self::ProbeBudget => "probes of a council's servers stay within the council's budget",
            Self::OwnAnswer => "a caller gets the whole answer to its own request and no other",
            Self::NotRun => "a call answered with not-run was started by no server",
            Self::AtMostOnce => "a non-idempotent request starts at most once",
            Self::LeavingServer => "a leaving server gets no new request after the bound",
            Self::GracefulStop => "a planned stop cuts off no request in flight",
            Self::ConfigForward => "a council's configuration in force never becomes older",
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
    pub fn check(&self, promise: Invariant, holds: bool, detail: impl FnOnce() -> String) -> bool {
        let i = promise as usize;
        self.0.checked[i].fetch_add(1, Ordering::Relaxed);
        if !holds {
            self.0.broken[i].fetch_add(1, Ordering::Relaxed);
            log::error!("event=promise_broken promise={promise} {}", detail());
        }
        holds
    }

    /// Checks made of one invariant.
    pub fn checked(&self, promise: Invariant) -> u64 {
        self.0.checked[promise as usize].load(Ordering::Relaxed)
    }

    /// Checks of one invariant that failed.
    pub fn broken(&self, promise: Invariant) -> u64 {
        self.0.broken[promise as usize].load(Ordering::Relaxed)
    }

    /// Failed checks of all invariants.
    pub fn total_broken(&self) -> u64 {
        Invariant::ALL.into_iter().map(|p| self.broken(p)).sum()
    }
}
