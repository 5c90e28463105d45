//! Limits on the rate of requests that servers name for all daemons together.
//!
//! A server in need names its limit in its answers, for as long as it applies. Daemons keep no
//! shared state, so each finds the same few holders of a server's rate by rendezvous hashing over
//! the daemons that it knows, those of the server's data centre first. A holder sends its part of
//! the rate at an even pace; the other daemons leave the server out. The number of holders grows
//! with the rate, not with the fleet: equal parts for hundreds of daemons would be one request in
//! minutes for each, and all of them together might use theirs at the same time.
//!
//! A holder that gets an answer without a limit reports that to its peers. A daemon that hears
//! nothing of a limit for long tests it with a single request.
//!
//! Load pattern: one server of a service, or all of them, name limits that are small against the
//! number of daemons, e.g. 3 a second for 312, while callers ask for several times as much.

use std::time::Duration;

use rand::RngExt as _;
use rand_pcg::Pcg32;

use crate::protocol::gossip::Daemon;
use crate::state::time::Mono;

/// Fraction of a limit that the holders use together; the rest covers holders that daemons with
/// another view of the fleet choose.
const USED_FRACTION: f32 = 0.95;
/// Holders of the lowest limits.
const MIN_HOLDERS: usize = 2;
/// Part of a limit for each further holder, in requests a second.
const RATE_PER_HOLDER: f32 = 1.0;
/// Lowest rate that is kept, in requests per second: also a server that takes nothing has to be
/// asked whether that is still so.
const MIN_RATE: f32 = 0.1;
/// Part of the time between two requests by which a late request doesn't delay the next one.
const CATCH_UP: f32 = 0.5;
/// Age of a limit from which on its holders prefer to send the next request to the server.
const CONFIRM_AFTER: Duration = Duration::from_secs(2);
/// Age of a limit from which on daemons that hold no part of it test it.
const TEST_AFTER: Duration = Duration::from_secs(30);
/// Time after which the parts are computed anew, since the fleet may have changed.
const ASSIGN_INTERVAL: Duration = Duration::from_secs(2);
/// Relative change of a rate from which on the parts are computed anew at once.
const NOTABLE_CHANGE: f32 = 0.1;

/// What a response says of its server's limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum LimitNotice {
    /// The response names no limit.
    #[default]
    Absent,
    /// Requests a second that the server takes from all daemons together; finite, not negative.
    Rate(f32),
    /// The response names something that isn't a rate.
    Malformed,
}

/// Part of a limit that a daemon has.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Part {
    /// Not computed yet: the daemon sends nothing.
    Unassigned,
    /// The daemon sends at this interval, next at this time.
    Held { interval: Duration, next: Mono },
    /// Other daemons send; this one tests the limit at this age.
    Excluded { test_after: Duration },
}

/// The limit of one incarnation of a server, as one daemon knows it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerLimit {
    rate: f32,
    since: Mono,
    confirmed: Mono,
    /// Last request of this daemon without a part of the limit.
    tested: Mono,
    part: Part,
    /// When the part was computed, and for which rate.
    assigned: Option<(Mono, f32)>,
}

impl ServerLimit {
    /// Limit that an answer of `at` named first, in requests per second.
    pub fn new(at: Mono, rate: f32) -> Self {
        Self {
            rate,
            since: at,
            confirmed: at,
            tested: at,
            part: Part::Unassigned,
            assigned: None,
        }
    }

    /// Requests a second from all daemons together.
    pub fn rate(&self) -> f32 {
        self.rate
    }

    /// Requests a second that this daemon may send; 0 if it holds no part of the limit.
    pub fn own_rate(&self) -> f32 {
        match self.part {
            Part::Held { interval, .. } => 1.0 / interval.as_secs_f32(),
            Part::Unassigned | Part::Excluded { .. } => 0.0,
        }
    }

    /// Time since the limit was first known.
    pub fn age(&self, now: Mono) -> Duration {
        now.since(self.since)
    }

    /// Time of the latest answer that named the limit.
    pub fn confirmed(&self) -> Mono {
        self.confirmed
    }

    /// Records an answer of `at` that names the limit; an answer older than the latest one has no
    /// effect.
    pub fn confirm(&mut self, at: Mono, rate: f32) {
        if at >= self.confirmed {
            self.confirmed = at;
            self.rate = rate;
        }
    }

