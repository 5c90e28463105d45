//! Decides which daemon reads the platform's store, and when.
//!
//! Reads are priced, and the number of reads of all daemons together is limited. One daemon, the
//! reader, therefore reads at a fixed interval and sends what is new to its peers; the other
//! daemons are followers. A follower that hears of no successful read for
//! [`ReaderSettings::takeover_after`] reads itself, after a random delay so that usually only one
//! daemon starts. A follower tells its peers when it begins such a read, and when that fails: the
//! others wait for the first result instead of reading at the same time, and once several reads of
//! different daemons have failed, they count the store as down and share the attempts. Of two
//! readers, the one with the higher rank number stops when it hears of the other's read. The
//! daemons need no consensus: too many readers only cost money, and without a reader updates are
//! late by at most the time to a takeover.
//!
//! Load pattern: the reader is killed, partitioned or refused by the store right after a server
//! began to leave; another daemon must read the change within the platform's time limit. Or the
//! store is away for seconds, and hundreds of daemons miss its answers at the same time.

use std::collections::HashMap;
use std::time::Duration;

use rand::RngExt as _;
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};

use crate::coordination::catalog::ServerEntry;
use crate::state::Name;
use crate::state::routing::Routing;
use crate::state::time::Mono;

/// Settings of reads of the store.
#[derive(Debug, Clone)]
pub struct ReaderSettings {
    /// Time between two reads of the reader; well below the shortest limit on the age of updates
    /// (2 s).
    pub interval: Duration,
    /// Time after the last known successful read after which a follower reads itself.
    pub takeover_after: Duration,
    /// Longest random time added to `takeover_after`.
    pub takeover_jitter: Duration,
    /// Longest random time until a follower reads that can't pull an update from the reader.
    pub unreachable_delay: Duration,
    /// Pause of the reader after a failed read; it doubles with each failure in a row.
    pub retry_delay: Duration,
    /// Longest pause of the reader after failed reads.
    pub max_retry_delay: Duration,
    /// First mean pause of a follower after a failed read, for each daemon of the fleet: the mean is
    /// this value times the number of daemons, but at least `retry_delay`.
    pub follower_retry_delay: Duration,
    /// Longest mean pause of a follower, for each daemon of the fleet: the mean is at most this value
    /// times the number of daemons, so that the whole fleet makes about one read in this time
    /// during an outage. The bound is at least `max_retry_delay`.
    pub follower_max_retry_delay: Duration,
    /// Time for which followers wait for the result of a read that another daemon has begun;
    /// enough for a snapshot of some hundred servers on a small VM.
    pub attempt_hold: Duration,
    /// Number of other daemons whose reads have failed, without any that succeeded, from which on
    /// the store counts as down; if it refuses just half of the daemons, so many fail in a row once
    /// in 64 times.
    pub failures_for_outage: usize,
    /// Timeout of a read; it doubles with each failure in a row.
    pub timeout: Duration,
    /// Longest timeout of a read.
    pub max_timeout: Duration,
    /// Time without any successful read after which registry entries may have lapsed.
    pub outage_after: Duration,
}

impl Default for ReaderSettings {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(600),
            takeover_after: Duration::from_millis(1300),
            takeover_jitter: Duration::from_millis(400),
            unreachable_delay: Duration::from_millis(200),
            retry_delay: Duration::from_millis(100),
            max_retry_delay: Duration::from_millis(1600),
            follower_retry_delay: Duration::from_millis(20),
            follower_max_retry_delay: Duration::from_millis(100),
            attempt_hold: Duration::from_millis(300),
            failures_for_outage: 6,
            timeout: Duration::from_millis(400),
            max_timeout: Duration::from_millis(1600),
            outage_after: Duration::from_millis(2500),
        }
    }
}

/// Role of this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Gets updates from the reader.
    Follower,
    /// Reads the store at a fixed interval.
    Reader,
}

/// Decides when this daemon reads.
#[derive(Debug)]
pub struct ReadSchedule {
    settings: ReaderSettings,
    /// Of two readers, the daemon with the lower rank number stays the reader.
    rank: u64,
    rng: Pcg32,
    role: Role,
    /// Last successful read of any daemon, as far as known.
    last_read: Option<Mono>,
    next_read: Mono,
    failures: u32,
    reading: bool,
    /// Daemons that may read, this one included.
    daemons: u32,
    /// A daemon of lower rank read the store while this one was reading.
    superseded: bool,
    hold_state: HoldState,
    /// Rank numbers of other daemons whose reads have failed since the last success, up to the
    /// number that counts as an outage.
    failed_peers: Vec<u64>,
}

