//! Handle of the actor that talks to other daemons, independent of the actor's type.

use std::sync::Weak;

use cuminspread::coordination::event::Event;
use cuminspread::state::Name;
use cuminspread::transport::peer::{PeerCounts, PeerLink};
use futures_util::FutureExt as _;
use xtra::prelude::MessageChannel;

/// Message to the actor: an event for its state machine.
#[derive(Debug)]
pub struct PeerEvent(pub Event);

/// Handle of the actor; clones refer to the same actor.
#[derive(Debug, Clone)]
pub struct PeerHandle {
    actor: MessageChannel<PeerEvent, ()>,
    link: Weak<PeerLink>,
}

impl PeerHandle {
    /// Handle of an actor that uses this link.
    pub fn new(actor: MessageChannel<PeerEvent, ()>, link: Weak<PeerLink>) -> Self {
        Self { actor, link }
    }

    /// Sends an event to the state machine; it is dropped if the actor has ended.
    pub fn send(&self, event: Event) {
        // The mailbox is unbounded, so sending never waits; it fails if the actor has ended.
        let _ = self.actor.send(PeerEvent(event)).detach().now_or_never();
    }

    /// Traffic counts of the link to peers; zero once the link is closed.
    pub fn counts(&self) -> PeerCounts {
        self.link.upgrade().map(|l| l.counts()).unwrap_or_default()
    }

    /// Drops all traffic with a peer, both ways, until called with `false`; simulates a network
    /// partition.
    pub fn block(&self, peer: &Name, blocked: bool) {
        if let Some(link) = self.link.upgrade() {
            link.block(peer, blocked);
        }
    }
}
