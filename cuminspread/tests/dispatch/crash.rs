//! Requests that crash the servers that run them.

use std::time::Duration;

use cuminspread::coordination::dispatch::{DispatchSettings, Guards};
use cuminspread::coordination::event::{Call, CallAction, CallEvent, Ending, Reason, Verdict};

use crate::support::{Driver, council, sends, verdict};

const FINGERPRINT: u64 = 0xdead;

/// Sends the request that crashes; returns the attempts that went out.
fn crash(driver: &mut Driver, idempotent: bool) -> (usize, Vec<CallAction>) {
    let call = Call {
        fingerprint: FINGERPRINT,
        ..driver.call(idempotent)
    };
    let mut actions = driver.arrive(&call);
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

/// Two crashes in all, then a refusal; other requests go on; the finding expires.
#[test]
fn stopped_after_two() {
    for idempotent in [true, false] {
        let mut driver = Driver::new(DispatchSettings::default(), &council("east", 10, 2));
        driver.settle(30, Duration::from_millis(5));
        let mut crashes = 0;
        let mut told = 0;
        for _ in 0..4 {
            let (attempts, actions) = crash(&mut driver, idempotent);
            crashes += attempts;
            let tells = |a: &&CallAction| matches!(a, CallAction::TellCrashing(FINGERPRINT));
            told += actions.iter().filter(tells).count();
            let honest = match verdict(&actions) {
                Some(Verdict::Unknown(_)) => attempts > 0,
                Some(Verdict::NotRun { .. }) => attempts == 0,
                _ => false,
            };
            assert!(honest, "{actions:?}");
        }
        assert_eq!((crashes, told), (2, 1), "idempotent: {idempotent}");
        let other = driver.call(true);
        assert_eq!(sends(&driver.arrive(&other)), 1);
        driver.now += DispatchSettings::default().crash.refused_for.as_micros() as u64;
        assert!(crash(&mut driver, idempotent).0 > 0, "the finding expires");
    }
}

/// Without the guard the request goes on to crash servers.
#[test]
fn unguarded() {
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
fn learned_from_a_peer() {
    let mut driver = Driver::new(DispatchSettings::default(), &council("east", 10, 2));
    driver.tell(CallEvent::Crashing(FINGERPRINT));
    let (attempts, actions) = crash(&mut driver, true);
    assert_eq!(attempts, 0);
    assert!(is_refused(&actions));
}

/// An answer to the same request clears it.
#[test]
fn cleared_by_an_answer() {
    let mut driver = Driver::new(DispatchSettings::default(), &council("east", 10, 2));
    for _ in 0..4 {
        assert_eq!(crash(&mut driver, false).0, 1);
        let call = Call {
            fingerprint: FINGERPRINT,
            ..driver.call(false)
        };
        assert_eq!(sends(&driver.arrive(&call)), 1);
        driver.head(&call, 0, 200);
        driver.end(&call, 0, Ending::Complete);
    }
}
