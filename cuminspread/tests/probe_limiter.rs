//! Probe rates: busy daemons use what the rest leave, and the fleet stays within the limit.

use std::time::Duration;

use cuminspread::coordination::probe_limiter::{ProbeLimiter, ProbeLimiterSettings};
use cuminspread::state::time::Mono;
use rand::RngExt as _;
use rand_pcg::Pcg32;

const STEP: Duration = Duration::from_millis(20);
/// Equal share of the limit, in probes per second.
const SHARE: f32 = 100.0;

struct Case {
    what: &'static str,
    daemons: usize,
    /// Probes per second that a daemon wants in a given second of the run.
    demand: fn(daemon: usize, second: u64) -> f32,
    /// Smallest fraction of its demand that the first daemon gets.
    min_fraction: f32,
}

/// Simulates one minute; each daemon reports its rate to one random peer every second.
#[test]
fn busy_daemons_use_what_the_rest_leave() {
    let cases = [
        Case {
            what: "clients have moved to two daemons of twenty",
            daemons: 20,
            demand: |d, _| if d < 2 { 180.0 } else { 20.0 },
            min_fraction: 0.9,
        },
        Case {
            what: "a third of the daemons becomes busy after 10 s",
            daemons: 18,
            demand: |d, s| if d % 3 == 0 && s >= 10 { 150.0 } else { 15.0 },
            min_fraction: 0.9,
        },
        Case {
            what: "all daemons want far more than the limit",
            daemons: 20,
            demand: |_, _| 1000.0,
            min_fraction: 0.0,
        },
        Case {
            what: "all daemons have bursts of 10 s",
            daemons: 20,
            demand: |_, s| if s / 10 % 2 == 1 { 1000.0 } else { 5.0 },
            min_fraction: 0.0,
        },
        Case {
            what: "a large fleet that wants more than the limit",
            daemons: 140,
            demand: |_, _| 400.0,
            min_fraction: 0.0,
        },
        Case {
            what: "a single daemon",
            daemons: 1,
            demand: |_, _| 1000.0,
            min_fraction: 0.0,
        },
    ];
    for case in cases {
        let (first, all) = simulate(&case);
        let what = case.what;
        assert!(
            first >= case.min_fraction,
            "{what}: the first daemon got {first:.2} of its demand"
        );
        assert!(all <= 0.8, "{what}: the fleet used {all:.2} of the limit");
    }
}

/// Returns the fraction of its demand that the first daemon got, and of the limit that the
/// fleet used.
fn simulate(case: &Case) -> (f32, f32) {
    let settings = ProbeLimiterSettings::default;
    let mut daemons: Vec<ProbeLimiter> = (0..case.daemons)
        .map(|_| ProbeLimiter::new(settings()))
        .collect();
    let mut rng = Pcg32::new(5, 1);
    let mut pending = vec![0.0_f32; case.daemons];
    let (mut wanted, mut got, mut all) = (0.0, 0, 0);
    for step in 1..=3000_u64 {
        let now = Mono(step * STEP.as_micros() as u64);
        let second = step / 50;
        for d in 0..case.daemons {
            let demand = (case.demand)(d, second) * STEP.as_secs_f32();
            pending[d] += demand;
            let taken = daemons[d].take(now, pending[d] as usize, SHARE);
            // Demand that isn't met soon lapses.
            pending[d] = (pending[d] - taken as f32).min(5.0);
            all += taken;
            if d == 0 && second >= 20 {
                wanted += demand;
                got += taken;
            }
            if (step + d as u64).is_multiple_of(50) && case.daemons > 1 {
                let to = rng.random_range(0..case.daemons);
                let rate = daemons[d].rate(now);
                daemons[to].record_peer_rate(rate, SHARE);
            }
        }
    }
    let limit = SHARE * case.daemons as f32 * 60.0;
    (got as f32 / wanted, all as f32 / limit)
}
