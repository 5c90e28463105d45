//! Requests that daemons without servers forward to peers, and what peers take.

use std::time::{Duration, Instant};

use cuminspread_platform::standin::client::ClientRequest;
use cuminspread_platform::standin::server::{Behaviour, Cut, StandInServer};
use cuminspread_platform::standin::store::RouteRow;
use cuminspreadd::edge::run::EdgeDaemon;
use tokio::time::sleep;

use crate::caller::{self, Caller};
use crate::cut_daemons::{cut_daemons, has_lost_status, start_daemons};
use crate::fixture::{Fixture, send, wait_for};

/// Time within which a server must learn that its caller has left; required by the users.
const CANCEL_BOUND: Duration = Duration::from_millis(500);
/// Time within which a request is refused that no daemon can serve.
const REFUSAL_BOUND: Duration = Duration::from_millis(100);

/// Time in which daemons learn from hellos where their peers take requests.
const INTRODUCTION_TIME: Duration = Duration::from_millis(1500);

/// Time within which a peer refuses what it has no server for either; a probe of a server that
/// doesn't answer takes longer.
const HOP_REFUSAL_BOUND: Duration = Duration::from_millis(30);

fn order(id: &str) -> ClientRequest<'_> {
    ClientRequest {
        method: "POST",
        id,
        body: "two pages",
        ..ClientRequest::default()
    }
}

/// Starts a fleet and cuts its first `cut` daemons off; waits until they know it.
pub async fn start_cut_fleet(fixture: &Fixture, daemons: usize, cut: usize) -> Vec<EdgeDaemon> {
    let daemons = start_daemons(fixture, daemons).await;
    sleep(INTRODUCTION_TIME).await;
    cut_daemons(fixture, cut, Some(Cut::Reset));
    for daemon in &daemons[..cut] {
        wait_for("the loss", async || {
            send(daemon, &ClientRequest::default()).await;
            has_lost_status(daemon).await
        })
        .await;
    }
    daemons
}

fn route(idempotent: bool) -> RouteRow {
    RouteRow {
        idempotent,
        ..RouteRow::default()
    }
}

#[tokio::test]
async fn responses_come_through_a_peer() {
    struct Case {
        behaviour: Behaviour,
        status: u16,
        from_server: bool,
        body_len: Option<usize>,
    }
    let cases = [
        Case {
            behaviour: Behaviour::Answer,
            status: 200,
            from_server: true,
            body_len: None,
        },
        Case {
            behaviour: Behaviour::Large(200),
            status: 200,
            from_server: true,
            body_len: Some(200 << 10),
        },
        Case {
            behaviour: Behaviour::Fail,
            status: 500,
            from_server: true,
            body_len: None,
        },
        Case {
            behaviour: Behaviour::Reset,
            status: 502,
            from_server: false,
            body_len: None,
        },
    ];
    let fixture = Fixture::new(1, route(false)).await;
    let daemons = start_cut_fleet(&fixture, 2, 1).await;
    for (i, case) in cases.iter().enumerate() {
        fixture.servers[0].set_behaviour(case.behaviour);
        let id = format!("order-{i}");
        let res = send(&daemons[0], &order(&id)).await;
        assert_eq!(res.status, case.status, "{:?}", case.behaviour);
        let is_signed = res.head.to_ascii_lowercase().contains("signature");
        assert_eq!(is_signed, case.from_server, "{:?}", case.behaviour);
        assert!(res.complete, "{:?}", case.behaviour);
        assert!(case.body_len.is_none_or(|len| len == res.body.len()));
        assert_eq!(res.outcome(), "none", "for peers only");
        let executed = fixture.servers[0].executed();
        let runs: Vec<_> = executed.iter().filter(|r| r.id == id).collect();
        let [run] = runs.as_slice() else {
            panic!("{:?}: {} runs", case.behaviour, runs.len());
        };
        assert_eq!(run.request_line, "POST / HTTP/1.1");
        assert_eq!(run.body, b"two pages");
        assert!(!run.head.contains("cumin-"), "{}", run.head);
        assert!(
            run.deadline_ms
                .is_some_and(|ms| (1500..=2000).contains(&ms))
        );
    }
    daemons.into_iter().for_each(EdgeDaemon::kill);
}

#[tokio::test]
async fn a_forwarded_request_goes_no_further() {
    let fixture = Fixture::new(2, route(true)).await;
    let daemons = start_cut_fleet(&fixture, 3, 1).await;
    let runs = fixture.runs();
    cut_daemons(&fixture, 1, Some(Cut::Hang));
    let peer = daemons[0].forward().unwrap();
    let began = Instant::now();
    let res = caller::send(peer, &order("hop").text()).await;
    assert!(began.elapsed() < HOP_REFUSAL_BOUND, "{:?}", began.elapsed());
    assert_eq!((res.status, res.outcome()), (503, "not-run"));
    assert_eq!(res.field("cumin-reason"), Some("no_server"));
    assert_eq!(fixture.runs(), runs);
    daemons.into_iter().for_each(EdgeDaemon::kill);
}

