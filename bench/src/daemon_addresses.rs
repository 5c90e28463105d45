//! The daemons' addresses for callers, as the platform's balancer knows them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use crate::standin::execution_log::lock;

/// What happens to a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DaemonState {
    /// It serves.
    Serving,
    /// It was asked to stop as planned.
    Stopping,
    /// It was killed.
    Killed,
}

/// Address of one daemon for callers.
#[derive(Debug)]
pub struct DaemonAddress {
    /// Address.
    pub address: SocketAddr,
    state: Mutex<DaemonState>,
}

impl DaemonAddress {
    /// What happens to its daemon.
    pub fn state(&self) -> DaemonState {
        *lock(&self.state)
    }
}

/// Addresses that new calls go to.
#[derive(Debug, Default)]
pub struct DaemonAddresses(Mutex<Vec<Arc<DaemonAddress>>>);

impl DaemonAddresses {
    /// Adds a daemon.
    pub fn add(&self, address: SocketAddr) {
        let state = Mutex::new(DaemonState::Serving);
        lock(&self.0).push(Arc::new(DaemonAddress { address, state }));
    }

    /// Takes a daemon out.
    pub fn remove(&self, address: SocketAddr) {
        lock(&self.0).retain(|f| f.address != address);
    }

    /// Notes what happens to a daemon; callers still try it until it is taken out.
    pub fn set_state(&self, address: SocketAddr, state: DaemonState) {
        for front in lock(&self.0).iter().filter(|f| f.address == address) {
            *lock(&front.state) = state;
        }
    }

    /// Daemon at a point from 0 to below 1, other than `not`, if there is another.
    pub fn choose(&self, point: f64, exclude: Option<SocketAddr>) -> Option<Arc<DaemonAddress>> {
        let daemon_addresses = lock(&self.0);
        let others: Vec<&Arc<DaemonAddress>> = daemon_addresses
            .iter()
            .filter(|f| Some(f.address) != exclude)
            .collect();
        let i = (point * others.len() as f64) as usize;
        let chosen = others.get(i).copied().or_else(|| daemon_addresses.first());
        chosen.cloned()
    }
}
