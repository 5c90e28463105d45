//! Peer messages about liveness and the published VM list.

use serde::{Deserialize, Serialize};

use crate::state::Name;
use crate::state::fleet::FleetList;

/// Version of a VM list; a higher one replaces a lower one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct ListMark {
    /// Epoch of the list, compared first.
    pub epoch: u64,
    /// Revision of the list within its epoch.
    pub revision: u64,
}

/// State of a VM's daemon, spread by gossip.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Liveness {
    /// The daemon answers pings.
    Alive,
    /// The daemon answered neither a direct ping nor one through other VMs.
    Suspect,
    /// The daemon stopped gracefully.
    Left,
}

/// State of one VM, piggybacked on pings and their answers.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberUpdate {
    /// VM.
    pub name: Name,
    /// Incarnation of the VM's daemon that the update is about.
    pub incarnation: u64,
    /// Its state.
    pub liveness: Liveness,
}

/// Message about liveness and the VM list; the protocol follows SWIM (Das, Gupta, Motivala, 2002).
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum MemberMessage {
    /// Asks for a [`MemberMessage::Ack`].
    Ping {
        /// Number that the answer repeats.
        nonce: u32,
        /// Version of the sender's VM list.
        mark: ListMark,
        /// State of some VMs.
        updates: Vec<MemberUpdate>,
    },
    /// Asks the receiver to ping another VM and to forward the answer.
    PingFor {
        /// Number that the answer repeats.
        nonce: u32,
        /// VM to ping.
        target: Name,
    },
    /// Answer to a ping: a VM is alive.
    Ack {
        /// Number of the ping.
        nonce: u32,
        /// VM that answered.
        alive: Name,
        /// Incarnation of that VM.
        incarnation: u64,
        /// Version of the sender's VM list.
        mark: ListMark,
        /// State of some VMs.
        updates: Vec<MemberUpdate>,
    },
    /// Asks for the receiver's VM list.
    WantList,
    /// VM list of the sender.
    List(FleetList),
}
