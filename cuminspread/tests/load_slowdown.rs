//! A burst at a service whose servers get slower when nearly all their slots are in use.

use std::time::Duration;

use cuminspread::coordination::placement::{
    self, LoadSlowdown, PlacementContext, PlacementSettings, Progress, ServerLoad, ServerState,
    SlowdownSamples, Step, TimeRatios, slowdown_report_interval, useful_slots,
};
use cuminspread::state::time::Mono;
use rand::RngExt as _;
use rand_pcg::Pcg32;

/// Start of an overload; the daemons are older.
const START: Mono = Mono(60_000_000);

fn at(ms: u64) -> Mono {
    Mono(ms * 1000)
}

/// Ratio of a response time to the expected one: spread by 0.3, and one in twelve answers takes five
/// times as long, since its server became slow.
fn ratio(rng: &mut Pcg32, slowdown: f32) -> f32 {
    let scatter: f32 = (0..4).map(|_| rng.random_range(-0.26_f32..0.26)).sum();
    let tail = if rng.random_range(0..12) == 0 {
        5.0
    } else {
        1.0
    };
    scatter.exp() * slowdown * tail
}

#[test]
fn the_last_slots_are_used_only_if_they_raise_the_throughput() {
    struct Case {
        slots: u32,
        slowdown: f32,
        useful: u32,
    }
    let cases = [
        Case {
            slots: 6,
            slowdown: 1.0,
            useful: 6,
        },
        Case {
            slots: 6,
            slowdown: 1.2,
            useful: 6,
        },
        Case {
            slots: 6,
            slowdown: 1.7,
            useful: 4,
        },
        Case {
            slots: 4,
            slowdown: 1.1,
            useful: 4,
        },
        Case {
            slots: 4,
            slowdown: 1.7,
            useful: 3,
        },
        Case {
            slots: 2,
            slowdown: 1.7,
            useful: 2,
        },
        Case {
            slots: 2,
            slowdown: 2.0,
            useful: 1,
        },
        Case {
            slots: 1,
            slowdown: 4.0,
            useful: 1,
        },
        Case {
            slots: 50,
            slowdown: 1.3,
            useful: 40,
        },
    ];
    let settings = PlacementSettings::default();
    for case in cases {
        let useful = useful_slots(case.slots, case.slowdown, &settings);
        assert_eq!(useful, case.useful, "{} at {}", case.slots, case.slowdown);
    }
}

/// All servers run as many requests as they answer fastest, and more requests come.
#[test]
fn requests_wait_rather_than_slow_all_others_down() {
    struct Case {
        what: &'static str,
        slots: u32,
        running: u32,
        slowdown: f32,
        target_left_ms: u64,
        sent: bool,
    }
    let cases = [
        Case {
            what: "a fifth of six slots takes more than it gives",
            slots: 6,
            running: 4,
            slowdown: 1.7,
            target_left_ms: 500,
            sent: false,
        },
        Case {
            what: "also for a request that is late",
            slots: 6,
            running: 4,
            slowdown: 1.7,
            target_left_ms: 0,
            sent: false,
        },
        Case {
            what: "the fourth slot is of use",
            slots: 6,
            running: 3,
            slowdown: 1.7,
            target_left_ms: 500,
            sent: true,
        },
        Case {
            what: "the servers don't get slower",
            slots: 6,
            running: 4,
            slowdown: 1.0,
            target_left_ms: 500,
            sent: true,
        },
        Case {
            what: "the second of two slots still gives some, and waiting would be too late",
            slots: 2,
            running: 1,
            slowdown: 1.7,
            target_left_ms: 215,
            sent: true,
        },
    ];
    let settings = PlacementSettings::default();
    let now = at(1000);
    for case in cases {
        let load = ServerLoad {
            running: case.running,
            waiting: 0,
            slots: case.slots,
            slowness: 1.0,
        };
        let mut servers = vec![ServerState::new(true, case.slots, now); 3];
        for server in &mut servers {
            server.record_load(now, load, Some(true));
        }
        let cx = PlacementContext {
            now,
            processing_time: Duration::from_millis(150),
            target_left: Duration::from_millis(case.target_left_ms),
            time_left: Duration::from_millis(1500),
            load_unknown: false,
            load_slowdown: case.slowdown,
            contended: true,
            near_wait: Duration::ZERO,
        };
        let step = placement::decide(
            servers.iter().enumerate(),
            &cx,
            Progress::default(),
            &settings,
        );
        assert_eq!(matches!(step, Step::Send(_)), case.sent, "{}", case.what);
    }
}

/// Daemons of a fleet that measures a slowdown, and what each makes of it.
struct Fleet {
    daemons: Vec<LoadSlowdown>,
    reported: Vec<Mono>,
    rng: Pcg32,
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Self {
        let mut rng = Pcg32::new(seed, 1);
        let interval = slowdown_report_interval(size);
        // Daemons don't report at the same moments.
        let reported = (0..size).map(|_| START - interval.mul_f32(rng.random_range(0.0..1.0)));
        Self {
            daemons: vec![LoadSlowdown::default(); size],
            reported: reported.collect(),
            rng,
        }
    }

