//! Planned stops: nothing that was read is lost, and the process ends in time.

use std::time::{Duration, Instant};

use cuminspread_platform::standin::client::ClientRequest;
use cuminspread_platform::standin::server::Behaviour;
use cuminspread_platform::standin::store::RouteRow;

use crate::caller::Caller;
use crate::site::{Site, is_ready, wait_for};

const GRACE: Duration = Duration::from_secs(6);

#[tokio::test]
async fn open_connections_are_served_until_they_close() {
    let site = Site::new(2, RouteRow::default()).await;
    let daemon = site.daemon().await;
    let front = daemon.front();
    let mut kept = Caller::connect(front).await;
    kept.write(ClientRequest::default().text().as_bytes()).await;
    assert_eq!(kept.read_response(false).await.status, 200);
    let mut idle = Caller::connect(front).await;
    let began = Instant::now();
    let stop = tokio::spawn(daemon.stop());
    tokio::time::sleep(Duration::from_millis(300)).await;
    // The platform still sends connections for up to two of its questions.
    let mut sent = 0;
    while began.elapsed() < Duration::from_millis(2500) {
        let mut new = Caller::connect(front).await;
        new.write(ClientRequest::default().text().as_bytes()).await;
        assert_eq!(new.read_response(false).await.status, 200);
        sent += 1;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(sent > 10);
    kept.write(ClientRequest::default().text().as_bytes()).await;
    let answer = kept.read_response(false).await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.field("connection"), Some("close"));
    assert_eq!(
        idle.read_response(false).await.status,
        0,
        "it closes unused"
    );
    assert!(stop.await.unwrap(), "every request ended");
    assert!(began.elapsed() < GRACE);
}

#[tokio::test]
async fn work_in_flight_is_finished() {
    let route = RouteRow {
        idempotent: false,
        timeout_s: 10.0,
        ..RouteRow::default()
    };
    let site = Site::new(1, route).await;
    let daemon = site.daemon().await;
    site.servers[0].set_behaviour(Behaviour::Slow(3500));
    let mut caller = Caller::connect(daemon.front()).await;
    let req = ClientRequest {
        deadline_ms: 9000,
        ..ClientRequest::default()
    };
    caller.write(req.text().as_bytes()).await;
    wait_for("a run", async || site.runs() == 1).await;
    let stop = tokio::spawn(daemon.stop());
    assert_eq!(caller.read_response(false).await.status, 200);
    assert!(stop.await.unwrap());
}

#[tokio::test]
async fn readiness_ends_first_and_the_process_in_time() {
    let site = Site::new(1, RouteRow::default()).await;
    let daemon = site.daemon().await;
    site.servers[0].set_behaviour(Behaviour::Hang);
    let req = ClientRequest {
        deadline_ms: 60_000,
        ..ClientRequest::default()
    };
    let mut caller = Caller::connect(daemon.front()).await;
    caller.write(req.text().as_bytes()).await;
    assert!(is_ready(&daemon).await);
    let readiness = daemon.readiness();
    let began = Instant::now();
    let stop = tokio::spawn(daemon.stop());
    tokio::time::sleep(Duration::from_millis(100)).await;
    let path = cuminspread_platform::headers::READY_PATH;
    let text = format!("GET {path} HTTP/1.1\r\nhost: vm\r\n\r\n");
    assert_eq!(crate::caller::send(readiness, &text).await.status, 503);
    stop.await.unwrap();
    assert!(began.elapsed() < GRACE, "{:?}", began.elapsed());
}

#[tokio::test]
async fn requests_that_wait_are_handed_back() {
    let route = RouteRow {
        idempotent: false,
        timeout_s: 20.0,
        aim_s: 10.0,
        ..RouteRow::default()
    };
    let site = Site::new(1, route).await;
    let daemon = site.daemon().await;
    // All slots are taken, so that the request waits in the daemon.
    site.servers[0].set_running(4);
    let mut caller = Caller::connect(daemon.front()).await;
    let req = ClientRequest {
        deadline_ms: 18_000,
        ..ClientRequest::default()
    };
    caller.write(req.text().as_bytes()).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let began = Instant::now();
    let stop = tokio::spawn(daemon.stop());
    let answer = caller.read_response(false).await;
    assert_eq!(answer.status, 503);
    assert!(answer.field("retry-after").is_some());
    assert!(began.elapsed() < Duration::from_millis(3500));
    assert!(stop.await.unwrap());
    assert_eq!(site.runs(), 0);
}