    /// Whether an answer without a limit, to a request sent at `sent_at`, ends it.
    ///
    /// The answer to a request that was sent before the latest answer with a limit may be older.
    pub fn is_ended_by(&self, sent_at: Mono) -> bool {
        sent_at >= self.confirmed
    }

    /// Whether the part of this daemon has to be computed now.
    pub fn needs_part(&self, now: Mono) -> bool {
        self.assigned.is_none_or(|(at, rate)| {
            now.since(at) >= ASSIGN_INTERVAL || is_notable_change(rate, self.rate)
        })
    }

    /// Sets the part of this daemon: the requests a second from [`held_rate`].
    ///
    /// `spread`, from 0 to 1, sets when a new holder sends first, and when a daemon without a part
    /// tests the limit, so that daemons don't do so at the same time.
    pub fn assign(&mut self, now: Mono, held_rate: Option<f32>, daemons: usize, spread: f32) {
        self.assigned = Some((now, self.rate));
        self.part = match (held_rate, self.part) {
            (Some(rate), part) => {
                let interval = Duration::from_secs_f32(1.0 / rate);
                let next = match part {
                    Part::Held { next, .. } => next.min(now + interval),
                    Part::Unassigned | Part::Excluded { .. } => now + interval.mul_f32(spread),
                };
                Part::Held { interval, next }
            }
            (None, Part::Excluded { test_after }) => Part::Excluded { test_after },
            (None, _) => {
                let spread_over = daemons as f32 / self.rate.max(MIN_RATE);
                let spread_over = Duration::from_secs_f32(spread_over * spread);
                Part::Excluded {
                    test_after: TEST_AFTER + spread_over,
                }
            }
        };
    }

    /// When this daemon may send the next request to the server; `None` if not before its part is
    /// computed.
    pub fn next_send(&self) -> Option<Mono> {
        match self.part {
            Part::Unassigned => None,
            Part::Held { next, .. } => Some(next),
            Part::Excluded { test_after } => Some(self.confirmed.max(self.tested) + test_after),
        }
    }

    /// Records that this daemon sends a request to the server.
    pub fn record_sent(&mut self, now: Mono) {
        match &mut self.part {
            Part::Held { interval, next } => {
                let earliest = now - interval.mul_f32(CATCH_UP);
                *next = earliest.max(*next) + *interval;
            }
            Part::Unassigned | Part::Excluded { .. } => self.tested = now,
        }
    }

    /// Whether a holder should send its next request to the server to learn whether the limit still
    /// applies.
    pub fn needs_confirmation(&self, now: Mono) -> bool {
        let is_held = matches!(self.part, Part::Held { .. });
        is_held && now.since(self.confirmed) >= CONFIRM_AFTER
    }
}

/// Whether two rates differ by more than a tenth.
pub fn is_notable_change(before: f32, rate: f32) -> bool {
    (rate - before).abs() > before * NOTABLE_CHANGE
}

/// Requests a second that the daemon `me` may send to a server with a limit of `rate` a second;
/// `None` if others hold it.
///
/// `known_fraction` is the part of the fleet that `peers` and `me` are: a fleet that is partitioned
/// may have holders in each partition.
pub fn held_rate<'a>(
    server: &str,
    data_centre: &str,
    rate: f32,
    me: &Daemon,
    peers: impl Iterator<Item = &'a Daemon>,
    known_fraction: f32,
) -> Option<f32> {
    let server = server_hash(server);
    let rank = |daemon: &Daemon| {
        let rank = daemon.rank();
        let hash: u64 = Pcg32::new(server ^ rank, rank).random();
        (daemon.data_centre != *data_centre, hash)
    };
    let rate = rate.max(MIN_RATE);
    let holders = MIN_HOLDERS.saturating_add((rate / RATE_PER_HOLDER) as usize);
    let own = rank(me);
    let (mut daemons, mut before) = (1, 0);
    for peer in peers {
        daemons += 1;
        before += usize::from(rank(peer) < own);
    }
    let parts = holders.min(daemons);
    (before < holders).then(|| rate * USED_FRACTION * known_fraction / parts as f32)
}

fn server_hash(server: &str) -> u64 {
    let hash = blake3::hash(server.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}