#[tokio::test]
async fn a_newer_configuration_is_not_handled_by_an_older_one() {
    struct Case {
        version: &'static str,
        status: u16,
        reason: &'static str,
    }
    let cases = [
        Case {
            version: "4",
            status: 503,
            reason: "outdated",
        },
        Case {
            version: "3",
            status: 200,
            reason: "answer",
        },
    ];
    let fixture = Fixture::new(1, route(true)).await;
    let daemons = start_daemons(&fixture, 2).await;
    sleep(INTRODUCTION_TIME).await;
    for case in cases {
        let fields = format!("cumin-version: {}\r\n", case.version);
        let req = ClientRequest {
            fields: &fields,
            ..ClientRequest::default()
        };
        let peer = daemons[1].forward().unwrap();
        let res = caller::send(peer, &req.text()).await;
        assert_eq!(res.status, case.status, "{}", case.version);
        assert_eq!(res.field("cumin-reason"), Some(case.reason));
    }
    daemons.into_iter().for_each(EdgeDaemon::kill);
}

#[tokio::test]
async fn as_many_fields_as_callers_may_send_come_through_a_peer() {
    let fixture = Fixture::new(1, route(true)).await;
    let daemons = start_cut_fleet(&fixture, 2, 1).await;
    let fields = "field: x\r\n".repeat(96);
    let req = ClientRequest {
        fields: &fields,
        ..ClientRequest::default()
    };
    assert_eq!(send(&daemons[1], &req).await.status, 200);
    let res = send(&daemons[0], &req).await;
    assert_eq!(res.status, 200, "{}", res.text());
    daemons.into_iter().for_each(EdgeDaemon::kill);
}

#[tokio::test]
async fn callers_can_not_set_what_peers_do() {
    let fixture = Fixture::new(1, route(true)).await;
    let daemon = fixture.start_daemon().await;
    let req = ClientRequest {
        fields: "cumin-version: 999\r\ncumin-service: other\r\n",
        ..ClientRequest::default()
    };
    let res = send(&daemon, &req).await;
    assert_eq!((res.status, res.outcome()), (200, "none"));
    let head = &fixture.servers[0].executed()[0].head;
    assert!(!head.contains("cumin-"), "{head}");
    // This daemon knows no peers, so nobody may forward to it.
    let res = caller::send(daemon.forward().unwrap(), &req.text()).await;
    assert_eq!((res.status, res.outcome()), (403, "not-run"));
    assert_eq!(fixture.runs(), 1);
    daemon.kill();
}

#[tokio::test]
async fn a_caller_that_leaves_cancels_at_the_server() {
    let fixture = Fixture::new(1, route(true)).await;
    let daemons = start_cut_fleet(&fixture, 2, 1).await;
    let server: &StandInServer = &fixture.servers[0];
    server.set_behaviour(Behaviour::Slow(2000));
    let mut leaving = Caller::connect(daemons[0].front()).await;
    let req = ClientRequest {
        id: "left",
        ..ClientRequest::default()
    };
    leaving.write(req.text().as_bytes()).await;
    wait_for("the run", async || {
        server.executed().iter().any(|r| r.id == "left")
    })
    .await;
    drop(leaving);
    let took = wait_for("the cancellation", async || {
        server.abandoned().contains(&"left".to_owned())
    })
    .await;
    assert!(took < CANCEL_BOUND, "{took:?}");
    daemons.into_iter().for_each(EdgeDaemon::kill);
}

#[tokio::test]
async fn an_order_at_a_peer_that_ends_goes_nowhere_else() {
    let fixture = Fixture::new(1, route(false)).await;
    let mut daemons = start_cut_fleet(&fixture, 3, 2).await;
    fixture.servers[0].set_behaviour(Behaviour::Slow(1500));
    let mut waiting = Caller::connect(daemons[0].front()).await;
    waiting.write(order("o-1").text().as_bytes()).await;
    let server = &fixture.servers[0];
    let has_run = |id: &str| server.executed().iter().filter(|r| r.id == id).count();
    wait_for("the run", async || has_run("o-1") == 1).await;
    daemons.remove(2).kill();
    let res = waiting.read_response(false).await;
    assert_eq!(res.status, 502);
    assert_eq!(has_run("o-1"), 1);
    daemons.into_iter().for_each(EdgeDaemon::kill);
}

#[tokio::test]
async fn requests_that_no_daemon_can_serve_are_refused_at_once() {
    let fixture = Fixture::new(2, route(false)).await;
    let daemons = start_cut_fleet(&fixture, 2, 2).await;
    cut_daemons(&fixture, 2, Some(Cut::Hang));
    for i in 0..10 {
        let began = Instant::now();
        let id = format!("order-{i}");
        let res = send(&daemons[i % 2], &order(&id)).await;
        assert_eq!(res.status, 503);
        assert!(res.field("retry-after").is_some());
        assert!(began.elapsed() < REFUSAL_BOUND, "{:?}", began.elapsed());
    }
    daemons.into_iter().for_each(EdgeDaemon::kill);
}
