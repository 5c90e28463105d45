//! Faults in a configuration that can be read, and what it changes.
//!
//! Daemons activate any configuration that can be read, and its faults show only in what becomes of
//! requests: routes that no request can match, services that none can reach, limits that contradict
//! each other. Routes are compared by name, and requests by the route that they find, so that
//! the order of a document makes no difference.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use super::{CallerLimits, Route, RouteTable, Routing, ServiceSpec};
use crate::state::Name;

/// How bad a fault is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Severity {
    /// Requests are refused or go to the wrong place.
    Error,
    /// A part of the configuration has no effect.
    Warning,
}

/// Part of a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subject {
    /// The configuration as a whole.
    Document,
    /// The route with this index.
    Route(usize),
    /// The service with this index.
    Service(usize),
    /// Limits on callers.
    Limits,
}

/// Value of a route, a service or the limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Field {
    /// Version of the configuration.
    Version,
    /// Name of a route or service.
    Name,
    /// Path prefix of a route.
    Prefix,
    /// Services of a route, and their weights.
    Services,
    /// Timeout of a route.
    Timeout,
    /// Latency target of a route.
    LatencyTarget,
    /// Path of a service's probes.
    ProbePath,
    /// Connections that a server accepts.
    MaxConnections,
    /// Largest head of a request.
    MaxHead,
    /// Time for a request's head.
    HeadTimeout,
    /// Time for which a connection may be idle.
    IdleTimeout,
}

/// One fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// How bad it is.
    pub severity: Severity,
    /// Where it is.
    pub subject: Subject,
    /// Value that is wrong.
    pub field: Field,
    /// What is wrong.
    pub problem: String,
}

/// Collects findings.
#[derive(Default)]
struct Findings(Vec<Finding>);

impl Findings {
    fn error(&mut self, subject: Subject, field: Field, problem: impl Into<String>) {
        self.push(Severity::Error, subject, field, problem.into());
    }

    fn warning(&mut self, subject: Subject, field: Field, problem: impl Into<String>) {
        self.push(Severity::Warning, subject, field, problem.into());
    }

    fn push(&mut self, severity: Severity, subject: Subject, field: Field, problem: String) {
        self.0.push(Finding {
            severity,
            subject,
            field,
            problem,
        });
    }
}

/// Finds the faults of a configuration; `current` is the active one, if it is known.
pub fn check(routing: &Routing, current: Option<&Routing>) -> Vec<Finding> {
    let mut findings = Findings::default();
    if let Some(current) = current
        && routing.version <= current.version
    {
        let problem = format!(
            "{} isn't above {}, the version in force; daemons ignore it",
            routing.version, current.version
        );
        findings.error(Subject::Document, Field::Version, problem);
    }
    let declared: HashSet<&Name> = routing.services.iter().map(|s| &s.name).collect();
    let mut names = HashSet::new();
    // Of routes with the same host and prefix, the last one is used.
    let last: HashMap<(&Name, &Name), usize> = (routing.routes.iter().enumerate())
        .map(|(i, r)| ((&r.host, &r.prefix), i))
        .collect();
    for (i, route) in routing.routes.iter().enumerate() {
        let subject = Subject::Route(i);
        if !names.insert(&route.name) {
            let problem = "another route has this name; changes would be applied to both";
            findings.error(subject, Field::Name, problem);
        }
        let hidden_by = last.get(&(&route.host, &route.prefix)).copied();
        if let Some(other) = hidden_by.filter(|other| *other != i) {
            let other = &routing.routes[other].name;
            let problem = format!("never matches: route {other} has the same host and prefix");
            findings.error(subject, Field::Prefix, problem);
        }
        check_route(route, subject, &declared, &mut findings);
    }
    check_services(routing, &mut findings);
    let limits = &routing.limits;
    if limits.max_head == 0 {
        findings.error(Subject::Limits, Field::MaxHead, "no request fits into 0");
    }
    if limits.head_timeout.is_zero() {
        let problem = "no request is read within 0";
        findings.error(Subject::Limits, Field::HeadTimeout, problem);
    }
    if limits.idle_timeout.is_zero() {
        let problem = "connections close after each request";
        findings.warning(Subject::Limits, Field::IdleTimeout, problem);
    }
    findings.0
}

