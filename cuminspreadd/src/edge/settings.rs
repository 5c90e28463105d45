//! Settings that only a platform with a store needs.

use std::net::SocketAddr;
use std::time::Duration;

use cuminspread::coordination::mesh::MeshSettings;
use cuminspread::coordination::placement::PlacementSettings;
use cuminspread::coordination::reader::ReaderSettings;

/// Settings of a daemon on a platform with a store.
#[derive(Debug, Clone)]
pub struct EdgeSettings {
    /// The platform's store.
    pub store: SocketAddr,
    /// Where the platform asks whether this daemon takes connections.
    pub readiness: SocketAddr,
    /// Daemons that are known from the start; their port is the own peer port.
    pub seeds: Vec<SocketAddr>,
    /// The whole system starts for the first time, before any traffic.
    pub first_start: bool,
    /// Size of this VM against others of the fleet, such as its share of a core in percent.
    pub capacity: u16,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Repeated sends a service gets over the whole fleet, as a part of its requests.
    pub retry_ratio: f32,
    /// Repeated sends beyond that in one window, over the whole fleet.
    pub retry_slack: f32,
    /// Questions for its load that a server gets in a second, from all daemons.
    pub probes_per_s: f32,
    /// Who reads the store.
    pub reader: ReaderSettings,
    /// Peers.
    pub mesh: MeshSettings,
    /// Choice of servers.
    pub placing: PlacementSettings,
}

impl Default for EdgeSettings {
    fn default() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            store: any,
            readiness: any,
            seeds: Vec::new(),
            first_start: false,
            capacity: 0,
            grace: Duration::from_secs(6),
            retry_ratio: 0.2,
            retry_slack: 64.0,
            probes_per_s: 40.0,
            reader: ReaderSettings::default(),
            mesh: MeshSettings::default(),
            placing: PlacementSettings::default(),
        }
    }
}
