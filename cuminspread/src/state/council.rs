//! Configuration of one council, from its files in the platform's folder.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::state::Name;

/// Version of a council's configuration, a revision of the folder; a higher one replaces a lower
/// one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Version(pub u64);

/// First 16 bytes of a BLAKE3 hash of contents, for comparison.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Digest(pub [u8; 16]);

impl Digest {
    /// Digest of one byte string.
    pub fn of(data: &[u8]) -> Self {
        let hash = blake3::hash(data);
        let mut out = [0; 16];
        out.copy_from_slice(&hash.as_bytes()[..16]);
        Self(out)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

/// Version and digest of a council's configuration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Stamp {
    /// Last revision of the platform's folder that is known to have these contents.
    pub version: Version,
    /// Digest of the contents.
    pub digest: Digest,
}

/// Configuration of one council.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CouncilConfig {
    /// Name of the council.
    pub council: Name,
    /// Version and digest of the files.
    pub stamp: Stamp,
    /// Probes a second that all daemons together may send to the council's servers.
    pub probe_budget: f64,
    /// Maximum number of this council's calls in progress at one daemon; 0 sets no limit.
    pub max_in_flight: u32,
    /// Services of the council.
    pub services: Vec<Arc<ServiceConfig>>,
}

/// One service of a council.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceConfig {
    /// Council that owns the service.
    pub council: Name,
    /// Name, unique within its council.
    pub name: Name,
    /// Host header that selects the service; any host if empty.
    pub host: Name,
    /// Requests that the service accepts; the first match applies.
    pub routes: Vec<Route>,
    /// Servers that run the service.
    pub servers: Vec<ServerConfig>,
    /// Longest time for one call; callers may set a shorter one.
    pub deadline: Duration,
    /// HTTP statuses by which a server refuses a request before starting it.
    pub refused_statuses: Vec<u16>,
    /// Largest body of a request or response, in bytes.
    pub max_body: u64,
    /// Path that answers a probe with a load report; empty for no probes.
    pub probe_path: Name,
    /// Path that cancels a request (`POST PATH?call=ID`); empty for no cancellation.
    pub cancel_path: Name,
}

impl Default for ServiceConfig {
    fn default() -> Self {
        Self {
            council: Name::default(),
            name: Name::default(),
            host: Name::default(),
            routes: Vec::new(),
            servers: Vec::new(),
            deadline: Duration::from_secs(10),
            refused_statuses: vec![503],
            max_body: 1 << 20,
            probe_path: Name::default(),
            cancel_path: Name::default(),
        }
    }
}

/// Requests of one method and path pattern.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Route {
    /// Methods, upper case; any method if empty.
    pub methods: Vec<Name>,
    /// Path; a `*` as the last segment matches one or more segments, any other `*` one segment.
    pub path: Name,
    /// Whether a request may run more than once.
    pub idempotent: bool,
}

/// One server of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServerConfig {
    /// Name, unique within its service.
    pub name: Name,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre of the server.
    pub data_centre: Name,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Connections that it accepts from all daemons together.
    pub connections: u32,
    /// Whether it is about to stop and gets no new requests.
    pub leaving: bool,
}
