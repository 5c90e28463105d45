//! Daemons' addresses for callers, as the platform's own balancer would hold them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use crate::standin::execution_log::lock;

/// State of a daemon, as the test sets it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DaemonState {
    /// Running and not asked to stop.
    Serving,
    /// Asked to stop gracefully.
    Stopping,
    /// Killed, without a graceful stop.
    Killed,
}

/// Address of one daemon for callers.
#[derive(Debug)]
pub struct DaemonAddress {
    /// Address of its listener for callers.
    pub address: SocketAddr,
    state: Mutex<DaemonState>,
}

impl DaemonAddress {
    /// State that was set last.
    pub fn state(&self) -> DaemonState {
        *lock(&self.state)
    }
}

/// Addresses that new calls go to.
#[derive(Debug, Default)]
pub struct DaemonAddresses(Mutex<Vec<Arc<DaemonAddress>>>);

impl DaemonAddresses {
    /// Adds a daemon in state [`DaemonState::Serving`].
    pub fn add(&self, address: SocketAddr) {
        let state = Mutex::new(DaemonState::Serving);
        lock(&self.0).push(Arc::new(DaemonAddress { address, state }));
    }

    /// Removes a daemon, so that new calls don't go to it.
    pub fn remove(&self, address: SocketAddr) {
        lock(&self.0).retain(|d| d.address != address);
    }

    /// Sets a daemon's state; callers still use it until it is removed.
    pub fn set_state(&self, address: SocketAddr, state: DaemonState) {
        for daemon in lock(&self.0).iter().filter(|d| d.address == address) {
            *lock(&daemon.state) = state;
        }
    }

    /// Daemon at a fraction of the list (`point`, from 0 to below 1). Leaves out `exclude` unless
    /// it is the only one.
    pub fn choose(&self, point: f64, exclude: Option<SocketAddr>) -> Option<Arc<DaemonAddress>> {
        let addresses = lock(&self.0);
        let candidates: Vec<&Arc<DaemonAddress>> = addresses
            .iter()
            .filter(|d| Some(d.address) != exclude)
            .collect();
        let i = (point * candidates.len() as f64) as usize;
        let chosen = candidates.get(i).copied().or_else(|| addresses.first());
        chosen.cloned()
    }
}
