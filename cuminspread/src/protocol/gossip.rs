//! What daemons tell each other where no list of them is published.
//!
//! Datagrams carry what is new; a daemon that is behind pulls the rest over a stream. Variants are
//! only ever added at the end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::coordination::catalog::{RevisionedChange, ServerEntry};
use crate::state::Name;
use crate::state::routing::{Routing, RoutingDelta};

/// Longest datagram, in bytes; fits an Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// One daemon, as it names itself.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Daemon {
    /// Where peers reach it, UDP and TCP on the same port.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Name,
    /// Its start, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Size of its VM against others, in any unit: larger ones read and hand on for smaller ones.
    pub capacity: u16,
}

impl Daemon {
    /// Rank among readers: of two the lower one goes on.
    pub fn rank(&self) -> u64 {
        let (ip, port) = match self.address {
            SocketAddr::V4(v4) => (v4.ip().to_bits(), v4.port()),
            SocketAddr::V6(v6) => (v6.ip().to_bits() as u32, v6.port()),
        };
        u64::from(!self.capacity) << 48 | u64::from(ip) << 16 | u64::from(port)
    }
}

/// A daemon, and when it was last there.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KnownPeer {
    /// Daemon.
    pub daemon: Daemon,
    /// Time since anybody heard it, in tenths of a second.
    pub age: u16,
}

/// How far a daemon's knowledge goes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Versions {
    /// Revision of the registry.
    pub revision: u64,
    /// Version of the configuration.
    pub version: u64,
}

/// News of a successful read of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoreUpdate {
    /// Daemon that made the read.
    pub reader: Daemon,
    /// Time since the read.
    pub age: Duration,
    /// What the reader knows.
    pub versions: Versions,
    /// The changes are complete from this revision on.
    pub base: u64,
    /// Changes of the registry.
    pub changes: Vec<RevisionedChange>,
    /// What the newest version changes in the one before, if that fits a datagram.
    pub routing: Option<RoutingDelta>,
    /// The sender has what the extent says, and can be asked for it.
    pub can_serve: bool,
    /// The receiver passes it on to the peers of its data centre.
    pub relay: bool,
}

/// A request crashed the server that ran it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashReport {
    /// Random number that tells reports apart.
    pub id: u64,
    /// Hash of method, path and body.
    pub fingerprint: u64,
    /// Time from the send to the crash.
    pub ran: Duration,
    /// Time since the crash.
    pub age: Duration,
    /// The receiver passes it on to the peers of its data centre.
    pub relay: bool,
}

/// One datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum GossipMessage {
    /// The sender is there, and asks for peers.
    Hello(Daemon),
    /// Some peers that the sender knows, itself first.
    Peers(Vec<KnownPeer>),
    /// News.
    StoreUpdate(Box<StoreUpdate>),
    /// The sender stops.
    Leaving(Daemon),
    /// A request crashed a server.
    Crash(CrashReport),
    /// Questions to servers that the sender asks a second.
    ProbeRate(u32),
}

/// Asks for what is beyond the own extent.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PullRequest {
    /// What the sender has.
    pub have: Versions,
    /// Data centre of the sender.
    pub data_centre: Name,
}

/// Newer configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RoutingUpdate {
    /// All of it.
    Full(Arc<Routing>),
    /// What it changes in the puller's.
    Delta(RoutingDelta),
}

/// Newer part of the registry.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RegistryUpdate {
    /// All entries, each with its revision.
    Snapshot(Vec<(u64, ServerEntry)>),
    /// What changed since the puller's revision.
    Changes(Vec<RevisionedChange>),
}

/// Answer to a [`PullRequest`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PullResponse {
    /// Newer configuration.
    pub routing: Option<RoutingUpdate>,
    /// What is newer of the registry.
    pub registry: Option<RegistryUpdate>,
    /// Revision that the puller has then.
    pub revision: u64,
    /// The peer serves too many pulls now; another one may have the news too.
    pub busy: bool,
    /// Some peers.
    pub peers: Vec<KnownPeer>,
}
