//! Builds configurations from the merged sections of a council's files.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::state::Name;
use crate::state::council::{CouncilConfig, Route, ServerConfig, ServiceConfig};
use crate::state::folder::SharedConfig;
use crate::state::folder::fault::{Faults, Problem};
use crate::state::folder::parse::{Section, Sections};
use crate::state::folder::schema::{
    CONNECTIONS, DEADLINE_MS, DEFAULT_CONNECTIONS, DEFAULT_SLOTS, Kind, MAX_BODY_BYTES,
    MAX_IN_FLIGHT, MAX_LIST_ENTRIES, MAX_ROUTES, MAX_SERVERS, MAX_SERVICES, PROBE_BUDGET_PER_S,
    REFUSED_STATUSES, SLOTS,
};
use crate::state::folder::value::Values;

/// A service, and the defaults for its servers.
#[derive(Debug)]
struct ServiceDraft {
    config: ServiceConfig,
    slots: u32,
    connections: u32,
}

/// Builds a council's configuration; the result is valid only if no fault was added.
pub(super) fn council(name: &Name, sections: &Sections, faults: &mut Faults) -> CouncilConfig {
    let mut config = CouncilConfig {
        council: name.clone(),
        ..CouncilConfig::default()
    };
    let mut drafts = Vec::new();
    let mut index = HashMap::new();
    for section in &sections.list {
        match section.id.kind {
            Kind::Council => build_council(section, &mut config, faults),
            Kind::Service => {
                index.insert(section.id.names[0].clone(), drafts.len());
                drafts.push(build_service(name, section, faults));
                check_limit(
                    section,
                    "services of a council",
                    drafts.len(),
                    MAX_SERVICES,
                    faults,
                );
            }
            _ => {}
        }
    }
    let mut addresses = HashMap::new();
    for section in &sections.list {
        if !matches!(section.id.kind, Kind::Route | Kind::Server) {
            continue;
        }
        let service = &section.id.names[0];
        let mut values = Values { section, faults };
        match index.get(service) {
            None => values.fault("", Problem::NoService(service.clone())),
            Some(&i) if section.id.kind == Kind::Route => add_route(values, &mut drafts[i]),
            Some(&i) => add_server(values, &mut drafts[i], &mut addresses),
        }
    }
    config.services = drafts.into_iter().map(|d| Arc::new(d.config)).collect();
    config
}

fn build_council(section: &Section, config: &mut CouncilConfig, faults: &mut Faults) {
    let mut values = Values { section, faults };
    config.probe_budget = values
        .rate("probe-budget", &PROBE_BUDGET_PER_S)
        .unwrap_or(0.0);
    config.max_in_flight = values.number("max-in-flight", MAX_IN_FLIGHT).unwrap_or(0) as u32;
}

fn build_service(council: &Name, section: &Section, faults: &mut Faults) -> ServiceDraft {
    let mut values = Values { section, faults };
    let default = ServiceConfig::default();
    let deadline = values.number("deadline-ms", DEADLINE_MS);
    let refused = values.statuses("refused-statuses", &REFUSED_STATUSES);
    let config = ServiceConfig {
        council: council.clone(),
        name: section.id.names[0].clone(),
        host: values.host("host").unwrap_or_default(),
        deadline: deadline.map_or(default.deadline, Duration::from_millis),
        refused_statuses: refused.unwrap_or(default.refused_statuses),
        max_body: values
            .number("max-body", MAX_BODY_BYTES)
            .unwrap_or(default.max_body),
        probe_path: values.path("probe-path").unwrap_or_default(),
        cancel_path: values.path("cancel-path").unwrap_or_default(),
        ..ServiceConfig::default()
    };
    let slots = values.number("slots", SLOTS);
    let connections = values.number("connections", CONNECTIONS);
    ServiceDraft {
        config,
        slots: slots.map_or(DEFAULT_SLOTS, |n| n as u32),
        connections: connections.map_or(DEFAULT_CONNECTIONS, |n| n as u32),
    }
}

fn add_route(mut values: Values<'_>, draft: &mut ServiceDraft) {
    let route = Route {
        methods: values.methods("methods").unwrap_or_default(),
        path: values.required_pattern("path"),
        idempotent: values.required_flag("idempotent"),
    };
    let routes = &mut draft.config.routes;
    routes.push(route);
    let (section, n) = (values.section, routes.len());
    check_limit(section, "routes of a service", n, MAX_ROUTES, values.faults);
}

fn add_server(
    mut values: Values<'_>,
    draft: &mut ServiceDraft,
    addresses: &mut HashMap<SocketAddr, String>,
) {
    let slots = values.number("slots", SLOTS);
    let connections = values.number("connections", CONNECTIONS);
    let data_centre = values.required_name("data-centre");
    let leaving = values.flag("leaving").unwrap_or_default();
    let Some(address) = values.required_address("address") else {
        return;
    };
    let title = format!("[{}]", values.section.title());
    if let Some(other) = addresses.insert(address, title) {
        values.fault("address", Problem::Taken(other));
    }
    let servers = &mut draft.config.servers;
    servers.push(ServerConfig {
        name: values.section.id.names[1].clone(),
        address,
        data_centre,
        slots: slots.map_or(draft.slots, |n| n as u32),
        connections: connections.map_or(draft.connections, |n| n as u32),
        leaving,
    });
    let (section, n) = (values.section, servers.len());
    check_limit(
        section,
        "servers of a service",
        n,
        MAX_SERVERS,
        values.faults,
    );
}

fn check_limit(section: &Section, what: &'static str, n: usize, limit: usize, faults: &mut Faults) {
    if n > limit {
        let problem = Problem::TooMany { what, limit };
        Values { section, faults }.fault("", problem);
    }
}

/// Builds the settings for all councils; the result is valid only if no fault was added.
pub(super) fn shared(sections: &Sections, faults: &mut Faults) -> SharedConfig {
    let mut config = SharedConfig::default();
    let mut owners: BTreeMap<Name, Name> = BTreeMap::new();
    for section in &sections.list {
        let mut values = Values { section, faults };
        if section.id.kind == Kind::Shared {
            config.probe_budget = values.rate("probe-budget", &PROBE_BUDGET_PER_S);
            continue;
        }
        let council = &section.id.names[0];
        for host in values.hosts("hosts").unwrap_or_default() {
            let host = Name::new(host.to_ascii_lowercase());
            if let Some(other) = owners.insert(host, council.clone()) {
                values.fault("hosts", Problem::Taken(format!("[reserve {other}]")));
            }
        }
        check_limit(
            section,
            "reserved hosts",
            owners.len(),
            MAX_LIST_ENTRIES * MAX_LIST_ENTRIES,
            faults,
        );
    }
    config.hosts = owners;
    config
}
