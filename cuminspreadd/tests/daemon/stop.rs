//! Planned stops.

use std::net::SocketAddr;
use std::time::Duration;

use crate::caller::{Caller, PATIENCE, request, send};
use crate::site;
use crate::stub::{Behaviour, Stub};

async fn status_of(admin: SocketAddr, path: &str) -> u16 {
    send(admin, &request("GET", path, "connection: close\r\n", ""))
        .await
        .status
}

#[tokio::test]
async fn admin_answers() {
    let stub = Stub::start(Behaviour::Echo).await;
    let daemon = site::before(&stub).await;
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
    for (path, status, says) in cases {
        let answer = send(daemon.admin(), &request("GET", path, "", "")).await;
        assert_eq!(answer.status, status, "{path}");
        assert!(answer.text().contains(says), "{path}: {}", answer.text());
    }
    let drained = daemon.drain_requested();
    let answer = send(daemon.admin(), &request("POST", "/drain", "", "")).await;
    assert_eq!(answer.status, 202);
    tokio::time::timeout(PATIENCE, drained).await.unwrap();
}

/// Calls in flight get their whole answers; new ones are refused with proof.
#[tokio::test]
async fn stop_under_load() {
    let stub = Stub::start(Behaviour::Late(Duration::from_millis(300))).await;
    let daemon = site::before(&stub).await;
    let (front, admin) = (daemon.front(), daemon.admin());
    let mut kept = Caller::connect(front).await;
    let calls: Vec<_> = (0..8)
        .map(|i| {
            let order = request("POST", "/orders", "", &format!("{i}"));
            tokio::spawn(async move { send(front, &order).await })
        })
        .collect();
    stub.wait_for(4).await;
    let watch = daemon.invariants().clone();
    let stop = tokio::spawn(daemon.stop());
    let unready = async {
        while status_of(admin, "/ready").await == 200 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(PATIENCE, unready).await.unwrap();
    kept.write(request("POST", "/orders", "", "late").as_bytes())
        .await;
    let refused = kept.answer(false).await;
    assert_eq!(refused.outcome(), "not-run", "{refused:?}");
    assert!(stop.await.unwrap());
    for (i, call) in calls.into_iter().enumerate() {
        let answer = call.await.unwrap();
        if answer.outcome() == "ran" {
            assert_eq!(answer.text(), format!("/orders{i}"));
        } else {
            assert_eq!(answer.outcome(), "not-run", "{answer:?}");
        }
    }
    assert_eq!(watch.total_broken(), 0);
}

/// A stop that can't finish says so, and the check on it sees that.
#[tokio::test]
async fn stop_bound() {
    let stub = Stub::start(Behaviour::Silent).await;
    let mut settings = site::settings();
    settings.stop_bound = Duration::from_millis(50);
    let daemon = site::daemon(settings, site::service(&[stub.address])).await;
    let front = daemon.front();
    let call = tokio::spawn(async move {
        send(front, &request("POST", "/orders", "", "paper")).await;
    });
    stub.wait_for(1).await;
    let watch = daemon.invariants().clone();
    assert!(!daemon.stop().await);
    assert_eq!(
        watch.broken(cuminspread::invariant::Invariant::GracefulStop),
        1
    );
    call.abort();
}
