//! Routing table over all councils in force.
//!
//! Routes are indexed by host and by the first segment of their path, so that a lookup compares a
//! request with the few routes that share both. Services that name the request's host go before
//! those that take any host; among them the order is that of councils, services and routes.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::state::Name;
use crate::state::council::{CouncilConfig, Route, ServiceConfig};

/// Service and route that a request belongs to.
#[derive(Debug, Clone)]
pub struct Match {
    /// Service that serves the request.
    pub service: Arc<ServiceConfig>,
    /// Running the request twice does no harm.
    pub idempotent: bool,
}

/// A route's place in the table.
#[derive(Debug, Clone)]
struct Place {
    order: usize,
    service: Arc<ServiceConfig>,
    route: usize,
}

impl Place {
    fn route(&self) -> &Route {
        &self.service.routes[self.route]
    }
}

/// Routes of one host, in the table's order.
#[derive(Debug, Clone, Default)]
struct HostRoutes {
    by_segment: HashMap<Name, Vec<Place>>,
    any_segment: Vec<Place>,
}

impl HostRoutes {
    fn insert(&mut self, place: Place) {
        let segment = first_segment(&place.route().path);
        if segment == "*" {
            self.any_segment.push(place);
            return;
        }
        let segment = Name::new(segment);
        self.by_segment.entry(segment).or_default().push(place);
    }

    fn lookup(&self, method: &str, path: &str) -> Option<Match> {
        let named = self.by_segment.get(first_segment(path));
        let fits = |p: &&Place| matches_route(p.route(), method, path);
        let named = named.and_then(|places| places.iter().find(fits));
        let any = self.any_segment.iter().find(fits);
        let place = named.into_iter().chain(any).min_by_key(|p| p.order)?;
        Some(Match {
            service: Arc::clone(&place.service),
            idempotent: place.route().idempotent,
        })
    }
}

/// Councils in force, by name.
#[derive(Debug, Clone, Default)]
pub struct CouncilTable {
    councils: BTreeMap<Name, Arc<CouncilConfig>>,
    hosts: HashMap<Name, HostRoutes>,
    any_host: HostRoutes,
}

impl CouncilTable {
    /// Puts a council's configuration in force.
    pub fn insert(&mut self, config: Arc<CouncilConfig>) {
        self.councils.insert(config.council.clone(), config);
        self.index();
    }

    /// Configuration of one council.
    pub fn council(&self, name: &str) -> Option<&Arc<CouncilConfig>> {
        self.councils.get(name)
    }

    /// All councils, in the order of their names.
    pub fn councils(&self) -> impl Iterator<Item = &Arc<CouncilConfig>> {
        self.councils.values()
    }

    /// Finds the service for a request; `host` without its port, `path` without its query.
    pub fn lookup(&self, host: &str, method: &str, path: &str) -> Option<Match> {
        let routes = if host.bytes().any(|b| b.is_ascii_uppercase()) {
            self.hosts.get(host.to_ascii_lowercase().as_str())
        } else {
            self.hosts.get(host)
        };
        let hosted = routes.and_then(|r| r.lookup(method, path));
        hosted.or_else(|| self.any_host.lookup(method, path))
    }

    fn index(&mut self) {
        self.hosts.clear();
        self.any_host = HostRoutes::default();
        let services = self.councils.values().flat_map(|c| &c.services);
        let mut order = 0;
        for service in services {
            let routes = if service.host.is_empty() {
                &mut self.any_host
            } else {
                let host = Name::new(service.host.to_ascii_lowercase());
                self.hosts.entry(host).or_default()
            };
            for route in 0..service.routes.len() {
                let service = Arc::clone(service);
                routes.insert(Place {
                    order,
                    service,
                    route,
                });
                order += 1;
            }
        }
    }
}

fn first_segment(path: &str) -> &str {
    let path = path.strip_prefix('/').unwrap_or(path);
    path.split_once('/').map_or(path, |(first, _)| first)
}

fn matches_route(route: &Route, method: &str, path: &str) -> bool {
    let method_fits = route.methods.is_empty() || route.methods.iter().any(|m| m == method);
    method_fits && matches_path(&route.path, path)
}

/// Compares a path with a pattern, segment by segment.
pub fn matches_path(pattern: &str, path: &str) -> bool {
    let mut segments = path.split('/');
    let mut patterns = pattern.split('/').peekable();
    while let Some(want) = patterns.next() {
        let last = patterns.peek().is_none();
        let Some(have) = segments.next() else {
            return false;
        };
        if last && want == "*" {
            return true;
        }
        if want != "*" && want != have {
            return false;
        }
    }
    segments.next().is_none()
}
