//! Routes that an operator publishes as one numbered configuration.
//!
//! A request's host and path select a route: of the host's routes, the one with the longest prefix
//! of the path. Prefixes begin and end with a slash, so a lookup tries the path's own prefixes from
//! the longest to the shortest, whatever the number of routes.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::state::Name;

/// WeightedService of a route's requests that one service serves.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WeightedService {
    /// Service.
    pub service: Name,
    /// Weight among the route's parts.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: Name,
    /// Host that selects it, in lower case.
    pub host: Name,
    /// Beginning of the paths that select it; begins and ends with a slash.
    pub prefix: Name,
    /// Running a request twice does no harm.
    pub idempotent: bool,
    /// Longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer has its full value.
    pub latency_target: Duration,
    /// Rank; 0 is the highest.
    pub priority: u8,
    /// Servers to which one request may be sent.
    pub max_attempts: u8,
    /// Services; at least one.
    pub weighted_services: Vec<WeightedService>,
}

/// What the operator says of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Service.
    pub name: Name,
    /// Path of its servers' health check.
    pub probe_path: Name,
    /// Connections that one server accepts from all daemons together.
    pub max_connections: u32,
}

/// Bounds on callers.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub max_head: usize,
    /// Largest body of a request, in bytes.
    pub max_body: usize,
    /// Longest time for a request's head.
    pub head_timeout: Duration,
    /// Longest time that a kept connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head: 16 << 10,
            max_body: 64 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Routing {
    /// Version; grows with each change.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Arc<Route>>,
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// Bounds on callers.
    pub limits: CallerLimits,
}

/// What a version changes in an earlier one; it applies to that one only.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RoutingDelta {
    /// Earlier version.
    pub base: u64,
    /// Version.
    pub version: u64,
    /// Routes that are new or changed.
    pub upserted: Vec<Arc<Route>>,
    /// Names of routes that are no longer there.
    pub removed: Vec<Name>,
    /// Services, if any of them changed.
    pub services: Option<Vec<ServiceSpec>>,
    /// Bounds on callers, if they changed.
    pub limits: Option<CallerLimits>,
}

impl Routing {
    /// What this version changes in an earlier one.
    pub fn delta_from(&self, base: &Self) -> RoutingDelta {
        let before: HashMap<&Name, &Arc<Route>> =
            base.routes.iter().map(|r| (&r.name, r)).collect();
        let now: HashSet<&Name> = self.routes.iter().map(|r| &r.name).collect();
        let same = |r: &&Arc<Route>| before.get(&r.name).is_some_and(|b| *b == *r);
        let upserted = self.routes.iter().filter(|r| !same(r));
        let removed = base.routes.iter().map(|r| &r.name);
        let removed = removed.filter(|name| !now.contains(name));
        RoutingDelta {
            base: base.version,
            version: self.version,
            upserted: upserted.cloned().collect(),
            removed: removed.cloned().collect(),
            services: (self.services != base.services).then(|| self.services.clone()),
            limits: (self.limits != base.limits).then(|| self.limits.clone()),
        }
    }

    /// The version that a delta leads to; `None` if it applies to another version.
    pub fn apply(&self, delta: RoutingDelta) -> Option<Self> {
        if delta.base != self.version {
            return None;
        }
        let replaced = delta.upserted.iter().map(|r| &r.name);
        let gone: HashSet<&Name> = replaced.chain(&delta.removed).collect();
        let kept = self.routes.iter().filter(|r| !gone.contains(&r.name));
        Some(Self {
            version: delta.version,
            routes: kept.chain(&delta.upserted).cloned().collect(),
            services: delta.services.unwrap_or_else(|| self.services.clone()),
            limits: delta.limits.unwrap_or_else(|| self.limits.clone()),
        })
    }
}

/// A configuration with its routes indexed.
#[derive(Debug, Default)]
pub struct RouteTable {
    routing: Arc<Routing>,
    by_host: HashMap<Name, HashMap<Name, Arc<Route>>>,
}

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(routing: Arc<Routing>) -> Self {
        let mut by_host: HashMap<Name, HashMap<Name, Arc<Route>>> = HashMap::new();
        for route in &routing.routes {
            let routes = by_host.entry(route.host.clone()).or_default();
            routes.insert(route.prefix.clone(), Arc::clone(route));
        }
        Self { routing, by_host }
    }

    /// Configuration that is indexed.
    pub fn routing(&self) -> &Arc<Routing> {
        &self.routing
    }

    /// Route of a request; `host` may have a port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = without_port(host);
        let routes = match self.by_host.get(host) {
            Some(routes) => routes,
            None => self.by_host.get(host.to_ascii_lowercase().as_str())?,
        };
        let slashes = path.rmatch_indices('/');
        slashes
            .map(|(i, _)| &path[..=i])
            .find_map(|prefix| routes.get(prefix))
    }

    /// What the operator says of a service.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.routing.services.iter().find(|s| s.name == name)
    }
}

/// Host without its port; an IPv6 address keeps its brackets.
pub fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}
