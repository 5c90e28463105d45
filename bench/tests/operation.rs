//! The comparison of told outcomes with the servers' record finds each kind of false word.

use cuminspread::invariant::Invariant;
use cuminspread_bench::fronts::FrontState;
use cuminspread_bench::operation::{Operation, Sending, Word};
use cuminspread_bench::standin::ledger::{Ledger, Start};

struct Case {
    name: &'static str,
    idempotent: bool,
    told: &'static [(u64, Word)],
    front: FrontState,
    started: &'static [u64],
    broken: &'static [Invariant],
}

const HONEST: Case = Case {
    name: "ran once",
    idempotent: false,
    told: &[(1, Word::Ran(1))],
    front: FrontState::Serving,
    started: &[1],
    broken: &[],
};

const CASES: &[Case] = &[
    HONEST,
    Case {
        name: "ran twice",
        told: &[(1, Word::Unknown), (2, Word::Ran(2))],
        started: &[1, 2],
        broken: &[Invariant::AtMostOnce],
        ..HONEST
    },
    Case {
        name: "idempotent twice",
        idempotent: true,
        told: &[(1, Word::Ran(2))],
        started: &[1, 2],
        ..HONEST
    },
    Case {
        name: "false not-run",
        told: &[(1, Word::NotRun)],
        broken: &[Invariant::NotRun],
        ..HONEST
    },
    Case {
        name: "not-run after an earlier start",
        told: &[(1, Word::Unknown), (2, Word::NotRun)],
        broken: &[Invariant::NotRun],
        ..HONEST
    },
    Case {
        name: "status check that ran before and is refused now",
        idempotent: true,
        told: &[(1, Word::Unknown), (2, Word::NotRun)],
        ..HONEST
    },
    Case {
        name: "status check told not-run though it started",
        idempotent: true,
        told: &[(1, Word::NotRun)],
        broken: &[Invariant::NotRun],
        ..HONEST
    },
    Case {
        name: "not-run, then run on request",
        told: &[(1, Word::NotRun), (2, Word::Ran(2))],
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
        told: &[(1, Word::Wrong)],
        broken: &[Invariant::OwnAnswer],
        ..HONEST
    },
    Case {
        name: "no outcome told",
        told: &[(1, Word::NoOutcome)],
        broken: &[Invariant::OwnAnswer],
        ..HONEST
    },
    Case {
        name: "cut off by a planned stop",
        told: &[(1, Word::Broken)],
        front: FrontState::Stopping,
        broken: &[Invariant::GracefulStop],
        ..HONEST
    },
    Case {
        name: "cut off by a kill",
        told: &[(1, Word::Broken)],
        front: FrontState::Killed,
        ..HONEST
    },
];

#[test]
fn false_words_are_found() {
    for case in CASES {
        let ledger = Ledger::default();
        for sending in case.started {
            let start = Start {
                sending: *sending,
                server: "s".to_owned(),
                whole: true,
            };
            ledger.start("op", start);
        }
        let sendings = case.told.iter().map(|(number, word)| Sending {
            number: *number,
            word: *word,
            front: case.front,
        });
        let operation = Operation {
            name: "op".to_owned(),
            idempotent: case.idempotent,
            sendings: sendings.collect(),
        };
        let breaches = operation.check(&ledger);
        let broken: Vec<Invariant> = breaches.iter().map(|b| b.promise).collect();
        assert_eq!(broken, case.broken, "{}", case.name);
    }
}
