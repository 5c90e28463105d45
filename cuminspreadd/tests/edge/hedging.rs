//! Hedges of a whole daemon, within the limit that its settings name.

use std::time::{Duration, Instant};

use cuminspread_platform::standin::client::ClientRequest;
use cuminspread_platform::standin::server::Behaviour;
use cuminspread_platform::standin::store::RouteRow;
use cuminspreadd::edge::run::EdgeDaemon;
use cuminspreadd::edge::settings::EdgeSettings;

use crate::caller;
use crate::fixture::{Fixture, send, wait_for};

/// Time after which the server of an abandoned attempt must know that.
const CANCEL_TIME: Duration = Duration::from_millis(100);

async fn start(fixture: &Fixture, hedge_ratio: f32) -> EdgeDaemon {
    let (settings, edge_settings) = fixture.settings(&[]);
    let edge_settings = EdgeSettings {
        retry_ratio: 1.0,
        hedge_ratio: Some(hedge_ratio),
        ..edge_settings
    };
    let daemon = EdgeDaemon::start(settings, edge_settings).await.unwrap();
    fixture.wait_ready(&daemon).await;
    daemon
}

/// Value of a hedge counter of a daemon.
async fn hedges(daemon: &EdgeDaemon, result: &str) -> u32 {
    let text = "GET /metrics HTTP/1.1\r\nhost: vm\r\nconnection: close\r\n\r\n";
    let metrics = caller::send(daemon.admin(), text).await;
    let metrics = String::from_utf8_lossy(&metrics.body).into_owned();
    let label = format!("result=\"{result}\"");
    let line = metrics
        .lines()
        .find(|l| l.starts_with("cumin_hedges_total") && l.contains(&label));
    let value = line.and_then(|l| l.rsplit(' ').next());
    value.map_or(0, |v| v.parse().unwrap())
}

/// One server of two doesn't answer, or both are full; callers ask one after the other.
#[tokio::test]
async fn hedges_follow_the_limit_the_route_and_the_servers_room() {
    struct Case {
        what: &'static str,
        hedge_ratio: f32,
        idempotent: bool,
        /// Requests that run at the other server, which has 4 slots.
        running: u32,
        is_hedged: bool,
    }
    let cases = [
        Case {
            what: "within the limit",
            hedge_ratio: 1.0,
            idempotent: true,
            running: 0,
            is_hedged: true,
        },
        Case {
            what: "without any hedges allowed",
            hedge_ratio: 0.0,
            idempotent: true,
            running: 0,
            is_hedged: false,
        },
        Case {
            what: "a request that may run only once",
            hedge_ratio: 1.0,
            idempotent: false,
            running: 0,
            is_hedged: false,
        },
        Case {
            what: "no room at the other server",
            hedge_ratio: 1.0,
            idempotent: true,
            running: 4,
            is_hedged: false,
        },
    ];
    for case in cases {
        let route = RouteRow {
            idempotent: case.idempotent,
            latency_target_s: 0.4,
            ..RouteRow::default()
        };
        let fixture = Fixture::new(2, route).await;
        let daemon = start(&fixture, case.hedge_ratio).await;
        // Earns hedges and shows the usual time.
        for i in 0..4 {
            let id = format!("before-{i}");
            let req = ClientRequest {
                id: &id,
                ..ClientRequest::default()
            };
            assert_eq!(send(&daemon, &req).await.status, 200);
        }
        let silent = &fixture.servers[0];
        let other = &fixture.servers[1];
        silent.set_behaviour(Behaviour::Hang);
        // The first attempt goes to the silent server.
        other.set_running(4);
        tokio::time::sleep(Duration::from_millis(150)).await;
        let runs = other.executed().len();
        let started_at = Instant::now();
        let req = ClientRequest::default();
        let answered = send(&daemon, &req);
        let change = async {
            wait_for("a run at the silent server", async || {
                silent.executed().iter().any(|r| r.id == req.id)
            })
            .await;
            other.set_running(case.running);
        };
        let (res, ()) = tokio::join!(answered, change);
        let took = started_at.elapsed();
        let hedged = other.executed().len() > runs;
        assert_eq!(hedged, case.is_hedged, "{}: {res:?}", case.what);
        assert_eq!(res.status == 200, case.is_hedged, "{}", case.what);
        assert_eq!(
            hedges(&daemon, "sent").await,
            u32::from(hedged),
            "{}",
            case.what
        );
        assert_eq!(
            hedges(&daemon, "won").await,
            u32::from(hedged),
            "{}",
            case.what
        );
        if hedged {
            assert!(took < Duration::from_millis(800), "{took:?}");
            tokio::time::sleep(CANCEL_TIME).await;
            let abandoned = silent.abandoned();
            assert!(abandoned.iter().any(|id| id == req.id), "{abandoned:?}");
        }
        daemon.kill();
    }
}
