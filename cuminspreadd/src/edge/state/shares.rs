//! This daemon's parts of what all daemons share: servers' connections, probes, retries and hedges.

use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::time::Duration;

use cuminspread::coordination::decaying_rate::DecayingRate;
use cuminspread::coordination::placement::{self, PROBE_RATE_HALF_LIFE, PlacementSettings};
use cuminspread::coordination::retry::TokenBucket;
use cuminspread::state::Name;
use cuminspread::state::routing::RouteTable;
use cuminspread::state::time::Mono;
use rand::RngExt as _;

use super::{ServerKey, ServerTable};
use crate::edge::settings::EdgeSettings;

/// Fraction of the fleet's retry budget that daemons use; the rest covers uneven traffic.
const RETRY_BUDGET_FRACTION: f32 = 0.7;
/// Fraction of the fleet's retry slack that daemons use.
const RETRY_SLACK_FRACTION: f32 = 0.6;
/// Connections that a daemon may hold to one server, however small its share of them is.
const MIN_CONNECTIONS_PER_SERVER: u32 = 4;

impl ServerTable {
    /// Chooses this daemon's subset of the near servers of a service, by rendezvous hashing: the
    /// subset changes little as servers come and go, and differs between daemons. While the own data
    /// centre is emptied, it is one of the far servers, which would otherwise each get few requests
    /// and a new connection for many of them.
    pub fn choose_subset(&mut self, service: &Name, settings: &PlacementSettings) {
        let subset = self.subset_sizes.get(service).copied();
        let subset = subset.unwrap_or(settings.min_subset_size);
        let keys = self.by_service.get(service).cloned().unwrap_or_default();
        let mut ranked: Vec<(u64, ServerKey)> = Vec::new();
        for key in keys {
            let Some(server) = self.servers.get_mut(&key) else {
                continue;
            };
            server.state.in_subset = false;
            let emptied = self.emptied.contains(&server.entry.data_centre);
            if server.state.near != self.near_emptied && !emptied && !server.entry.draining {
                let mut hasher = DefaultHasher::new();
                (self.subset_salt, &server.entry.id).hash(&mut hasher);
                ranked.push((hasher.finish(), key));
            }
        }
        ranked.sort_unstable();
        for (_, key) in ranked.into_iter().take(subset) {
            if let Some(server) = self.servers.get_mut(&key) {
                server.state.in_subset = true;
            }
        }
    }

    /// Adapts the subsets to the rates of probes, for connections that are closed after
    /// `idle_timeout`.
    pub fn resize_subsets(
        &mut self,
        now: Mono,
        idle_timeout: Duration,
        settings: &PlacementSettings,
    ) {
        let mut resized = Vec::new();
        for (service, rate) in &self.probe_rates {
            let current = self.subset_sizes.get(service).copied().unwrap_or_default();
            let size = placement::subset_size(rate.read(now), idle_timeout, current, settings);
            if size != current {
                resized.push((service.clone(), size));
            }
        }
        for (service, size) in resized {
            self.subset_sizes.insert(service.clone(), size);
            self.choose_subset(&service, settings);
        }
    }

    /// Sets the number of daemons that share the connections to each server.
    pub fn set_daemons(&mut self, daemons: usize, table: &RouteTable) {
        if std::mem::replace(&mut self.daemons, daemons.max(1)) == self.daemons {
            return;
        }
        for server in self.servers.values() {
            let limit = table.service(&server.entry.service);
            let share = self.connection_share(limit.map(|s| s.max_connections));
            server.upstream.set_max_open(share);
        }
    }

    /// Connections that this daemon may hold to a server that accepts `limit` from all daemons.
    pub(super) fn connection_share(&self, limit: Option<u32>) -> u32 {
        // Half is left for daemons that are not known yet and for connections that are closing.
        let share = limit.unwrap_or(u32::MAX) / (2 * self.daemons as u32).max(1);
        share.max(MIN_CONNECTIONS_PER_SERVER)
    }

    /// Takes up to `wanted` probes of a service's servers out of this daemon's limit; returns how
    /// many may be sent.
    pub fn take_probes(
        &mut self,
        now: Mono,
        service: &Name,
        wanted: usize,
        settings: &EdgeSettings,
    ) -> usize {
        let share = self.probe_share(settings);
        let taken = self.probe_limiter.take(now, wanted, share);
        let rate = self.probe_rates.entry(service.clone());
        let rate = rate.or_insert_with(|| DecayingRate::new(PROBE_RATE_HALF_LIFE));
        rate.record(now, taken);
        taken
    }

    /// Recent probes a second of this daemon.
    pub fn probe_rate(&self, now: Mono) -> f32 {
        self.probe_limiter.rate(now)
    }

    /// Records the probes a second that a peer reports.
    pub fn record_peer_probes(&mut self, rate: f32, settings: &EdgeSettings) {
        let share = self.probe_share(settings);
        self.probe_limiter.record_peer_rate(rate, share);
    }

    /// Equal share of each daemon in the probes a second that all servers allow.
    fn probe_share(&self, settings: &EdgeSettings) -> f32 {
        settings.probes_per_s * self.servers.len() as f32 / self.daemons as f32
    }

    /// Adds fractions of a retry and of a hedge to the budgets of a service, for a request that
    /// arrived.
    pub fn record_request(&mut self, now: Mono, service: &Name, settings: &EdgeSettings) {
        self.retry_budget(service, settings).deposit();
        if let Some(hedging) = &mut self.hedging {
            hedging.record_request(now, service, self.rng.random());
        }
    }

    /// Returns one retry that was not sent to this daemon's budget for a service.
    pub fn refund_retry(&mut self, service: &Name, settings: &EdgeSettings) {
        self.retry_budget(service, settings).refund();
    }

    /// Takes one retry out of this daemon's budget for a service; false if the budget is spent.
    pub fn withdraw_retry(&mut self, service: &Name, settings: &EdgeSettings) -> bool {
        self.retry_budget(service, settings).withdraw()
    }

    fn retry_budget(&mut self, service: &Name, settings: &EdgeSettings) -> &mut TokenBucket {
        let ratio = settings.retry_ratio * RETRY_BUDGET_FRACTION;
        let burst = settings.retry_slack * RETRY_SLACK_FRACTION / self.daemons.max(8) as f32;
        let budget = self.retry_budgets.entry(service.clone());
        budget.or_insert_with(|| TokenBucket::new(ratio, burst.max(1.0)))
    }
}
