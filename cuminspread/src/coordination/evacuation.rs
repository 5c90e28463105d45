//! Emptied data centres: those whose servers get no new requests until the operator takes that
//! back.
//!
//! A read of the store is complete up to a revision, so what it says of all data centres is, too.
//! Of two daemons, the one whose set is complete to the later revision knows better, also of a
//! data centre that its set lacks. A set therefore replaces an older one as a whole: a request that
//! was taken back, came and went between two reads, is hidden by a compacted history or was lost
//! with an era of the store needs no message of its own.
//!
//! Load pattern: the operator empties a data centre while daemons restart, messages get lost and
//! the store goes down as soon as a part of the daemons has heard of it.

use std::collections::BTreeMap;

use super::catalog::Revision;
use crate::state::Name;

/// A request to empty a data centre, or its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Data centre.
    pub data_centre: Name,
    /// Revision of the request or of its end; of an end that was not seen itself, that up to which
    /// the set without it is complete.
    pub revision: Revision,
    /// Whether the data centre is emptied from now on.
    pub begins: bool,
}

/// Result of a read about evacuations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationRead {
    /// Nothing was read of them.
    Unread,
    /// All of them.
    All(Evacuations),
    /// Changes since the revision after which the read began.
    Changes(Vec<EvacuationChange>),
}

/// Emptied data centres, complete up to a revision of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// Revision up to which the set is complete; empty if nothing is known.
    pub as_of: Revision,
    /// Emptied data centres, each with the revision of the request.
    pub data_centres: BTreeMap<Name, Revision>,
}

impl Evacuations {
    /// Whether a data centre is emptied.
    pub fn contains(&self, data_centre: &str) -> bool {
        self.data_centres.contains_key(data_centre)
    }

    /// Replaces this set if `other` is complete to a later revision; returns what changes.
    pub fn adopt(&mut self, other: &Self) -> Vec<EvacuationChange> {
        if other.as_of <= self.as_of {
            return Vec::new();
        }
        let before = std::mem::replace(self, other.clone());
        let ended = before.data_centres.keys().filter(|d| !self.contains(d));
        let ended = ended.map(|data_centre| EvacuationChange {
            data_centre: data_centre.clone(),
            revision: self.as_of,
            begins: false,
        });
        let begun = self.data_centres.iter();
        let begun = begun.filter(|(d, _)| !before.contains(d));
        let begun = begun.map(|(data_centre, revision)| EvacuationChange {
            data_centre: data_centre.clone(),
            revision: *revision,
            begins: true,
        });
        ended.chain(begun).collect()
    }

    /// Applies a read; `complete_to` is the revision up to which it is complete. Returns what
    /// changes.
    ///
    /// A read of changes must have begun at [`Self::as_of`] or before.
    pub fn apply(&mut self, read: EvacuationRead, complete_to: Revision) -> Vec<EvacuationChange> {
        let changes = match read {
            EvacuationRead::Unread => return Vec::new(),
            EvacuationRead::All(all) => return self.adopt(&all),
            EvacuationRead::Changes(changes) => changes,
        };
        if self.as_of.is_empty() || complete_to.era != self.as_of.era {
            // Changes tell nothing of what was there before.
            return Vec::new();
        }
        let mut next = self.clone();
        next.as_of = complete_to;
        for change in changes.into_iter().filter(|c| c.revision > self.as_of) {
            if change.begins {
                next.data_centres
                    .insert(change.data_centre, change.revision);
            } else {
                next.data_centres.remove(&change.data_centre);
            }
        }
        self.adopt(&next)
    }
}
