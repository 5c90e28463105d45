//! Which sequences of lost servers get a request refused.

use std::time::Duration;

use cuminspread::coordination::crash::{Crash, CrashDetector, CrashSettings};
use cuminspread::state::time::Mono;

const FINGERPRINT: u64 = 7;

struct Case {
    what: &'static str,
    /// When each attempt was sent and when it crashed, in milliseconds, in recorded order.
    crashes: &'static [(u64, u64)],
    /// Index of the crash after which the request gets a response.
    answered_after: Option<usize>,
    refused: bool,
}

const CASES: [Case; 6] = [
    Case {
        what: "three servers in sequence",
        crashes: &[(0, 100), (105, 200), (900, 1000)],
        answered_after: None,
        refused: true,
    },
    Case {
        what: "two crashes",
        crashes: &[(0, 100), (105, 200)],
        answered_after: None,
        refused: false,
    },
    Case {
        what: "overlapping attempts",
        crashes: &[(0, 500), (20, 500), (40, 501), (60, 502), (80, 499)],
        answered_after: None,
        refused: false,
    },
    Case {
        what: "two groups of overlapping attempts, and one more",
        crashes: &[(0, 500), (20, 500), (600, 900), (610, 901), (1000, 1100)],
        answered_after: None,
        refused: true,
    },
    Case {
        what: "crashes recorded out of order",
        crashes: &[(900, 1000), (105, 200), (1300, 1400)],
        answered_after: None,
        refused: true,
    },
    Case {
        what: "a response between the crashes",
        crashes: &[(0, 100), (105, 200), (900, 1000)],
        answered_after: Some(1),
        refused: false,
    },
];

#[test]
fn a_request_is_refused_after_three_crashes_in_a_row() {
    for case in CASES {
        let mut detector = CrashDetector::new(CrashSettings {
            threshold: 3,
            refused_for: Duration::from_secs(10),
            ..CrashSettings::default()
        });
        let ms = |ms: u64| Mono(ms * 1000);
        for (i, (sent, broke)) in case.crashes.iter().enumerate() {
            let crash = Crash {
                sent: ms(*sent),
                broke: ms(*broke),
            };
            detector.record_crash(ms(1500), FINGERPRINT, crash);
            if case.answered_after == Some(i) {
                detector.clear(FINGERPRINT);
            }
        }
        let what = case.what;
        assert_eq!(
            detector.is_refused(ms(1600), FINGERPRINT),
            case.refused,
            "{what}"
        );
        assert!(!detector.is_refused(ms(1600), FINGERPRINT + 1), "{what}");
        assert!(!detector.is_refused(ms(12_000), FINGERPRINT), "{what}");
    }
}
