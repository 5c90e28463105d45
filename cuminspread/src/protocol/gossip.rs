//! Messages between daemons that use a store and have no published VM list.
//!
//! [`GossipMessage`]s are datagrams with recent changes; a daemon that misses some sends a
//! [`PullRequest`] over TCP. All messages are encoded as postcard, so new enum variants go at the
//! end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::coordination::catalog::{RevisionedChange, ServerEntry};
use crate::state::Name;
use crate::state::routing::{Routing, RoutingDelta};

/// Longest datagram, in bytes; fits an Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// A daemon, as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Daemon {
    /// Address for peers, UDP and TCP on the same port.
    pub address: SocketAddr,
    /// Data centre of its VM.
    pub data_centre: Name,
    /// Time of its start, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Size of its VM relative to other VMs, in any unit; larger ones are preferred as readers of
    /// the store and as relays.
    pub capacity: u16,
}

impl Daemon {
    /// Rank as reader of the store: of two readers, the one with the higher rank stops.
    ///
    /// The largest capacity ranks lowest, then the lowest address; an IPv6 address counts with its
    /// last four bytes.
    pub fn rank(&self) -> u64 {
        let (ip, port) = match self.address {
            SocketAddr::V4(v4) => (v4.ip().to_bits(), v4.port()),
            SocketAddr::V6(v6) => (v6.ip().to_bits() as u32, v6.port()),
        };
        u64::from(!self.capacity) << 48 | u64::from(ip) << 16 | u64::from(port)
    }
}

/// A daemon, and the time since it was last heard from.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KnownPeer {
    /// The peer, as it described itself.
    pub daemon: Daemon,
    /// Time since any daemon heard from it, in tenths of a second.
    pub age: u16,
}

/// Versions of the registry and the configuration that a daemon has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Versions {
    /// Revision of the registry up to which it has all changes.
    pub revision: u64,
    /// Version of the configuration.
    pub version: u64,
}

/// Result of a successful read of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoreUpdate {
    /// Daemon that made the read.
    pub reader: Daemon,
    /// Time since the read.
    pub age: Duration,
    /// Versions that a receiver with revision `base` has after this update.
    pub versions: Versions,
    /// Revision after which `changes` are complete.
    pub base: u64,
    /// Changes of the registry after `base`, up to `versions.revision`.
    pub changes: Vec<RevisionedChange>,
    /// Difference between the latest configuration and the version before; `None` if it is
    /// unchanged, is sent in an update of its own or doesn't fit a datagram.
    pub routing: Option<RoutingDelta>,
    /// Whether the sender has these versions and answers pulls for them.
    pub can_serve: bool,
    /// Whether the receiver forwards it to the peers of its data centre.
    pub relay: bool,
}

/// Report that a request crashed the server that ran it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashReport {
    /// Random number of the report, by which a daemon counts it once.
    pub id: u64,
    /// Hash of the request's method, path and body.
    pub fingerprint: u64,
    /// Time from sending the request to the crash.
    pub ran: Duration,
    /// Time since the crash.
    pub age: Duration,
    /// Whether the receiver forwards it to the peers of its data centre.
    pub relay: bool,
}

/// One datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum GossipMessage {
    /// The sender is alive and asks for [`GossipMessage::Peers`].
    Hello(Daemon),
    /// A sample of the peers that the sender knows, itself first.
    Peers(Vec<KnownPeer>),
    /// Result of a read of the store.
    StoreUpdate(Box<StoreUpdate>),
    /// The sender is about to stop.
    Leaving(Daemon),
    /// A request crashed a server.
    Crash(CrashReport),
    /// Probes a second that the sender makes.
    ProbeRate(u32),
}

/// Asks a peer for all changes after the sender's versions.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PullRequest {
    /// Versions that the sender has.
    pub have: Versions,
    /// Data centre of the sender.
    pub data_centre: Name,
}

/// Newer configuration, in a [`PullResponse`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RoutingUpdate {
    /// The whole configuration.
    Full(Arc<Routing>),
    /// Difference from the version in the [`PullRequest`].
    Delta(RoutingDelta),
}

/// Newer part of the registry, in a [`PullResponse`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RegistryUpdate {
    /// All entries, each with its revision.
    Snapshot(Vec<(u64, ServerEntry)>),
    /// Changes after the revision in the [`PullRequest`].
    Changes(Vec<RevisionedChange>),
}

/// Answer to a [`PullRequest`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PullResponse {
    /// Newer configuration; `None` if the requester has the latest.
    pub routing: Option<RoutingUpdate>,
    /// Newer part of the registry; `None` if the requester has all of it.
    pub registry: Option<RegistryUpdate>,
    /// Revision of the registry that the requester has after applying `registry`.
    pub revision: u64,
    /// The responder is serving its maximum of pulls; the requester should try another peer.
    pub busy: bool,
    /// A sample of the peers that the responder knows.
    pub peers: Vec<KnownPeer>,
}
