//! Drill: servers name limits and pauses, and announce in their answers that they leave.
//!
//! Limits move, and all servers may name one at once. Meanwhile the store is away now and then, and
//! daemons are killed, stopped and frozen. From what the servers saw and answered, these are
//! checked, with the users' bounds:
//!
//! - from 3 s after a server first named its limit, no 4 s bring it more than one and a half times
//!   what that allows, and 5 requests, of daemons that passed on such an answer half a second before;
//! - a server that turned a daemon away with a pause gets at most two requests of that daemon from
//!   half a second later to the end of the pause;
//! - a request sent later than 2 s after a daemon has passed on the announcement of a server's end
//!   doesn't reach this server from that daemon.
//!
//! A restart or a freeze of a daemon since then excuses it.

use std::collections::HashMap;
use std::time::Duration;

use cuminspread_platform::standin::server::Arrival;
use cuminspread_platform::standin::store::Mode;
use rand::RngExt as _;
use rand_pcg::Pcg32;
use tokio::time::Instant;

use super::client::SentRequest;
use super::fleet::{Fleet, Signal};
use super::{DRAIN_TIMEOUT, update_until};

/// Time after which a limit that was first named must be kept.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Length of the spans in which the requests to a limited server are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after an answer from which on it binds the daemon.
const TOLD_TIME: Duration = Duration::from_millis(500);
/// Requests of one daemon that may reach a server in a pause.
const MAX_IN_PAUSE: usize = 2;

/// Injects one signal of a server, or a fault of the store or of a daemon.
///
/// # Errors
///
/// Fails if a server or a daemon can't be started.
pub(super) async fn inject(fleet: &mut Fleet, rng: &mut Pcg32) -> anyhow::Result<()> {
    let server = rng.random_range(0..fleet.servers());
    let daemon = rng.random_range(0..fleet.daemons());
    let limit = rng.random_range(1.0..12.0);
    match rng.random_range(0..12) {
        0..=2 => fleet.set_limit(server, Some(limit)),
        3 => fleet.set_limit(server, None),
        4 => {
            // Most servers, so that those without a limit can't take all requests.
            for server in 1..fleet.servers() {
                fleet.set_limit(server, Some(limit));
            }
        }
        5 | 6 => fleet.set_pause(server, Some(rng.random_range(0.7..5.0))),
        7 => fleet.set_pause(server, None),
        8 => fleet.announce_end(server).await?,
        9 => fleet.set_store_mode([Mode::Up, Mode::Silent][rng.random_range(0..2)]),
        10 => {
            const SIGNALS: [Signal; 2] = [Signal::Kill, Signal::Terminate];
            fleet.signal(daemon, SIGNALS[rng.random_range(0..SIGNALS.len())]);
        }
        _ => fleet.pause(daemon, Duration::from_millis(rng.random_range(200..900))),
    }
    let interval = Duration::from_millis(rng.random_range(100..900));
    update_until(fleet, Instant::now() + interval).await
}

/// A request that reached a server, with the daemon that sent it.
struct Received<'a> {
    arrival: Arrival,
    at: Instant,
    daemon: usize,
    request: &'a SentRequest,
}

/// Checks what the drill adds; returns the violations.
pub(super) fn check(fleet: &Fleet, requests: &[SentRequest]) -> Vec<String> {
    let by_id: HashMap<&str, &SentRequest> = requests.iter().map(|r| (r.id.as_str(), r)).collect();
    let mut violations = Vec::new();
    for arrivals in fleet.arrivals() {
        let received = arrivals.into_iter().filter_map(|arrival| {
            let request = *by_id.get(arrival.id.as_str())?;
            Some(Received {
                at: Instant::from_std(arrival.at),
                daemon: request.daemon?,
                request,
                arrival,
            })
        });
        let received: Vec<Received<'_>> = received.collect();
        check_limits(fleet, &received, &mut violations);
        check_pauses(fleet, &received, &mut violations);
        check_leaving(fleet, &received, &mut violations);
    }
    violations
}

fn check_limits(fleet: &Fleet, received: &[Received<'_>], violations: &mut Vec<String>) {
    let mut rest = received;
    while let Some(first) = rest.iter().position(|r| r.arrival.limit.is_some()) {
        let span = &rest[first..];
        let end = span.iter().position(|r| r.arrival.limit.is_none());
        let (span, later) = span.split_at(end.unwrap_or(span.len()));
        check_limit(fleet, span, violations);
        rest = later;
    }
}

/// Checks a span in which the server named a limit all the time.
fn check_limit(fleet: &Fleet, span: &[Received<'_>], violations: &mut Vec<String>) {
    let is_told = |r: &&Received<'_>| {
        span.iter().any(|before| {
            before.daemon == r.daemon
                && before.request.ended + TOLD_TIME <= r.at
                && !fleet.is_disrupted(r.daemon, before.request.ended, r.at)
        })
    };
    let Some(first) = span.first() else {
        return;
    };
    let settled = span.iter().filter(|r| r.at >= first.at + SETTLE_TIME);
    let told: Vec<&Received<'_>> = settled.filter(is_told).collect();
    for (i, start) in told.iter().enumerate() {
        let window = told[i..].iter().take_while(|r| r.at < start.at + WINDOW);
        let count = window.clone().count();
        let limit = window
            .filter_map(|r| r.arrival.limit)
            .fold(0.0_f32, f32::max);
        let allowed = 1.5 * limit * WINDOW.as_secs_f32() + 5.0;
        if count as f32 > allowed {
            let id = &start.request.id;
            violations.push(format!(
                "limit: {count} requests in 4 s from {id} on, at most {allowed} at {limit} a second"
            ));
            return;
        }
    }
}

fn check_pauses(fleet: &Fleet, received: &[Received<'_>], violations: &mut Vec<String>) {
    for (i, refused) in received.iter().enumerate() {
        let Some(pause) = refused.arrival.pause else {
            continue;
        };
        let bound = refused.at + TOLD_TIME..refused.at + Duration::from_secs_f32(pause);
        let later = received[i..].iter().filter(|r| {
            r.daemon == refused.daemon
                && bound.contains(&r.at)
                && !fleet.is_disrupted(r.daemon, refused.at, r.at)
        });
        let count = later.count();
        if count > MAX_IN_PAUSE {
            let id = &refused.request.id;
            violations.push(format!(
                "pause: {count} requests in the {pause} s after {id} was turned away"
            ));
        }
    }
}

fn check_leaving(fleet: &Fleet, received: &[Received<'_>], violations: &mut Vec<String>) {
    let mut told: HashMap<usize, Instant> = HashMap::new();
    for r in received {
        let told_at = told.get(&r.daemon).copied();
        if let Some(told_at) = told_at
            && r.request.at > told_at + DRAIN_TIMEOUT
            && !fleet.is_disrupted(r.daemon, told_at, r.at)
        {
            let (id, after) = (&r.request.id, r.request.at - told_at);
            violations.push(format!(
                "leaving: {id} was sent {after:?} after its server's announcement"
            ));
        }
        if r.arrival.leaving {
            let ended = r.request.ended;
            told.entry(r.daemon).or_insert(ended);
            if told_at.is_some_and(|at| fleet.is_disrupted(r.daemon, at, ended)) {
                told.insert(r.daemon, ended);
            }
        }
    }
}
