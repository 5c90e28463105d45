//! Graceful stops, and the admin listener.

use std::net::SocketAddr;
use std::time::Duration;

use crate::caller::{Caller, WAIT_TIMEOUT, request, send};
use crate::fixture;
use crate::stub_server::{Behaviour, StubServer};

async fn status_of(admin: SocketAddr, path: &str) -> u16 {
    send(admin, &request("GET", path, "connection: close\r\n", ""))
        .await
        .status
}

#[tokio::test]
async fn the_admin_listener_serves_its_paths() {
    let stub = StubServer::start(Behaviour::Echo).await;
    let daemon = fixture::daemon_for(&stub).await;
    send(daemon.front(), &request("GET", "/jobs/7", "", "")).await;
    let cases = [
        ("/live", 200, "live"),
        ("/ready", 200, "ready"),
        ("/metrics", 200, "cumin_calls_total{council=\"vestfjord\""),
        ("/status", 200, "\"council\":\"vestfjord\""),
        (
            "/explain?method=POST&path=/orders&host=a",
            200,
            "\"idempotent\":false",
        ),
        ("/explain?method=POST&path=/none", 200, "404"),
        ("/elsewhere", 404, "not found"),
    ];
    for (path, status, expected) in cases {
        let res = send(daemon.admin(), &request("GET", path, "", "")).await;
        assert_eq!(res.status, status, "{path}");
        assert!(res.text().contains(expected), "{path}: {}", res.text());
    }
    let drained = daemon.drain_requested();
    let res = send(daemon.admin(), &request("POST", "/drain", "", "")).await;
    assert_eq!(res.status, 202);
    tokio::time::timeout(WAIT_TIMEOUT, drained).await.unwrap();
}

/// During a graceful stop, calls in flight get complete responses, and new ones are refused with
/// the outcome `not-run`.
#[tokio::test]
async fn a_stop_completes_calls_in_flight() {
    let stub = StubServer::start(Behaviour::Delayed(Duration::from_millis(300))).await;
    let daemon = fixture::daemon_for(&stub).await;
    let (front, admin) = (daemon.front(), daemon.admin());
    let mut kept = Caller::connect(front).await;
    let calls: Vec<_> = (0..8)
        .map(|i| {
            let req = request("POST", "/orders", "", &format!("{i}"));
            tokio::spawn(async move { send(front, &req).await })
        })
        .collect();
    stub.wait_for(4).await;
    let invariants = daemon.invariants().clone();
    let stop = tokio::spawn(daemon.stop());
    let unready = async {
        while status_of(admin, "/ready").await == 200 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, unready).await.unwrap();
    kept.write(request("POST", "/orders", "", "late").as_bytes())
        .await;
    let refused = kept.read_response(false).await;
    assert_eq!(refused.outcome(), "not-run", "{refused:?}");
    assert!(stop.await.unwrap());
    for (i, call) in calls.into_iter().enumerate() {
        let res = call.await.unwrap();
        if res.outcome() == "ran" {
            assert_eq!(res.text(), format!("/orders{i}"));
        } else {
            assert_eq!(res.outcome(), "not-run", "{res:?}");
        }
    }
    assert_eq!(invariants.total_broken(), 0);
}

/// A stop that runs into its time limit returns false, and the invariant check counts it.
#[tokio::test]
async fn a_stop_that_times_out_is_counted() {
    let stub = StubServer::start(Behaviour::Silent).await;
    let mut settings = fixture::settings();
    settings.stop_bound = Duration::from_millis(50);
    let daemon = fixture::daemon(settings, fixture::service(&[stub.address])).await;
    let front = daemon.front();
    let call = tokio::spawn(async move {
        send(front, &request("POST", "/orders", "", "paper")).await;
    });
    stub.wait_for(1).await;
    let invariants = daemon.invariants().clone();
    assert!(!daemon.stop().await);
    assert_eq!(
        invariants.broken(cuminspread::invariant::Invariant::GracefulStop),
        1
    );
    call.abort();
}
