//! Servers of data centres that are emptied.

use std::collections::BTreeSet;

use cuminspread::coordination::placement::PlacementSettings;
use cuminspread::state::Name;

use super::{ServerKey, ServerTable};

impl ServerTable {
    /// Sets the data centres whose servers get nothing; `near` is this daemon's own.
    pub fn set_emptied(
        &mut self,
        emptied: BTreeSet<Name>,
        near: &Name,
        settings: &PlacementSettings,
    ) {
        self.near_emptied = emptied.contains(near);
        self.emptied = emptied;
        let services: Vec<Name> = self.by_service.keys().cloned().collect();
        for service in services {
            self.choose_subset(&service, settings);
        }
    }

    /// Whether the servers of a data centre get nothing.
    pub fn is_emptied(&self, data_centre: &str) -> bool {
        self.emptied.contains(data_centre)
    }

    /// Whether a server is in a data centre whose servers get nothing.
    pub fn is_in_emptied(&self, key: ServerKey) -> bool {
        let server = self.servers.get(&key);
        server.is_some_and(|s| self.is_emptied(&s.entry.data_centre))
    }

    /// Whether servers of a service would take requests if no data centre were emptied.
    pub fn has_emptied(&self, service: &str) -> bool {
        let mut keys = self.by_service.get(service).into_iter().flatten();
        let leaves = |k: &ServerKey| self.servers.get(k).is_some_and(|s| s.entry.draining);
        !self.emptied.is_empty() && keys.any(|k| self.is_in_emptied(*k) && !leaves(k))
    }
}
