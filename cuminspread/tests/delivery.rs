//! Until when responses may be open.

use std::time::Duration;

use cuminspread::coordination::delivery::{deliver_by, extend_after_pause};
use cuminspread::state::time::Mono;

/// Guards against responses that stay open beyond the route's timeout, and against ready ones that get
/// no time to be written.
#[test]
fn a_response_may_be_open_until_the_timeout_and_a_little_longer() {
    struct Case {
        name: &'static str,
        begins_ms: u64,
        due_ms: u64,
    }
    // The request arrives at 1 s, and its route's timeout is 2 s.
    let cases = [
        Case {
            name: "a response that begins early has all of the timeout",
            begins_ms: 1100,
            due_ms: 3200,
        },
        Case {
            name: "one that begins just before the timeout has no more than others",
            begins_ms: 2990,
            due_ms: 3200,
        },
        Case {
            name: "one that is ready only after a pause of the process is still written",
            begins_ms: 6000,
            due_ms: 6200,
        },
    ];
    let at = |ms| Mono::default() + Duration::from_millis(ms);
    for case in cases {
        let due = deliver_by(at(1000), Duration::from_secs(2), at(case.begins_ms));
        assert_eq!(due, at(case.due_ms), "{}", case.name);
    }
}

/// Guards against cutting what a paused process could not write in time.
#[test]
fn a_pause_of_the_process_extends_the_bound() {
    struct Case {
        name: &'static str,
        now_ms: u64,
        due_ms: Option<u64>,
    }
    // The bound is at 3.2 s.
    let cases = [
        Case {
            name: "noticed in time",
            now_ms: 3201,
            due_ms: None,
        },
        Case {
            name: "noticed late by a busy process",
            now_ms: 3390,
            due_ms: None,
        },
        Case {
            name: "noticed after a pause",
            now_ms: 5000,
            due_ms: Some(5200),
        },
    ];
    let at = |ms| Mono::default() + Duration::from_millis(ms);
    for case in cases {
        let due = extend_after_pause(at(3200), at(case.now_ms));
        assert_eq!(due, case.due_ms.map(at), "{}", case.name);
    }
}