    /// Answers that the fleet gets in a second of overload, half of them from nearly full servers.
    fn overload(&mut self, now: Mono, answers: usize, slowdown: f32) {
        let size = self.daemons.len();
        let interval = slowdown_report_interval(size);
        for i in 0..answers {
            let now = now + Duration::from_secs(1).mul_f64(i as f64 / answers as f64);
            let daemon = self.rng.random_range(0..size);
            let nearly_full = i % 2 == 1;
            let ratio = ratio(&mut self.rng, if nearly_full { slowdown } else { 1.0 });
            self.daemons[daemon].record(now, ratio, nearly_full);
            for sender in 0..size {
                if now.since(self.reported[sender]) < interval {
                    continue;
                }
                self.reported[sender] = now;
                let Some(samples) = self.daemons[sender].take_unsent() else {
                    continue;
                };
                let peers = self.daemons.iter_mut().enumerate();
                for (_, peer) in peers.filter(|(i, _)| *i != sender) {
                    peer.merge(now, &samples);
                }
            }
        }
    }

    /// Smallest and largest factor of all daemons.
    fn factors(&self, now: Mono) -> (f32, f32) {
        let factors = self.daemons.iter().map(|d| d.factor(now));
        factors.fold((f32::MAX, 0.0), |(min, max), f| (min.min(f), max.max(f)))
    }
}

#[test]
fn the_whole_fleet_learns_a_slowdown_during_a_short_overload() {
    struct Case {
        daemons: usize,
        /// Answers a second that the whole fleet gets.
        answers: usize,
        /// Seconds of overload until all daemons know.
        seconds: u64,
        slowdown: f32,
        /// Slots of six that each daemon then uses.
        useful: u32,
    }
    let cases = [
        Case {
            daemons: 1,
            answers: 450,
            seconds: 1,
            slowdown: 1.7,
            useful: 4,
        },
        Case {
            daemons: 16,
            answers: 450,
            seconds: 2,
            slowdown: 1.7,
            useful: 4,
        },
        Case {
            daemons: 16,
            answers: 450,
            seconds: 2,
            slowdown: 1.0,
            useful: 6,
        },
        Case {
            daemons: 123,
            answers: 900,
            seconds: 13,
            slowdown: 1.7,
            useful: 4,
        },
    ];
    let settings = PlacementSettings::default();
    for case in cases {
        for seed in 1..=20 {
            let mut fleet = Fleet::new(case.daemons, seed);
            for second in 0..case.seconds {
                fleet.overload(
                    START + Duration::from_secs(second),
                    case.answers,
                    case.slowdown,
                );
            }
            let (min, max) = fleet.factors(START + Duration::from_secs(case.seconds));
            let name = format!("{} daemons at {}, seed {seed}", case.daemons, case.slowdown);
            for factor in [min, max] {
                let useful = useful_slots(6, factor, &settings);
                assert_eq!(useful, case.useful, "{name}: {factor}");
            }
        }
    }
}

#[test]
fn a_slowdown_is_kept_over_calm_times_and_forgotten_later() {
    let mut fleet = Fleet::new(4, 1);
    fleet.overload(START, 450, 1.7);
    fleet.overload(START + Duration::from_secs(1), 450, 1.7);
    let minute = |m: u64| START + Duration::from_secs(m * 60);
    let (min, _) = fleet.factors(minute(5));
    let settings = PlacementSettings::default();
    assert_eq!(useful_slots(6, min, &settings), 4, "{min}");
    let mut started = LoadSlowdown::default();
    let summary = fleet.daemons[0].summary(minute(5)).expect("it knows some");
    started.merge(minute(5), &summary);
    assert!(
        started.factor(minute(5)) > 1.45,
        "a daemon that has started"
    );
    // The servers may have changed since, and nothing would show it.
    let (_, max) = fleet.factors(minute(60));
    assert!((max - 1.0).abs() < f32::EPSILON, "{max}");
}

#[test]
fn reports_that_no_daemon_can_have_measured_change_nothing() {
    struct Case {
        what: &'static str,
        mean_ln: f32,
        responses: u16,
    }
    let cases = [
        Case {
            what: "not a number",
            mean_ln: f32::NAN,
            responses: 50,
        },
        Case {
            what: "infinite",
            mean_ln: f32::INFINITY,
            responses: 50,
        },
        Case {
            what: "beyond the largest ratio that is recorded",
            mean_ln: 9.0,
            responses: u16::MAX,
        },
        Case {
            what: "no responses",
            mean_ln: 0.9,
            responses: 0,
        },
    ];
    let now = at(1000);
    for case in cases {
        let ratios = TimeRatios {
            responses: case.responses,
            mean_ln: case.mean_ln,
        };
        let mut slowdown = LoadSlowdown::default();
        for _ in 0..50 {
            slowdown.record(now, 1.0, false);
            slowdown.record(now, 1.7, true);
        }
        let before = slowdown.factor(now);
        slowdown.merge(
            now,
            &SlowdownSamples {
                spare: ratios,
                nearly_full: ratios,
            },
        );
        let after = slowdown.factor(now);
        assert!((before - after).abs() < f32::EPSILON, "{}", case.what);
    }
}
