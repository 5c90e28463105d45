//! Questions to servers: heavy daemons get what others leave, and all together keep the bound.

use std::time::Duration;

use cuminspread::coordination::probe_limiter::{ProbeLimiter, ProbeLimiterSettings};
use cuminspread::state::time::Mono;
use rand::RngExt as _;
use rand_pcg::Pcg32;

const STEP: Duration = Duration::from_millis(20);
/// Questions a second that servers allow one of the daemons.
const SHARE: f32 = 100.0;

struct Case {
    what: &'static str,
    daemons: usize,
    /// Questions a second that a daemon wants at a second of the day.
    wants: fn(daemon: usize, second: u64) -> f32,
    /// Least part of its wish that the first daemon gets.
    least: f32,
}

/// Replays days of a minute; peers talk once a second to one other at random.
#[test]
fn heavy_daemons_get_what_others_leave() {
    let cases = [
        Case {
            what: "clients have moved to two daemons of twenty",
            daemons: 20,
            wants: |d, _| if d < 2 { 180.0 } else { 20.0 },
            least: 0.9,
        },
        Case {
            what: "a third is heavy in the middle of the day",
            daemons: 18,
            wants: |d, s| if d % 3 == 0 && s >= 10 { 150.0 } else { 15.0 },
            least: 0.9,
        },
        Case {
            what: "all want far more than there is",
            daemons: 20,
            wants: |_, _| 1000.0,
            least: 0.0,
        },
        Case {
            what: "all in bursts of ten seconds",
            daemons: 20,
            wants: |_, s| if s / 10 % 2 == 1 { 1000.0 } else { 5.0 },
            least: 0.0,
        },
        Case {
            what: "a large fleet that wants all",
            daemons: 140,
            wants: |_, _| 400.0,
            least: 0.0,
        },
        Case {
            what: "one daemon alone",
            daemons: 1,
            wants: |_, _| 1000.0,
            least: 0.0,
        },
    ];
    for case in cases {
        let (first, all) = replay(&case);
        let what = case.what;
        assert!(first >= case.least, "{what}: the first got {first:.2}");
        assert!(all <= 0.8, "{what}: {all:.2} of the bound");
    }
}

/// Part of its wish that the first daemon got, and part of the bound that all used.
fn replay(case: &Case) -> (f32, f32) {
    let settings = ProbeLimiterSettings::default;
    let mut daemons: Vec<ProbeLimiter> = (0..case.daemons)
        .map(|_| ProbeLimiter::new(settings()))
        .collect();
    let mut rng = Pcg32::new(5, 1);
    let mut owed = vec![0.0_f32; case.daemons];
    let (mut wished, mut got, mut all) = (0.0, 0, 0);
    for step in 1..=3000_u64 {
        let now = Mono(step * STEP.as_micros() as u64);
        let second = step / 50;
        for d in 0..case.daemons {
            let wish = (case.wants)(d, second) * STEP.as_secs_f32();
            owed[d] += wish;
            let taken = daemons[d].take(now, owed[d] as usize, SHARE);
            // What isn't got in time is no longer wanted.
            owed[d] = (owed[d] - taken as f32).min(5.0);
            all += taken;
            if d == 0 && second >= 20 {
                wished += wish;
                got += taken;
            }
            if (step + d as u64).is_multiple_of(50) && case.daemons > 1 {
                let to = rng.random_range(0..case.daemons);
                let rate = daemons[d].rate(now);
                daemons[to].record_peer_rate(rate, SHARE);
            }
        }
    }
    let bound = SHARE * case.daemons as f32 * 60.0;
    (got as f32 / wished, all as f32 / bound)
}
