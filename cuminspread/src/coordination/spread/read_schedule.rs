//! Decides when a daemon reads the platform's folder.
//!
//! In each data centre the few VMs of the VM list that rank first by rendezvous hashing are readers
//! and watch the folder. Any other daemon reads only while no peer has had contact with the
//! platform within a bound, and then with pauses that grow with the number of daemons, so that the
//! reads of all daemons together stay bounded when the platform or the readers fail.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::coordination::backoff::Backoff;
use crate::state::Name;
use crate::state::council::Digest;
use crate::state::time::Mono;

/// Time after which a read that was not reported as ended counts as failed.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Shortest time between the starts of two successful reads.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum reads per second of all daemons that are not readers.
const MAX_FALLBACK_READS_PER_S: u32 = 50;
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// How a read of the folder ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadEnd {
    /// With the latest known revision or a later one.
    Current,
    /// With a revision earlier than the latest known one.
    Stale,
    Failed,
}

/// When a daemon last had contact with the platform, in microseconds; may be negative, since the
/// clock starts at 0 with this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ContactAt(i64);

impl ContactAt {
    fn ago(now: Mono, age: Duration) -> Self {
        let age = i64::try_from(age.as_micros()).unwrap_or(i64::MAX);
        Self(now.0.cast_signed().saturating_sub(age))
    }

    fn age(self, now: Mono) -> Duration {
        let age = now.0.cast_signed().saturating_sub(self.0);
        Duration::from_micros(age.max(0).cast_unsigned())
    }
}

#[derive(Debug)]
pub(super) struct FolderReadSchedule {
    stale_after: Duration,
    rng: Pcg64Mcg,
    backoff: Backoff,
    is_reader: bool,
    daemons: u32,
    /// When the read in progress started.
    started: Option<Mono>,
    /// Earliest time of the next read; 0 while a peer's contact makes a fallback read needless.
    next_read: Mono,
    platform_contact: Option<ContactAt>,
    peer_contact: Option<ContactAt>,
    reads: u64,
}

impl FolderReadSchedule {
    pub(super) fn new(stale_after: Duration, seed: u64) -> Self {
        Self {
            stale_after,
            rng: Pcg64Mcg::seed_from_u64(seed),
            backoff: Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF, seed),
            is_reader: false,
            daemons: 1,
            started: None,
            next_read: Mono::default(),
            platform_contact: None,
            peer_contact: None,
            reads: 0,
        }
    }

    /// Sets whether this daemon is a reader, and the number of daemons.
    pub(super) fn set_role(&mut self, now: Mono, is_reader: bool, daemons: u32) {
        let newly = is_reader && !self.is_reader;
        self.is_reader = is_reader;
        self.daemons = daemons.max(1);
        if newly {
            self.next_read = now;
        }
    }

    pub(super) fn is_reader(&self) -> bool {
        self.is_reader
    }

    /// Number of reads started.
    pub(super) fn reads(&self) -> u64 {
        self.reads
    }

    /// Records that a peer had contact with the platform `age` ago.
    pub(super) fn record_peer_read(&mut self, now: Mono, age: Duration) {
        self.peer_contact = self.peer_contact.max(Some(ContactAt::ago(now, age)));
    }

    /// Time since this daemon or a peer had contact with the platform; `Duration::MAX` if never.
    pub(super) fn age(&self, now: Mono) -> Duration {
        let contact = self.platform_contact.max(self.peer_contact);
        contact.map_or(Duration::MAX, |at| at.age(now))
    }

    /// Clears the known contacts and the read in progress, after a pause of the process.
    pub(super) fn reset(&mut self, now: Mono) {
        self.platform_contact = None;
        self.peer_contact = None;
        self.started = None;
        self.next_read = now;
        if !self.is_reader {
            self.next_read = now + self.fallback_pause();
        }
    }

    /// Whether to start a read now; if so, it counts as started.
    pub(super) fn due(&mut self, now: Mono) -> bool {
        if let Some(started) = self.started {
            if now.since(started) < READ_TIMEOUT {
                return false;
            }
            self.record_end(now, ReadEnd::Failed);
        }
        let stale = |at: ContactAt| at.age(now) >= self.stale_after;
        if !self.is_reader && !self.peer_contact.is_none_or(stale) {
            // Cleared, so that the first fallback read gets a random pause, too.
            self.next_read = Mono::default();
            return false;
        }
        if !self.is_reader && self.next_read == Mono::default() {
            self.next_read = now + self.fallback_pause();
        }
        if now < self.next_read {
            return false;
        }
        self.started = Some(now);
        self.reads += 1;
        true
    }

    /// Records the end of a read.
    pub(super) fn record_end(&mut self, now: Mono, end: ReadEnd) {
        let duration = self
            .started
            .take()
            .map_or(Duration::ZERO, |at| now.since(at));
        let pause = if end == ReadEnd::Current {
            self.platform_contact = Some(ContactAt::ago(now, Duration::ZERO));
            self.backoff.reset();
            MIN_READ_INTERVAL.saturating_sub(duration)
        } else {
            self.backoff.pause()
        };
        let min_pause = if self.is_reader || end == ReadEnd::Current {
            Duration::ZERO
        } else {
            self.fallback_pause()
        };
        self.next_read = now + pause.max(min_pause).max(Duration::from_micros(1));
    }

    /// Random pause of a daemon that is not a reader, so that all such daemons together stay within
    /// [`MAX_FALLBACK_READS_PER_S`].
    fn fallback_pause(&mut self) -> Duration {
        let mean_pause = Duration::from_secs(1) * self.daemons / MAX_FALLBACK_READS_PER_S;
        mean_pause.mul_f64(0.5 + self.rng.random::<f64>())
    }
}

/// Whether `name` is among the first `count` of `names` by rendezvous hashing.
pub(super) fn ranks_first<'a>(
    name: &Name,
    names: impl Iterator<Item = &'a Name>,
    count: usize,
) -> bool {
    let own_weight = weight(name);
    let above = names.filter(|other| *other != name && weight(other) > own_weight);
    above.take(count).count() < count
}

fn weight(name: &Name) -> Digest {
    Digest::of(name.as_bytes())
}
