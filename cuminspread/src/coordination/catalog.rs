//! Catalog of the registered servers, by id.
//!
//! Changes come from several sources: reads of the registry by this daemon, and peers that read it
//! earlier or later. Each change has the registry's revision, and each incarnation of a server its
//! start time, so that an older source never brings back a server that is leaving or was removed.
//!
//! Load pattern: after an outage of some seconds the registry has dropped the entries of live
//! servers. Such lapsed entries stay in use for [`LAPSE_GRACE`], in which live servers register
//! again.
//!
//! A store may also come back from an older copy, which begins a new era: it numbers its writes
//! from the copy on, so revisions are compared by era first. The copy lacks live servers, which
//! lapse as above, and holds servers that have left since. The latter stay removed until they
//! report again or their entries have outlived [`RESTORED_HOLD`].

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::cold_server;
use crate::state::Name;
use crate::state::time::Mono;

/// Time for which a lapsed entry stays in use: servers register again within 2 s, plus a margin.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2500);
/// Time for which the entry of a removed server that an older copy of the store has brought back
/// must stay in the registry before the server is used again. The registry drops the entry of a
/// server that has left after three missed heartbeats, a few seconds.
pub const RESTORED_HOLD: Duration = Duration::from_secs(10);
/// Time for which a removed server is kept; longer than the age of any snapshot of the registry.
const TOMBSTONE_TTL: Duration = Duration::from_secs(120);
/// Maximum number of changes kept to update peers without a full snapshot; about 200 KB.
const MAX_LOG_LEN: usize = 2048;

/// Revision of the registry; ordered by era, then by number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Revision {
    /// Era of the store, which rises when it comes back from an older copy; 0 if unknown. Messages
    /// carry it outside of the revision.
    #[serde(skip)]
    pub era: u64,
    /// Number of the write within the era; 0 before the first.
    pub number: u64,
}

impl Revision {
    /// Whether nothing of the registry is known.
    pub fn is_empty(self) -> bool {
        self.number == 0
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.number)
    }
}

/// One registered server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServerEntry {
    /// Unique id, the same for all incarnations.
    pub id: Name,
    /// Service that it serves.
    pub service: Name,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: Name,
    /// Requests that the server processes at once.
    pub slots: u32,
    /// The server is leaving and gets no new requests.
    pub draining: bool,
    /// Time left for which the server is slow after its start.
    pub warm_up: Duration,
    /// Start of this incarnation, in milliseconds since the Unix epoch; 0 if unknown.
    pub started_ms: u64,
    /// Number of this report within its incarnation.
    pub sequence: u64,
}

impl ServerEntry {
    /// Whether two reports differ in more than the sequence number and the countdown of the warm-up.
    ///
    /// `expected_warm` and `warm` are the times at which the server is warm by the older and by the
    /// newer report.
    fn differs(&self, other: &Self, now: Mono, expected_warm: Mono, warm: Mono) -> bool {
        self.started_ms != other.started_ms
            || self.draining != other.draining
            || self.address != other.address
            || self.service != other.service
            || self.slots != other.slots
            || self.data_centre != other.data_centre
            || cold_server::is_notable_change(now, expected_warm, warm)
    }

    /// Whether this report was made before another report of the same server.
    fn is_older_than(&self, other: &Self) -> bool {
        (self.started_ms, self.sequence) < (other.started_ms, other.sequence)
    }
}

/// Change of one server's entry.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Change {
    /// The server reported.
    Reported(ServerEntry),
    /// The entry was removed.
    Removed {
        /// Id of the server.
        id: Name,
        /// The registry was unreachable, so the entry may have lapsed although the server is alive.
        lapsed: bool,
    },
}

impl Change {
    /// Id of the server.
    pub fn id(&self) -> &Name {
        match self {
            Self::Reported(entry) => &entry.id,
            Self::Removed { id, .. } => id,
        }
    }
}

/// A change and the registry's revision at which it happened.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RevisionedChange {
    /// Revision of the registry.
    pub revision: Revision,
    /// What changed.
    pub change: Change,
}

#[derive(Debug, Clone)]
enum Presence {
    Present,
    Lapsed {
        until: Mono,
    },
    Removed {
        at: Mono,
        /// When a copy of the store brought the entry back; `None` while it isn't listed.
        listed_since: Option<Mono>,
    },
}

#[derive(Debug, Clone)]
struct Record {
    entry: ServerEntry,
    revision: Revision,
    presence: Presence,
    /// When the entry was reported.
    reported: Mono,
}

/// Local copy of the registry.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    servers: BTreeMap<Name, Record>,
    revision: Revision,
    /// Recent changes and their times, oldest first.
    log: VecDeque<(Mono, RevisionedChange)>,
    /// The log has all changes after this revision.
    log_base: Revision,
}

