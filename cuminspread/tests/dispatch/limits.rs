//! Limits, the queue, and fairness between councils.

use std::sync::Arc;
use std::time::Duration;

use cuminspread::coordination::dispatch::{DispatchSettings, Guards};
use cuminspread::coordination::event::{Call, CallEvent, Ending, Reason, Verdict};
use cuminspread::coordination::limits::LimitSettings;
use cuminspread::state::time::Mono;

use crate::support::{Driver, council, sends, verdict};

fn refusal(verdict: Option<Verdict>) -> Option<Reason> {
    match verdict {
        Some(Verdict::NotRun {
            reason,
            retry_after,
        }) => {
            assert!(retry_after > Duration::ZERO, "the caller needs a time");
            Some(reason)
        }
        _ => None,
    }
}

/// A call without room waits, and goes out when a slot frees.
#[test]
fn queue() {
    let mut driver = Driver::new(DispatchSettings::default(), &council("east", 1, 2));
    let calls: Vec<Call> = (0..3).map(|_| driver.call(true)).collect();
    let sent: Vec<usize> = calls.iter().map(|c| sends(&driver.arrive(c))).collect();
    assert_eq!(sent, [1, 1, 0]);
    driver.head(&calls[0], 0, 200);
    assert_eq!(sends(&driver.end(&calls[0], 0, Ending::Complete)), 1);
}

struct Shed {
    deadline_ms: u64,
    depth: u8,
    reason: Option<Reason>,
}

/// What can't be done in time is refused at once.
#[test]
fn early_refusal() {
    let cases = [
        Shed {
            deadline_ms: 0,
            depth: 0,
            reason: Some(Reason::Deadline),
        },
        Shed {
            deadline_ms: 20,
            depth: 0,
            reason: Some(Reason::Overload),
        },
        Shed {
            deadline_ms: 5_000,
            depth: 7,
            reason: Some(Reason::TooDeep),
        },
        Shed {
            deadline_ms: 5_000,
            depth: 6,
            reason: None,
        },
    ];
    for case in cases {
        let mut driver = Driver::new(DispatchSettings::default(), &council("east", 1, 2));
        driver.settle(50, Duration::from_millis(30));
        for _ in 0..2 {
            let call = driver.call(true);
            driver.arrive(&call);
        }
        let call = Call {
            deadline: Mono(driver.now + case.deadline_ms * 1000),
            depth: case.depth,
            ..driver.call(true)
        };
        let actions = driver.arrive(&call);
        assert_eq!(refusal(verdict(&actions)), case.reason);
    }
}

/// A waiting call is given up at the bound of the queue, not at its deadline.
#[test]
fn queue_bound() {
    let settings = DispatchSettings {
        limits: LimitSettings {
            max_queue_wait: Duration::from_millis(200),
            ..LimitSettings::default()
        },
        ..DispatchSettings::default()
    };
    let mut driver = Driver::new(settings, &council("east", 1, 1));
    let calls: Vec<Call> = (0..2).map(|_| driver.call(false)).collect();
    for call in &calls {
        driver.arrive(call);
    }
    let early = driver.pass(Duration::from_millis(150));
    assert_eq!(verdict(&early), None);
    let late = driver.pass(Duration::from_millis(100));
    assert_eq!(refusal(verdict(&late)), Some(Reason::Overload));
}

/// The flood of one council leaves room for the calls of another.
#[test]
fn flood() {
    let unfair = Guards {
        councils: false,
        ..Guards::default()
    };
    let own_bound = Some(Reason::CouncilLimit);
    for (guards, bound, flooded) in [
        (Guards::default(), 0, own_bound),
        (Guards::default(), 10, own_bound),
        (unfair, 10, None),
    ] {
        let settings = DispatchSettings {
            limits: LimitSettings {
                max_in_flight: 100,
                ..LimitSettings::default()
            },
            guards,
            ..DispatchSettings::default()
        };
        let mut east = council("east", 40, 6);
        east.max_in_flight = bound;
        let west = council("west", 4, 6);
        let mut driver = Driver::new(settings, &east);
        driver.tell(CallEvent::InForce(Arc::new(west.clone())));
        let mut last = None;
        for _ in 0..200 {
            let call = driver.call(true);
            last = refusal(verdict(&driver.arrive(&call)));
        }
        assert_eq!(last, flooded, "bound {bound}");
        let call = driver.call_to(&west);
        assert_eq!(sends(&driver.arrive(&call)), 1);
    }
}

/// Refusals by the servers lower the concurrency of this daemon.
#[test]
fn concurrency_adapts() {
    let mut driver = Driver::new(DispatchSettings::default(), &council("east", 4, 4));
    let flight = |driver: &mut Driver| {
        let calls: Vec<Call> = (0..16).map(|_| driver.call(false)).collect();
        let sent = calls
            .iter()
            .map(|c| sends(&driver.arrive(c)))
            .sum::<usize>();
        (calls, sent)
    };
    let (calls, before) = flight(&mut driver);
    for call in &calls {
        driver.now += 10_000;
        driver.head(call, 0, 503);
        driver.end(call, 0, Ending::Complete);
    }
    let (_, after) = flight(&mut driver);
    assert_eq!(before, 16);
    assert!(after < before, "{after}");
}
