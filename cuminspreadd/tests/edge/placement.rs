//! Placement of requests: by reported load, on few connections, and by the weights of services.

use std::time::{Duration, Instant};

use cuminspread_platform::standin::client::ClientRequest;
use cuminspread_platform::standin::server::{Behaviour, StandInServer};
use cuminspread_platform::standin::store::{RouteRow, config_text};
use futures_util::future::join_all;
use serde_json::json;

use crate::fixture::{Fixture, send, wait_for};

/// Sends requests one after the other; returns how many got status 200.
async fn send_many(daemon: &cuminspreadd::edge::run::EdgeDaemon, count: usize) -> usize {
    let mut served = 0;
    for i in 0..count {
        let id = format!("id-{i}");
        let req = ClientRequest {
            id: &id,
            ..ClientRequest::default()
        };
        served += usize::from(send(daemon, &req).await.status == 200);
    }
    served
}

#[tokio::test]
async fn servers_that_report_being_slow_or_full_get_no_requests() {
    struct Case {
        /// Reported processing time, in percent of the usual.
        slowness: u32,
        /// Reported number of running requests; each server has 4 slots.
        running: u32,
    }
    let cases = [
        Case {
            slowness: 500,
            running: 0,
        },
        Case {
            slowness: 100,
            running: 4,
        },
    ];
    for case in cases {
        let fixture = Fixture::new(4, RouteRow::default()).await;
        let daemon = fixture.start_daemon().await;
        for server in &fixture.servers[..3] {
            server.set_slowness(case.slowness);
            server.set_running(case.running);
        }
        assert_eq!(send_many(&daemon, 20).await, 20);
        assert_eq!(fixture.servers[3].executed().len(), 20);
        daemon.kill();
    }
}

#[tokio::test]
async fn a_request_uses_the_connection_of_its_probe() {
    let fixture = Fixture::new(2, RouteRow::default()).await;
    let daemon = fixture.start_daemon().await;
    assert_eq!(send_many(&daemon, 50).await, 50);
    let connections: u32 = fixture.servers.iter().map(StandInServer::connections).sum();
    let probes: u32 = fixture.servers.iter().map(StandInServer::probes).sum();
    assert!(
        connections <= 6,
        "{connections} connections for 50 requests"
    );
    assert!(probes <= 120, "{probes} probes for 50 requests");
    daemon.kill();
}

#[tokio::test]
async fn servers_that_report_no_load_are_not_probed_again() {
    let fixture = Fixture::new(2, RouteRow::default()).await;
    for server in &fixture.servers {
        server.set_slowness(0);
    }
    let daemon = fixture.start_daemon().await;
    assert_eq!(send_many(&daemon, 40).await, 40);
    let probes: u32 = fixture.servers.iter().map(StandInServer::probes).sum();
    assert!(probes <= 4, "{probes} probes");
    daemon.kill();
}

#[tokio::test]
async fn a_crashed_server_fails_no_request() {
    let mut fixture = Fixture::new(
        3,
        RouteRow {
            idempotent: false,
            ..RouteRow::default()
        },
    )
    .await;
    let daemon = fixture.start_daemon().await;
    assert_eq!(send_many(&daemon, 6).await, 6);
    // The server crashes without leaving; its entry stays in the registry.
    drop(fixture.servers.remove(0));
    assert_eq!(send_many(&daemon, 20).await, 20);
    daemon.kill();
}

#[tokio::test]
async fn requests_are_refused_early_if_all_servers_have_crashed() {
    let mut fixture = Fixture::new(2, RouteRow::default()).await;
    let daemon = fixture.start_daemon().await;
    fixture.servers.clear();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let started_at = Instant::now();
    let res = send(&daemon, &ClientRequest::default()).await;
    assert_eq!(res.status, 503);
    assert!(res.field("retry-after").is_some());
    let took = started_at.elapsed();
    assert!(took < Duration::from_millis(700), "{took:?}");
    daemon.kill();
}

/// The only server stays full: callers are refused while they have time left for another try.
#[tokio::test]
async fn requests_that_no_server_has_room_for_are_not_held_to_their_deadline() {
    const REQUESTS: u32 = 10;
    let timeout = Duration::from_secs_f64(RouteRow::default().timeout_s);
    let fixture = Fixture::new(1, RouteRow::default()).await;
    let daemon = fixture.start_daemon().await;
    fixture.servers[0].set_running(400);
    let requests = (0..REQUESTS).map(async |i| {
        tokio::time::sleep(timeout / 20 * i).await;
        let started_at = Instant::now();
        let res = send(&daemon, &ClientRequest::default()).await;
        (res, started_at.elapsed())
    });
    let mut held = Duration::ZERO;
    for (res, took) in join_all(requests).await {
        assert_eq!(res.status, 503, "{res:?}");
        assert!(res.field("retry-after").is_some(), "{res:?}");
        assert!(took < timeout.mul_f64(0.7), "{took:?}");
        held += took;
    }
    assert!(held / REQUESTS < timeout / 2, "{held:?}");
    daemon.kill();
}

#[tokio::test]
async fn a_slow_idempotent_request_is_hedged() {
    let route = RouteRow {
        latency_target_s: 0.4,
        ..RouteRow::default()
    };
    let fixture = Fixture::new(2, route).await;
    let daemon = fixture.start_daemon().await;
    fixture.servers[0].set_behaviour(Behaviour::Hang);
    let mut slow = 0;
    for i in 0..40 {
        let id = format!("id-{i}");
        let req = ClientRequest {
            id: &id,
            ..ClientRequest::default()
        };
        // Waits until the load report of the last response is no longer fresh.
        tokio::time::sleep(Duration::from_millis(15)).await;
        let started_at = Instant::now();
        assert_eq!(send(&daemon, &req).await.status, 200);
        slow += usize::from(started_at.elapsed().as_millis() > 600);
    }
    assert_eq!(slow, 0);
    assert!(
        !fixture.servers[0].executed().is_empty(),
        "no request reached the hanging server"
    );
    daemon.kill();
}

#[tokio::test]
async fn services_get_requests_by_their_weights() {
    let fixture = Fixture::without_config(1).await;
    let other = StandInServer::start("i-other").await;
    fixture
        .store
        .put_server("i-other", "orders", other.address(), &json!({}));
    let route = RouteRow {
        services: vec![("status", 75), ("orders", 25)],
        ..RouteRow::default()
    };
    fixture.store.put_config(config_text(3, &[route], 15.0));
    let daemon = fixture.start_daemon().await;
    wait_for("both services", async || {
        send_many(&daemon, 1).await == 1 && send_many(&daemon, 1).await == 1
    })
    .await;
    let before = (fixture.runs(), other.executed().len());
    assert_eq!(send_many(&daemon, 80).await, 80);
    let (status, orders) = (fixture.runs() - before.0, other.executed().len() - before.1);
    assert_eq!(status + orders, 80);
    assert!((18..=22).contains(&orders), "{orders} of 80");
    daemon.kill();
}
