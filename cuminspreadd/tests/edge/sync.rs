//! Configurations and servers reach daemons from the store, from peers, and with either alone.

use std::net::SocketAddr;
use std::time::Duration;

use cuminspread_platform::standin::client::ClientRequest;
use cuminspread_platform::standin::server::StandInServer;
use cuminspread_platform::standin::store::{Mode, RouteRow, config_text};
use cuminspread_platform::store::MAX_ANSWER_BYTES;
use cuminspreadd::edge::run::EdgeDaemon;
use serde_json::json;

use crate::fixture::{
    Fixture, STATUS_SERVICE, UPDATE_BOUND, is_ready, send, start_fleet, wait_for,
};
use crate::other_threads::OtherThreads;

async fn status(daemon: &EdgeDaemon, target: &str) -> u16 {
    let req = ClientRequest {
        target,
        ..ClientRequest::default()
    };
    send(daemon, &req).await.status
}

/// Waits until all daemons answer a request with 200; returns the time that took.
async fn wait_all_serve(daemons: &[EdgeDaemon], target: &str) -> Duration {
    wait_for("the route", async || {
        let mut all_serve = true;
        for daemon in daemons {
            all_serve &= status(daemon, target).await == 200;
        }
        all_serve
    })
    .await
}

fn prefixed(name: &'static str, prefix: &'static str) -> RouteRow {
    RouteRow {
        name,
        prefix,
        ..RouteRow::default()
    }
}

#[tokio::test]
async fn a_daemon_without_a_configuration_refuses_and_is_not_ready() {
    let fixture = Fixture::without_config(1).await;
    fixture.store.set_mode(Mode::Busy);
    let (settings, edge_settings) = fixture.settings(&[]);
    let daemon = EdgeDaemon::start(settings, edge_settings).await.unwrap();
    assert!(!is_ready(&daemon).await);
    let res = send(&daemon, &ClientRequest::default()).await;
    assert_eq!(res.status, 503, "not 404: a route may exist");
    assert!(res.field("retry-after").is_some());
    assert_eq!(fixture.runs(), 0);
    fixture
        .store
        .put_config(config_text(3, &[RouteRow::default()], 15.0));
    fixture.store.set_mode(Mode::Up);
    fixture.wait_ready(&daemon).await;
    assert_eq!(status(&daemon, "/").await, 200);
    daemon.kill();
}

#[tokio::test]
async fn requests_right_after_a_restart_wait_for_the_configuration() {
    struct Case {
        store: Mode,
        status: u16,
        /// Bounds of the time until the response to a request that comes at the start.
        answered_ms: std::ops::Range<u128>,
    }
    let cases = [
        Case {
            store: Mode::Slow(60),
            status: 200,
            answered_ms: 0..600,
        },
        // A store that is away is no reason to wait for long.
        Case {
            store: Mode::Silent,
            status: 503,
            answered_ms: 0..900,
        },
    ];
    for case in cases {
        let fixture = Fixture::new(2, RouteRow::default()).await;
        fixture.store.set_mode(case.store);
        let (settings, edge_settings) = fixture.settings(&[]);
        let daemon = EdgeDaemon::start(settings, edge_settings).await.unwrap();
        let began = std::time::Instant::now();
        assert_eq!(status(&daemon, "/").await, case.status, "{:?}", case.store);
        let took = began.elapsed().as_millis();
        assert!(
            case.answered_ms.contains(&took),
            "{:?}: {took} ms",
            case.store
        );
        if case.status == 503 {
            let began = std::time::Instant::now();
            assert_eq!(status(&daemon, "/").await, 503);
            let took = began.elapsed().as_millis();
            assert!(
                took < 100,
                "refused at once after the start, not in {took} ms"
            );
        }
        daemon.kill();
    }
}

#[tokio::test]
async fn a_restarted_daemon_serves_with_a_sample_of_the_store() {
    let fixture = Fixture::new(1, RouteRow::default()).await;
    let address = fixture.servers[0].address();
    for i in 0..400_u32 {
        let id = format!("i-{:08x}", i.wrapping_mul(0x9e37_79b9));
        fixture.store.put_server(&id, "others", address, &json!({}));
    }
    // The seed doesn't run, and the daemon reads all of the store only after 0.5 s.
    let nobody = SocketAddr::from(([127, 0, 0, 1], 9));
    let (settings, edge_settings) = fixture.settings(&[nobody]);
    let daemon = EdgeDaemon::start(settings, edge_settings).await.unwrap();
    // The sixteenth of the servers that it reads first has none of this service.
    assert_eq!(status(&daemon, "/").await, 200);
    let took = wait_for("readiness", async || is_ready(&daemon).await).await;
    assert!(took < Duration::from_millis(400), "{took:?}");
    daemon.kill();
}

