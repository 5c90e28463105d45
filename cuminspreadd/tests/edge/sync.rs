//! Configurations and servers: from the store, from peers, and through either alone.

use std::net::SocketAddr;
use std::time::Duration;

use cuminspread_platform::standin::client::ClientRequest;
use cuminspread_platform::standin::server::StandInServer;
use cuminspread_platform::standin::store::{Mode, RouteRow, config_text};
use cuminspreadd::edge::run::EdgeDaemon;
use serde_json::json;

use crate::site::{BOUND, STATUS, Site, is_ready, send, wait_for};

async fn status(daemon: &EdgeDaemon, target: &str) -> u16 {
    let req = ClientRequest {
        target,
        ..ClientRequest::default()
    };
    send(daemon, &req).await.status
}

fn prefixed(name: &'static str, prefix: &'static str) -> RouteRow {
    RouteRow {
        name,
        prefix,
        ..RouteRow::default()
    }
}

/// Starts daemons that know the first one, once each is ready.
async fn fleet(site: &Site, count: usize) -> Vec<EdgeDaemon> {
    let first = site.daemon().await;
    let seed: SocketAddr = first.peer();
    let mut daemons = vec![first];
    for _ in 1..count {
        let (settings, platform) = site.settings(&[seed]);
        let daemon = EdgeDaemon::start(settings, platform).await.unwrap();
        site.wait_ready(&daemon).await;
        daemons.push(daemon);
    }
    daemons
}

#[tokio::test]
async fn a_daemon_without_a_configuration_refuses_and_is_not_ready() {
    let site = Site::without_config(1).await;
    site.store.set_mode(Mode::Busy);
    let (settings, platform) = site.settings(&[]);
    let daemon = EdgeDaemon::start(settings, platform).await.unwrap();
    assert!(!is_ready(&daemon).await);
    let answer = send(&daemon, &ClientRequest::default()).await;
    assert_eq!(answer.status, 503, "never 404: it may be there");
    assert!(answer.field("retry-after").is_some());
    assert_eq!(site.runs(), 0);
    site.store
        .put_config(config_text(3, &[RouteRow::default()], 15.0));
    site.store.set_mode(Mode::Up);
    site.wait_ready(&daemon).await;
    assert_eq!(status(&daemon, "/").await, 200);
    daemon.kill();
}

#[tokio::test]
async fn changes_are_in_force_everywhere_within_the_bound() {
    struct Case {
        what: &'static str,
        routes: Vec<RouteRow>,
        /// A path and its status.
        then: (&'static str, u16),
    }
    let site = Site::new(2, prefixed("a", "/a/")).await;
    let daemons = fleet(&site, 4).await;
    let cases = [
        Case {
            what: "a route is added",
            routes: vec![prefixed("a", "/a/"), prefixed("b", "/b/")],
            then: ("/b/1", 200),
        },
        Case {
            what: "a route is dropped",
            routes: vec![prefixed("b", "/b/")],
            then: ("/a/1", 404),
        },
        Case {
            what: "a route moves to a service without servers",
            routes: vec![RouteRow {
                parts: vec![("orders", 1)],
                ..prefixed("b", "/b/")
            }],
            then: ("/b/1", 503),
        },
    ];
    for (i, case) in cases.into_iter().enumerate() {
        let version = 10 + 7 * i as u64;
        site.store
            .put_config(config_text(version, &case.routes, 15.0));
        let took = wait_for(case.what, async || {
            let mut all = true;
            for daemon in &daemons {
                all &= status(daemon, case.then.0).await == case.then.1;
            }
            all
        })
        .await;
        assert!(took < BOUND, "{}: {took:?}", case.what);
    }
    for daemon in daemons {
        daemon.kill();
    }
}

#[tokio::test]
async fn hundreds_of_routes_reach_daemons_that_the_store_refuses() {
    let site = Site::new(1, prefixed("a", "/a/")).await;
    let daemons = fleet(&site, 3).await;
    let names: Vec<(&'static str, &'static str)> = (0..600)
        .map(|i| {
            let name: &'static str = Box::leak(format!("route-{i}").into_boxed_str());
            let prefix: &'static str = Box::leak(format!("/many/{i}/").into_boxed_str());
            (name, prefix)
        })
        .collect();
    let routes: Vec<RouteRow> = names.iter().map(|(n, p)| prefixed(n, p)).collect();
    site.store.put_config(config_text(20, &routes, 15.0));
    let took = wait_for("the routes", async || {
        let mut all = true;
        for daemon in &daemons {
            all &= status(daemon, "/many/599/x").await == 200;
        }
        all
    })
    .await;
    assert!(took < BOUND, "{took:?}");
    for daemon in daemons {
        daemon.kill();
    }
}

#[tokio::test]
async fn an_older_version_never_comes_back() {
    let site = Site::new(1, prefixed("a", "/a/")).await;
    let daemon = site.daemon().await;
    site.store
        .put_config(config_text(9, &[prefixed("b", "/b/")], 15.0));
    wait_for("version 9", async || status(&daemon, "/b/1").await == 200).await;
    site.store
        .put_config(config_text(8, &[prefixed("a", "/a/")], 15.0));
    tokio::time::sleep(Duration::from_millis(900)).await;
    assert_eq!(status(&daemon, "/b/1").await, 200);
    assert_eq!(status(&daemon, "/a/1").await, 404);
    // What can't be read changes nothing either.
    site.store.put_config("{\"version\": \"r12\", \"routes\"");
    tokio::time::sleep(Duration::from_millis(900)).await;
    assert_eq!(status(&daemon, "/b/1").await, 200);
    daemon.kill();
}

#[tokio::test]
async fn servers_that_leave_get_nothing_within_the_bound() {
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    enum Way {
        Drains,
        Removed,
        DrainsInAGapOfHistory,
    }
    for way in [Way::Drains, Way::Removed, Way::DrainsInAGapOfHistory] {
        let site = Site::new(2, RouteRow::default()).await;
        let daemons = fleet(&site, 3).await;
        let leaving = &site.servers[0];
        let drains = json!({"state": "draining", "seq": 2});
        match way {
            Way::Drains => {
                site.store
                    .put_server("i-0", STATUS, leaving.address(), &drains);
            }
            Way::Removed => site.store.delete_server("i-0"),
            Way::DrainsInAGapOfHistory => {
                site.store
                    .put_server("i-0", STATUS, leaving.address(), &drains);
                site.store.compact();
            }
        }
        tokio::time::sleep(BOUND).await;
        let before = leaving.executed().len();
        for daemon in &daemons {
            for _ in 0..10 {
                assert_eq!(status(daemon, "/").await, 200);
            }
        }
        assert_eq!(leaving.executed().len(), before, "{way:?}");
        for daemon in daemons {
            daemon.kill();
        }
    }
}

#[tokio::test]
async fn entries_that_are_no_servers_hurt_nothing() {
    let site = Site::new(1, RouteRow::default()).await;
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
        site.store.put_raw_server(&format!("forged-{i}"), value);
    }
    let daemon = site.daemon().await;
    for _ in 0..10 {
        assert_eq!(status(&daemon, "/").await, 200);
    }
    daemon.kill();
}

