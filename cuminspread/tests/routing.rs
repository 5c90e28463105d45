//! Lookup of routes by host and longest prefix, and weighted choice among a route's services.

use std::sync::Arc;
use std::time::Duration;

use cuminspread::coordination::weighted_round_robin::WeightedRoundRobin;
use cuminspread::state::Name;
use cuminspread::state::routing::{Route, RouteTable, Routing, WeightedService};
use rand_pcg::Pcg32;

fn route(name: &str, host: &str, prefix: &str) -> Arc<Route> {
    Arc::new(Route {
        name: Name::new(name),
        host: Name::new(host),
        prefix: Name::new(prefix),
        idempotent: true,
        timeout: Duration::from_secs(2),
        latency_target: Duration::from_millis(500),
        priority: 0,
        max_attempts: 2,
        regions: Vec::new(),
        services: vec![WeightedService {
            service: Name::new("status"),
            weight: 1,
        }],
    })
}

struct Case {
    host: &'static str,
    path: &'static str,
    found: Option<&'static str>,
}

#[test]
fn finds_the_longest_prefix_of_the_host() {
    let table = RouteTable::new(Arc::new(Routing {
        version: 1,
        routes: vec![
            route("root", "a.example", "/"),
            route("jobs", "a.example", "/jobs/"),
            route("old-jobs", "a.example", "/jobs/old/"),
            route("other", "b.example", "/jobs/"),
        ],
        ..Routing::default()
    }));
    let cases = [
        Case {
            host: "a.example",
            path: "/jobs/7",
            found: Some("jobs"),
        },
        Case {
            host: "a.example",
            path: "/jobs/old/7",
            found: Some("old-jobs"),
        },
        Case {
            host: "a.example",
            path: "/jobs/older",
            found: Some("jobs"),
        },
        Case {
            host: "a.example",
            path: "/jobs",
            found: Some("root"),
        },
        Case {
            host: "A.Example:8080",
            path: "/jobs/",
            found: Some("jobs"),
        },
        Case {
            host: "b.example",
            path: "/jobs/7",
            found: Some("other"),
        },
        Case {
            host: "b.example",
            path: "/",
            found: None,
        },
        Case {
            host: "c.example",
            path: "/jobs/7",
            found: None,
        },
    ];
    for case in cases {
        let found = table.find(case.host, case.path).map(|r| r.name.as_str());
        assert_eq!(found, case.found, "{} {}", case.host, case.path);
    }
}

#[test]
fn choices_of_all_daemons_follow_the_weights() {
    struct Case {
        weights: &'static [u32],
        /// Requests of each daemon.
        requests: usize,
    }
    // Each of 18 daemons gets few requests, but their choices together have to be within 0.1 of the
    // weights. The test demands 0.05.
    let cases = [
        Case {
            weights: &[90, 10],
            requests: 17,
        },
        Case {
            weights: &[50, 30, 20],
            requests: 20,
        },
        Case {
            weights: &[1, 0, 1],
            requests: 25,
        },
    ];
    for case in cases {
        let mut counts = vec![0_usize; case.weights.len()];
        for daemon in 0..18 {
            let mut rng = Pcg32::new(daemon, 1);
            let mut round_robin = WeightedRoundRobin::default();
            for _ in 0..case.requests {
                let service = round_robin.next(case.weights, &mut rng).expect("a service");
                counts[service] += 1;
            }
        }
        let total: u32 = case.weights.iter().sum();
        for (count, weight) in counts.iter().zip(case.weights) {
            let fraction = *count as f64 / (18 * case.requests) as f64;
            let expected = f64::from(*weight) / f64::from(total);
            assert!(
                (fraction - expected).abs() < 0.05,
                "got {fraction}, expected {expected}"
            );
        }
    }
    let mut rng = Pcg32::new(1, 1);
    assert_eq!(WeightedRoundRobin::default().next(&[0, 0], &mut rng), None);
}