/// Whether a follower waits for the result of another daemon's read; once after each success.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HoldState {
    Unused,
    Holding { until: Mono },
    Over,
}

/// Servers of each service that a sample of the store must have.
const MIN_SAMPLED_SERVERS: usize = 3;

/// Whether some of the servers are enough to serve requests until all are known: each service that
/// a route uses has a few of them.
///
/// Load pattern: all daemons restart at the same moment, and the link of the store takes longer for
/// all servers to each of them than callers wait.
pub fn sample_suffices<'a>(
    routing: &Routing,
    servers: impl Iterator<Item = &'a ServerEntry>,
) -> bool {
    let mut counts: HashMap<&Name, usize> = HashMap::new();
    for server in servers.filter(|s| !s.draining) {
        *counts.entry(&server.service).or_default() += 1;
    }
    let mut services = routing.routes.iter().flat_map(|r| &r.services);
    services.all(|s| {
        let count = counts.get(&s.service).copied().unwrap_or_default();
        s.weight == 0 || count >= MIN_SAMPLED_SERVERS
    })
}

/// State of a read that another daemon makes to take over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ReadAttempt {
    /// The read has begun.
    Begun,
    /// The read has failed.
    Failed,
}

impl ReadSchedule {
    /// Schedule of a follower that reads after `delay` unless it hears of a read before.
    pub fn new(settings: ReaderSettings, rank: u64, seed: u64, delay: Duration) -> Self {
        Self {
            settings,
            rank,
            rng: Pcg32::new(seed, rank),
            role: Role::Follower,
            last_read: None,
            next_read: Mono::default() + delay,
            failures: 0,
            reading: false,
            daemons: 1,
            superseded: false,
            hold_state: HoldState::Unused,
            failed_peers: Vec::new(),
        }
    }

    /// Sets the number of daemons that may read, this one included; at least 1.
    pub fn set_daemons(&mut self, daemons: usize) {
        self.daemons = daemons.max(1) as u32;
    }

    /// Current role; [`Role::Follower`] in a new schedule.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Time since the last successful read of any daemon; `None` if none is known.
    pub fn age(&self, now: Mono) -> Option<Duration> {
        self.last_read.map(|t| now.since(t))
    }

    /// Failed reads of this daemon since its last successful one.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether registry entries may have lapsed because no daemon could reach the store.
    pub fn is_outage(&self, now: Mono) -> bool {
        self.age(now)
            .is_some_and(|age| age > self.settings.outage_after)
    }

    /// Time of the next read unless a peer reads before; `None` during a read.
    pub fn next_read(&self) -> Option<Mono> {
        (!self.reading).then_some(self.next_read)
    }

    /// Begins a read if one is due; returns its timeout.
    pub fn begin(&mut self, now: Mono) -> Option<Duration> {
        if self.reading || now < self.next_read {
            return None;
        }
        self.reading = true;
        self.superseded = false;
        let timeout = self.settings.timeout * (1 << self.failures.min(4));
        Some(timeout.min(self.settings.max_timeout))
    }

    /// Records that the read in progress succeeded.
    pub fn succeeded(&mut self, now: Mono) {
        self.reading = false;
        self.failures = 0;
        self.record_success();
        self.last_read = Some(now);
        if self.superseded {
            self.role = Role::Follower;
            self.next_read = now + self.settings.takeover_after + self.takeover_delay();
        } else {
            self.role = Role::Reader;
            self.next_read = now + self.settings.interval;
        }
    }

    /// Records that the read in progress failed.
    ///
    /// The reader retries soon. Followers wait in proportion to the number of daemons, so that an
    /// outage costs the same number of reads in a fleet of any size. They fail at the same time, so
    /// their pauses are spread from zero on: the fleet reads at an even rate, and finds the end of
    /// the outage as fast at any moment.
    pub fn failed(&mut self, now: Mono) {
        self.reading = false;
        let settings = &self.settings;
        let (first, longest) = match self.role {
            Role::Reader => (settings.retry_delay, settings.max_retry_delay),
            Role::Follower => (
                settings
                    .retry_delay
                    .max(settings.follower_retry_delay * self.daemons),
                settings
                    .max_retry_delay
                    .max(settings.follower_max_retry_delay * self.daemons),
            ),
        };
        let pause = first * (1 << self.failures.min(6));
        self.failures += 1;
        let pause = pause.min(longest);
        self.next_read = match self.role {
            Role::Reader => now + pause + self.jitter(pause),
            Role::Follower => now + self.jitter(pause * 2),
        };
        if self.failures > 1 {
            self.role = Role::Follower;
        }
    }

