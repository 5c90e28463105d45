//! Servers that get nothing for where they are: in emptied data centres, or outside the regions of a
//! route.

use std::collections::BTreeSet;

use cuminspread::coordination::placement::PlacementSettings;
use cuminspread::coordination::refusal::RefusalReason;
use cuminspread::state::Name;

use super::{Edge, ServerKey, ServerTable};
use crate::edge::request::InboundRequest;

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

    /// Leaves out the servers in regions that the request's route doesn't allow; returns why none is
    /// left, if no daemon has one for that reason.
    pub fn restrict_to_regions(
        &self,
        edge: &Edge,
        req: &InboundRequest,
        keys: &mut Vec<ServerKey>,
    ) -> Option<RefusalReason> {
        let is_allowed = |k: &ServerKey| {
            let server = self.servers.get(k);
            server.is_some_and(|s| edge.allows(&req.route, &s.entry.data_centre))
        };
        let is_restricted = !req.route.regions.is_empty();
        if is_restricted {
            keys.retain(is_allowed);
        }
        if !keys.is_empty() {
            return None;
        }
        let registered = self.by_service.get(&req.service).into_iter().flatten();
        let registered =
            registered.filter(|k| self.servers.get(k).is_some_and(|s| !s.entry.draining));
        let mut allowed = registered.clone().filter(|k| is_allowed(k)).peekable();
        if allowed.peek().is_none() {
            let elsewhere = is_restricted && registered.count() > 0;
            return elsewhere.then_some(RefusalReason::NoServerInRegion);
        }
        let all_emptied = allowed.all(|k| self.is_in_emptied(*k));
        all_emptied.then_some(RefusalReason::Emptied)
    }
}
