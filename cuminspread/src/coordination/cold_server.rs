//! Requests to servers that are cold, as they are after a start or a return to service.
//!
//! A cold server bears few requests a second from all daemons together and breaks under more. As
//! with the limits that servers name (see [`server_limit`]), each daemon finds the same few holders
//! of that rate by rendezvous hashing; a holder sends one request in each of its turns, and the
//! other daemons leave the server out until it is warm. Turns that pass unused aren't made up for,
//! so a holder never sends two requests within less than a turn, and the number of requests in a
//! second is at most the number of holders. Daemons whose views of the fleet differ may choose other
//! holders; a daemon that doesn't know most of the fleet yet takes no part, see
//! [`Mesh::is_settled`]. Daemons that know none in the server's data centre may be cut off from it,
//! and use a small part of the rate.
//!
//! A daemon learns that a server is cold from the registry, seconds late, and from the answers to
//! health checks, which are as new as the check. A server may turn cold at any moment, so a load
//! report from the answer to a request doesn't replace the check before the next request.
//!
//! Load pattern: all servers of a data centre come back cold while those of the others are full, and
//! hundreds of daemons have waiting requests for them; a single attempt by each would break them.
//!
//! [`server_limit`]: super::server_limit
//! [`Mesh::is_settled`]: super::mesh::Mesh::is_settled

use std::time::Duration;

use super::mesh::Mesh;
use super::server_limit::held_rate;
use crate::state::time::Mono;

/// Longest time for which one report makes a server cold.
const MAX_COLD_TIME: Duration = Duration::from_secs(3600);
/// Time after which the parts are computed anew, since the fleet may have changed.
const ASSIGN_INTERVAL: Duration = Duration::from_secs(2);
/// Least change of the time at which a server is expected to be warm that is worth telling: reports
/// reach the registry and its readers up to this late.
const NOTABLE_DELAY: Duration = Duration::from_secs(2);
/// Least time for which a server that was warm has to stay cold to be worth telling.
const NOTABLE_COLD_TIME: Duration = Duration::from_secs(1);
/// Age from which on a health check has to be repeated before the request that it was made for; a
/// placement that probes several groups of servers takes less.
pub const MAX_CHECK_AGE: Duration = Duration::from_millis(150);
/// Part of the rate that daemons use who know none in the server's data centre; low enough that the
/// holders of three such groups and the proper ones keep within the users' bound.
const UNSEEN_FRACTION: f32 = 0.25;

/// Where a daemon has learned whether a server is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdNews {
    /// A report to the registry, made at an unknown time before.
    Report,
    /// The answer to a health check.
    Check {
        /// When the check was sent.
        sent_at: Mono,
        /// The server answered that it is healthy.
        healthy: bool,
    },
}

/// How a server's state has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdChange {
    /// It is cold for this time.
    TurnedCold(Duration),
    /// It is warm although it was expected to stay cold for this time.
    TurnedWarm(Duration),
}

/// Part of a cold server's rate that a daemon has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Part {
    /// Not computed yet: the daemon sends nothing.
    #[default]
    Unassigned,
    /// The daemon has a turn once in this time.
    Held { interval: Duration },
    /// Other daemons send.
    Excluded,
}

/// Whether one incarnation of a server is cold, and this daemon's turns while it is.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ColdServer {
    /// Mean time between the requests that it bears while it is cold; `None` if it bears any.
    interval: Option<Duration>,
    until: Mono,
    /// Time of the latest news.
    told: Mono,
    /// When the latest answered health check was sent.
    checked: Option<Mono>,
    part: Part,
    /// When the part was computed.
    assigned: Option<Mono>,
    /// Next turn of this daemon.
    next: Mono,
}

impl ColdServer {
    /// Sets the mean time between the requests that the server bears while it is cold; `None` if it
    /// bears any number.
    pub fn set_interval(&mut self, interval: Option<Duration>) {
        if self.interval != interval {
            self.interval = interval;
            self.assigned = None;
        }
    }

    /// Requests a second that the server bears from all daemons together while it is cold; `None` if
    /// it bears any number.
    pub fn rate(&self) -> Option<f32> {
        self.interval.map(|interval| 1.0 / interval.as_secs_f32())
    }

    /// Time for which the server stays cold; `None` if it is warm or bears any number of requests.
    pub fn left(&self, now: Mono) -> Option<Duration> {
        let is_cold = self.interval.is_some() && now < self.until;
        is_cold.then(|| self.until.since(now))
    }

    /// When the server is expected to be warm.
    pub fn until(&self) -> Mono {
        self.until
    }

