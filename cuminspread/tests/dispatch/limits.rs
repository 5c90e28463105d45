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

/// A call for which no slot is free waits in the queue and is sent when a slot becomes free.
#[test]
fn call_is_queued_until_a_slot_is_free() {
    let mut driver = Driver::new(DispatchSettings::default(), &council("east", 1, 2));
    let calls: Vec<Call> = (0..3).map(|_| driver.new_call(true)).collect();
    let sent: Vec<usize> = calls.iter().map(|c| sends(&driver.receive(c))).collect();
    assert_eq!(sent, [1, 1, 0]);
    driver.head(&calls[0], 0, 200);
    assert_eq!(sends(&driver.end(&calls[0], 0, Ending::Whole)), 1);
}

struct RefusalCase {
    deadline_ms: u64,
    depth: u8,
    reason: Option<Reason>,
}

/// A call that can't meet its deadline, or is too deep in its chain, is refused at once.
#[test]
fn hopeless_calls_are_refused_at_once() {
    let cases = [
        RefusalCase {
            deadline_ms: 0,
            depth: 0,
            reason: Some(Reason::Deadline),
        },
        RefusalCase {
            deadline_ms: 20,
            depth: 0,
            reason: Some(Reason::Overload),
        },
        RefusalCase {
            deadline_ms: 5_000,
            depth: 7,
            reason: Some(Reason::TooDeep),
        },
        RefusalCase {
            deadline_ms: 5_000,
            depth: 6,
            reason: None,
        },
    ];
    for case in cases {
        let mut driver = Driver::new(DispatchSettings::default(), &council("east", 1, 2));
        driver.run_calls(50, Duration::from_millis(30));
        for _ in 0..2 {
            let call = driver.new_call(true);
            driver.receive(&call);
        }
        let call = Call {
            deadline: Mono(driver.now + case.deadline_ms * 1000),
            depth: case.depth,
            ..driver.new_call(true)
        };
        let actions = driver.receive(&call);
        assert_eq!(refusal(verdict(&actions)), case.reason);
    }
}

/// A queued call is given up after the longest queue time, not at its deadline.
#[test]
fn queue_time_is_bounded() {
    let settings = DispatchSettings {
        limits: LimitSettings {
            max_queue_wait: Duration::from_millis(200),
            ..LimitSettings::default()
        },
        ..DispatchSettings::default()
    };
    let mut driver = Driver::new(settings, &council("east", 1, 1));
    let calls: Vec<Call> = (0..2).map(|_| driver.new_call(false)).collect();
    for call in &calls {
        driver.receive(call);
    }
    let early = driver.advance(Duration::from_millis(150));
    assert_eq!(verdict(&early), None);
    let late = driver.advance(Duration::from_millis(100));
    assert_eq!(refusal(verdict(&late)), Some(Reason::Overload));
}

/// A flood of calls of one council does not block the calls of another council.
#[test]
fn flood_of_one_council_leaves_room() {
    let no_council_guard = Guards {
        councils: false,
        ..Guards::default()
    };
    let limited = Some(Reason::CouncilLimit);
    for (guards, bound, flooded) in [
        (Guards::default(), 0, limited),
        (Guards::default(), 10, limited),
        (no_council_guard, 10, None),
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
        driver.handle(CallEvent::InForce(Arc::new(west.clone())));
        let mut last = None;
        for _ in 0..200 {
            let call = driver.new_call(true);
            last = refusal(verdict(&driver.receive(&call)));
        }
        assert_eq!(last, flooded, "bound {bound}");
        let call = driver.new_call_to(&west);
        assert_eq!(sends(&driver.receive(&call)), 1);
    }
}

/// Refusals by the servers lower the concurrency limit of the daemon.
#[test]
fn refusals_lower_the_concurrency() {
    let mut driver = Driver::new(DispatchSettings::default(), &council("east", 4, 4));
    let send_batch = |driver: &mut Driver| {
        let calls: Vec<Call> = (0..16).map(|_| driver.new_call(false)).collect();
        let sent = calls
            .iter()
            .map(|c| sends(&driver.receive(c)))
            .sum::<usize>();
        (calls, sent)
    };
    let (calls, before) = send_batch(&mut driver);
    for call in &calls {
        driver.now += 10_000;
        driver.head(call, 0, 503);
        driver.end(call, 0, Ending::Whole);
    }
    let (_, after) = send_batch(&mut driver);
    assert_eq!(before, 16);
    assert!(after < before, "{after}");
}
