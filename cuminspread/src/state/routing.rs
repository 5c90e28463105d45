//! Routes of the configuration in the store, which has one version number.
//!
//! A request's host and path select a route: of the host's routes, the route with the longest
//! prefix of the path. Prefixes begin and end with a slash, so a lookup tries the prefixes of the
//! path that end with a slash, longest first, and its time doesn't depend on the number of routes.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::state::Name;

pub mod check;

/// Service that gets a fraction of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Name,
    /// Weight relative to the sum over the route's services; 0 for no requests.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: Name,
    /// Host of its requests, in lower case and without a port.
    pub host: Name,
    /// Prefix of its requests' paths; begins and ends with a slash.
    pub prefix: Name,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time from the arrival of a request to its response; callers may set a shorter one.
    pub timeout: Duration,
    /// Response time that servers are chosen to meet; a later response is worth less.
    pub latency_target: Duration,
    /// Priority in a wait queue; 0 is the highest.
    pub priority: u8,
    /// Maximum number of attempts of one request.
    pub max_attempts: u8,
    /// Services that its requests are divided among; at least one.
    pub services: Vec<WeightedService>,
    /// Regions whose servers and daemons may have its requests; empty for all. Messages carry them
    /// outside of the route.
    #[serde(skip)]
    pub regions: Vec<Name>,
}

impl Route {
    /// Whether servers and daemons of a region may have its requests; `None` for an unknown region.
    pub fn allows(&self, region: Option<&Name>) -> bool {
        self.regions.is_empty() || region.is_some_and(|r| self.regions.contains(r))
    }
}

/// Settings of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: Name,
    /// Path of its servers' health check, used for probes.
    pub probe_path: Name,
    /// Connections that one server accepts from all daemons together.
    pub max_connections: u32,
    /// Mean time between the requests that a cold server bears from all daemons together; `None`
    /// without a limit. Messages carry it outside of the service.
    #[serde(skip)]
    pub cold_interval: Option<Duration>,
}

/// Limits on requests and connections of callers.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub max_head: usize,
    /// Largest body of a request, in bytes.
    pub max_body: usize,
    /// Longest time for receiving a request's head.
    pub head_timeout: Duration,
    /// Longest time that a connection may stay idle between requests.
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
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Routing {
    /// Number that grows with each change.
    pub version: u64,
    /// Routes, in any order.
    pub routes: Vec<Arc<Route>>,
    /// Services that routes refer to.
    pub services: Vec<ServiceSpec>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Whether regions of routes and cold intervals of services are known; a message of a daemon
    /// that doesn't know them lacks them.
    #[serde(skip)]
    pub terms_known: bool,
}

impl Default for Routing {
    fn default() -> Self {
        Self {
            version: 0,
            routes: Vec::new(),
            services: Vec::new(),
            limits: CallerLimits::default(),
            // There is nothing that could lack them.
            terms_known: true,
        }
    }
}

/// Difference between two versions; it can be applied to `base` only.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RoutingDelta {
    /// Version before the change.
    pub base: u64,
    /// Version after the change.
    pub version: u64,
    /// Routes that are new or changed.
    pub upserted: Vec<Arc<Route>>,
    /// Names of routes that were removed.
    pub removed: Vec<Name>,
    /// All services; `None` if none of them changed.
    pub services: Option<Vec<ServiceSpec>>,
    /// Limits on callers; `None` if they didn't change.
    pub limits: Option<CallerLimits>,
    /// Whether regions of routes and cold intervals of services are known.
    #[serde(skip)]
    pub terms_known: bool,
}

impl Routing {
    /// Difference from `base` to this version.
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
            terms_known: self.terms_known && base.terms_known,
        }
    }

    /// Configuration after a delta; `None` if the delta's base is another version.
    pub fn apply(&self, delta: RoutingDelta) -> Option<Self> {
        if delta.base != self.version {
            return None;
        }
        let replaced = delta.upserted.iter().map(|r| &r.name);
        let outdated: HashSet<&Name> = replaced.chain(&delta.removed).collect();
        let kept = self.routes.iter().filter(|r| !outdated.contains(&r.name));
        Some(Self {
            version: delta.version,
            routes: kept.chain(&delta.upserted).cloned().collect(),
            services: delta.services.unwrap_or_else(|| self.services.clone()),
            limits: delta.limits.unwrap_or_else(|| self.limits.clone()),
            terms_known: self.terms_known && delta.terms_known,
        })
    }

    /// Takes the regions of routes and the cold intervals of services from an earlier version, in
    /// place of those that a daemon that doesn't know them has left out.
    #[must_use]
    pub fn with_terms_of(&self, earlier: &Self) -> Self {
        let mut next = self.clone();
        let known = earlier.routes.iter().map(|r| (&r.name, r));
        let known: HashMap<&Name, &Arc<Route>> = known.collect();
        for route in &mut next.routes {
            if let Some(before) = known.get(&route.name)
                && route.regions != before.regions
            {
                let regions = &mut Arc::make_mut(route).regions;
                regions.clone_from(&before.regions);
            }
        }
        for service in &mut next.services {
            let before = earlier.services.iter().find(|s| s.name == service.name);
            if let Some(before) = before {
                service.cold_interval = before.cold_interval;
            }
        }
        next
    }
}

/// A configuration with its routes indexed by host and prefix.
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

    /// The indexed configuration.
    pub fn routing(&self) -> &Arc<Routing> {
        &self.routing
    }

    /// Route of a request; `host` may have a port and any case, `path` has no query.
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

    /// Settings of a service; `None` if the configuration doesn't have it.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.routing.services.iter().find(|s| s.name == name)
    }
}

/// Removes the port from a host; an IPv6 address keeps its brackets.
pub fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}
