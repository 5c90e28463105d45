//! Pauses of the process.

use std::time::Duration;

use cuminspread::coordination::pause::PauseWatch;
use cuminspread::state::time::Mono;

fn at(ms: u64) -> Mono {
    Mono::default() + Duration::from_millis(ms)
}

/// Guards against taking delays that a busy process causes itself for pauses (issue 50).
#[test]
fn only_a_time_without_any_activity_is_a_pause() {
    struct Case {
        name: &'static str,
        active_ms: &'static [u64],
        at_ms: u64,
        paused: bool,
    }
    let cases = [
        Case {
            name: "steady activity",
            active_ms: &[100, 200, 300, 400, 500],
            at_ms: 250,
            paused: false,
        },
        Case {
            name: "a pause",
            active_ms: &[100, 1500],
            at_ms: 250,
            paused: true,
        },
        Case {
            name: "before a pause",
            active_ms: &[50, 150, 300, 1500],
            at_ms: 250,
            paused: false,
        },
        Case {
            name: "after a pause",
            active_ms: &[100, 1500],
            at_ms: 1500,
            paused: false,
        },
        Case {
            name: "a pause, and activity since",
            active_ms: &[100, 1500, 1600, 1700],
            at_ms: 250,
            paused: true,
        },
    ];
    for case in cases {
        let mut watch = PauseWatch::default();
        for ms in case.active_ms {
            watch.record_activity(at(*ms));
        }
        assert_eq!(
            watch.was_paused_at(at(case.at_ms)),
            case.paused,
            "{}",
            case.name
        );
    }
}
