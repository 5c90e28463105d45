//! Until when responses may be open.

use std::time::Duration;

use cuminspread::coordination::delivery::{Awaited, Delivery, Expiry, OpenResponse, deliver_by};
use cuminspread::state::Name;
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
    for case in cases {
        let due = deliver_by(at(1000), Duration::from_secs(2), at(case.begins_ms));
        assert_eq!(due, at(case.due_ms), "{}", case.name);
    }
}

fn at(ms: u64) -> Mono {
    Mono::default() + Duration::from_millis(ms)
}

fn response(due_ms: u64) -> OpenResponse {
    OpenResponse {
        id: Name::new("a"),
        route: Name::new("r-1"),
        due: at(due_ms),
        ends_with_connection: false,
    }
}

/// Guards against cutting what a paused process could not write in time.
#[test]
fn a_pause_of_the_process_extends_the_bound_once() {
    struct Case {
        name: &'static str,
        /// Times at which the bound is found to have passed; it is at 3.2 s.
        found_ms: &'static [u64],
        paused: bool,
        extended: usize,
    }
    let cases = [
        Case {
            name: "found in time",
            found_ms: &[3201],
            paused: true,
            extended: 0,
        },
        Case {
            name: "found late by a busy process",
            found_ms: &[3390],
            paused: true,
            extended: 0,
        },
        Case {
            name: "found after a pause",
            found_ms: &[5000, 5200],
            paused: true,
            extended: 1,
        },
        Case {
            name: "found after two pauses",
            found_ms: &[5000, 9000],
            paused: true,
            extended: 1,
        },
        Case {
            name: "found very late by a busy process",
            found_ms: &[5000],
            paused: false,
            extended: 0,
        },
    ];
    for case in cases {
        let mut delivery = Delivery::default();
        delivery.begin(response(3200));
        let steps: Vec<_> = case
            .found_ms
            .iter()
            .map(|ms| delivery.expire(at(*ms), case.paused))
            .collect();
        let extended = steps.iter().filter(|s| **s == Expiry::Extended).count();
        assert_eq!(extended, case.extended, "{}", case.name);
        let cut = Some(&Expiry::Overdue(Awaited::Server));
        assert_eq!(steps.last(), cut, "{}", case.name);
    }
}

/// Guards against bounding a response that is complete, or forgetting one that isn't.
#[test]
fn a_response_is_open_until_all_of_it_is_with_the_system() {
    let mut delivery = Delivery::default();
    assert_eq!(delivery.open(), None);
    delivery.begin(response(3200));
    // The first part of the body is written.
    delivery.record_flush();
    assert_eq!(delivery.open(), Some(&response(3200)));
    delivery.record_write(true);
    delivery.end_body();
    assert_eq!(
        delivery.open(),
        Some(&response(3200)),
        "its end is still to be written"
    );
    assert_eq!(
        delivery.expire(at(3201), false),
        Expiry::Overdue(Awaited::Caller)
    );
    delivery.record_write(false);
    delivery.record_flush();
    assert_eq!(delivery.open(), None);
}
