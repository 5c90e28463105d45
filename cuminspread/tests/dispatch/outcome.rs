//! Outcomes: what follows from each ending of an attempt.

use cuminspread::coordination::dispatch::{DispatchSettings, Guards};
use cuminspread::coordination::event::{Ending, Verdict};
use cuminspread::invariant::Invariant;

use crate::support::{Driver, council, sends, verdict};

#[derive(Debug, PartialEq)]
enum Then {
    Deliver,
    NotRun,
    Unknown,
    SentAgain,
}

struct Case {
    idempotent: bool,
    status: Option<u16>,
    ending: Ending,
    then: Then,
}

const fn case(idempotent: bool, status: Option<u16>, ending: Ending, then: Then) -> Case {
    Case {
        idempotent,
        status,
        ending,
        then,
    }
}

#[test]
fn endings() {
    let cases = [
        case(false, Some(200), Ending::Complete, Then::Deliver),
        case(true, Some(500), Ending::Complete, Then::Deliver),
        case(false, Some(503), Ending::Complete, Then::SentAgain),
        case(false, None, Ending::Refused, Then::SentAgain),
        case(false, None, Ending::NotSent, Then::SentAgain),
        case(false, None, Ending::CancelledBeforeStart, Then::SentAgain),
        case(false, None, Ending::Broken, Then::Unknown),
        case(false, Some(200), Ending::Broken, Then::Unknown),
        case(false, None, Ending::TimedOut, Then::Unknown),
        case(true, None, Ending::Broken, Then::SentAgain),
        case(true, Some(200), Ending::Broken, Then::SentAgain),
    ];
    for case in cases {
        let mut driver = Driver::new(DispatchSettings::default(), &council("east", 4, 2));
        let call = driver.call(case.idempotent);
        assert_eq!(sends(&driver.arrive(&call)), 1);
        if let Some(status) = case.status {
            driver.head(&call, 0, status);
        }
        let actions = driver.end(&call, 0, case.ending);
        let then = match verdict(&actions) {
            Some(Verdict::Deliver(_)) => Then::Deliver,
            Some(Verdict::NotRun { .. }) => Then::NotRun,
            Some(Verdict::Unknown(_)) => Then::Unknown,
            None => {
                assert_eq!(sends(&actions), 1, "neither finished nor sent again");
                Then::SentAgain
            }
        };
        assert_eq!(then, case.then, "{:?} {:?}", case.status, case.ending);
        assert_eq!(driver.broken(), 0);
    }
}

/// Two attempts fail in turn; the verdict follows from both.
#[test]
fn two_endings() {
    let cases = [
        (Ending::NotSent, Ending::NotSent, Then::NotRun),
        (Ending::NotSent, Ending::Broken, Then::Unknown),
        (Ending::Broken, Ending::NotSent, Then::Unknown),
    ];
    for (first, second, expected) in cases {
        let mut driver = Driver::new(DispatchSettings::default(), &council("east", 4, 2));
        let call = driver.call(true);
        driver.arrive(&call);
        assert_eq!(sends(&driver.end(&call, 0, first)), 1);
        let actions = driver.end(&call, 1, second);
        let then = match verdict(&actions) {
            Some(Verdict::NotRun { .. }) => Then::NotRun,
            Some(Verdict::Unknown(_)) => Then::Unknown,
            other => panic!("{other:?}"),
        };
        assert_eq!(then, expected, "{first:?} {second:?}");
    }
}

/// With a guard off, its invariant is seen broken.
#[test]
fn guards() {
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
    for (guards, promise, breaks) in cases {
        let settings = DispatchSettings {
            guards: guards.clone(),
            ..DispatchSettings::default()
        };
        let mut driver = Driver::new(settings, &council("east", 4, 2));
        let call = driver.call(false);
        driver.arrive(&call);
        driver.end(&call, 0, Ending::Broken);
        let invariants = driver.dispatcher.invariants();
        assert!(invariants.checked(promise) > 0, "{promise} {guards:?}");
        assert_eq!(
            invariants.broken(promise) > 0,
            breaks,
            "{promise} {guards:?}"
        );
    }
}
