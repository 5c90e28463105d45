//! Messages between daemons that use a store and have no published VM list.
//!
//! [`GossipMessage`]s are datagrams with recent changes; a daemon that misses some sends a
//! [`PullRequest`] over TCP. All messages are encoded as postcard, so new enum variants go at the
//! end.
//!
//! [`encode`] appends an extension to a message: the sender's [`FORMAT`] and the era of the
//! message's revisions. Daemons of format 1 neither send nor read it; their revisions have an
//! unknown era, 0, and so are older than those of any known one. Since format 4 the ports follow on
//! which the daemons in the message take forwarded requests. Since format 5 a [`StoreUpdate`] and a
//! [`PullResponse`] are followed by [`Additions`]: the emptied data centres that the sender knows,
//! and what the encoding of routes and services leaves out. A later format may append more, which
//! this one ignores.

mod additions;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::coordination::catalog::{Revision, RevisionedChange, ServerEntry};
use crate::coordination::evacuation::Evacuations;
use crate::coordination::placement::SlowdownSamples;
use crate::coordination::reader::ReadAttempt;
use crate::state::Name;
use crate::state::routing::{Routing, RoutingDelta};

use self::additions::Terms;
pub use self::additions::{Additions, EvacuationReport, terms_len};

/// Longest datagram, in bytes; fits an Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// Format of the messages that this daemon sends.
pub const FORMAT: u8 = 6;
/// First format with [`Additions`].
const ADDITIONS_FORMAT: u8 = 5;

/// What follows a message; only fields at the end may be added.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
struct Extension {
    /// Format of the sender's messages.
    format: u8,
    /// Era of all revisions in the message; 0 if unknown or if it has none.
    era: u64,
}

/// A message whose revisions are all of one era.
pub trait Message: Serialize + DeserializeOwned {
    /// Era of the revisions; 0 if it has none.
    fn era(&self) -> u64;

    /// Sets the era of all revisions.
    fn set_era(&mut self, era: u64);

    /// Daemons in the message that are still running.
    fn daemons(&self) -> Vec<&Daemon>;

    /// The same daemons in the same order.
    fn daemons_mut(&mut self) -> Vec<&mut Daemon>;

    /// What follows the message since format 5; `None` if nothing does.
    fn additions(&self) -> Option<Additions> {
        None
    }

    /// Sets what follows the message.
    fn set_additions(&mut self, _additions: Additions) {}
}

/// Encodes a message and its extension.
///
/// # Errors
///
/// Fails if postcard can't encode the message.
pub fn encode(message: &impl Message) -> postcard::Result<Vec<u8>> {
    let extension = Extension {
        format: FORMAT,
        era: message.era(),
    };
    let daemons = message.daemons().into_iter();
    let ports: Vec<u16> = daemons.map(|d| d.forward_port).collect();
    let bytes = postcard::to_extend(&extension, postcard::to_stdvec(message)?)?;
    let bytes = postcard::to_extend(&ports, bytes)?;
    match message.additions() {
        Some(additions) => postcard::to_extend(&additions, bytes),
        None => Ok(bytes),
    }
}

/// Decodes a message of any format.
///
/// # Errors
///
/// Fails if the bytes don't begin with a valid message, or an extension is incomplete.
pub fn decode<T: Message>(bytes: &[u8]) -> postcard::Result<T> {
    let (mut message, rest) = postcard::take_from_bytes::<T>(bytes)?;
    if rest.is_empty() {
        return Ok(message);
    }
    let (extension, rest) = postcard::take_from_bytes::<Extension>(rest)?;
    message.set_era(extension.era);
    if !rest.is_empty() {
        let (ports, rest) = postcard::take_from_bytes::<Vec<u16>>(rest)?;
        for (daemon, port) in message.daemons_mut().into_iter().zip(ports) {
            daemon.forward_port = port;
        }
        if extension.format >= ADDITIONS_FORMAT && message.additions().is_some() {
            let (additions, _) = postcard::take_from_bytes::<Additions>(rest)?;
            message.set_additions(additions);
        }
    }
    Ok(message)
}

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
    /// Port of its address on which it takes requests that peers forward; 0 if it takes none.
    /// Since format 4, after the message.
    #[serde(skip)]
    pub forward_port: u16,
}

