//! Hedges within their limit: fleets of any size keep it, and the slowest answers get faster.

mod replay;

use std::time::Duration;

use cuminspread::coordination::hedging::{
    AttemptProgress, HedgeCause, HedgeDenial, HedgeStep, Hedging, is_fast_and_free, may_hedge,
};
use cuminspread::coordination::placement::{
    PlacementContext, PlacementSettings, ServerLoad, ServerState,
};
use cuminspread::state::Name;
use cuminspread::state::routing::Route;
use cuminspread::state::time::Mono;

use crate::replay::{Load, NOISE, SERVICE, context, ms, replay};

/// Fleets of any size keep the limit in any window, also if all requests want a hedge at once.
#[test]
fn the_limit_is_never_passed() {
    struct Case {
        daemons: usize,
        rate: f32,
        ratio: f32,
        silent_from_s: u64,
    }
    let mut cases = Vec::new();
    for (daemons, rate) in [
        (1, 1.0),
        (1, 100.0),
        (16, 1.0),
        (16, 7.0),
        (138, 1.0),
        (312, 1.0),
    ] {
        for ratio in [0.02, 0.05, 0.1] {
            cases.extend([u64::MAX, 30].map(|silent_from_s| Case {
                daemons,
                rate,
                ratio,
                silent_from_s,
            }));
        }
    }
    for Case {
        daemons,
        rate,
        ratio,
        silent_from_s,
    } in cases
    {
        let load = Load {
            daemons,
            rate,
            silent_from_s,
            seconds: 60,
            ..NOISE
        };
        let outcome = replay(load, Some(ratio), 1);
        // Each daemon sends whole hedges.
        let rounding = 1.0 + (daemons as f32).sqrt();
        let excess = outcome.excess(ratio);
        assert!(
            excess <= rounding,
            "{load:?} at {ratio}: {excess} too many in 10 s"
        );
    }
}

#[test]
fn the_slowest_answers_get_faster() {
    struct Case {
        usual: Duration,
        silent_servers: f32,
        long_runs: f32,
        /// Greatest p99 as a fraction of the p99 without hedges.
        p99: f64,
    }
    let mut cases = Vec::new();
    for usual in [56, 140, 350].map(ms) {
        cases.push(Case {
            usual,
            silent_servers: 0.01,
            long_runs: 0.03,
            p99: 0.75,
        });
        cases.push(Case {
            usual,
            silent_servers: 0.0,
            long_runs: 0.0,
            p99: 1.0,
        });
    }
    for Case {
        usual,
        silent_servers,
        long_runs,
        p99,
    } in cases
    {
        let load = Load {
            usual,
            silent_servers,
            long_runs,
            ..NOISE
        };
        let (without, with) = (replay(load, None, 1), replay(load, Some(0.05), 1));
        let ratio = with.quantile(0.99) as f64 / without.quantile(0.99) as f64;
        assert!(
            ratio <= p99,
            "{load:?}: p99 is {ratio:.2} of that without hedges"
        );
        assert!(with.quantile(0.5) <= without.quantile(0.5), "{load:?}");
        assert!(with.quantile(0.95) <= without.quantile(0.95), "{load:?}");
    }
}

#[test]
fn nothing_changes_while_all_servers_are_full() {
    let load = Load {
        full: true,
        seconds: 30,
        ..NOISE
    };
    let (without, with) = (replay(load, None, 1), replay(load, Some(0.1), 1));
    assert!(with.hedges.is_empty());
    assert_eq!(with.times, without.times);
}

#[test]
fn only_fast_and_free_servers_get_hedges() {
    struct Case {
        running: u32,
        slowness: f32,
        fits: bool,
    }
    let cases = [
        Case {
            running: 0,
            slowness: 1.0,
            fits: true,
        },
        Case {
            running: 2,
            slowness: 1.0,
            fits: true,
        },
        Case {
            running: 0,
            slowness: 5.0,
            fits: false,
        },
        // The hedge would make it nearly full, and the other requests there slower.
        Case {
            running: 3,
            slowness: 1.0,
            fits: false,
        },
        Case {
            running: 4,
            slowness: 1.0,
            fits: false,
        },
    ];
    for Case {
        running,
        slowness,
        fits,
    } in cases
    {
        let settings = PlacementSettings::default();
        let mut server = ServerState::new(true, 4, Mono::default());
        let load = ServerLoad {
            running,
            waiting: 0,
            slots: 4,
            slowness,
        };
        server.record_load(Mono(1_000_000), load, Some(true));
        let cx = context(Mono(1_000_000), ms(140));
        assert_eq!(
            is_fast_and_free(&server, &cx, &settings),
            fits,
            "{running}, {slowness}"
        );
    }
}