fn check_route(
    route: &Route,
    subject: Subject,
    declared: &HashSet<&Name>,
    findings: &mut Findings,
) {
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        let problem = format!("{:?} never matches: write / at both ends", route.prefix);
        findings.error(subject, Field::Prefix, problem);
    }
    if route.services.iter().all(|s| s.weight == 0) && route.services.len() != 1 {
        findings.error(
            subject,
            Field::Services,
            "no service gets any of its requests",
        );
    }
    for service in &route.services {
        let name = &service.service;
        if !declared.contains(name) {
            let problem = format!("service {name} isn't among the services");
            findings.error(subject, Field::Services, problem);
        } else if service.weight == 0 && route.services.iter().any(|s| s.weight > 0) {
            let problem = format!("service {name} gets none of its requests");
            findings.warning(subject, Field::Services, problem);
        }
    }
    let (timeout, target) = (route.timeout, route.latency_target);
    if timeout.is_zero() {
        findings.error(subject, Field::Timeout, "no request is answered within 0");
    } else if target.is_zero() {
        let problem = "no request is answered within 0";
        findings.error(subject, Field::LatencyTarget, problem);
    } else if target > timeout {
        let problem = format!("{target:?} is above the timeout, {timeout:?}");
        findings.warning(subject, Field::LatencyTarget, problem);
    }
}

fn check_services(routing: &Routing, findings: &mut Findings) {
    let routes = routing.routes.iter();
    let used: HashSet<&Name> = routes
        .flat_map(|r| r.services.iter().map(|s| &s.service))
        .collect();
    let mut names = HashSet::new();
    for (i, service) in routing.services.iter().enumerate() {
        let subject = Subject::Service(i);
        if !names.insert(&service.name) {
            let problem = "another service has this name, and is used instead";
            findings.error(subject, Field::Name, problem);
        }
        if !used.contains(&service.name) {
            findings.warning(subject, Field::Name, "no route leads to this service");
        }
        if service.probe_path.is_empty() {
            let problem = "missing; servers are probed at /";
            findings.warning(subject, Field::ProbePath, problem);
        } else if !service.probe_path.starts_with('/') {
            let problem = format!("{:?} isn't a path, so probes fail", service.probe_path);
            findings.error(subject, Field::ProbePath, problem);
        }
        if service.max_connections == 0 {
            let problem = "its servers accept no connection";
            findings.error(subject, Field::MaxConnections, problem);
        }
    }
}

/// One difference from the active configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    /// Route or service, or the limits.
    pub subject: String,
    /// What is different.
    pub change: String,
    /// What becomes of requests.
    pub effect: String,
}

/// Differences from `current`, by meaning.
///
/// Requests that a daemon has accepted before it activates the new configuration end by the old one.
pub fn differences(routing: &Routing, current: &Routing) -> Vec<Difference> {
    let (now, before) = (table(routing), table(current));
    let old: HashMap<&Name, &Arc<Route>> = current.routes.iter().map(|r| (&r.name, r)).collect();
    let new: HashSet<&Name> = routing.routes.iter().map(|r| &r.name).collect();
    let mut out = Vec::new();
    for route in &routing.routes {
        let subject = format!("route {}", route.name);
        match old.get(&route.name) {
            None => out.push(Difference {
                subject,
                change: format!("added for {}{}", route.host, route.prefix),
                effect: match before.find(&route.host, &route.prefix) {
                    Some(other) => format!("takes requests from route {}", other.name),
                    None => "its requests were refused with 404".to_owned(),
                },
            }),
            Some(other) if *other != route => {
                out.extend(route_differences(&subject, route, other, &now));
            }
            Some(_) => {}
        }
    }
    for route in current.routes.iter().filter(|r| !new.contains(&r.name)) {
        out.push(Difference {
            subject: format!("route {}", route.name),
            change: "removed".to_owned(),
            effect: destination(&now, route),
        });
    }
    out.extend(service_differences(routing, current));
    let effect = "requests that arrive from then on";
    let values = |limits: &CallerLimits| {
        [
            ("largest head", format!("{} bytes", limits.max_head)),
            ("largest body", format!("{} bytes", limits.max_body)),
            ("time for a head", format!("{:?}", limits.head_timeout)),
            ("idle time", format!("{:?}", limits.idle_timeout)),
        ]
    };
    let (now, before) = (values(&routing.limits), values(&current.limits));
    out.extend(value_differences("limits", &now, &before, effect));
    out
}

