//! Drill: all servers are replaced and the configuration grows, then the store comes back from a
//! copy from before that.
//!
//! The copy has none of the live servers, all of those that have left, and an older configuration.
//! Besides the invariants of all runs, these are checked: routes that were active at all daemons
//! stay so; servers whose departure was read before stay without requests; and since nothing else
//! is wrong, nearly all requests are served throughout.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use rand::RngExt as _;
use rand_pcg::Pcg32;
use tokio::time::Instant;

use super::client::{ADDED_ROUTES, Outcome, SentRequest};
use super::fleet::{ENTRY_TTL, Fleet};
use super::{DRAIN_TIMEOUT, MIN_SERVED_FRACTION, update_until};

/// Time in which all daemons have read a change; the users' bounds for configurations and for
/// leaving servers.
const UPDATE_BOUND: Duration = DRAIN_TIMEOUT;
/// Time for which entries may lapse after a restore, and then stay in use.
const LAPSE_TIME: Duration = Duration::from_secs(5);

/// Plays one round, or as much as fits into the time `left`.
///
/// # Errors
///
/// Fails if a server or a daemon can't be started.
pub(super) async fn round(
    fleet: &mut Fleet,
    rng: &mut Pcg32,
    added_routes: &AtomicUsize,
    left: Duration,
) -> anyhow::Result<()> {
    let start = Instant::now();
    let pause = |rng: &mut Pcg32, ms: std::ops::Range<u64>| {
        Instant::now() + Duration::from_millis(rng.random_range(ms))
    };
    fleet.copy_store();
    let added = added_routes.load(Ordering::Relaxed);
    if let Some((name, prefix)) = ADDED_ROUTES.get(added) {
        fleet.publish_added_route(name, prefix);
    }
    // Most departures are read before the copy comes back, the last ones perhaps not.
    let servers = fleet.servers();
    let late = rng.random_range(0..=servers / 2);
    for server in late..servers {
        fleet.leave_server(server).await?;
        update_until(fleet, pause(rng, 50..150)).await?;
    }
    update_until(fleet, Instant::now() + UPDATE_BOUND).await?;
    added_routes.store((added + 1).min(ADDED_ROUTES.len()), Ordering::Relaxed);
    for server in 0..late {
        fleet.leave_server(server).await?;
    }
    update_until(fleet, pause(rng, 0..400)).await?;
    let away = Duration::from_millis(rng.random_range(50..1500));
    // Writers notice the loss within two seconds.
    let rewrite_delay = Duration::from_millis(rng.random_range(200..2000));
    fleet.restore_store(away, rewrite_delay);
    let settled = away + ENTRY_TTL + LAPSE_TIME;
    let end = Instant::now() + settled.min(left.saturating_sub(start.elapsed()).max(away));
    update_until(fleet, end).await
}

/// Checks what the drill adds; returns the violations.
pub(super) fn check(fleet: &Fleet, requests: &[SentRequest]) -> Vec<String> {
    let mut violations = Vec::new();
    let executed = fleet.executed_by_left_servers();
    for request in requests {
        let Some(&left_at) = executed.get(&request.id) else {
            continue;
        };
        // A restore takes a departure back that was not read before it, and entries lapse after it.
        let disrupted =
            |at: &&Instant| **at + LAPSE_TIME > left_at && **at < left_at + UPDATE_BOUND;
        let restored = fleet.restored_at().iter().find(disrupted);
        let bound = match restored {
            Some(at) => *at + ENTRY_TTL + LAPSE_TIME + UPDATE_BOUND,
            None => left_at + UPDATE_BOUND,
        };
        if request.at > bound {
            violations.push(format!(
                "{} was sent {:?} after its server had left the registry, {:?} after the bound",
                request.id,
                request.at - left_at,
                request.at - bound
            ));
        }
    }
    let served = requests
        .iter()
        .filter(|r| r.outcome == Outcome::Served)
        .count();
    if (served as f64) < MIN_SERVED_FRACTION * requests.len() as f64 {
        let all = requests.len();
        violations.push(format!(
            "{served} of {all} requests served, though all servers work"
        ));
    }
    violations
}
