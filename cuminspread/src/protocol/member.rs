//! Messages about liveness and the published list.

use serde::{Deserialize, Serialize};

use crate::state::Name;
use crate::state::fleet::FleetList;

/// Position of a published list; a higher one replaces a lower one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct ListMark {
    /// Epoch of the list.
    pub epoch: u64,
    /// Revision of the list.
    pub revision: u64,
}

/// State of a VM, as spread by gossip.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Liveness {
    /// It answers.
    Alive,
    /// It doesn't answer, directly or through others.
    Suspect,
    /// It stopped as planned.
    Left,
}

/// Gossip about one VM.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberUpdate {
    /// VM.
    pub name: Name,
    /// Incarnation that the update is about.
    pub incarnation: u64,
    /// Its state.
    pub liveness: Liveness,
}

/// Message about liveness and lists.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum MemberMessage {
    /// Asks for a [`MemberMessage::Ack`].
    Ping {
        /// Repeated in the answer.
        nonce: u32,
        /// Newest list of the sender.
        mark: ListMark,
        /// Gossip.
        updates: Vec<MemberUpdate>,
    },
    /// Asks the receiver to ping another VM and to pass the answer on.
    PingFor {
        /// Repeated in the answer.
        nonce: u32,
        /// VM to ping.
        target: Name,
    },
    /// A VM is alive.
    Ack {
        /// Of the ping.
        nonce: u32,
        /// VM that answered.
        alive: Name,
        /// Incarnation of that VM.
        incarnation: u64,
        /// Newest list of the sender.
        mark: ListMark,
        /// Gossip.
        updates: Vec<MemberUpdate>,
    },
    /// Asks for the newest list.
    WantList,
    /// The newest list of the sender.
    List(FleetList),
}