#[tokio::test]
async fn changes_are_active_at_all_daemons_within_the_bound() {
    struct Case {
        name: &'static str,
        routes: Vec<RouteRow>,
        /// A path and the status that it must get.
        expected: (&'static str, u16),
    }
    let fixture = Fixture::new(2, prefixed("a", "/a/")).await;
    let daemons = start_fleet(&fixture, 4).await;
    let cases = [
        Case {
            name: "a route is added",
            routes: vec![prefixed("a", "/a/"), prefixed("b", "/b/")],
            expected: ("/b/1", 200),
        },
        Case {
            name: "a route is dropped",
            routes: vec![prefixed("b", "/b/")],
            expected: ("/a/1", 404),
        },
        Case {
            name: "a route moves to a service without servers",
            routes: vec![RouteRow {
                services: vec![("orders", 1)],
                ..prefixed("b", "/b/")
            }],
            expected: ("/b/1", 503),
        },
    ];
    for (i, case) in cases.into_iter().enumerate() {
        let version = 10 + 7 * i as u64;
        fixture
            .store
            .put_config(config_text(version, &case.routes, 15.0));
        let took = wait_for(case.name, async || {
            let mut all_match = true;
            for daemon in &daemons {
                all_match &= status(daemon, case.expected.0).await == case.expected.1;
            }
            all_match
        })
        .await;
        assert!(took < UPDATE_BOUND, "{}: {took:?}", case.name);
    }
    for daemon in daemons {
        daemon.kill();
    }
}

#[tokio::test]
async fn hundreds_of_routes_reach_daemons_that_the_store_refuses() {
    let fixture = Fixture::new(1, prefixed("a", "/a/")).await;
    let daemons = start_fleet(&fixture, 3).await;
    let names: Vec<(&'static str, &'static str)> = (0..600)
        .map(|i| {
            let name: &'static str = Box::leak(format!("route-{i}").into_boxed_str());
            let prefix: &'static str = Box::leak(format!("/many/{i}/").into_boxed_str());
            (name, prefix)
        })
        .collect();
    let routes: Vec<RouteRow> = names.iter().map(|(n, p)| prefixed(n, p)).collect();
    fixture.store.put_config(config_text(20, &routes, 15.0));
    let took = wait_for("the routes", async || {
        let mut all_match = true;
        for daemon in &daemons {
            all_match &= status(daemon, "/many/599/x").await == 200;
        }
        all_match
    })
    .await;
    assert!(took < UPDATE_BOUND, "{took:?}");
    for daemon in daemons {
        daemon.kill();
    }
}

#[tokio::test]
async fn an_older_version_is_never_activated() {
    let fixture = Fixture::new(1, prefixed("a", "/a/")).await;
    let daemon = fixture.start_daemon().await;
    fixture
        .store
        .put_config(config_text(9, &[prefixed("b", "/b/")], 15.0));
    wait_for("version 9", async || status(&daemon, "/b/1").await == 200).await;
    fixture
        .store
        .put_config(config_text(8, &[prefixed("a", "/a/")], 15.0));
    tokio::time::sleep(Duration::from_millis(900)).await;
    assert_eq!(status(&daemon, "/b/1").await, 200);
    assert_eq!(status(&daemon, "/a/1").await, 404);
    // Neither is a configuration that can't be parsed.
    fixture
        .store
        .put_config("{\"version\": \"r12\", \"routes\"");
    tokio::time::sleep(Duration::from_millis(900)).await;
    assert_eq!(status(&daemon, "/b/1").await, 200);
    daemon.kill();
}

#[tokio::test]
async fn servers_that_leave_get_no_requests_after_the_bound() {
    /// How a server leaves, as the store shows it.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    enum Departure {
        Drains,
        Removed,
        DrainsInCompactedHistory,
    }
    for departure in [
        Departure::Drains,
        Departure::Removed,
        Departure::DrainsInCompactedHistory,
    ] {
        let fixture = Fixture::new(2, RouteRow::default()).await;
        let daemons = start_fleet(&fixture, 3).await;
        let leaving = &fixture.servers[0];
        let drains = json!({"state": "draining", "seq": 2});
        match departure {
            Departure::Drains => {
                fixture
                    .store
                    .put_server("i-0", STATUS_SERVICE, leaving.address(), &drains);
            }
            Departure::Removed => fixture.store.delete_server("i-0"),
            Departure::DrainsInCompactedHistory => {
                fixture
                    .store
                    .put_server("i-0", STATUS_SERVICE, leaving.address(), &drains);
                fixture.store.compact();
            }
        }
        tokio::time::sleep(UPDATE_BOUND).await;
        let before = leaving.executed().len();
        for daemon in &daemons {
            for _ in 0..10 {
                assert_eq!(status(daemon, "/").await, 200);
            }
        }
        assert_eq!(leaving.executed().len(), before, "{departure:?}");
        for daemon in daemons {
            daemon.kill();
        }
    }
}

#[tokio::test]
async fn a_change_behind_many_others_is_active_within_the_bound() {
    let fixture = Fixture::new(1, prefixed("a", "/a/")).await;
    let daemons = start_fleet(&fixture, 2).await;
    // More changes than the store returns in a few answers.
    let address = fixture.servers[0].address();
    for i in 0..400 {
        fixture
            .store
            .put_server(&format!("i-other-{i}"), "orders", address, &json!({}));
    }
    fixture
        .store
        .put_config(config_text(9, &[prefixed("b", "/b/")], 15.0));
    let took = wait_all_serve(&daemons, "/b/1").await;
    assert!(took < UPDATE_BOUND, "{took:?}");
    for daemon in daemons {
        daemon.kill();
    }
}