    /// Records that the server stays cold for `left`; zero if it is warm.
    ///
    /// A report only lengthens the time, since the server may have turned cold after it was made.
    /// The answer to a check that was sent after the latest news is valid in any case.
    pub fn record(&mut self, now: Mono, left: Duration, news: ColdNews) -> Option<ColdChange> {
        let before = self.until;
        let was_cold = now < before;
        let until = now + left.min(MAX_COLD_TIME);
        match news {
            ColdNews::Report if until > before && !left.is_zero() => {
                self.until = until;
                self.told = now;
            }
            ColdNews::Report => {}
            ColdNews::Check { sent_at, healthy } => {
                self.checked = self.checked.max(Some(sent_at));
                let is_latest = sent_at >= self.told && (healthy || !left.is_zero());
                if is_latest || until > before {
                    self.until = until;
                    self.told = now;
                }
            }
        }
        match (was_cold, now < self.until) {
            (false, true) => {
                self.part = Part::Unassigned;
                self.assigned = None;
                Some(ColdChange::TurnedCold(self.until.since(now)))
            }
            (true, false) => Some(ColdChange::TurnedWarm(before.since(now))),
            _ => None,
        }
    }

    /// Whether the latest answered health check was sent no longer than `max_age` ago.
    ///
    /// A process that was paused may read an answer long after it was given, so the age counts from
    /// the sending. A server that bears any number of requests needs no check.
    pub fn is_checked(&self, now: Mono, max_age: Duration) -> bool {
        let is_recent = |sent_at| now.since(sent_at) <= max_age;
        self.interval.is_none() || self.checked.is_some_and(is_recent)
    }

    /// Whether the part of this daemon has to be computed now.
    pub fn needs_part(&self, now: Mono) -> bool {
        let is_outdated = |at| now.since(at) >= ASSIGN_INTERVAL;
        self.left(now).is_some() && self.assigned.is_none_or(is_outdated)
    }

    /// Sets the part of this daemon: the requests a second from [`held_part`].
    ///
    /// `spread`, from 0 to 1, sets when a new holder has its first turn, so that holders don't all
    /// send at once.
    pub fn assign(&mut self, now: Mono, held_rate: Option<f32>, spread: f32) {
        self.assigned = Some(now);
        let interval = held_rate.and_then(|rate| Duration::try_from_secs_f32(1.0 / rate).ok());
        let Some(interval) = interval else {
            self.part = Part::Excluded;
            return;
        };
        self.next = match self.part {
            Part::Held { .. } => self.next.min(now + interval),
            // A turn that was taken before the daemon lost its part still counts.
            Part::Unassigned | Part::Excluded => self.next.max(now + interval.mul_f32(spread)),
        };
        self.part = Part::Held { interval };
    }

    /// Requests a second that this daemon may send while the server is cold; 0 if others hold the
    /// rate.
    pub fn own_rate(&self) -> f32 {
        match self.part {
            Part::Held { interval } => 1.0 / interval.as_secs_f32(),
            Part::Unassigned | Part::Excluded => 0.0,
        }
    }

    /// When this daemon may send the next request; `None` if not before its part is computed.
    pub fn next_send(&self, now: Mono) -> Option<Mono> {
        match self.part {
            _ if self.left(now).is_none() => Some(now),
            Part::Unassigned => None,
            Part::Held { .. } => Some(self.next.min(self.until)),
            Part::Excluded => Some(self.until),
        }
    }

    /// Records that this daemon sends a request to the server.
    pub fn record_sent(&mut self, now: Mono) {
        if let (Some(_), Part::Held { interval }) = (self.left(now), self.part) {
            self.next = now + interval;
        }
    }
}

/// Whether a report by which a server is warm at `until` is news to those that expect it at
/// `expected`.
pub fn is_notable_change(now: Mono, expected: Mono, until: Mono) -> bool {
    let (expected, until) = (expected.max(now), until.max(now));
    let turns_cold = expected == now && until.since(now) > NOTABLE_COLD_TIME;
    turns_cold || until.since(expected).max(expected.since(until)) > NOTABLE_DELAY
}

/// Requests a second that this daemon may send to a cold server that bears `rate` a second; `None`
/// if others hold the rate or the daemon doesn't know most of the fleet.
pub fn held_part(
    now: Mono,
    server: &str,
    data_centre: &str,
    rate: f32,
    mesh: &mut Mesh,
) -> Option<f32> {
    if !mesh.is_settled(now) {
        return None;
    }
    let known_fraction = mesh.known_fraction(now);
    let me = mesh.me();
    let mut all = std::iter::once(me).chain(mesh.daemons());
    let is_seen = all.any(|d| *d.data_centre == *data_centre);
    let usable = if is_seen {
        rate
    } else {
        rate * UNSEEN_FRACTION
    };
    held_rate(
        server,
        data_centre,
        usable,
        me,
        mesh.daemons(),
        known_fraction,
    )
}