impl Daemon {
    /// Address for requests that peers forward; `None` if it takes none.
    pub fn forward_address(&self) -> Option<SocketAddr> {
        let address = SocketAddr::new(self.address.ip(), self.forward_port);
        (self.forward_port != 0).then_some(address)
    }

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
    pub revision: Revision,
    /// Version of the configuration.
    pub version: u64,
}

impl Versions {
    /// Whether a daemon with these versions has everything that `wanted` has.
    pub fn covers(&self, wanted: &Self) -> bool {
        self.revision >= wanted.revision && self.version >= wanted.version
    }

    /// The newer revision and the newer version of both.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            revision: self.revision.max(other.revision),
            version: self.version.max(other.version),
        }
    }
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
    pub base: Revision,
    /// Changes of the registry after `base`, up to `versions.revision`.
    pub changes: Vec<RevisionedChange>,
    /// Difference between the latest configuration and the version before; `None` if it is
    /// unchanged, is sent in an update of its own or doesn't fit a datagram.
    pub routing: Option<RoutingDelta>,
    /// Whether the sender has these versions and answers pulls for them.
    pub can_serve: bool,
    /// Whether the receiver forwards it to the peers of its data centre.
    pub relay: bool,
    /// Emptied data centres that the sender knows; `None` if it is of a format before 5. Since then
    /// after the message.
    #[serde(skip)]
    pub evacuations: Option<Evacuations>,
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

/// Report of a read of the store that has not succeeded, or not yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReadAttemptReport {
    /// Rank of the daemon that reads; see [`Daemon::rank`].
    pub rank: u64,
    /// State of the read.
    pub attempt: ReadAttempt,
    /// Whether the receiver forwards it to the peers of its data centre.
    pub relay: bool,
}

/// Report of a limit that a server names for all daemons together.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LimitReport {
    /// Id of the server.
    pub server: Name,
    /// Start of its incarnation, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Requests a second; `None` if the server no longer names a limit.
    pub rate: Option<f32>,
    /// Time since the server's answer.
    pub age: Duration,
    /// Whether the receiver forwards it to the peers of its data centre.
    pub relay: bool,
}

/// Report of a server that has said in an answer that it is leaving.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeavingReport {
    /// Id of the server.
    pub server: Name,
    /// Start of its incarnation, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Whether the receiver forwards it to the peers of its data centre.
    pub relay: bool,
}

/// Report of whether a daemon reaches the servers of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReachReport {
    /// Address of the daemon for peers.
    pub daemon: SocketAddr,
    /// Start of the daemon, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Service.
    pub service: Name,
    /// It reaches no server of the service.
    pub lost: bool,
    /// Whether the receiver forwards it to the peers of its data centre.
    pub relay: bool,
}

/// Report of how much longer requests take at nearly full servers of a service.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SlowdownReport {
    /// Service.
    pub service: Name,
    /// What the sender has measured since its last report, or all that it knows.
    pub samples: SlowdownSamples,
    /// Whether the receiver forwards it to the peers of its data centre.
    pub relay: bool,
}

/// One datagram.
#[derive(Debug, Clone, PartialEq)]
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
    /// A daemon has begun a read of the store to take over, or failed to read it; since format 2.
    ReadAttempt(ReadAttemptReport),
    /// A server names a limit or no longer does; since format 3.
    ServerLimit(LimitReport),
    /// A server is leaving; since format 3.
    ServerLeaving(LeavingReport),
    /// A daemon reaches no server of a service, or one again; since format 4.
    Reach(ReachReport),
    /// Emptied data centres that the sender knows; since format 5.
    Evacuations(EvacuationReport),
    /// Response times at nearly full servers; since format 6.
    Slowdown(SlowdownReport),
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
    Snapshot(Vec<(Revision, ServerEntry)>),
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
    pub revision: Revision,
    /// The responder is serving its maximum of pulls; the requester should try another peer.
    pub busy: bool,
    /// A sample of the peers that the responder knows.
    pub peers: Vec<KnownPeer>,
    /// Emptied data centres that the responder knows; `None` if it is busy or of a format before 5.
    /// Since then after the message.
    #[serde(skip)]
    pub evacuations: Option<Evacuations>,
}

