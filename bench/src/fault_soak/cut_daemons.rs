//! Drill: daemons are cut off from all servers, while clients, the store and peers reach them.
//!
//! Some, most or all daemons are cut off for seconds; their connections hang, in one direction or
//! both, are reset, or live on while new ones are refused. Meanwhile daemons are killed, stopped and
//! frozen, servers are replaced, the store is away, and the configuration changes.
//!
//! Checked by the users' rule: from 3 s after a cut began, requests at the daemons that are cut off
//! are served at least two thirds as often as at the others, unless no more than 10 and one in 50
//! of all fail there. A daemon that was disrupted in the 3 s before isn't counted.

use std::time::Duration;

use cuminspread_platform::standin::store::Mode;
use rand::RngExt as _;
use rand_pcg::Pcg32;
use tokio::time::Instant;

use super::client::{Outcome, SentRequest};
use super::fleet::{Fleet, Signal};
use super::proxy::{Cut, Fault};
use super::update_until;

/// Time after the start of a cut, or after a disruption, from which on a daemon counts.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Failures at daemons that are cut off which are always allowed.
const MIN_FAILURES: usize = 10;

/// Cuts daemons off, or injects one fault beside.
///
/// # Errors
///
/// Fails if a daemon or a server can't be started.
pub(super) async fn inject(fleet: &mut Fleet, rng: &mut Pcg32) -> anyhow::Result<()> {
    let daemon = rng.random_range(0..fleet.daemons());
    let server = rng.random_range(0..fleet.servers());
    match rng.random_range(0..10) {
        0..=2 => {
            const CUTS: [Cut; 5] = [
                Cut::Fault(Fault::Reset),
                Cut::Fault(Fault::Silent),
                Cut::Fault(Fault::CutToServer),
                Cut::Fault(Fault::CutToClient),
                Cut::NewOnly,
            ];
            let cut = CUTS[rng.random_range(0..CUTS.len())];
            let duration = Duration::from_millis(rng.random_range(3500..7000));
            let share = [0.3, 0.5, 0.5, 0.8, 1.0][rng.random_range(0..5)];
            for daemon in 0..fleet.daemons() {
                let may_cut = fleet.takes_forwarded(daemon) && !fleet.is_cut(daemon);
                if may_cut && rng.random_bool(share) {
                    fleet.cut_daemon(daemon, cut, duration);
                }
            }
        }
        3 => {
            const SIGNALS: [Signal; 2] = [Signal::Kill, Signal::Terminate];
            fleet.signal(daemon, SIGNALS[rng.random_range(0..SIGNALS.len())]);
        }
        4 => fleet.pause(daemon, Duration::from_millis(rng.random_range(200..900))),
        5 | 6 => fleet.set_store_mode([Mode::Up, Mode::Silent][rng.random_range(0..2)]),
        7 => fleet.publish_config(rng.random_range(0..40)),
        8 => fleet.replace_server(server).await,
        _ => {}
    }
    let interval = Duration::from_millis(rng.random_range(300..1200));
    update_until(fleet, Instant::now() + interval).await
}

/// State of a daemon from some time before a request to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Cut off all the time.
    Cut,
    /// Neither cut off nor disrupted.
    Sound,
    /// Anything else.
    Other,
}

fn state(fleet: &Fleet, daemon: usize, request: &SentRequest) -> State {
    let (from, to) = (request.at - SETTLE_TIME, request.ended);
    if fleet.is_disrupted(daemon, from, to) {
        return State::Other;
    }
    let spans = fleet.cut_spans().iter();
    let mut spans = spans.filter(|s| s.daemon == daemon && s.from <= to && s.to >= from);
    match spans.next() {
        None => State::Sound,
        Some(span) if span.from <= from && span.to >= to => State::Cut,
        Some(_) => State::Other,
    }
}

/// Requests that were sent, and those of them that were served.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    sent: usize,
    served: usize,
}

impl Counts {
    fn fraction(self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

/// Checks what the drill adds; returns the violations.
pub(super) fn check(fleet: &Fleet, requests: &[SentRequest]) -> Vec<String> {
    let (mut cut, mut others) = (Counts::default(), Counts::default());
    for request in requests {
        let Some(daemon) = request.daemon else {
            continue;
        };
        // Only times count at which there are both. A daemon of an older program is no help.
        let daemons = (0..fleet.daemons()).filter(|d| fleet.takes_forwarded(*d));
        let mut states = daemons.map(|d| state(fleet, d, request));
        let has_both = fleet.cut_spans().iter().any(|s| s.to >= request.at)
            && states.clone().any(|s| s == State::Cut)
            && states.any(|s| s == State::Sound);
        let counts = match state(fleet, daemon, request) {
            State::Cut if has_both => &mut cut,
            State::Sound if has_both => &mut others,
            _ => continue,
        };
        counts.sent += 1;
        counts.served += usize::from(request.outcome == Outcome::Served);
    }
    let failed = cut.sent - cut.served;
    let is_worse = cut.fraction() < others.fraction() * 2.0 / 3.0;
    if is_worse && failed > MIN_FAILURES + (cut.sent + others.sent) / 50 {
        return vec![format!(
            "cut daemons: served {} of {} requests, the others {} of {}",
            cut.served, cut.sent, others.served, others.sent
        )];
    }
    Vec::new()
}
