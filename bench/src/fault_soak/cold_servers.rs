//! Drill: servers turn cold, alone or all at once, and may be cold again as soon as they are warm.
//!
//! The registry tells of some of them, the answers to health checks of all. Meanwhile the store is
//! away now and then, and daemons are killed, stopped and frozen. Checked, with the users' bound: no
//! second brings a cold server more than one and a half times what it bears, and 8 requests, of all
//! daemons together.

use std::time::Duration;

use cuminspread_platform::standin::server::Arrival;
use cuminspread_platform::standin::store::Mode;
use rand::RngExt as _;
use rand_pcg::Pcg32;
use tokio::time::Instant;

use super::fleet::{Fleet, Signal};
use super::update_until;

/// Requests a second that a cold server bears.
pub(super) const COLD_PER_S: f64 = 2.5;
/// Length of the spans in which the requests to a cold server are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Most requests in such a span.
const MAX_IN_WINDOW: usize = (COLD_PER_S * 1.5 + 8.0) as usize;

/// Turns servers cold, or injects a fault of the store or of a daemon.
///
/// # Errors
///
/// Fails if a daemon can't be started.
pub(super) async fn inject(fleet: &mut Fleet, rng: &mut Pcg32) -> anyhow::Result<()> {
    let server = rng.random_range(0..fleet.servers());
    let daemon = rng.random_range(0..fleet.daemons());
    let time = Duration::from_millis(rng.random_range(500..4000));
    let is_reported = rng.random_range(0..2) == 0;
    match rng.random_range(0..9) {
        0..=3 => fleet.turn_cold(server, time, is_reported),
        4 => {
            for server in 0..fleet.servers() {
                fleet.turn_cold(server, time, is_reported);
            }
        }
        5 => fleet.set_store_mode([Mode::Up, Mode::Silent][rng.random_range(0..2)]),
        6 => fleet.signal(daemon, Signal::Terminate),
        7 => {
            for daemon in (0..fleet.daemons()).step_by(2) {
                fleet.signal(daemon, Signal::Kill);
            }
        }
        _ => fleet.pause(daemon, Duration::from_millis(rng.random_range(200..900))),
    }
    let interval = Duration::from_millis(rng.random_range(100..1500));
    update_until(fleet, Instant::now() + interval).await
}

/// Checks what the drill adds; returns the violations.
pub(super) fn check(fleet: &Fleet) -> Vec<String> {
    let mut violations = Vec::new();
    for arrivals in fleet.arrivals() {
        let cold: Vec<Arrival> = arrivals.into_iter().filter(|a| a.cold).collect();
        let counts = cold.iter().enumerate().map(|(i, first)| {
            let window = cold[i..].iter().take_while(|a| a.at < first.at + WINDOW);
            (window.count(), &first.id)
        });
        if let Some((count, id)) = counts.max().filter(|(n, _)| *n > MAX_IN_WINDOW) {
            violations.push(format!(
                "cold: {count} requests in 1 s from {id} on, at most {MAX_IN_WINDOW}"
            ));
        }
    }
    violations
}
