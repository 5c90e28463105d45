//! The comparison of told outcomes with the servers' record finds each kind of false outcome.

use cuminspread::invariant::Invariant;
use cuminspread_bench::daemon_addresses::DaemonState;
use cuminspread_bench::operation::{Attempt, CallerOutcome, Operation};
use cuminspread_bench::standin::execution_log::{Execution, ExecutionLog};

struct Case {
    name: &'static str,
    idempotent: bool,
    told: &'static [(u64, CallerOutcome)],
    daemon_state: DaemonState,
    started: &'static [u64],
    broken: &'static [Invariant],
}

const HONEST: Case = Case {
    name: "ran once",
    idempotent: false,
    told: &[(1, CallerOutcome::Ran(1))],
    daemon_state: DaemonState::Serving,
    started: &[1],
    broken: &[],
};

const CASES: &[Case] = &[
    HONEST,
    Case {
        name: "ran twice",
        told: &[(1, CallerOutcome::Unknown), (2, CallerOutcome::Ran(2))],
        started: &[1, 2],
        broken: &[Invariant::AtMostOnce],
        ..HONEST
    },
    Case {
        name: "idempotent twice",
        idempotent: true,
        told: &[(1, CallerOutcome::Ran(2))],
        started: &[1, 2],
        ..HONEST
    },
    Case {
        name: "false not-run",
        told: &[(1, CallerOutcome::NotRun)],
        broken: &[Invariant::NotRun],
        ..HONEST
    },
    Case {
        name: "not-run after an earlier start",
        told: &[(1, CallerOutcome::Unknown), (2, CallerOutcome::NotRun)],
        broken: &[Invariant::NotRun],
        ..HONEST
    },
    Case {
        name: "status check that ran before and is refused now",
        idempotent: true,
        told: &[(1, CallerOutcome::Unknown), (2, CallerOutcome::NotRun)],
        ..HONEST
    },
    Case {
        name: "status check told not-run though it started",
        idempotent: true,
        told: &[(1, CallerOutcome::NotRun)],
        broken: &[Invariant::NotRun],
        ..HONEST
    },
    Case {
        name: "not-run, then run on request",
        told: &[(1, CallerOutcome::NotRun), (2, CallerOutcome::Ran(2))],
        started: &[2],
        ..HONEST
    },
    Case {
        name: "ran without a start",
        started: &[],
        broken: &[Invariant::OwnAnswer],
        ..HONEST
    },
    Case {
        name: "wrong answer",
        told: &[(1, CallerOutcome::WrongResponse)],
        broken: &[Invariant::OwnAnswer],
        ..HONEST
    },
    Case {
        name: "no outcome told",
        told: &[(1, CallerOutcome::NoOutcome)],
        broken: &[Invariant::OwnAnswer],
        ..HONEST
    },
    Case {
        name: "cut off by a planned stop",
        told: &[(1, CallerOutcome::ConnectionBroken)],
        daemon_state: DaemonState::Stopping,
        broken: &[Invariant::GracefulStop],
        ..HONEST
    },
    Case {
        name: "cut off by a kill",
        told: &[(1, CallerOutcome::ConnectionBroken)],
        daemon_state: DaemonState::Killed,
        ..HONEST
    },
];

#[test]
fn false_words_are_found() {
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
        let attempts = case.told.iter().map(|(number, outcome)| Attempt {
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
        let broken: Vec<Invariant> = violations.iter().map(|b| b.invariant).collect();
        assert_eq!(broken, case.broken, "{}", case.name);
    }
}
