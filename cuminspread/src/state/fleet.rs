//! The published VM list: the VMs that run the daemon.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::state::Name;

/// One VM of the VM list.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Vm {
    /// Unique name; a replacement VM has a new one.
    pub name: Name,
    /// Data centre of the VM.
    pub data_centre: Name,
    /// Address of the daemon's peer sockets, UDP and TCP on the same port.
    pub peer: SocketAddr,
    /// Whether the VM is about to stop.
    pub leaving: bool,
}

/// Published VM list; may be out of date.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FleetList {
    /// Number that grows with each change within an epoch.
    pub revision: u64,
    /// Number that operators raise when revisions start again from a low number.
    pub epoch: u64,
    /// The VMs, in any order.
    pub vms: Arc<[Vm]>,
}
