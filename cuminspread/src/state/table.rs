//! Routing table of the active configurations of all councils.
//!
//! Routes are indexed by host and by the first segment of their path, so that a lookup compares a
//! request only with the routes that have both in common with it. Routes of services with the
//! request's host come before those of services for any host; within each group the first match
//! applies, in the order of councils by name, then services, then routes.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::state::Name;
use crate::state::council::{CouncilConfig, Route, ServiceConfig};

/// Result of a lookup.
#[derive(Debug, Clone)]
pub struct Match {
    /// Service of the request.
    pub service: Arc<ServiceConfig>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

/// A route and its position in the order of matching.
#[derive(Debug, Clone)]
struct IndexedRoute {
    order: usize,
    service: Arc<ServiceConfig>,
    route: usize,
}

impl IndexedRoute {
    fn route(&self) -> &Route {
        &self.service.routes[self.route]
    }
}

/// Routes of one host, each list in the order of matching.
#[derive(Debug, Clone, Default)]
struct HostRoutes {
    by_segment: HashMap<Name, Vec<IndexedRoute>>,
    any_segment: Vec<IndexedRoute>,
}

impl HostRoutes {
    fn insert(&mut self, indexed: IndexedRoute) {
        let segment = first_segment(&indexed.route().path);
        if segment == "*" {
            self.any_segment.push(indexed);
            return;
        }
        let segment = Name::new(segment);
        self.by_segment.entry(segment).or_default().push(indexed);
    }

    fn lookup(&self, method: &str, path: &str) -> Option<Match> {
        let literal = self.by_segment.get(first_segment(path));
        let matches = |r: &&IndexedRoute| matches_route(r.route(), method, path);
        let literal = literal.and_then(|routes| routes.iter().find(matches));
        let wildcard = self.any_segment.iter().find(matches);
        let first = literal
            .into_iter()
            .chain(wildcard)
            .min_by_key(|r| r.order)?;
        Some(Match {
            service: Arc::clone(&first.service),
            idempotent: first.route().idempotent,
        })
    }
}

/// Active configurations of all councils, with their routes indexed.
#[derive(Debug, Clone, Default)]
pub struct CouncilTable {
    councils: BTreeMap<Name, Arc<CouncilConfig>>,
    hosts: HashMap<Name, HostRoutes>,
    any_host: HostRoutes,
}

impl CouncilTable {
    /// Adds a council's configuration, or replaces its earlier one.
    pub fn insert(&mut self, config: Arc<CouncilConfig>) {
        self.councils.insert(config.council.clone(), config);
        self.rebuild_index();
    }

    /// Active configuration of one council.
    pub fn council(&self, name: &str) -> Option<&Arc<CouncilConfig>> {
        self.councils.get(name)
    }

    /// All councils, in the order of their names.
    pub fn councils(&self) -> impl Iterator<Item = &Arc<CouncilConfig>> {
        self.councils.values()
    }

    /// Finds the service of a request; `host` has no port, `path` no query.
    pub fn lookup(&self, host: &str, method: &str, path: &str) -> Option<Match> {
        let routes = if host.bytes().any(|b| b.is_ascii_uppercase()) {
            self.hosts.get(host.to_ascii_lowercase().as_str())
        } else {
            self.hosts.get(host)
        };
        let found = routes.and_then(|r| r.lookup(method, path));
        found.or_else(|| self.any_host.lookup(method, path))
    }

    fn rebuild_index(&mut self) {
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
                routes.insert(IndexedRoute {
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
    let method_matches = route.methods.is_empty() || route.methods.iter().any(|m| m == method);
    method_matches && matches_path(&route.path, path)
}

/// Whether a path matches a pattern: a `*` as the last segment matches one or more segments, any
/// other `*` one segment.
pub fn matches_path(pattern: &str, path: &str) -> bool {
    let mut segments = path.split('/');
    let mut patterns = pattern.split('/').peekable();
    while let Some(pattern) = patterns.next() {
        let is_last = patterns.peek().is_none();
        let Some(segment) = segments.next() else {
            return false;
        };
        if is_last && pattern == "*" {
            return true;
        }
        if pattern != "*" && pattern != segment {
            return false;
        }
    }
    segments.next().is_none()
}
