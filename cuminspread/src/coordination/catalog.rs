//! Catalog of the registered servers, by id.
//!
//! Changes come from several sources: reads of the registry by this daemon, and peers that read it
//! earlier or later. Each change has the registry's revision, and each incarnation of a server its
//! start time, so that an older source never brings back a server that is leaving or was removed.
//!
//! Load pattern: after an outage of some seconds the registry has dropped the entries of live
//! servers. Such lapsed entries stay in use for [`LAPSE_GRACE`], in which live servers register
//! again.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::state::Name;
use crate::state::time::Mono;

/// Time for which a lapsed entry stays in use: servers register again within 2 s, plus a margin.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2500);
/// Time for which a removed server is kept; longer than the age of any snapshot of the registry.
const TOMBSTONE_TTL: Duration = Duration::from_secs(120);
/// Maximum number of changes kept to update peers without a full snapshot; about 200 KB.
const MAX_LOG_LEN: usize = 2048;

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
    /// Whether two reports differ in more than the sequence number and the warm-up time.
    fn differs(&self, other: &Self) -> bool {
        self.started_ms != other.started_ms
            || self.draining != other.draining
            || self.address != other.address
            || self.service != other.service
            || self.slots != other.slots
            || self.data_centre != other.data_centre
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
    /// Revision of the registry, which counts its writes.
    pub revision: u64,
    /// What changed.
    pub change: Change,
}

#[derive(Debug, Clone)]
enum Presence {
    Present,
    Lapsed { until: Mono },
    Removed { at: Mono },
}

#[derive(Debug, Clone)]
struct Record {
    entry: ServerEntry,
    revision: u64,
    presence: Presence,
}

/// Local copy of the registry.
#[derive(Debug, Default)]
pub struct Catalog {
    servers: BTreeMap<Name, Record>,
    revision: u64,
    /// Recent changes, oldest first.
    log: VecDeque<RevisionedChange>,
    /// The log has all changes after this revision.
    log_base: u64,
}

impl Catalog {
    /// Revision up to which the catalog is complete; 0 before the first read.
    pub fn revision(&self) -> u64 {
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

    /// Applies one change; returns whether more than a sequence number or a warm-up time is new.
    pub fn apply(&mut self, now: Mono, new: RevisionedChange) -> bool {
        let changed = match &new.change {
            Change::Reported(entry) => self.report(entry, new.revision),
            Change::Removed { id, lapsed } => self.remove(now, id, *lapsed, new.revision),
        };
        if changed {
            self.log.push_back(new);
            if self.log.len() > MAX_LOG_LEN
                && let Some(dropped) = self.log.pop_front()
            {
                self.log_base = self.log_base.max(dropped.revision);
            }
        }
        changed
    }

    /// Marks the catalog as complete up to this revision; a lower one has no effect.
    pub fn set_complete_to(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Applies a snapshot of the registry as of revision `at`; entries missing in it were removed.
    ///
    /// `lapsed` tells whether the missing entries may have lapsed in an outage. Returns the changes
    /// that were new; a snapshot older than the catalog is ignored.
    pub fn reconcile(
        &mut self,
        now: Mono,
        at: u64,
        snapshot: Vec<(u64, ServerEntry)>,
        lapsed: bool,
    ) -> Vec<RevisionedChange> {
        if at < self.revision {
            return Vec::new();
        }
        let listed: HashSet<&Name> = snapshot.iter().map(|(_, e)| &e.id).collect();
        let missing: Vec<Name> = self
            .servers
            .iter()
            .filter(|(id, r)| {
                r.revision <= at && matches!(r.presence, Presence::Present) && !listed.contains(id)
            })
            .map(|(id, _)| id.clone())
            .collect();
        let reported = snapshot
            .into_iter()
            .map(|(revision, entry)| RevisionedChange {
                revision,
                change: Change::Reported(entry),
            });
        let removed = missing.into_iter().map(|id| RevisionedChange {
            revision: at,
            change: Change::Removed { id, lapsed },
        });
        let changes: Vec<RevisionedChange> = reported.chain(removed).collect();
        let new = changes
            .into_iter()
            .filter(|c| self.apply(now, c.clone()))
            .collect();
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
                record.presence = Presence::Removed { at: now };
                expired.push(id.clone());
            }
        }
        self.servers.retain(|_, r| match r.presence {
            Presence::Removed { at } => now.since(at) < TOMBSTONE_TTL,
            _ => true,
        });
        expired
    }

    /// Changes after a revision; `None` if the log doesn't reach back that far or `revision` is 0.
    pub fn changes_since(&self, revision: u64) -> Option<Vec<RevisionedChange>> {
        if revision < self.log_base || revision == 0 {
            return None;
        }
        let newer = self.log.iter().filter(|c| c.revision > revision);
        Some(newer.cloned().collect())
    }

    /// Present entries, each with its revision.
    pub fn snapshot(&self) -> Vec<(u64, ServerEntry)> {
        let present = |r: &&Record| matches!(r.presence, Presence::Present);
        let entries = self.servers.values().filter(present);
        entries.map(|r| (r.revision, r.entry.clone())).collect()
    }

    fn report(&mut self, entry: &ServerEntry, revision: u64) -> bool {
        let Some(record) = self.servers.get_mut(&entry.id) else {
            self.servers.insert(
                entry.id.clone(),
                Record {
                    entry: entry.clone(),
                    revision,
                    presence: Presence::Present,
                },
            );
            return true;
        };
        if revision <= record.revision || entry.is_older_than(&record.entry) {
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
        let changed = reappeared || entry.differs(&record.entry);
        record.entry = entry;
        record.revision = revision;
        record.presence = Presence::Present;
        changed
    }

    fn remove(&mut self, now: Mono, id: &Name, lapsed: bool, revision: u64) -> bool {
        let Some(record) = self.servers.get_mut(id) else {
            return false;
        };
        if revision < record.revision || !matches!(record.presence, Presence::Present) {
            return false;
        }
        record.revision = revision;
        record.presence = if lapsed && !record.entry.draining {
            Presence::Lapsed {
                until: now + LAPSE_GRACE,
            }
        } else {
            Presence::Removed { at: now }
        };
        true
    }
}