/// Differences between values of the same labels.
fn value_differences(
    subject: &str,
    now: &[(&str, String)],
    before: &[(&str, String)],
    effect: &str,
) -> Vec<Difference> {
    let pairs = now.iter().zip(before).filter(|(new, old)| new != old);
    let difference = |((label, new), (_, old)): (&(&str, String), &(&str, String))| Difference {
        subject: subject.to_owned(),
        change: format!("{label} {new}, was {old}"),
        effect: effect.to_owned(),
    };
    pairs.map(difference).collect()
}

fn table(routing: &Routing) -> RouteTable {
    RouteTable::new(Arc::new(routing.clone()))
}

/// Where requests of a former route go.
fn destination(now: &RouteTable, former: &Route) -> String {
    match now.find(&former.host, &former.prefix) {
        Some(other) => format!("its requests go to route {}", other.name),
        None => "its requests are refused with 404".to_owned(),
    }
}

fn route_differences(
    subject: &str,
    route: &Route,
    old: &Route,
    now: &RouteTable,
) -> Vec<Difference> {
    let mut out = Vec::new();
    let mut push = |change: String, effect: &str| {
        out.push(Difference {
            subject: subject.to_owned(),
            change,
            effect: effect.to_owned(),
        });
    };
    if (&route.host, &route.prefix) != (&old.host, &old.prefix) {
        let change = format!(
            "moved to {}{} from {}{}",
            route.host, route.prefix, old.host, old.prefix
        );
        push(change, &destination(now, old));
    }
    if route.services != old.services {
        let change = format!("services {}, were {}", shares(route), shares(old));
        push(change, "new requests are divided by the new weights");
    }
    if route.idempotent != old.idempotent {
        let effect = if route.idempotent {
            "requests may run twice"
        } else {
            "requests run at most once and aren't hedged"
        };
        push(format!("idempotent {}", route.idempotent), effect);
    }
    let mut times = |what: &str, new: Duration, old: Duration, effect: &str| {
        if new != old {
            push(format!("{what} {new:?}, was {old:?}"), effect);
        }
    };
    let effect = "new requests end by the new one";
    times("timeout", route.timeout, old.timeout, effect);
    let effect = "servers are chosen to meet the new one";
    let (new_target, old_target) = (route.latency_target, old.latency_target);
    times("latency target", new_target, old_target, effect);
    if route.priority != old.priority {
        let change = format!("priority {}, was {}", route.priority, old.priority);
        push(change, "another order in wait queues");
    }
    if route.max_attempts != old.max_attempts {
        let change = format!("attempts {}, were {}", route.max_attempts, old.max_attempts);
        push(change, "bounds retries and hedges");
    }
    if route.regions != old.regions {
        let change = format!("regions {:?}, were {:?}", route.regions, old.regions);
        push(change, "other servers and daemons may have its requests");
    }
    out
}

/// Services of a route with their shares of its requests in percent.
fn shares(route: &Route) -> String {
    let sum: u32 = route.services.iter().map(|s| s.weight).sum();
    let shares = route.services.iter().map(|s| {
        let share = 100.0 * f64::from(s.weight) / f64::from(sum.max(1));
        format!("{} {share:.0} %", s.service)
    });
    shares.collect::<Vec<_>>().join(", ")
}

fn service_differences<'a>(routing: &'a Routing, current: &'a Routing) -> Vec<Difference> {
    let by_name = |routing: &'a Routing| -> HashMap<&'a Name, &'a ServiceSpec> {
        routing.services.iter().map(|s| (&s.name, s)).collect()
    };
    let (now, before) = (by_name(routing), by_name(current));
    let all = routing.services.iter().chain(&current.services);
    let mut seen = HashSet::new();
    let all = all.map(|s| &s.name).filter(|name| seen.insert(*name));
    let values = |service: &ServiceSpec| {
        [
            ("probe path", service.probe_path.to_string()),
            ("connections", service.max_connections.to_string()),
            (
                "time between requests to a cold server",
                format!("{:?}", service.cold_interval),
            ),
        ]
    };
    let difference = |name: &Name| {
        let subject = format!("service {name}");
        let (change, effect) = match (now.get(name), before.get(name)) {
            (Some(new), Some(old)) => {
                let effect = "probes and requests from then on";
                return value_differences(&subject, &values(new), &values(old), effect);
            }
            (Some(_), None) => ("added", "daemons use its servers"),
            (None, _) => ("removed", "its servers get no new requests"),
        };
        vec![Difference {
            subject,
            change: change.to_owned(),
            effect: effect.to_owned(),
        }]
    };
    all.flat_map(difference).collect()
}
