//! Drill: one or two of three data centres are emptied for some seconds, again and again.
//!
//! Meanwhile the store is away, slow or forgets its history, daemons are killed, stopped and frozen,
//! and servers are replaced. Checked by the users' rule: no request reaches a server of an emptied
//! data centre later than 5 s after the store has acknowledged that, until it is taken back.
//!
//! If the store goes away within 3 s after the request, possibly nobody has read it, so the time
//! begins when it is back. A disruption of the daemon in the 5 s before excuses it. One daemon is
//! never disrupted, so that not all forget what they know while the store is away. Of several
//! programs, only daemons of the first are checked; the others may not know the rule.

use std::collections::HashMap;
use std::ops::Range;
use std::time::Duration;

use cuminspread_platform::standin::store::Mode;
use rand::RngExt as _;
use rand_pcg::Pcg32;
use tokio::time::Instant;

use super::client::SentRequest;
use super::fleet::{Fleet, Signal};
use super::update_until;

/// Data centres of the servers; the daemons are in the first.
pub const DATA_CENTRES: [&str; 3] = ["here", "there", "yonder"];
/// Time after which no request may reach an emptied data centre.
const BOUND: Duration = Duration::from_secs(5);
/// Time for which a data centre is emptied, in milliseconds.
const LENGTH_MS: Range<u64> = 6_000..12_000;
/// Time for which the store must be up for a daemon to have read what it holds.
const READ_TIME: Duration = Duration::from_secs(3);

/// A span in which a data centre was emptied.
#[derive(Debug, Clone, Copy)]
struct Span {
    data_centre: &'static str,
    from: Instant,
    /// Planned end.
    until: Instant,
    to: Option<Instant>,
}

/// Emptied data centres, and the times at which the store was up.
#[derive(Debug, Default)]
pub struct Evacuations {
    spans: Vec<Span>,
    /// Changes between up and away, from the start on, when it was up.
    store_changes: Vec<(Instant, bool)>,
}

impl Evacuations {
    /// Records how the store handles reads from now on.
    pub fn record_mode(&mut self, mode: Mode) {
        let is_up = matches!(mode, Mode::Up | Mode::Slow(_));
        if self.store_changes.last().is_none_or(|(_, up)| *up) != is_up {
            self.store_changes.push((Instant::now(), is_up));
        }
    }

    /// Records that a data centre is emptied from now on, or no longer if `until` is `None`.
    pub fn record(&mut self, data_centre: &'static str, until: Option<Instant>) {
        let now = Instant::now();
        if let Some(until) = until {
            self.spans.push(Span {
                data_centre,
                from: now,
                until,
                to: None,
            });
            return;
        }
        let open = self.spans.iter_mut();
        for span in open.filter(|s| s.to.is_none() && s.data_centre == data_centre) {
            span.to = Some(now);
        }
    }

    /// Data centres that are emptied now, and the planned ends.
    pub fn current(&self) -> Vec<(&'static str, Instant)> {
        let open = self.spans.iter().filter(|s| s.to.is_none());
        open.map(|s| (s.data_centre, s.until)).collect()
    }

    /// When the store had been up since `from` or later for long enough to be read.
    fn up_from(&self, from: Instant) -> Option<Instant> {
        let mut up = Some(from);
        for (at, is_up) in &self.store_changes {
            match (up, is_up) {
                (Some(since), false) if *at <= from || *at < since + READ_TIME => up = None,
                (Some(_), false) => return up,
                (_, true) => up = Some(from.max(*at)),
                (None, false) => {}
            }
        }
        up
    }

    /// Whether a request must not reach a data centre at a time.
    fn forbids(&self, data_centre: &str, at: Instant) -> bool {
        let mut spans = self.spans.iter().filter(|s| s.data_centre == data_centre);
        spans.any(|span| {
            let bound = self.up_from(span.from).map(|up| up + BOUND);
            bound.is_some_and(|b| at > b) && span.to.is_none_or(|to| at < to)
        })
    }
}

/// Empties a data centre or takes it back, or injects a fault beside.
///
/// # Errors
///
/// Fails if a daemon or a server can't be started.
pub(super) async fn inject(fleet: &mut Fleet, rng: &mut Pcg32) -> anyhow::Result<()> {
    let daemon = rng.random_range(1..fleet.daemons().max(2));
    let server = rng.random_range(0..fleet.servers());
    // The daemons' own data centre more often, as only its servers get requests otherwise.
    let data_centre = DATA_CENTRES[[0, 0, 1, 2][rng.random_range(0..4)]];
    for (data_centre, until) in fleet.evacuations.current() {
        if Instant::now() >= until {
            fleet.evacuate(data_centre, None);
        }
    }
    let emptied = fleet.evacuations.current();
    let is_emptied = emptied.iter().any(|(d, _)| *d == data_centre);
    let until = Instant::now() + Duration::from_millis(rng.random_range(LENGTH_MS));
    match rng.random_range(0..16) {
        0..=6 if !is_emptied && emptied.len() < 2 => fleet.evacuate(data_centre, Some(until)),
        7 if !is_emptied => {
            fleet.evacuate(data_centre, Some(until));
            fleet.evacuate(data_centre, None);
        }
        7 => {
            fleet.evacuate(data_centre, None);
            fleet.evacuate(data_centre, Some(until));
        }
        8 | 9 => fleet.set_store_mode(Mode::Up),
        10 => fleet.set_store_mode([Mode::Silent, Mode::Busy][rng.random_range(0..2)]),
        11 => fleet.set_store_mode(Mode::Slow(200)),
        12 => fleet.compact(),
        13 if fleet.daemons() > 1 => {
            const SIGNALS: [Signal; 2] = [Signal::Kill, Signal::Terminate];
            fleet.signal(daemon, SIGNALS[rng.random_range(0..SIGNALS.len())]);
        }
        14 if fleet.daemons() > 1 => {
            fleet.pause(daemon, Duration::from_millis(rng.random_range(200..900)));
        }
        15 => fleet.replace_server(server).await,
        _ => {}
    }
    let interval = Duration::from_millis(rng.random_range(200..1200));
    update_until(fleet, Instant::now() + interval).await
}

/// Checks what the drill adds; returns the violations.
pub(super) fn check(fleet: &Fleet, requests: &[SentRequest]) -> Vec<String> {
    let by_id: HashMap<&str, &SentRequest> = requests.iter().map(|r| (r.id.as_str(), r)).collect();
    let mut violations = Vec::new();
    for (data_centre, arrivals) in fleet.arrivals_by_data_centre() {
        for arrival in arrivals {
            let at = Instant::from_std(arrival.at);
            let daemon = by_id.get(arrival.id.as_str()).and_then(|r| r.daemon);
            let is_excused = daemon.is_none_or(|d| {
                !fleet.runs_first_program(d) || fleet.is_disrupted(d, at - BOUND, at)
            });
            if fleet.evacuations.forbids(data_centre, at) && !is_excused {
                let id = &arrival.id;
                violations.push(format!("evacuation: {id} reached emptied {data_centre}"));
            }
        }
    }
    violations
}
