//! Probes stay within the council's budget, whichever VM lists the daemons use.

use std::time::Duration;

use cuminspread::coordination::dispatch::{DispatchSettings, Guards};
use cuminspread::coordination::event::{CallAction, CallEvent};
use cuminspread::coordination::probe::{Place, share};
use cuminspread::invariant::Invariant;
use quickcheck::quickcheck;

use crate::support::{Driver, council};

struct FleetCase {
    name: &'static str,
    /// Places at the start; `None` for a daemon that is not listed yet.
    first: Vec<Option<Place>>,
    /// Places after 60 s.
    second: Vec<Option<Place>>,
    budget: f64,
}

fn places(range: std::ops::Range<u32>, daemons: u32) -> Vec<Option<Place>> {
    range.map(|index| Some(Place { index, daemons })).collect()
}

fn probes(actions: &[CallAction]) -> usize {
    let is_probe = |a: &&CallAction| matches!(a, CallAction::Probe(_));
    actions.iter().filter(is_probe).count()
}

fn largest_window(times: &[u64]) -> usize {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    let mut first = 0;
    let mut largest = 0;
    for (i, at) in sorted.iter().enumerate() {
        while sorted[first] + 1_000_000 <= *at {
            first += 1;
        }
        largest = largest.max(i + 1 - first);
    }
    largest
}

#[test]
fn every_window_is_within_the_budget() {
    let unlisted = |count: usize| vec![None; count];
    let cases = [
        FleetCase {
            name: "steady",
            first: places(0..18, 18),
            second: places(0..18, 18),
            budget: 100.0,
        },
        FleetCase {
            name: "fewer probes than daemons",
            first: places(0..18, 18),
            second: places(0..18, 18),
            budget: 9.0,
        },
        FleetCase {
            name: "half of the daemons are new, with a list of their own",
            first: [places(0..18, 18), unlisted(18)].concat(),
            second: [places(0..18, 18), places(0..18, 18)].concat(),
            budget: 40.0,
        },
        FleetCase {
            name: "a shorter list",
            first: places(0..18, 18),
            second: [places(0..9, 9), places(9..18, 18)].concat(),
            budget: 60.0,
        },
        FleetCase {
            name: "a longer list with other positions",
            first: [places(0..18, 18), unlisted(6)].concat(),
            second: [places(6..15, 24), places(9..18, 18), places(0..6, 24)].concat(),
            budget: 50.0,
        },
    ];
    for fleet in cases {
        let times = run(&fleet, &Guards::default());
        let largest = largest_window(&times) as f64;
        assert!(!times.is_empty(), "{}: no probe at all", fleet.name);
        assert!(largest <= fleet.budget, "{}: {largest}", fleet.name);
    }
}

/// Runs a fleet for 100 s in steps of 10 ms; returns the times of all probes.
fn run(fleet: &FleetCase, guards: &Guards) -> Vec<u64> {
    let mut config = council("east", 20, 6);
    config.probe_budget = fleet.budget;
    let start = |seed: usize| {
        let settings = DispatchSettings {
            seed: seed as u64,
            guards: guards.clone(),
            ..DispatchSettings::default()
        };
        Driver::new(settings, &config)
    };
    let mut drivers: Vec<Driver> = (0..fleet.first.len()).map(start).collect();
    let mut times = Vec::new();
    for second in 0..100 {
        let places = if second < 60 {
            &fleet.first
        } else {
            &fleet.second
        };
        for (driver, place) in drivers.iter_mut().zip(places) {
            if let Some(Place { index, daemons }) = *place {
                driver.handle(CallEvent::Place { index, daemons });
            }
            for _ in 0..100 {
                let sent = probes(&driver.advance(Duration::from_millis(10)));
                times.extend(std::iter::repeat_n(driver.now, sent));
            }
        }
    }
    assert_eq!(
        drivers.iter().map(Driver::broken).sum::<u64>() > 0,
        !guards.probes
    );
    times
}

/// Without the guard a window exceeds the budget, and the check of the invariant fails.
#[test]
fn budget_is_exceeded_without_the_guard() {
    let fleet = FleetCase {
        name: "unguarded",
        first: places(0..18, 18),
        second: places(0..18, 18),
        budget: 18.0,
    };
    let guards = Guards {
        probes: false,
        ..Guards::default()
    };
    let times = run(&fleet, &guards);
    assert!(largest_window(&times) as f64 > fleet.budget);
}

/// A paused process sends no burst of probes, and a new daemon sends none at first.
#[test]
fn no_burst_after_a_pause_or_start() {
    let mut config = council("east", 20, 6);
    config.probe_budget = 20.0;
    let mut driver = Driver::new(DispatchSettings::default(), &config);
    let place = CallEvent::Place {
        index: 0,
        daemons: 1,
    };
    driver.handle(place.clone());
    assert_eq!(probes(&driver.advance(Duration::from_secs(29))), 0);
    driver.handle(place.clone());
    driver.advance(Duration::from_secs(10));
    driver.now += 8_000_000;
    let after = probes(&driver.advance(Duration::from_secs(1)));
    assert!((1..=10).contains(&after), "{after}");
    assert_eq!(
        driver
            .dispatcher
            .invariants()
            .broken(Invariant::ProbeBudget),
        0
    );
}

quickcheck! {
    /// The shares of one VM list add up to at most the given fraction of the budget.
    fn shares_stay_within_the_fraction(budget: u16, daemons: u8) -> bool {
        let daemons = u32::from(daemons).max(1);
        let budget = f64::from(budget) / 7.0;
        let of = |index| share(0.5, budget, Place { index, daemons });
        let total: u32 = (0..daemons).map(of).sum();
        f64::from(total) <= 0.5 * budget
    }
}
