//! Servers that have registered themselves, by id.
//!
//! Facts come from several sources: own reads of the registry, and peers that read it earlier or
//! later. Each fact carries the registry's revision, and each incarnation of a server the time of
//! its birth, so that an older source never brings back a server that is leaving or gone.
//!
//! Load pattern: a registry that was away for some seconds has dropped entries of servers that live.
//! Such lapsed entries stay in use for [`LAPSE_GRACE`], in which living servers register again.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::state::Name;
use crate::state::time::Mono;

/// Time for which a lapsed entry stays in use: two seconds in which servers return, and some slack.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2500);
/// Time for which a removed server is remembered; longer than any copy of the registry is old.
const TOMBSTONE: Duration = Duration::from_secs(120);
/// Changes kept to bring peers up to date without a whole copy; about 200 KB.
const LOG_LEN: usize = 2048;

/// One registered server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServerEntry {
    /// Unique id.
    pub id: Name,
    /// Service.
    pub service: Name,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// It is leaving and gets no new work.
    pub draining: bool,
    /// Time for which it is still slow after its start.
    pub warm_up: Duration,
    /// Start of this incarnation, in milliseconds since the Unix epoch; 0 if it doesn't say.
    pub started_ms: u64,
    /// Number of this report within its incarnation.
    pub sequence: u64,
}

impl ServerEntry {
    /// Whether two reports differ in more than their number and the time left to warm up.
    fn differs(&self, other: &Self) -> bool {
        self.started_ms != other.started_ms
            || self.draining != other.draining
            || self.address != other.address
            || self.service != other.service
            || self.slots != other.slots
            || self.data_centre != other.data_centre
    }

    /// Whether this report is from before another one of the same server.
    fn is_older_than(&self, other: &Self) -> bool {
        (self.started_ms, self.sequence) < (other.started_ms, other.sequence)
    }
}

/// What happened to one server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Change {
    /// It reported.
    Reported(ServerEntry),
    /// Its entry was removed.
    Removed {
        /// Server.
        id: Name,
        /// The registry was away, so the entry may have lapsed though the server lives.
        lapsed: bool,
    },
}

impl Change {
    /// Server.
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
    /// Revision.
    pub revision: u64,
    /// Change.
    pub change: Change,
}

#[derive(Debug, Clone)]
enum Presence {
    Present,
    Lapsed { until: Mono },
    Gone { since: Mono },
}

#[derive(Debug, Clone)]
struct Known {
    entry: ServerEntry,
    revision: u64,
    presence: Presence,
}

/// Copy of the registry.
#[derive(Debug, Default)]
pub struct Catalog {
    servers: BTreeMap<Name, Known>,
    revision: u64,
    log: VecDeque<RevisionedChange>,
    /// Changes after this revision are all in the log.
    log_base: u64,
}

impl Catalog {
    /// Revision up to which the copy is complete; 0 before the first read.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Servers that are present or lapsed, leaving ones included.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        let here = |k: &&Known| !matches!(k.presence, Presence::Gone { .. });
        self.servers.values().filter(here).map(|k| &k.entry)
    }

    /// A server that is present or lapsed.
    pub fn entry(&self, id: &str) -> Option<&ServerEntry> {
        let known = self.servers.get(id)?;
        let here = !matches!(known.presence, Presence::Gone { .. });
        here.then_some(&known.entry)
    }

    /// Takes one change; returns whether anything but a report's number is new.
    pub fn apply(&mut self, now: Mono, dated: RevisionedChange) -> bool {
        let changed = match &dated.change {
            Change::Reported(entry) => self.report(entry, dated.revision),
            Change::Removed { id, lapsed } => self.remove(now, id, *lapsed, dated.revision),
        };
        if changed {
            self.log.push_back(dated);
            if self.log.len() > LOG_LEN
                && let Some(dropped) = self.log.pop_front()
            {
                self.log_base = self.log_base.max(dropped.revision);
            }
        }
        changed
    }

    /// The copy now holds all changes up to this revision.
    pub fn set_complete_to(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Takes a whole copy of the registry; entries that it lacks were removed.
    ///
    /// Returns the changes that were new.
    pub fn reconcile(
        &mut self,
        now: Mono,
        at: u64,
        copy: Vec<(u64, ServerEntry)>,
        lapsed: bool,
    ) -> Vec<RevisionedChange> {
        if at < self.revision {
            return Vec::new();
        }
        let listed: HashSet<&Name> = copy.iter().map(|(_, e)| &e.id).collect();
        let missing: Vec<Name> = self
            .servers
            .iter()
            .filter(|(id, k)| {
                k.revision <= at && matches!(k.presence, Presence::Present) && !listed.contains(id)
            })
            .map(|(id, _)| id.clone())
            .collect();
        let reported = copy.into_iter().map(|(revision, entry)| RevisionedChange {
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
            .filter(|d| self.apply(now, d.clone()))
            .collect();
        self.set_complete_to(at);
        new
    }

    /// Drops lapsed entries whose time is over; returns the servers that are gone by this.
    pub fn expire(&mut self, now: Mono) -> Vec<Name> {
        let mut gone = Vec::new();
        for (id, known) in &mut self.servers {
            if let Presence::Lapsed { until } = known.presence
                && now >= until
            {
                known.presence = Presence::Gone { since: now };
                gone.push(id.clone());
            }
        }
        self.servers.retain(|_, k| match k.presence {
            Presence::Gone { since } => now.since(since) < TOMBSTONE,
            _ => true,
        });
        gone
    }

    /// Changes after a revision; `None` if they aren't all remembered.
    pub fn changes_since(&self, revision: u64) -> Option<Vec<RevisionedChange>> {
        if revision < self.log_base || revision == 0 {
            return None;
        }
        let newer = self.log.iter().filter(|d| d.revision > revision);
        Some(newer.cloned().collect())
    }

    /// Whole copy, with the revision of each entry.
    pub fn snapshot(&self) -> Vec<(u64, ServerEntry)> {
        let here = |k: &&Known| matches!(k.presence, Presence::Present);
        let entries = self.servers.values().filter(here);
        entries.map(|k| (k.revision, k.entry.clone())).collect()
    }

    fn report(&mut self, entry: &ServerEntry, revision: u64) -> bool {
        let Some(known) = self.servers.get_mut(&entry.id) else {
            self.servers.insert(
                entry.id.clone(),
                Known {
                    entry: entry.clone(),
                    revision,
                    presence: Presence::Present,
                },
            );
            return true;
        };
        if revision <= known.revision || entry.is_older_than(&known.entry) {
            return false;
        }
        // An incarnation that has once said that it leaves does leave.
        let draining =
            entry.draining || known.entry.draining && entry.started_ms == known.entry.started_ms;
        let entry = ServerEntry {
            draining,
            ..entry.clone()
        };
        let back = !matches!(known.presence, Presence::Present);
        let changed = back || entry.differs(&known.entry);
        known.entry = entry;
        known.revision = revision;
        known.presence = Presence::Present;
        changed
    }

    fn remove(&mut self, now: Mono, id: &Name, lapsed: bool, revision: u64) -> bool {
        let Some(known) = self.servers.get_mut(id) else {
            return false;
        };
        if revision < known.revision || !matches!(known.presence, Presence::Present) {
            return false;
        }
        known.revision = revision;
        known.presence = if lapsed && !known.entry.draining {
            Presence::Lapsed {
                until: now + LAPSE_GRACE,
            }
        } else {
            Presence::Gone { since: now }
        };
        true
    }
}