#[test]
fn hedges_are_denied_while_the_service_is_short_of_room() {
    struct Case {
        earned: bool,
        waiting: usize,
        /// Time since a refusal.
        refused: Option<Duration>,
        /// Time since the hedge was earned.
        age: Duration,
        permit: Result<(), HedgeDenial>,
    }
    const BASE: Case = Case {
        earned: true,
        waiting: 0,
        refused: None,
        age: Duration::ZERO,
        permit: Ok(()),
    };
    let cases = [
        BASE,
        Case {
            earned: false,
            permit: Err(HedgeDenial::Limit),
            ..BASE
        },
        Case {
            age: ms(6000),
            permit: Err(HedgeDenial::Limit),
            ..BASE
        },
        Case {
            waiting: 1,
            permit: Err(HedgeDenial::Waiting),
            ..BASE
        },
        Case {
            refused: Some(ms(500)),
            permit: Err(HedgeDenial::Refusals),
            ..BASE
        },
        Case {
            refused: Some(ms(1500)),
            ..BASE
        },
    ];
    for (i, case) in cases.into_iter().enumerate() {
        let (service, now) = (Name::new(SERVICE), Mono(10_000_000));
        let mut hedging = Hedging::new(0.1);
        let start = if case.earned { 0.99 } else { 0.0 };
        hedging.record_request(now - case.age, &service, start);
        if let Some(ago) = case.refused {
            hedging.record_refusal(now - ago, &service);
        }
        assert_eq!(
            hedging.permit(now, SERVICE, case.waiting),
            case.permit,
            "case {i}"
        );
        assert_eq!(hedging.permit(now, "other", 0), Err(HedgeDenial::Limit));
    }
}

#[test]
fn only_routes_whose_requests_may_run_twice_are_hedged() {
    for (idempotent, max_attempts, expected) in [
        (true, 2, true),
        (true, 1, false),
        (false, 2, false),
        (false, 5, false),
    ] {
        let route = Route {
            name: Name::new("r"),
            host: Name::new("h"),
            prefix: Name::new("/"),
            idempotent,
            timeout: ms(2000),
            latency_target: ms(500),
            priority: 0,
            max_attempts,
            services: Vec::new(),
            regions: Vec::new(),
        };
        assert_eq!(may_hedge(&route), expected, "{idempotent}, {max_attempts}");
    }
}

/// An attempt at a server that was fast, with a usual time of 100 ms and a deadline after 1 s.
#[test]
fn an_attempt_is_hedged_when_slowed_or_overdue() {
    struct Case {
        /// Result of a check at 40 ms.
        checked: Option<f32>,
        at: u64,
        checkable: bool,
        step: HedgeStep,
    }
    let cases = [
        Case {
            checked: None,
            at: 0,
            checkable: true,
            step: HedgeStep::CheckAt(Mono(40_000)),
        },
        Case {
            checked: None,
            at: 0,
            checkable: false,
            step: HedgeStep::WaitUntil(Mono(250_000)),
        },
        Case {
            checked: Some(1.0),
            at: 40,
            checkable: true,
            step: HedgeStep::CheckAt(Mono(80_000)),
        },
        Case {
            checked: Some(5.0),
            at: 40,
            checkable: true,
            step: HedgeStep::Hedge(HedgeCause::Slowed),
        },
        // The result of the check is too old.
        Case {
            checked: Some(5.0),
            at: 60,
            checkable: true,
            step: HedgeStep::CheckAt(Mono(80_000)),
        },
        Case {
            checked: Some(1.0),
            at: 250,
            checkable: true,
            step: HedgeStep::Hedge(HedgeCause::Overdue),
        },
        Case {
            checked: None,
            at: 900,
            checkable: true,
            step: HedgeStep::Never,
        },
    ];
    for (i, case) in cases.into_iter().enumerate() {
        let cx = PlacementContext {
            time_left: ms(1000),
            ..context(Mono(0), ms(100))
        };
        let mut progress = AttemptProgress::new(&cx, 1.0);
        if case.checked.is_some() {
            progress.record_check(Mono(40_000), case.checked);
        }
        let step = progress.next_step(Mono(case.at * 1000), 2.5, case.checkable);
        assert_eq!(step, case.step, "case {i}");
    }
}
