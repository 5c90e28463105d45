//! Servers that are cold, and this daemon's turns at them.

use std::time::Duration;

use cuminspread::coordination::cold_server::{ColdChange, ColdNews, held_part};
use cuminspread::coordination::mesh::Mesh;
use cuminspread::coordination::server_limit::is_notable_change;
use cuminspread::state::routing::RouteTable;
use cuminspread::state::time::Mono;
use rand::RngExt as _;

use super::{Server, ServerKey, ServerTable};

impl Server {
    /// Records for which time the server stays cold; returns whether its state has changed.
    pub(super) fn record_cold(&mut self, now: Mono, left: Duration, news: ColdNews) -> bool {
        let cold = &mut self.hold_off.cold;
        let change = cold.record(now, left, news);
        let Some(per_s) = cold.rate() else {
            return false;
        };
        self.state.warm_until = cold.until();
        let source = match news {
            ColdNews::Report => "registry",
            ColdNews::Check { .. } => "probe",
        };
        let id = &self.entry.id;
        match change {
            Some(ColdChange::TurnedCold(left)) => log::info!(
                "event=server_cold server={id} per_s={per_s} left_ms={} source={source}",
                left.as_millis()
            ),
            Some(ColdChange::TurnedWarm(left)) => log::info!(
                "event=server_warm server={id} early_ms={} source={source}",
                left.as_millis()
            ),
            None => {}
        }
        change.is_some()
    }
}

impl ServerTable {
    /// Records what the answer to a probe says of its server's warm-up; returns whether that is new.
    pub fn record_cold(
        &mut self,
        now: Mono,
        key: ServerKey,
        left: Duration,
        news: ColdNews,
    ) -> bool {
        let server = self.servers.get_mut(&key);
        server.is_some_and(|s| s.record_cold(now, left, news))
    }

    /// Applies what cold servers of each service bear by a new configuration.
    pub(super) fn set_cold_intervals(&mut self, table: &RouteTable) {
        for server in self.servers.values_mut() {
            let spec = table.service(&server.entry.service);
            let interval = spec.and_then(|s| s.cold_interval);
            server.hold_off.cold.set_interval(interval);
        }
    }

    /// Computes this daemon's parts of what cold servers bear.
    pub(super) fn assign_cold(&mut self, now: Mono, mesh: &mut Mesh) {
        // Called at each tick, so that the mesh notices when the fleet grows.
        let is_settled = mesh.is_settled(now);
        for server in self.servers.values_mut() {
            let cold = &mut server.hold_off.cold;
            let Some(rate) = cold.rate().filter(|_| cold.needs_part(now)) else {
                continue;
            };
            let entry = &server.entry;
            let held = held_part(now, &entry.id, &entry.data_centre, rate, mesh);
            let before = cold.own_rate();
            cold.assign(now, held, self.rng.random_range(0.0..1.0));
            let own = cold.own_rate();
            if is_notable_change(before, own) {
                log::info!(
                    "event=cold_server_part server={} per_s={rate} own_per_s={own:.2} daemons={} \
                     settled={is_settled}",
                    entry.id,
                    mesh.size()
                );
            }
        }
    }

    /// Number of servers that are cold and bear few requests.
    pub fn cold(&self, now: Mono) -> usize {
        let servers = self.servers.values();
        let cold = servers.filter(|s| s.hold_off.cold.left(now).is_some());
        cold.count()
    }
}