    /// Records that another daemon read the store, `age` ago.
    ///
    /// Peers that pull an update also name this daemon's own reads to it; these have no effect.
    pub fn record_peer_read(&mut self, now: Mono, rank: u64, age: Duration) {
        if rank == self.rank {
            return;
        }
        let read = now - age;
        let is_latest = self.last_read.is_none_or(|last| read > last);
        if is_latest {
            self.last_read = Some(read);
        }
        let fresh = age < self.settings.takeover_after;
        if !fresh || self.role == Role::Reader && rank > self.rank {
            return;
        }
        self.role = Role::Follower;
        self.failures = 0;
        self.record_success();
        self.superseded |= rank < self.rank;
        let next = read + self.settings.takeover_after + self.takeover_delay();
        // The long pauses of an outage end with it.
        self.next_read = if is_latest {
            next
        } else {
            self.next_read.max(next)
        };
    }

    /// Records a read of another daemon that has not succeeded, or not yet.
    ///
    /// A follower waits once for the result of such a read. If there is none in time or a read
    /// fails, the followers try one after the other, so that a store that refuses some daemons is
    /// soon read by another one; after enough failures, at the slower pace of an outage.
    pub fn record_peer_attempt(&mut self, now: Mono, rank: u64, attempt: ReadAttempt) {
        if self.role != Role::Follower || rank == self.rank {
            return;
        }
        let settings = &self.settings;
        let in_turn = settings.follower_retry_delay * self.daemons;
        let in_outage = settings.follower_max_retry_delay * self.daemons;
        let hold = settings.attempt_hold;
        match (attempt, self.hold_state) {
            (ReadAttempt::Begun, HoldState::Unused) => {
                self.hold_state = HoldState::Holding { until: now + hold };
                let next = now + hold + self.takeover_delay();
                self.next_read = self.next_read.max(next);
            }
            (ReadAttempt::Begun, HoldState::Holding { until }) if now >= until => {
                self.hold_state = HoldState::Over;
                self.next_read = self.next_read.max(now + self.jitter(in_turn));
            }
            (ReadAttempt::Begun, _) => {}
            (ReadAttempt::Failed, before) => {
                self.hold_state = HoldState::Over;
                // Relays of the message repeat it.
                if self.failed_peers.contains(&rank)
                    || self.failed_peers.len() >= settings.failures_for_outage
                {
                    return;
                }
                self.failed_peers.push(rank);
                if self.failed_peers.len() == settings.failures_for_outage {
                    self.next_read = self.next_read.max(now + self.jitter(in_outage));
                } else if before != HoldState::Over {
                    self.next_read = now + self.jitter(in_turn);
                }
            }
        }
    }

    fn record_success(&mut self) {
        self.hold_state = HoldState::Unused;
        self.failed_peers.clear();
    }

    /// Records that the reader has announced an update and can't be reached for it.
    ///
    /// Only a few daemons pull from the reader itself, and those that learn in time of another's
    /// read wait for its result.
    ///
    /// Load pattern: the reader is lost right after it has announced an update that doesn't fit a
    /// datagram.
    pub fn reader_unreachable(&mut self, now: Mono) {
        if self.role == Role::Reader || self.reading || self.hold_state != HoldState::Unused {
            return;
        }
        let delay = self.jitter(self.settings.unreachable_delay);
        self.next_read = self.next_read.min(now + delay);
    }

    /// Makes a read due now: after a pause of the process, when its data may be old, or when a read
    /// returned only a part of the changes.
    pub fn read_now(&mut self, now: Mono) {
        self.next_read = self.next_read.min(now);
    }

    /// Random delay; few are short, so that also in a large fleet only some daemons start at first.
    fn takeover_delay(&mut self) -> Duration {
        let unit: f64 = self.rng.random_range(0.0..1.0);
        self.settings.takeover_jitter.mul_f64(unit.cbrt())
    }

    fn jitter(&mut self, max: Duration) -> Duration {
        max.mul_f64(self.rng.random_range(0.0..1.0))
    }
}
