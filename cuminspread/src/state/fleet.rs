//! The published list of VMs that run the daemon.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::state::Name;

/// One entry VM of the published list.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Vm {
    /// Unique name; a replacement VM has a new one.
    pub name: Name,
    /// Data centre that the VM stands in.
    pub data_centre: Name,
    /// Address of the daemon's peer sockets, UDP and TCP on the same port.
    pub peer: SocketAddr,
    /// The VM is about to stop.
    pub leaving: bool,
}

/// Published list of VMs; lags behind the fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FleetList {
    /// Revision of the list, growing with each change.
    pub revision: u64,
    /// Number that operators raise when they number revisions anew.
    pub epoch: u64,
    /// The VMs, in any order.
    pub vms: Arc<[Vm]>,
}
