//! Address of the actor that talks to other daemons, without its type.

use std::sync::Weak;

use cuminspread::coordination::event::Event;
use cuminspread::state::Name;
use cuminspread::transport::peer::{PeerCounts, PeerLink};
use futures_util::FutureExt as _;
use xtra::prelude::MessageChannel;

/// An event for the actor's state machine.
#[derive(Debug)]
pub struct PeerEvent(pub Event);

/// Address of the actor.
#[derive(Debug, Clone)]
pub struct PeerHandle {
    actor: MessageChannel<PeerEvent, ()>,
    link: Weak<PeerLink>,
}

impl PeerHandle {
    /// Address of an actor around this link.
    pub fn new(actor: MessageChannel<PeerEvent, ()>, link: Weak<PeerLink>) -> Self {
        Self { actor, link }
    }

    /// Tells the state machine an event.
    pub fn send(&self, event: Event) {
        // The mailbox has no bound, so that sending is done at once; it fails if the actor ended.
        let _ = self.actor.send(PeerEvent(event)).detach().now_or_never();
    }

    /// Counts of the link to peers.
    pub fn counts(&self) -> PeerCounts {
        self.link.upgrade().map(|l| l.counts()).unwrap_or_default()
    }

    /// Drops all traffic with a peer, both ways, until unblocked; for tests of splits.
    pub fn block(&self, peer: &Name, blocked: bool) {
        if let Some(link) = self.link.upgrade() {
            link.block(peer, blocked);
        }
    }
}