impl Catalog {
    /// Revision up to which the catalog is complete; empty before the first read.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Entries that are present or lapsed, including those of leaving servers.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        let in_use = |r: &&Record| !matches!(r.presence, Presence::Removed { .. });
        self.servers.values().filter(in_use).map(|r| &r.entry)
    }

    /// Entry of a server if it is present or lapsed.
    pub fn entry(&self, id: &str) -> Option<&ServerEntry> {
        let record = self.servers.get(id)?;
        let in_use = !matches!(record.presence, Presence::Removed { .. });
        in_use.then_some(&record.entry)
    }

    /// Applies one change; returns whether more is new than a sequence number or the
    /// countdown of a warm-up.
    ///
    /// A change of an older era of the store is ignored.
    pub fn apply(&mut self, now: Mono, new: RevisionedChange) -> bool {
        if new.revision.era < self.revision.era {
            return false;
        }
        let changed = match &new.change {
            Change::Reported(entry) => self.report(now, entry, new.revision),
            Change::Removed { id, lapsed } => self.remove(now, id, *lapsed, new.revision),
        };
        if changed {
            self.log.push_back((now, new));
            if self.log.len() > MAX_LOG_LEN
                && let Some((_, dropped)) = self.log.pop_front()
            {
                self.log_base = self.log_base.max(dropped.revision);
            }
        }
        changed
    }

    /// Records that an incarnation of a server has said itself that it is leaving, before or without
    /// a report to the registry; returns the change if that is new.
    pub fn record_leaving(&mut self, id: &str, started_ms: u64) -> Option<RevisionedChange> {
        let record = self.servers.get_mut(id)?;
        let entry = &mut record.entry;
        if entry.started_ms != started_ms || std::mem::replace(&mut entry.draining, true) {
            return None;
        }
        Some(RevisionedChange {
            revision: record.revision,
            change: Change::Reported(entry.clone()),
        })
    }

    /// Marks the catalog as complete up to this revision; a lower one has no effect.
    pub fn set_complete_to(&mut self, revision: Revision) {
        if revision.era > self.revision.era && !self.revision.is_empty() {
            self.enter_era(revision);
        }
        self.revision = self.revision.max(revision);
    }

    /// Makes the records comparable with revisions of a new era, in which all writes are newer.
    fn enter_era(&mut self, at: Revision) {
        let oldest = Revision {
            era: at.era,
            number: 0,
        };
        for record in self.servers.values_mut() {
            record.revision = record.revision.max(oldest);
        }
        // Peers of the older era need a snapshot, since the log doesn't tell what the copy lacks.
        self.begin_log(at);
    }

    /// Drops the log, which then has the changes after this revision.
    fn begin_log(&mut self, at: Revision) {
        self.log.clear();
        self.log_base = at;
    }

    /// Applies a snapshot of the registry as of revision `at`; entries missing in it were removed.
    ///
    /// `lapsed` tells whether the missing entries may have lapsed in an outage; those of an earlier
    /// era count as lapsed. Returns the changes that were new; a snapshot older than the catalog is
    /// ignored.
    pub fn reconcile(
        &mut self,
        now: Mono,
        at: Revision,
        snapshot: Vec<(Revision, ServerEntry)>,
        lapsed: bool,
    ) -> Vec<RevisionedChange> {
        if at < self.revision {
            return Vec::new();
        }
        let listed: HashSet<&Name> = snapshot.iter().map(|(_, e)| &e.id).collect();
        let missing: Vec<(Name, bool)> = self
            .servers
            .iter()
            .filter(|(id, r)| r.revision <= at && r.is_listed() && !listed.contains(id))
            .map(|(id, r)| {
                // Revisions of an unknown era come from peers of an older format.
                let era = r.revision.era;
                (id.clone(), lapsed || era != 0 && era < at.era)
            })
            .collect();
        let reported = snapshot
            .into_iter()
            .map(|(revision, entry)| RevisionedChange {
                revision,
                change: Change::Reported(entry),
            });
        let removed = missing.into_iter().map(|(id, lapsed)| RevisionedChange {
            revision: at,
            change: Change::Removed { id, lapsed },
        });
        let changes: Vec<RevisionedChange> = reported.chain(removed).collect();
        let new = changes
            .into_iter()
            .filter(|c| self.apply(now, c.clone()))
            .collect();
        if self.revision.is_empty() {
            // The first snapshot doesn't tell which servers were removed before it.
            self.begin_log(at);
        }
        self.set_complete_to(at);
        new
    }

    /// Removes lapsed entries after [`LAPSE_GRACE`] and old records of removed servers.
    ///
    /// Returns the ids of the entries removed now.
    pub fn expire(&mut self, now: Mono) -> Vec<Name> {
        let mut expired = Vec::new();
        for (id, record) in &mut self.servers {
            if let Presence::Lapsed { until } = record.presence
                && now >= until
            {
                record.presence = removed_at(now);
                expired.push(id.clone());
            }
        }
        self.servers.retain(|_, r| match r.presence {
            Presence::Removed { at, .. } => now.since(at) < TOMBSTONE_TTL,
            _ => true,
        });
        expired
    }

    /// Brings back removed servers whose entries came with a copy of the store and have been
    /// listed for [`RESTORED_HOLD`]; returns them.
    pub fn confirm_restored(&mut self, now: Mono) -> Vec<RevisionedChange> {
        let mut confirmed = Vec::new();
        for record in self.servers.values_mut() {
            if let Presence::Removed {
                listed_since: Some(since),
                ..
            } = record.presence
                && now.since(since) >= RESTORED_HOLD
            {
                record.presence = Presence::Present;
                confirmed.push(RevisionedChange {
                    revision: record.revision,
                    change: Change::Reported(record.entry.clone()),
                });
            }
        }
        confirmed
    }

    /// Changes after a revision; `None` if it is empty or of another era, or if the log doesn't
    /// reach back that far.
    pub fn changes_since(&self, now: Mono, revision: Revision) -> Option<Vec<RevisionedChange>> {
        if revision < self.log_base || revision.is_empty() || revision.era != self.revision.era {
            return None;
        }
        let newer = self.log.iter().filter(|(_, c)| c.revision > revision);
        let with_age = newer.map(|(at, revisioned)| {
            let mut revisioned = revisioned.clone();
            if let Change::Reported(entry) = &mut revisioned.change {
                entry.warm_up = entry.warm_up.saturating_sub(now.since(*at));
            }
            revisioned
        });
        Some(with_age.collect())
    }

    /// Entries that the registry lists, each with its revision.
    ///
    /// A removed server that a copy of the store has brought back is listed as leaving, so that a
    /// daemon without a record of its removal doesn't use it either.
    pub fn snapshot(&self, now: Mono) -> Vec<(Revision, ServerEntry)> {
        let listed = self.servers.values().filter(|r| r.is_listed());
        listed
            .map(|r| {
                let is_removed = matches!(r.presence, Presence::Removed { .. });
                let entry = ServerEntry {
                    draining: r.entry.draining || is_removed,
                    warm_up: r.entry.warm_up.saturating_sub(now.since(r.reported)),
                    ..r.entry.clone()
                };
                (r.revision, entry)
            })
            .collect()
    }

    fn report(&mut self, now: Mono, entry: &ServerEntry, revision: Revision) -> bool {
        let Some(record) = self.servers.get_mut(&entry.id) else {
            self.servers.insert(
                entry.id.clone(),
                Record {
                    entry: entry.clone(),
                    revision,
                    presence: Presence::Present,
                    reported: now,
                },
            );
            return true;
        };
        if revision <= record.revision || entry.is_older_than(&record.entry) {
            return false;
        }
        // A new era begins with a copy, which may list a server that has left since. A report that
        // is made in the new era has a later revision than this one.
        if let Presence::Removed { listed_since, .. } = &mut record.presence
            && revision.era > record.revision.era
            && entry.started_ms == record.entry.started_ms
        {
            *listed_since = Some(now);
            record.revision = revision;
            return false;
        }
        // Once an incarnation has reported that it is leaving, it stays so.
        let draining =
            entry.draining || record.entry.draining && entry.started_ms == record.entry.started_ms;
        let entry = ServerEntry {
            draining,
            ..entry.clone()
        };
        let reappeared = !matches!(record.presence, Presence::Present);
        let expected_warm = record.reported + record.entry.warm_up;
        let warm = now + entry.warm_up;
        let changed = reappeared || entry.differs(&record.entry, now, expected_warm, warm);
        record.entry = entry;
        record.reported = now;
        record.revision = revision;
        record.presence = Presence::Present;
        changed
    }

    fn remove(&mut self, now: Mono, id: &Name, lapsed: bool, revision: Revision) -> bool {
        let Some(record) = self.servers.get_mut(id) else {
            return false;
        };
        if revision < record.revision {
            return false;
        }
        match &mut record.presence {
            Presence::Present => {}
            Presence::Lapsed { .. } => return false,
            // Peers that hold the entry need to know, too.
            Presence::Removed { listed_since, .. } => return listed_since.take().is_some(),
        }
        record.revision = revision;
        record.presence = if lapsed && !record.entry.draining {
            Presence::Lapsed {
                until: now + LAPSE_GRACE,
            }
        } else {
            removed_at(now)
        };
        true
    }
}

impl Record {
    /// Whether the registry has the entry.
    fn is_listed(&self) -> bool {
        match self.presence {
            Presence::Present => true,
            Presence::Lapsed { .. } => false,
            Presence::Removed { listed_since, .. } => listed_since.is_some(),
        }
    }
}

fn removed_at(now: Mono) -> Presence {
    Presence::Removed {
        at: now,
        listed_since: None,
    }
}
