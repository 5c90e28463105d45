//! Where requests go: fast and free servers, few connections, shares of weighted parts.

use cuminspread_platform::standin::client::ClientRequest;
use cuminspread_platform::standin::server::{Behaviour, StandInServer};
use cuminspread_platform::standin::store::{RouteRow, config_text};
use serde_json::json;

use crate::site::{Site, send, wait_for};

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
async fn servers_that_say_they_are_slow_or_full_get_nothing() {
    struct Case {
        slowness: u32,
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
        let site = Site::new(4, RouteRow::default()).await;
        let daemon = site.daemon().await;
        for server in &site.servers[..3] {
            server.set_slowness(case.slowness);
            server.set_running(case.running);
        }
        assert_eq!(send_many(&daemon, 20).await, 20);
        assert_eq!(site.servers[3].executed().len(), 20);
        daemon.kill();
    }
}

#[tokio::test]
async fn a_request_goes_out_on_the_connection_that_was_asked() {
    let site = Site::new(2, RouteRow::default()).await;
    let daemon = site.daemon().await;
    assert_eq!(send_many(&daemon, 50).await, 50);
    let connections: u32 = site.servers.iter().map(StandInServer::connections).sum();
    let looks: u32 = site.servers.iter().map(StandInServer::probes).sum();
    assert!(
        connections <= 6,
        "{connections} connections for 50 requests"
    );
    assert!(looks <= 120, "{looks} looks for 50 requests");
    daemon.kill();
}

#[tokio::test]
async fn services_that_do_not_tell_their_load_are_not_asked_for_it() {
    let site = Site::new(2, RouteRow::default()).await;
    for server in &site.servers {
        server.set_slowness(0);
    }
    let daemon = site.daemon().await;
    assert_eq!(send_many(&daemon, 40).await, 40);
    let looks: u32 = site.servers.iter().map(StandInServer::probes).sum();
    assert!(looks <= 4, "{looks} looks");
    daemon.kill();
}

#[tokio::test]
async fn a_dead_server_costs_no_request() {
    let mut site = Site::new(
        3,
        RouteRow {
            idempotent: false,
            ..RouteRow::default()
        },
    )
    .await;
    let daemon = site.daemon().await;
    assert_eq!(send_many(&daemon, 6).await, 6);
    // It crashes without a word; its entry is still there.
    drop(site.servers.remove(0));
    assert_eq!(send_many(&daemon, 20).await, 20);
    daemon.kill();
}

#[tokio::test]
async fn all_servers_dead_is_told_at_once() {
    let mut site = Site::new(2, RouteRow::default()).await;
    let daemon = site.daemon().await;
    site.servers.clear();
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    let began = std::time::Instant::now();
    let answer = send(&daemon, &ClientRequest::default()).await;
    assert_eq!(answer.status, 503);
    assert!(answer.field("retry-after").is_some());
    let took = began.elapsed();
    assert!(took < std::time::Duration::from_millis(700), "{took:?}");
    daemon.kill();
}

#[tokio::test]
async fn a_slow_idempotent_request_gets_a_second_server() {
    let route = RouteRow {
        aim_s: 0.4,
        ..RouteRow::default()
    };
    let site = Site::new(2, route).await;
    let daemon = site.daemon().await;
    site.servers[0].set_behaviour(Behaviour::Hang);
    let mut slow = 0;
    for i in 0..40 {
        let id = format!("id-{i}");
        let req = ClientRequest {
            id: &id,
            ..ClientRequest::default()
        };
        // Until the last answer's report is no longer fresh.
        tokio::time::sleep(std::time::Duration::from_millis(15)).await;
        let began = std::time::Instant::now();
        assert_eq!(send(&daemon, &req).await.status, 200);
        slow += usize::from(began.elapsed().as_millis() > 600);
    }
    assert_eq!(slow, 0);
    assert!(!site.servers[0].executed().is_empty(), "it was met");
    daemon.kill();
}

#[tokio::test]
async fn weighted_parts_get_their_shares() {
    let site = Site::without_config(1).await;
    let other = StandInServer::start("i-other").await;
    site.store
        .put_server("i-other", "orders", other.address(), &json!({}));
    let route = RouteRow {
        parts: vec![("status", 75), ("orders", 25)],
        ..RouteRow::default()
    };
    site.store.put_config(config_text(3, &[route], 15.0));
    let daemon = site.daemon().await;
    wait_for("both services", async || {
        send_many(&daemon, 1).await == 1 && send_many(&daemon, 1).await == 1
    })
    .await;
    let before = (site.runs(), other.executed().len());
    assert_eq!(send_many(&daemon, 80).await, 80);
    let (status, orders) = (site.runs() - before.0, other.executed().len() - before.1);
    assert_eq!(status + orders, 80);
    assert!((18..=22).contains(&orders), "{orders} of 80");
    daemon.kill();
}
