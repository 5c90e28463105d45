//! When a server that has asked for fewer requests may get the next one.

use std::time::Duration;

use cuminspread::coordination::hold_off::{HoldOff, HoldOffCause, SendPermit};
use cuminspread::coordination::server_limit::ServerLimit;
use cuminspread::state::time::Mono;

const START: Mono = Mono(1_000_000_000);

fn at(seconds: f32) -> Mono {
    START + Duration::from_secs_f32(seconds)
}

fn limit(part: Option<f32>) -> ServerLimit {
    let mut limit = ServerLimit::new(START, 2.0);
    limit.assign(START, part, 10, 0.5);
    limit
}

#[test]
fn pauses_and_limits_are_one_decision() {
    struct Case {
        name: &'static str,
        /// Pauses that responses name at the start, in seconds.
        pauses: &'static [f32],
        limit: Option<ServerLimit>,
        /// Time of the decision, in seconds.
        now: f32,
        permit: SendPermit,
    }
    let unassigned = ServerLimit::new(START, 2.0);
    let cases = [
        Case {
            name: "nothing asked",
            pauses: &[],
            limit: None,
            now: 0.0,
            permit: SendPermit::Now,
        },
        Case {
            name: "in a pause",
            pauses: &[4.0],
            limit: None,
            now: 3.9,
            permit: SendPermit::From(Some(at(4.0)), HoldOffCause::Pause),
        },
        Case {
            name: "after a pause",
            pauses: &[4.0],
            limit: None,
            now: 4.0,
            permit: SendPermit::Now,
        },
        Case {
            name: "a shorter pause that was under way",
            pauses: &[4.0, 1.0],
            limit: None,
            now: 2.0,
            permit: SendPermit::From(Some(at(4.0)), HoldOffCause::Pause),
        },
        Case {
            name: "a pause of a year ends after an hour",
            pauses: &[31_536_000.0],
            limit: None,
            now: 3600.0,
            permit: SendPermit::Now,
        },
        Case {
            name: "a limit whose part isn't known yet",
            pauses: &[],
            limit: Some(unassigned.clone()),
            now: 1.0,
            permit: SendPermit::From(None, HoldOffCause::Limit),
        },
        Case {
            name: "a part of a limit, half an interval in",
            pauses: &[],
            limit: Some(limit(Some(0.5))),
            now: 0.5,
            permit: SendPermit::From(Some(at(1.0)), HoldOffCause::Limit),
        },
        Case {
            name: "a pause that is longer than the wait for the limit",
            pauses: &[3.0],
            limit: Some(limit(Some(0.5))),
            now: 0.5,
            permit: SendPermit::From(Some(at(3.0)), HoldOffCause::Pause),
        },
        Case {
            name: "a pause and a limit whose part isn't known yet",
            pauses: &[3.0],
            limit: Some(unassigned),
            now: 0.5,
            permit: SendPermit::From(None, HoldOffCause::Pause),
        },
        Case {
            name: "a part of a limit that is free",
            pauses: &[],
            limit: Some(limit(Some(0.5))),
            now: 1.0,
            permit: SendPermit::Now,
        },
    ];
    for case in cases {
        let mut hold_off = HoldOff::default();
        hold_off.limit = case.limit;
        for pause in case.pauses {
            hold_off.pause(START, Duration::from_secs_f32(*pause), 0.0);
        }
        assert_eq!(hold_off.permit(at(case.now)), case.permit, "{}", case.name);
    }
}

#[test]
fn daemons_do_not_come_back_at_the_same_moment() {
    let ends = [0.0, 0.5, 0.75].map(|spread| {
        let mut hold_off = HoldOff::default();
        hold_off.pause(START, Duration::from_secs(2), spread);
        hold_off.pause_left(START).expect("a pause").as_millis()
    });
    assert_eq!(ends, [2000, 2200, 2300]);
}
