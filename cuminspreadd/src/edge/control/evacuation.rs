//! Emptied data centres: what this daemon knows of them, and what it tells its peers.

use std::fmt;
use std::time::Duration;

use cuminspread::coordination::catalog::Revision;
use cuminspread::coordination::evacuation::{EvacuationChange, Evacuations};
use cuminspread::protocol::gossip::GossipMessage;

use super::{Control, SyncState};

impl Control {
    /// Revision after which the next read begins; empty for a snapshot.
    ///
    /// Daemons that don't know of emptied data centres and of terms pass on servers and
    /// configurations without them, so what is known of the parts may differ.
    pub(super) fn read_after(&self, state: &SyncState) -> Revision {
        if self.lacks_terms() && state.terms_read_for != self.edge.version() {
            return Revision::default();
        }
        state.catalog.revision().min(state.evacuations.as_of)
    }

    /// Whether the active configuration came from a daemon that doesn't know its terms.
    pub(super) fn lacks_terms(&self) -> bool {
        !self.edge.table().routing().terms_known
    }

    /// Takes over what a peer knows of emptied data centres.
    pub(super) fn adopt_evacuations(
        &self,
        state: &mut SyncState,
        evacuations: &Evacuations,
        source: &impl fmt::Display,
        age: Duration,
    ) {
        let changes = state.evacuations.adopt(evacuations);
        self.apply_evacuations(state, &changes, source, age);
    }

    /// Updates the servers after changes, and logs the changes.
    pub(super) fn apply_evacuations(
        &self,
        state: &mut SyncState,
        changes: &[EvacuationChange],
        source: &impl fmt::Display,
        age: Duration,
    ) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            let event = if change.begins {
                "evacuation_begun"
            } else {
                "evacuation_ended"
            };
            log::warn!(
                "event={event} data_centre={} revision={} source={source} age_ms={}",
                change.data_centre,
                change.revision,
                age.as_millis()
            );
        }
        state.evacuations_seen = true;
        let emptied = state.evacuations.data_centres.keys().cloned().collect();
        let mut servers = self.edge.servers();
        servers.set_emptied(
            emptied,
            &self.edge.settings.data_centre,
            self.edge.placement(),
        );
    }
}

/// Report of the emptied data centres to a peer; `None` if there never were any.
pub(super) fn report(state: &SyncState) -> Option<GossipMessage> {
    let report = || GossipMessage::Evacuations((&state.evacuations).into());
    state.evacuations_seen.then(report)
}
