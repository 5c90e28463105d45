//! Graceful stops: no accepted request is lost, and the process ends within its grace period.

use std::time::{Duration, Instant};

use cuminspread_platform::standin::client::ClientRequest;
use cuminspread_platform::standin::server::Behaviour;
use cuminspread_platform::standin::store::RouteRow;

use crate::caller::Caller;
use crate::fixture::{Fixture, is_ready, wait_for};

/// Default time between SIGTERM and SIGKILL.
const GRACE: Duration = Duration::from_secs(6);

#[tokio::test]
async fn open_connections_are_served_until_they_close() {
    let fixture = Fixture::new(2, RouteRow::default()).await;
    let daemon = fixture.start_daemon().await;
    let front = daemon.front();
    let mut kept = Caller::connect(front).await;
    kept.write(ClientRequest::default().text().as_bytes()).await;
    assert_eq!(kept.read_response(false).await.status, 200);
    let mut idle = Caller::connect(front).await;
    let started_at = Instant::now();
    let stop = tokio::spawn(daemon.stop());
    tokio::time::sleep(Duration::from_millis(300)).await;
    // The platform sends new connections until two of its readiness checks have failed.
    let mut sent = 0;
    while started_at.elapsed() < Duration::from_millis(2500) {
        let mut new = Caller::connect(front).await;
        new.write(ClientRequest::default().text().as_bytes()).await;
        assert_eq!(new.read_response(false).await.status, 200);
        sent += 1;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(sent > 10);
    kept.write(ClientRequest::default().text().as_bytes()).await;
    let res = kept.read_response(false).await;
    assert_eq!(res.status, 200);
    assert_eq!(res.field("connection"), Some("close"));
    assert_eq!(
        idle.read_response(false).await.status,
        0,
        "the idle connection is closed without a response"
    );
    assert!(stop.await.unwrap(), "every request ended");
    assert!(started_at.elapsed() < GRACE);
}

#[tokio::test]
async fn requests_in_flight_are_completed() {
    let route = RouteRow {
        idempotent: false,
        timeout_s: 10.0,
        ..RouteRow::default()
    };
    let fixture = Fixture::new(1, route).await;
    let daemon = fixture.start_daemon().await;
    fixture.servers[0].set_behaviour(Behaviour::Slow(3500));
    let mut caller = Caller::connect(daemon.front()).await;
    let req = ClientRequest {
        deadline_ms: 9000,
        ..ClientRequest::default()
    };
    caller.write(req.text().as_bytes()).await;
    wait_for("a run", async || fixture.runs() == 1).await;
    let stop = tokio::spawn(daemon.stop());
    assert_eq!(caller.read_response(false).await.status, 200);
    assert!(stop.await.unwrap());
}

#[tokio::test]
async fn readiness_fails_at_once_and_the_process_ends_in_time() {
    let fixture = Fixture::new(1, RouteRow::default()).await;
    let daemon = fixture.start_daemon().await;
    fixture.servers[0].set_behaviour(Behaviour::Hang);
    let req = ClientRequest {
        deadline_ms: 60_000,
        ..ClientRequest::default()
    };
    let mut caller = Caller::connect(daemon.front()).await;
    caller.write(req.text().as_bytes()).await;
    assert!(is_ready(&daemon).await);
    let readiness = daemon.readiness();
    let started_at = Instant::now();
    let stop = tokio::spawn(daemon.stop());
    tokio::time::sleep(Duration::from_millis(100)).await;
    let path = cuminspread_platform::headers::READY_PATH;
    let text = format!("GET {path} HTTP/1.1\r\nhost: vm\r\n\r\n");
    assert_eq!(crate::caller::send(readiness, &text).await.status, 503);
    stop.await.unwrap();
    assert!(started_at.elapsed() < GRACE, "{:?}", started_at.elapsed());
}

#[tokio::test]
async fn waiting_requests_are_refused() {
    let route = RouteRow {
        idempotent: false,
        timeout_s: 20.0,
        latency_target_s: 10.0,
        ..RouteRow::default()
    };
    let fixture = Fixture::new(1, route).await;
    let daemon = fixture.start_daemon().await;
    // All slots are taken, so that the request waits in the daemon.
    fixture.servers[0].set_running(4);
    let mut caller = Caller::connect(daemon.front()).await;
    let req = ClientRequest {
        deadline_ms: 18_000,
        ..ClientRequest::default()
    };
    caller.write(req.text().as_bytes()).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let started_at = Instant::now();
    let stop = tokio::spawn(daemon.stop());
    let res = caller.read_response(false).await;
    assert_eq!(res.status, 503);
    assert!(res.field("retry-after").is_some());
    assert!(started_at.elapsed() < Duration::from_millis(3500));
    assert!(stop.await.unwrap());
    assert_eq!(fixture.runs(), 0);
}
