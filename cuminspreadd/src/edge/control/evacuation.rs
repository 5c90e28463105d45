//! Emptied data centres: what this daemon knows of them, and what it tells its peers.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use cuminspread::coordination::catalog::Revision;
use cuminspread::coordination::evacuation::{EvacuationChange, Evacuations};
use cuminspread::protocol::gossip::GossipMessage;

use super::{Control, SyncState};

/// Near peers that a daemon tells of a change.
const TOLD_PEERS: usize = 4;
/// Time after a change in which it also tells as many with each hello: the store may be down, and
/// the datagrams with the update may be lost.
const TELL_TIME: Duration = Duration::from_secs(3);

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
        state.tells_evacuations_until = self.edge.now() + TELL_TIME;
        self.tell_evacuations(state);
        let emptied = state.evacuations.data_centres.keys().cloned().collect();
        let mut servers = self.edge.servers();
        servers.set_emptied(
            emptied,
            &self.edge.settings.data_centre,
            self.edge.placement(),
        );
    }

    /// Tells a few near peers of the emptied data centres, for a while after a change.
    pub(super) fn tell_evacuations(&self, state: &mut SyncState) {
        if self.edge.now() >= state.tells_evacuations_until {
            return;
        }
        let peers: Vec<SocketAddr> = (0..TOLD_PEERS)
            .filter_map(|_| state.mesh.random_near())
            .collect();
        if let Some(report) = report(state) {
            self.send_all(&peers, &report);
        }
    }
}

/// Report of the emptied data centres to a peer; `None` if there never were any.
pub(super) fn report(state: &SyncState) -> Option<GossipMessage> {
    let report = || GossipMessage::Evacuations((&state.evacuations).into());
    state.evacuations_seen.then(report)
}
