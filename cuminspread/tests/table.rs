//! Path patterns, and lookups in the table of all councils' routes.

use std::sync::Arc;

use cuminspread::state::Name;
use cuminspread::state::council::{CouncilConfig, Route, ServiceConfig};
use cuminspread::state::table::{CouncilTable, matches_path};

struct Case {
    pattern: &'static str,
    path: &'static str,
    matches: bool,
}

#[test]
fn path_patterns() {
    let cases = [
        Case {
            pattern: "/jobs/*",
            path: "/jobs/7/pages",
            matches: true,
        },
        Case {
            pattern: "/jobs/*",
            path: "/jobs",
            matches: false,
        },
        Case {
            pattern: "/jobs/*/release",
            path: "/jobs/7/release",
            matches: true,
        },
        Case {
            pattern: "/jobs/*/release",
            path: "/jobs/7/status",
            matches: false,
        },
        Case {
            pattern: "/orders",
            path: "/orders",
            matches: true,
        },
        Case {
            pattern: "/orders",
            path: "/orders/1",
            matches: false,
        },
    ];
    for case in cases {
        assert_eq!(
            matches_path(case.pattern, case.path),
            case.matches,
            "{}",
            case.path
        );
    }
}

struct Lookup {
    host: &'static str,
    method: &'static str,
    path: &'static str,
    service: Option<&'static str>,
}

fn service(host: &str, name: &str, routes: &[(&str, &str)]) -> Arc<ServiceConfig> {
    let route = |(method, path): &(&str, &str)| Route {
        methods: method.split_terminator(',').map(Name::new).collect(),
        path: Name::new(path),
        idempotent: true,
    };
    Arc::new(ServiceConfig {
        name: Name::new(name),
        host: Name::new(host),
        routes: routes.iter().map(route).collect(),
        ..ServiceConfig::default()
    })
}

#[test]
fn lookup_tries_services_of_the_host_before_those_of_any_host() {
    let mut table = CouncilTable::default();
    table.insert(Arc::new(CouncilConfig {
        council: Name::new("north"),
        services: vec![
            service("", "any", &[("", "/jobs/*")]),
            service("a.example", "reads", &[("GET,HEAD", "/jobs/*")]),
            service("a.example", "rest", &[("", "/*")]),
            service("A.example", "shadowed", &[("POST", "/orders")]),
        ],
        ..CouncilConfig::default()
    }));
    let cases = [
        Lookup {
            host: "a.example",
            method: "GET",
            path: "/jobs/1",
            service: Some("reads"),
        },
        Lookup {
            host: "A.EXAMPLE",
            method: "POST",
            path: "/jobs/1",
            service: Some("rest"),
        },
        Lookup {
            host: "a.example",
            method: "POST",
            path: "/orders",
            service: Some("rest"),
        },
        Lookup {
            host: "b.example",
            method: "POST",
            path: "/jobs/1/2",
            service: Some("any"),
        },
        Lookup {
            host: "b.example",
            method: "GET",
            path: "/",
            service: None,
        },
    ];
    for case in cases {
        let found = table.lookup(case.host, case.method, case.path);
        let name = found.map(|m| m.service.name.to_string());
        assert_eq!(name.as_deref(), case.service, "{} {}", case.host, case.path);
    }
    table.insert(Arc::new(CouncilConfig {
        council: Name::new("north"),
        ..CouncilConfig::default()
    }));
    assert!(table.lookup("a.example", "GET", "/jobs/1").is_none());
}
