//! Requests that crash servers.

use std::time::Duration;

use cuminspread::coordination::dispatch::{DispatchSettings, Guards};
use cuminspread::coordination::event::{Call, CallAction, CallEvent, Ending, Reason, Verdict};

use crate::support::{Driver, council, sends, verdict};

const FINGERPRINT: u64 = 0xdead;

/// Sends the crashing request until the call finishes; returns the number of attempts and the last
/// actions.
fn crash(driver: &mut Driver, idempotent: bool) -> (usize, Vec<CallAction>) {
    let call = Call {
        fingerprint: FINGERPRINT,
        ..driver.new_call(idempotent)
    };
    let mut actions = driver.receive(&call);
    let mut attempts = 0;
    while sends(&actions) > 0 {
        driver.now += 1_000;
        actions = driver.end(&call, attempts as u8, Ending::Broken);
        attempts += 1;
    }
    (attempts, actions)
}

fn is_refused(actions: &[CallAction]) -> bool {
    matches!(
        verdict(actions),
        Some(Verdict::NotRun {
            reason: Reason::Crashing,
            ..
        })
    )
}

/// The request is refused after two crashes in all. Other requests are accepted, and the refusal
/// expires.
#[test]
fn refused_after_two_crashes() {
    for idempotent in [true, false] {
        let mut driver = Driver::new(DispatchSettings::default(), &council("east", 10, 2));
        driver.run_calls(30, Duration::from_millis(5));
        let mut crashes = 0;
        let mut announced = 0;
        for _ in 0..4 {
            let (attempts, actions) = crash(&mut driver, idempotent);
            crashes += attempts;
            let is_announcement =
                |a: &&CallAction| matches!(a, CallAction::TellCrashing(FINGERPRINT));
            announced += actions.iter().filter(is_announcement).count();
            let correct = match verdict(&actions) {
                Some(Verdict::Unknown(_)) => attempts > 0,
                Some(Verdict::NotRun { .. }) => attempts == 0,
                _ => false,
            };
            assert!(correct, "{actions:?}");
        }
        assert_eq!((crashes, announced), (2, 1), "idempotent: {idempotent}");
        let other = driver.new_call(true);
        assert_eq!(sends(&driver.receive(&other)), 1);
        driver.now += DispatchSettings::default().crash.refused_for.as_micros() as u64;
        assert!(crash(&mut driver, idempotent).0 > 0, "the refusal expires");
    }
}

/// Without the guard the request is not refused and goes on to crash servers.
#[test]
fn crashes_go_on_without_the_guard() {
    let settings = DispatchSettings {
        guards: Guards {
            crashes: false,
            ..Guards::default()
        },
        ..DispatchSettings::default()
    };
    let mut driver = Driver::new(settings, &council("east", 10, 2));
    let crashes: usize = (0..4).map(|_| crash(&mut driver, false).0).sum();
    assert_eq!(crashes, 4);
}

#[test]
fn refused_after_report_of_a_peer() {
    let mut driver = Driver::new(DispatchSettings::default(), &council("east", 10, 2));
    driver.handle(CallEvent::Crashing(FINGERPRINT));
    let (attempts, actions) = crash(&mut driver, true);
    assert_eq!(attempts, 0);
    assert!(is_refused(&actions));
}

/// A response to the same request clears the crashes that were counted.
#[test]
fn cleared_by_a_response() {
    let mut driver = Driver::new(DispatchSettings::default(), &council("east", 10, 2));
    for _ in 0..4 {
        assert_eq!(crash(&mut driver, false).0, 1);
        let call = Call {
            fingerprint: FINGERPRINT,
            ..driver.new_call(false)
        };
        assert_eq!(sends(&driver.receive(&call)), 1);
        driver.head(&call, 0, 200);
        driver.end(&call, 0, Ending::Whole);
    }
}
