//! What a daemon still sends while it stops.

use std::time::Duration;

use cuminspread::coordination::stop::StopPlan;
use cuminspread::state::time::Mono;

fn at(ms: u64) -> Mono {
    Mono::default() + Duration::from_millis(ms)
}

/// Guards against requests that are sent when the stop leaves no time for their answers, and against
/// refusing those for which there is time (issue 49).
#[test]
fn what_has_time_for_its_answer_is_sent() {
    struct Case {
        name: &'static str,
        grace_ms: u64,
        now_ms: u64,
        processing_ms: u64,
        sent: bool,
    }
    let base = Case {
        name: "",
        grace_ms: 6000,
        now_ms: 0,
        processing_ms: 200,
        sent: true,
    };
    let cases = [
        Case {
            name: "at the start",
            ..base
        },
        Case {
            name: "before idle connections close",
            now_ms: 2799,
            ..base
        },
        Case {
            name: "after that",
            now_ms: 2800,
            sent: false,
            ..base
        },
        Case {
            name: "long and early",
            processing_ms: 5000,
            ..base
        },
        Case {
            name: "long and late",
            now_ms: 1000,
            processing_ms: 5000,
            sent: false,
            ..base
        },
        Case {
            name: "a short grace period",
            grace_ms: 2000,
            now_ms: 900,
            ..base
        },
        Case {
            name: "late in a short grace period",
            grace_ms: 2000,
            now_ms: 1100,
            sent: false,
            ..base
        },
        Case {
            name: "no grace period",
            grace_ms: 0,
            sent: false,
            ..base
        },
    ];
    for case in cases {
        let grace = Duration::from_millis(case.grace_ms);
        // The stop begins a second after the start.
        let plan = StopPlan::new(at(1000), grace);
        let now = at(1000 + case.now_ms);
        let processing = Duration::from_millis(case.processing_ms);
        assert_eq!(plan.may_send(now, processing), case.sent, "{}", case.name);
        assert!(plan.end() <= at(1000) + grace, "{}", case.name);
        assert!(plan.idle_close() <= plan.end(), "{}", case.name);
        let late = plan.server_deadline(at(100_000));
        assert!(late <= plan.end(), "{}", case.name);
        assert_eq!(plan.server_deadline(at(900)), at(900), "{}", case.name);
    }
}