#[tokio::test]
async fn an_address_that_is_used_again_gets_no_foreign_request() {
    let site = Site::new(1, RouteRow::default()).await;
    let daemon = site.daemon().await;
    // Another server has taken the address; the old entry is still there.
    let other = StandInServer::start("i-other").await;
    site.store
        .put_server("i-0", STATUS, other.address(), &json!({"seq": 3}));
    wait_for("the address", async || {
        send(&daemon, &ClientRequest::default()).await.status == 503
    })
    .await;
    assert!(other.executed().is_empty());
    daemon.kill();
}

#[tokio::test]
async fn an_outage_of_the_store_stops_nobody() {
    for mode in [Mode::Busy, Mode::Silent, Mode::Slow(300)] {
        let site = Site::new(2, RouteRow::default()).await;
        let daemons = fleet(&site, 2).await;
        site.store.set_mode(mode);
        for _ in 0..4 {
            tokio::time::sleep(Duration::from_millis(400)).await;
            for daemon in &daemons {
                assert_eq!(status(daemon, "/").await, 200, "{mode:?}");
            }
        }
        site.store.set_mode(Mode::Up);
        site.store
            .put_config(config_text(9, &[prefixed("b", "/b/")], 15.0));
        let took = wait_for("news after the outage", async || {
            status(&daemons[1], "/b/1").await == 200
        })
        .await;
        assert!(took < BOUND, "{mode:?}: {took:?}");
        for daemon in daemons {
            daemon.kill();
        }
    }
}

#[tokio::test]
async fn a_daemon_learns_from_peers_while_the_store_is_down() {
    let site = Site::new(1, RouteRow::default()).await;
    let daemons = fleet(&site, 2).await;
    site.store.set_mode(Mode::Busy);
    let seeds: Vec<SocketAddr> = daemons.iter().map(EdgeDaemon::peer).collect();
    let (settings, platform) = site.settings(&seeds);
    let late = EdgeDaemon::start(settings, platform).await.unwrap();
    let took = wait_for("readiness", async || is_ready(&late).await).await;
    assert!(took < BOUND, "{took:?}");
    assert_eq!(status(&late, "/").await, 200);
    late.kill();
    for daemon in daemons {
        daemon.kill();
    }
}

#[tokio::test]
async fn a_fleet_reads_the_store_as_one() {
    let site = Site::new(1, RouteRow::default()).await;
    let daemons = fleet(&site, 6).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = site.store.calls();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let calls = site.store.calls() - before;
    assert!(calls <= 8, "{calls} calls in 3 s");
    for daemon in daemons {
        daemon.kill();
    }
}
