//! Settings of daemons in store mode.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cuminspread::coordination::mesh::MeshSettings;
use cuminspread::coordination::placement::PlacementSettings;
use cuminspread::coordination::reader::ReaderSettings;
use cuminspread::state::Name;

/// Settings that only a daemon in store mode has.
#[derive(Debug, Clone)]
pub struct EdgeSettings {
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Listener on which the platform asks whether this daemon accepts connections.
    pub readiness: SocketAddr,
    /// Listener for requests that peers forward, on the host of the peers' listener; `None` to take
    /// none.
    pub forward: Option<SocketAddr>,
    /// Peers that are contacted first, to learn of the other peers; all use the same port.
    pub seeds: Vec<SocketAddr>,
    /// The whole system starts for the first time and has no traffic yet: seeds read the store at
    /// once instead of waiting for peers.
    pub first_start: bool,
    /// Relative size of this VM in the fleet, such as its share of a core in percent.
    pub capacity: u16,
    /// Time that the platform gives between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Most retries that all daemons together send to a service, as a fraction of its requests.
    pub retry_ratio: f32,
    /// Retries beyond `retry_ratio` that all daemons together may send in one window.
    pub retry_slack: f32,
    /// Most hedges that all daemons together send to a service, as a fraction of its requests; `None`
    /// for a hedge whenever a response is late and the retry budget allows it.
    pub hedge_ratio: Option<f32>,
    /// Most probes a second that a server gets from all daemons together.
    pub probes_per_s: f32,
    /// Regions of the data centres; one that isn't named is in no region.
    pub regions: BTreeMap<Name, Name>,
    /// When this daemon reads the store.
    pub reader: ReaderSettings,
    /// Gossip with peers.
    pub mesh: MeshSettings,
    /// Placement of requests on servers.
    pub placement: PlacementSettings,
}

impl Default for EdgeSettings {
    fn default() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            store: any,
            readiness: any,
            forward: None,
            seeds: Vec::new(),
            first_start: false,
            capacity: 0,
            grace: Duration::from_secs(6),
            retry_ratio: 0.2,
            retry_slack: 64.0,
            hedge_ratio: None,
            probes_per_s: 40.0,
            regions: BTreeMap::new(),
            reader: ReaderSettings::default(),
            mesh: MeshSettings::default(),
            placement: PlacementSettings::default(),
        }
    }
}