/// Guards against a size limit on the store's answers that keeps a daemon from large changes which are
/// proper.
#[tokio::test]
async fn changes_that_are_too_large_for_one_answer_are_active_within_the_bound() {
    /// Padding of a configuration; with it, each is close to the largest that the store takes.
    const PADDING: usize = 900_000;
    // The store writes these answers on threads of its own.
    let others = OtherThreads::start();
    let fixture = others.spawn(Fixture::new(1, prefixed("a", "/a/")));
    let fixture = fixture.await.unwrap();
    let daemons = start_fleet(&fixture, 2).await;
    // An answer has their bytes as base64 text.
    let changes = MAX_ANSWER_BYTES / PADDING;
    for version in 0..changes {
        let config = config_text(10 + version as u64, &[prefixed("b", "/b/")], 15.0);
        let padding = " ".repeat(PADDING);
        fixture.store.put_config(config + &padding);
    }
    let took = wait_all_serve(&daemons, "/b/1").await;
    assert!(took < UPDATE_BOUND, "{took:?}");
    daemons.into_iter().for_each(EdgeDaemon::kill);
}

#[tokio::test]
async fn invalid_registry_entries_are_ignored() {
    let fixture = Fixture::new(1, RouteRow::default()).await;
    for (i, value) in [
        "",
        "no json",
        "{\"service\": 7}",
        "{\"service\": \"status\", \"address\": \"nowhere\", \"zone\": \"here\", \"slots\": 1, \"state\": \"ready\"}",
        "{\"service\": \"status\", \"address\": \"127.0.0.1:9\", \"zone\": \"here\", \"slots\": 1, \"state\": \"odd\"}",
    ]
    .into_iter()
    .enumerate()
    {
        fixture.store.put_raw_server(&format!("forged-{i}"), value);
    }
    let daemon = fixture.start_daemon().await;
    for _ in 0..10 {
        assert_eq!(status(&daemon, "/").await, 200);
    }
    daemon.kill();
}

#[tokio::test]
async fn a_server_at_a_reused_address_gets_no_requests_of_the_old_one() {
    let fixture = Fixture::new(1, RouteRow::default()).await;
    let daemon = fixture.start_daemon().await;
    // Another server has the address now; the entry of the old one is still in the registry.
    let other = StandInServer::start("i-other").await;
    fixture
        .store
        .put_server("i-0", STATUS_SERVICE, other.address(), &json!({"seq": 3}));
    wait_for("the address", async || {
        send(&daemon, &ClientRequest::default()).await.status == 503
    })
    .await;
    assert!(other.executed().is_empty());
    daemon.kill();
}

#[tokio::test]
async fn daemons_serve_requests_during_an_outage_of_the_store() {
    for mode in [Mode::Busy, Mode::Silent, Mode::Slow(300)] {
        let fixture = Fixture::new(2, RouteRow::default()).await;
        let daemons = start_fleet(&fixture, 2).await;
        fixture.store.set_mode(mode);
        for _ in 0..4 {
            tokio::time::sleep(Duration::from_millis(400)).await;
            for daemon in &daemons {
                assert_eq!(status(daemon, "/").await, 200, "{mode:?}");
            }
        }
        fixture.store.set_mode(Mode::Up);
        fixture
            .store
            .put_config(config_text(9, &[prefixed("b", "/b/")], 15.0));
        let took = wait_for("update after the outage", async || {
            status(&daemons[1], "/b/1").await == 200
        })
        .await;
        assert!(took < UPDATE_BOUND, "{mode:?}: {took:?}");
        for daemon in daemons {
            daemon.kill();
        }
    }
}

#[tokio::test]
async fn a_daemon_syncs_from_peers_while_the_store_is_down() {
    let fixture = Fixture::new(1, RouteRow::default()).await;
    let daemons = start_fleet(&fixture, 2).await;
    fixture.store.set_mode(Mode::Busy);
    let seeds: Vec<SocketAddr> = daemons.iter().map(EdgeDaemon::peer).collect();
    let (settings, edge_settings) = fixture.settings(&seeds);
    let late = EdgeDaemon::start(settings, edge_settings).await.unwrap();
    let took = wait_for("readiness", async || is_ready(&late).await).await;
    assert!(took < UPDATE_BOUND, "{took:?}");
    assert_eq!(status(&late, "/").await, 200);
    late.kill();
    for daemon in daemons {
        daemon.kill();
    }
}

#[tokio::test]
async fn a_fleet_reads_the_store_as_rarely_as_one_daemon() {
    let fixture = Fixture::new(1, RouteRow::default()).await;
    let daemons = start_fleet(&fixture, 6).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = fixture.store.calls();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let calls = fixture.store.calls() - before;
    assert!(calls <= 8, "{calls} calls in 3 s");
    for daemon in daemons {
        daemon.kill();
    }
}
