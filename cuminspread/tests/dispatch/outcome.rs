//! What follows from each ending of an attempt.

use cuminspread::coordination::dispatch::{DispatchSettings, Guards};
use cuminspread::coordination::event::{Ending, Verdict};
use cuminspread::invariant::Invariant;

use crate::support::{Driver, council, sends, verdict};

#[derive(Debug, PartialEq)]
enum Next {
    Deliver,
    NotRun,
    Unknown,
    SentAgain,
}

struct Case {
    idempotent: bool,
    status: Option<u16>,
    ending: Ending,
    next: Next,
}

const fn case(idempotent: bool, status: Option<u16>, ending: Ending, next: Next) -> Case {
    Case {
        idempotent,
        status,
        ending,
        next,
    }
}

#[test]
fn next_step_after_one_ending() {
    let cases = [
        case(false, Some(200), Ending::Whole, Next::Deliver),
        case(true, Some(500), Ending::Whole, Next::Deliver),
        case(false, Some(503), Ending::Whole, Next::SentAgain),
        case(false, None, Ending::Refused, Next::SentAgain),
        case(false, None, Ending::NotSent, Next::SentAgain),
        case(false, None, Ending::CancelledBeforeStart, Next::SentAgain),
        case(false, None, Ending::Broken, Next::Unknown),
        case(false, Some(200), Ending::Broken, Next::Unknown),
        case(false, None, Ending::TimedOut, Next::Unknown),
        case(true, None, Ending::Broken, Next::SentAgain),
        case(true, Some(200), Ending::Broken, Next::SentAgain),
    ];
    for case in cases {
        let mut driver = Driver::new(DispatchSettings::default(), &council("east", 4, 2));
        let call = driver.new_call(case.idempotent);
        assert_eq!(sends(&driver.receive(&call)), 1);
        if let Some(status) = case.status {
            driver.head(&call, 0, status);
        }
        let actions = driver.end(&call, 0, case.ending);
        let next = match verdict(&actions) {
            Some(Verdict::Deliver(_)) => Next::Deliver,
            Some(Verdict::NotRun { .. }) => Next::NotRun,
            Some(Verdict::Unknown(_)) => Next::Unknown,
            None => {
                assert_eq!(sends(&actions), 1, "neither finished nor sent again");
                Next::SentAgain
            }
        };
        assert_eq!(next, case.next, "{:?} {:?}", case.status, case.ending);
        assert_eq!(driver.broken(), 0);
    }
}

/// After two failed attempts the verdict follows from both endings.
#[test]
fn verdict_after_two_endings() {
    let cases = [
        (Ending::NotSent, Ending::NotSent, Next::NotRun),
        (Ending::NotSent, Ending::Broken, Next::Unknown),
        (Ending::Broken, Ending::NotSent, Next::Unknown),
    ];
    for (first, second, expected) in cases {
        let mut driver = Driver::new(DispatchSettings::default(), &council("east", 4, 2));
        let call = driver.new_call(true);
        driver.receive(&call);
        assert_eq!(sends(&driver.end(&call, 0, first)), 1);
        let actions = driver.end(&call, 1, second);
        let next = match verdict(&actions) {
            Some(Verdict::NotRun { .. }) => Next::NotRun,
            Some(Verdict::Unknown(_)) => Next::Unknown,
            other => panic!("{other:?}"),
        };
        assert_eq!(next, expected, "{first:?} {second:?}");
    }
}

/// Without a guard the check of its invariant fails.
#[test]
fn checks_fail_without_guards() {
    let no_proof = Guards {
        proof: false,
        ..Guards::default()
    };
    let no_outcome = Guards {
        outcome: false,
        ..Guards::default()
    };
    let cases = [
        (Guards::default(), Invariant::AtMostOnce, false),
        (Guards::default(), Invariant::NotRun, false),
        (no_proof, Invariant::AtMostOnce, true),
        (no_outcome, Invariant::NotRun, true),
    ];
    for (guards, invariant, fails) in cases {
        let settings = DispatchSettings {
            guards: guards.clone(),
            ..DispatchSettings::default()
        };
        let mut driver = Driver::new(settings, &council("east", 4, 2));
        let call = driver.new_call(false);
        driver.receive(&call);
        driver.end(&call, 0, Ending::Broken);
        let invariants = driver.dispatcher.invariants();
        assert!(invariants.checked(invariant) > 0, "{invariant} {guards:?}");
        assert_eq!(
            invariants.broken(invariant) > 0,
            fails,
            "{invariant} {guards:?}"
        );
    }
}