impl Message for GossipMessage {
    fn era(&self) -> u64 {
        match self {
            Self::StoreUpdate(update) => update.versions.revision.era,
            _ => 0,
        }
    }

    fn set_era(&mut self, era: u64) {
        if let Self::StoreUpdate(update) = self {
            update.versions.revision.era = era;
            update.base.era = era;
            for revisioned in &mut update.changes {
                revisioned.revision.era = era;
            }
        }
    }

    fn daemons(&self) -> Vec<&Daemon> {
        match self {
            Self::Hello(daemon) => vec![daemon],
            Self::Peers(peers) => peers.iter().map(|p| &p.daemon).collect(),
            Self::StoreUpdate(update) => vec![&update.reader],
            _ => Vec::new(),
        }
    }

    fn daemons_mut(&mut self) -> Vec<&mut Daemon> {
        match self {
            Self::Hello(daemon) => vec![daemon],
            Self::Peers(peers) => peers.iter_mut().map(|p| &mut p.daemon).collect(),
            Self::StoreUpdate(update) => vec![&mut update.reader],
            _ => Vec::new(),
        }
    }

    fn additions(&self) -> Option<Additions> {
        let Self::StoreUpdate(update) = self else {
            return None;
        };
        Some(Additions {
            evacuations: update.evacuations.as_ref().map(EvacuationReport::from),
            terms: update.routing.as_ref().and_then(Terms::of_delta),
        })
    }

    fn set_additions(&mut self, additions: Additions) {
        if let Self::StoreUpdate(update) = self {
            update.evacuations = additions.evacuations.map(Evacuations::from);
            if let (Some(delta), Some(terms)) = (&mut update.routing, additions.terms) {
                terms.add_to_delta(delta);
            }
        }
    }
}

impl Message for PullRequest {
    fn era(&self) -> u64 {
        self.have.revision.era
    }

    fn set_era(&mut self, era: u64) {
        self.have.revision.era = era;
    }

    fn daemons(&self) -> Vec<&Daemon> {
        Vec::new()
    }

    fn daemons_mut(&mut self) -> Vec<&mut Daemon> {
        Vec::new()
    }
}

impl Message for PullResponse {
    fn era(&self) -> u64 {
        self.revision.era
    }

    fn set_era(&mut self, era: u64) {
        self.revision.era = era;
        match &mut self.registry {
            Some(RegistryUpdate::Snapshot(entries)) => {
                for (revision, _) in entries {
                    revision.era = era;
                }
            }
            Some(RegistryUpdate::Changes(changes)) => {
                for revisioned in changes {
                    revisioned.revision.era = era;
                }
            }
            None => {}
        }
    }

    fn daemons(&self) -> Vec<&Daemon> {
        self.peers.iter().map(|p| &p.daemon).collect()
    }

    fn daemons_mut(&mut self) -> Vec<&mut Daemon> {
        self.peers.iter_mut().map(|p| &mut p.daemon).collect()
    }

    fn additions(&self) -> Option<Additions> {
        Some(Additions {
            evacuations: self.evacuations.as_ref().map(EvacuationReport::from),
            terms: self.routing.as_ref().and_then(Terms::of_update),
        })
    }

    fn set_additions(&mut self, additions: Additions) {
        self.evacuations = additions.evacuations.map(Evacuations::from);
        if let (Some(routing), Some(terms)) = (&mut self.routing, additions.terms) {
            terms.add_to_update(routing);
        }
    }
}
