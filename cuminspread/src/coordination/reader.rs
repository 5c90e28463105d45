//! Who reads the platform's store, and when.
//!
//! Reads are priced and all daemons together may make only so many, so one daemon reads at a pace
//! and hands on what is new. Daemons that hear of no successful read for [`ReaderSettings::takeover_after`]
//! read for themselves, at random moments so that mostly one of them starts; of two that read, the
//! one with the higher rank stops when it hears the other. No agreement is needed: too many readers
//! cost money, none costs at most the patience.
//!
//! Load pattern: the reader is killed, cut off or refused by the store right after a server began to
//! leave; another must read the news within the platform's bound.

use std::time::Duration;

use rand::RngExt as _;
use rand_pcg::Pcg32;

use crate::state::time::Mono;

/// Settings of the reader.
#[derive(Debug, Clone)]
pub struct ReaderSettings {
    /// Time between two reads of the reader; a part of the shortest bound on news (2 s).
    pub interval: Duration,
    /// Time without word of a successful read after which a daemon reads itself.
    pub takeover_after: Duration,
    /// Random time added to the patience.
    pub takeover_jitter: Duration,
    /// Pause after the first failed read; it doubles with each further one.
    pub retry_delay: Duration,
    /// Longest pause after failed reads.
    pub max_retry_delay: Duration,
    /// First pause of a daemon that isn't the reader, for each daemon of the fleet.
    pub follower_retry_delay: Duration,
    /// Longest such pause for each daemon: the fleet makes about this many calls in an outage.
    pub follower_max_retry_delay: Duration,
    /// Longest time for a first read; it doubles with each failure.
    pub timeout: Duration,
    /// Longest time for a read.
    pub max_timeout: Duration,
    /// Time without any successful read after which entries may have lapsed.
    pub outage_after: Duration,
}

impl Default for ReaderSettings {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(600),
            takeover_after: Duration::from_millis(1300),
            takeover_jitter: Duration::from_millis(400),
            retry_delay: Duration::from_millis(100),
            max_retry_delay: Duration::from_millis(1600),
            follower_retry_delay: Duration::from_millis(20),
            follower_max_retry_delay: Duration::from_millis(100),
            timeout: Duration::from_millis(400),
            max_timeout: Duration::from_millis(1600),
            outage_after: Duration::from_millis(2500),
        }
    }
}

/// Whether this daemon reads the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It relies on another one.
    Follower,
    /// It reads at the pace.
    Reader,
}

/// Decides when this daemon reads.
#[derive(Debug)]
pub struct ReadSchedule {
    settings: ReaderSettings,
    rank: u64,
    rng: Pcg32,
    role: Role,
    last_read: Option<Mono>,
    next: Mono,
    failures: u32,
    reading: bool,
    /// Daemons that may read.
    fleet: u32,
    /// A daemon of lower rank was heard while this one was reading.
    yields: bool,
}

impl ReadSchedule {
    /// Daemon that first reads after `delay`, unless it hears of a read before.
    pub fn new(settings: ReaderSettings, rank: u64, seed: u64, delay: Duration) -> Self {
        Self {
            settings,
            rank,
            rng: Pcg32::new(seed, rank),
            role: Role::Follower,
            last_read: None,
            next: Mono::default() + delay,
            failures: 0,
            reading: false,
            fleet: 1,
            yields: false,
        }
    }

    /// Takes the number of daemons that may read, this one included.
    pub fn set_daemons(&mut self, daemons: usize) {
        self.fleet = daemons.max(1) as u32;
    }

    /// Present role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Time since the last read that succeeded at any daemon, as far as is known.
    pub fn age(&self, now: Mono) -> Option<Duration> {
        self.last_read.map(|t| now.since(t))
    }

    /// Failed reads of this daemon in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether entries may have lapsed because nobody could reach the store.
    pub fn is_outage(&self, now: Mono) -> bool {
        self.age(now)
            .is_some_and(|age| age > self.settings.outage_after)
    }

    /// Time of the next read, if nothing is heard before.
    pub fn next_read(&self) -> Option<Mono> {
        (!self.reading).then_some(self.next)
    }

    /// Begins a read if one is due; gives its longest time.
    pub fn begin(&mut self, now: Mono) -> Option<Duration> {
        if self.reading || now < self.next {
            return None;
        }
        self.reading = true;
        self.yields = false;
        let timeout = self.settings.timeout * (1 << self.failures.min(4));
        Some(timeout.min(self.settings.max_timeout))
    }

    /// A read that was begun has succeeded.
    pub fn succeeded(&mut self, now: Mono) {
        self.reading = false;
        self.failures = 0;
        self.last_read = Some(now);
        if self.yields {
            self.role = Role::Follower;
            self.next = now + self.settings.takeover_after + self.stagger();
        } else {
            self.role = Role::Reader;
            self.next = now + self.settings.interval;
        }
    }

    /// A read that was begun has failed.
    ///
    /// The reader tries again soon. Others share the tries, so that an outage costs the same number
    /// of calls in a fleet of any size.
    pub fn failed(&mut self, now: Mono) {
        self.reading = false;
        let settings = &self.settings;
        let (first, most) = match self.role {
            Role::Reader => (settings.retry_delay, settings.max_retry_delay),
            Role::Follower => (
                settings
                    .retry_delay
                    .max(settings.follower_retry_delay * self.fleet),
                settings
                    .max_retry_delay
                    .max(settings.follower_max_retry_delay * self.fleet),
            ),
        };
        let pause = first * (1 << self.failures.min(6));
        self.failures += 1;
        let pause = pause.min(most);
        self.next = now + pause + self.jitter(pause);
        if self.failures > 1 {
            self.role = Role::Follower;
        }
    }

    /// Another daemon says that it has read the store, `age` ago.
    pub fn record_peer_read(&mut self, now: Mono, rank: u64, age: Duration) {
        let read = now - age;
        if self.last_read.is_none_or(|last| read > last) {
            self.last_read = Some(read);
        }
        let fresh = age < self.settings.takeover_after;
        if !fresh || self.role == Role::Reader && rank > self.rank {
            return;
        }
        self.role = Role::Follower;
        self.failures = 0;
        self.yields |= rank < self.rank;
        let next = read + self.settings.takeover_after + self.stagger();
        self.next = self.next.max(next);
    }

    /// This daemon was paused or the time jumped: what it knows may be old.
    pub fn resumed(&mut self, now: Mono) {
        self.next = self.next.min(now);
    }

    /// Random delay of which few are short: of a large fleet, too, only some start at first.
    fn stagger(&mut self) -> Duration {
        let unit: f64 = self.rng.random_range(0.0..1.0);
        self.settings.takeover_jitter.mul_f64(unit.cbrt())
    }

    fn jitter(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.rng.random_range(0.0..1.0))
    }
}
