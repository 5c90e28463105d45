//! The check of outcomes against the servers' execution log finds each kind of violation, and
//! nothing in correct runs.

use cuminspread::invariant::Invariant;
use cuminspread_bench::daemon_addresses::DaemonState;
use cuminspread_bench::operation::{Attempt, CallerOutcome, Operation};
use cuminspread_bench::standin::execution_log::{Execution, ExecutionLog};

struct Case {
    name: &'static str,
    idempotent: bool,
    /// Number and outcome of each attempt.
    outcomes: &'static [(u64, CallerOutcome)],
    daemon_state: DaemonState,
    /// Attempts that a server started.
    started: &'static [u64],
    violated: &'static [Invariant],
}

const CORRECT: Case = Case {
    name: "ran once",
    idempotent: false,
    outcomes: &[(1, CallerOutcome::Ran(1))],
    daemon_state: DaemonState::Serving,
    started: &[1],
    violated: &[],
};

const CASES: &[Case] = &[
    CORRECT,
    Case {
        name: "ran twice",
        outcomes: &[(1, CallerOutcome::Unknown), (2, CallerOutcome::Ran(2))],
        started: &[1, 2],
        violated: &[Invariant::AtMostOnce],
        ..CORRECT
    },
    Case {
        name: "idempotent, ran twice",
        idempotent: true,
        outcomes: &[(1, CallerOutcome::Ran(2))],
        started: &[1, 2],
        ..CORRECT
    },
    Case {
        name: "false not-run",
        outcomes: &[(1, CallerOutcome::NotRun)],
        violated: &[Invariant::NotRun],
        ..CORRECT
    },
    Case {
        name: "not-run after an earlier start",
        outcomes: &[(1, CallerOutcome::Unknown), (2, CallerOutcome::NotRun)],
        violated: &[Invariant::NotRun],
        ..CORRECT
    },
    Case {
        name: "idempotent, earlier attempt ran, not-run",
        idempotent: true,
        outcomes: &[(1, CallerOutcome::Unknown), (2, CallerOutcome::NotRun)],
        ..CORRECT
    },
    Case {
        name: "idempotent, false not-run",
        idempotent: true,
        outcomes: &[(1, CallerOutcome::NotRun)],
        violated: &[Invariant::NotRun],
        ..CORRECT
    },
    Case {
        name: "not-run, then ran in a retry",
        outcomes: &[(1, CallerOutcome::NotRun), (2, CallerOutcome::Ran(2))],
        started: &[2],
        ..CORRECT
    },
    Case {
        name: "ran without a start",
        started: &[],
        violated: &[Invariant::OwnAnswer],
        ..CORRECT
    },
    Case {
        name: "wrong response",
        outcomes: &[(1, CallerOutcome::WrongResponse)],
        violated: &[Invariant::OwnAnswer],
        ..CORRECT
    },
    Case {
        name: "no outcome",
        outcomes: &[(1, CallerOutcome::NoOutcome)],
        violated: &[Invariant::OwnAnswer],
        ..CORRECT
    },
    Case {
        name: "cut off by a graceful stop",
        outcomes: &[(1, CallerOutcome::ConnectionBroken)],
        daemon_state: DaemonState::Stopping,
        violated: &[Invariant::GracefulStop],
        ..CORRECT
    },
    Case {
        name: "cut off by a kill",
        outcomes: &[(1, CallerOutcome::ConnectionBroken)],
        daemon_state: DaemonState::Killed,
        ..CORRECT
    },
];

#[test]
fn violations_are_found() {
    for case in CASES {
        let execution_log = ExecutionLog::default();
        for attempt in case.started {
            let execution = Execution {
                attempt: *attempt,
                server: "s".to_owned(),
                complete: true,
            };
            execution_log.record_execution("op", execution);
        }
        let attempts = case.outcomes.iter().map(|(number, outcome)| Attempt {
            number: *number,
            outcome: *outcome,
            daemon_state: case.daemon_state,
        });
        let operation = Operation {
            name: "op".to_owned(),
            idempotent: case.idempotent,
            attempts: attempts.collect(),
        };
        let violations = operation.check(&execution_log);
        let violated: Vec<Invariant> = violations.iter().map(|v| v.invariant).collect();
        assert_eq!(violated, case.violated, "{}", case.name);
    }
}
