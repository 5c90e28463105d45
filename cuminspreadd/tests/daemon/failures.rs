//! Responses to callers when servers, connections or callers fail.

use std::net::SocketAddr;
use std::time::Duration;

use cuminspread::invariant::Invariant;
use cuminspread::state::council::ServiceConfig;
use cuminspread_platform::standin::endless::Endless;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpSocket, TcpStream};

use crate::caller::{Caller, WAIT_TIMEOUT, request, send};
use crate::fixture;
use crate::other_threads::OtherThreads;
use crate::stub_server::{Behaviour, StubServer};

struct Case {
    name: &'static str,
    behaviour: Behaviour,
    status: u16,
    outcome: &'static str,
    /// Text that the response's body contains.
    text: &'static str,
}

fn truncated(length: usize) -> Behaviour {
    let mut bytes = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n").into_bytes();
    bytes.extend(std::iter::repeat_n(b'x', length / 2));
    Behaviour::Raw { bytes, close: true }
}

fn raw(text: &str) -> Behaviour {
    Behaviour::Raw {
        bytes: text.as_bytes().to_vec(),
        close: true,
    }
}

/// Servers that fail or don't respond.
fn failing() -> Vec<Case> {
    vec![
        Case {
            name: "closes before the response",
            behaviour: Behaviour::CloseBeforeResponse,
            status: 502,
            outcome: "unknown",
            text: "step=server",
        },
        Case {
            name: "closes in the head",
            behaviour: raw("HTTP/1.1 200 OK\r\ncont"),
            status: 502,
            outcome: "unknown",
            text: "step=server",
        },
        Case {
            name: "closes in the body",
            behaviour: truncated(1000),
            status: 502,
            outcome: "unknown",
            text: "step=server",
        },
        Case {
            name: "closes in a chunk",
            behaviour: raw("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nabc"),
            status: 502,
            outcome: "unknown",
            text: "step=server",
        },
        Case {
            name: "closes after the response",
            behaviour: Behaviour::CloseAfterResponse,
            status: 200,
            outcome: "ran",
            text: "/orders",
        },
        Case {
            name: "does not speak HTTP",
            behaviour: raw("220 mail.example ESMTP\r\n\r\n"),
            status: 502,
            outcome: "unknown",
            text: "step=server",
        },
        Case {
            name: "does not respond",
            behaviour: Behaviour::Silent,
            status: 504,
            outcome: "unknown",
            text: "reason=deadline",
        },
        Case {
            name: "responds after the deadline",
            behaviour: Behaviour::Delayed(Duration::from_secs(2)),
            status: 504,
            outcome: "unknown",
            text: "reason=deadline",
        },
    ]
}

/// Servers with valid but unusual responses.
fn responding() -> Vec<Case> {
    vec![
        Case {
            name: "refuses before start",
            behaviour: Behaviour::Refuse,
            status: 503,
            outcome: "not-run",
            text: "reason=server_refused",
        },
        Case {
            name: "sends an informational response first",
            behaviour: raw(
                "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
            ),
            status: 200,
            outcome: "ran",
            text: "ok",
        },
        Case {
            name: "ends the body by closing",
            behaviour: raw("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nall of it"),
            status: 200,
            outcome: "ran",
            text: "all of it",
        },
        Case {
            name: "sends trailers",
            behaviour: raw(
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nx: 1\r\n\r\n",
            ),
            status: 200,
            outcome: "ran",
            text: "ok",
        },
    ]
}

/// A non-idempotent request with a single server is never sent twice, and its outcome is `not-run`
/// only if that is proven.
#[tokio::test]
async fn outcomes_of_non_idempotent_requests() {
    for case in failing().into_iter().chain(responding()) {
        let stub = StubServer::start(case.behaviour).await;
        let daemon = fixture::daemon_for(&stub).await;
        let req = request("POST", "/orders", "cumin-deadline-ms: 500\r\n", "paper");
        let res = send(daemon.front(), &req).await;
        assert_eq!(res.status, case.status, "{}: {res:?}", case.name);
        assert_eq!(res.outcome(), case.outcome, "{}", case.name);
        assert!(res.text().contains(case.text), "{}: {res:?}", case.name);
        let retry_after = res.field("retry-after").is_some();
        assert_eq!(retry_after, case.outcome == "not-run", "{}", case.name);
        assert_eq!(stub.started(), 1, "{}", case.name);
        assert_eq!(daemon.invariants().total_broken(), 0, "{}", case.name);
        daemon.kill();
    }
}

#[tokio::test]
async fn refused_connection_proves_not_run() {
    // Bound without listening: connections are refused, and no other test gets the port.
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap();
    let daemon = fixture::daemon(fixture::settings(), fixture::service(&[address])).await;
    let res = send(daemon.front(), &request("POST", "/orders", "", "paper")).await;
    assert_eq!(res.outcome(), "not-run", "{res:?}");
    assert_eq!(daemon.invariants().total_broken(), 0);
    drop(socket);
}

/// A response that is passed on while it arrives and breaks off must not look complete to the
/// caller.
#[tokio::test]
async fn truncated_streaming_responses_are_not_complete() {
    for (length, cut) in [(900_000, true), (900_000, false)] {
        let behaviour = if cut {
            truncated(length)
        } else {
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
            let mut bytes = head.into_bytes();
            bytes.extend(std::iter::repeat_n(b'x', length));
            Behaviour::Raw {
                bytes,
                close: false,
            }
        };
        let stub = StubServer::start(behaviour).await;
        let daemon = fixture::daemon_for(&stub).await;
        let res = send(daemon.front(), &request("POST", "/orders", "", "paper")).await;
        if cut {
            let looks_complete = res.complete && res.status == 200;
            assert!(!looks_complete, "{:?}", res.head);
        } else {
            assert!(res.complete, "{:?}", res.head);
            assert_eq!(res.body.len(), length);
            assert_eq!(res.outcome(), "ran");
        }
        assert_eq!(daemon.invariants().total_broken(), 0);
        daemon.kill();
    }
}

/// The response to a request that has timed out must not reach the next caller.
#[tokio::test]
async fn late_responses_are_dropped() {
    let stub = StubServer::start(Behaviour::Delayed(Duration::from_millis(300))).await;
    let daemon = fixture::daemon_for(&stub).await;
    let late = request("GET", "/jobs/late", "cumin-deadline-ms: 100\r\n", "");
    let res = send(daemon.front(), &late).await;
    assert_eq!(res.status, 504, "{res:?}");
    stub.set(Behaviour::Echo);
    for i in 0..50 {
        let target = format!("/jobs/{i}");
        let res = send(daemon.front(), &request("GET", &target, "", "")).await;
        assert_eq!(res.text(), target);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(daemon.invariants().total_broken(), 0);
}

/// Many callers share a few reused connections: each gets the response to its own request.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn responses_are_never_swapped() {
    let stub = StubServer::start(Behaviour::Echo).await;
    let daemon = fixture::daemon_for(&stub).await;
    let front = daemon.front();
    let caller = |c: usize| async move {
        let mut caller = Caller::connect(front).await;
        for i in 0..100 {
            let target = format!("/jobs/{c}-{i}");
            let text = request("GET", &target, "", "");
            caller.write(text.as_bytes()).await;
            let res = caller.read_response(false).await;
            if res.status == 200 {
                assert_eq!(res.text(), target);
            } else {
                assert_eq!(res.outcome(), "not-run", "{res:?}");
            }
        }
    };
    let callers: Vec<_> = (0..16).map(|c| tokio::spawn(caller(c))).collect();
    for caller in callers {
        caller.await.unwrap();
    }
    assert!(
        stub.connections() < stub.started(),
        "connections are reused"
    );
    assert_eq!(daemon.invariants().total_broken(), 0);
}

/// A non-idempotent request is sent on a reused connection only if that was recently active, as a
/// dead connection would leave the outcome unknown.
#[tokio::test]
async fn non_idempotent_requests_avoid_stale_connections() {
    let stub = StubServer::start(Behaviour::SilentAfterFirst).await;
    let mut settings = fixture::settings();
    settings.servers.connections.live_window = Duration::from_millis(1);
    let daemon = fixture::daemon(settings, fixture::service(&[stub.address])).await;
    for i in 0..5 {
        let req = request("POST", "/orders", "", &format!("{i}"));
        let res = send(daemon.front(), &req).await;
        assert_eq!(res.outcome(), "ran", "{res:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(stub.connections(), 5);
    assert_eq!(daemon.invariants().total_broken(), 0);
}

#[tokio::test]
async fn slow_requests_time_out() {
    let stub = StubServer::start(Behaviour::Echo).await;
    let mut settings = fixture::settings();
    settings.callers.body_timeout = Duration::from_millis(200);
    settings.callers.head_timeout = Duration::from_millis(200);
    let daemon = fixture::daemon(settings, fixture::service(&[stub.address])).await;
    let mut caller = Caller::connect(daemon.front()).await;
    caller
        .write(b"POST /orders HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\nab")
        .await;
    let res = caller.read_response(false).await;
    assert_eq!(res.status, 408, "{res:?}");
    assert_eq!(res.outcome(), "not-run");

    let mut caller = Caller::connect(daemon.front()).await;
    caller.write(b"GET /jobs/1 HTTP/1.1\r\nho").await;
    let res = caller.read_response(false).await;
    assert!(!res.complete, "closed or refused: {res:?}");
    assert_eq!(stub.started(), 0);
}

/// Guards against calls that stay open for as long as their caller doesn't read the response.
#[tokio::test]
async fn a_response_that_its_caller_does_not_read_is_given_up() {
    // More than the system buffers for the connections.
    const LENGTH: usize = 32 << 20;
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {LENGTH}\r\n\r\n");
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + LENGTH, b'x');
    let stub = StubServer::start(Behaviour::Raw {
        bytes,
        close: false,
    })
    .await;
    let mut settings = fixture::settings();
    settings.callers.write_timeout = Duration::from_millis(300);
    let service = ServiceConfig {
        max_body: 2 * LENGTH as u64,
        ..fixture::service(&[stub.address])
    };
    let daemon = fixture::daemon(settings, service).await;
    let mut caller = Caller::connect(daemon.front()).await;
    let text = request("POST", "/orders", "", "paper");
    caller.write(text.as_bytes()).await;
    stub.wait_for(1).await;
    let idle = wait_until_idle(daemon.admin());
    let ended = tokio::time::timeout(Duration::from_secs(2), idle).await;
    assert!(ended.is_ok(), "the call is still open");
    let res = caller.read_response(false).await;
    assert!(!res.complete, "{} bytes", res.body.len());
    daemon.kill();
}

/// Guards against calls that outlive their deadline since a task that always has something to pass on
/// finds its timers pending (issues 49 and 50). The server has threads of its own, so that it never waits
/// for the daemon's.
#[tokio::test]
async fn a_response_without_end_ends_at_the_deadline() {
    const DEADLINE: Duration = Duration::from_secs(1);
    const END_BOUND: Duration = Duration::from_millis(500);
    let others = OtherThreads::start();
    for endless in Endless::ALL {
        let stub = others.spawn(StubServer::start(Behaviour::Endless(endless)));
        let stub = stub.await.unwrap();
        let service = ServiceConfig {
            deadline: DEADLINE,
            max_body: u64::MAX,
            ..fixture::service(&[stub.address])
        };
        let daemon = fixture::daemon(fixture::settings(), service).await;
        let front = daemon.front();
        let call = others.spawn(async move {
            let mut stream = TcpStream::connect(front).await.unwrap();
            let fields = "connection: close\r\n";
            let text = request("POST", "/orders", fields, "paper");
            stream.write_all(text.as_bytes()).await.unwrap();
            let mut buf = vec![0; 64 << 10];
            while matches!(stream.read(&mut buf).await, Ok(1..)) {}
        });
        let ended = tokio::time::timeout(DEADLINE + END_BOUND, call).await;
        assert!(ended.is_ok(), "{endless:?}: the call is still open");
        daemon.kill();
    }
}

/// When a caller leaves, its non-idempotent request still runs to its end, and the daemon serves
/// on.
#[tokio::test]
async fn a_non_idempotent_request_outlives_its_caller() {
    let stub = StubServer::start(Behaviour::Delayed(Duration::from_millis(100))).await;
    let daemon = fixture::daemon_for(&stub).await;
    for i in 1..=2 {
        let mut caller = Caller::connect(daemon.front()).await;
        let text = request("POST", "/orders", "", "paper");
        caller.write(text.as_bytes()).await;
        stub.wait_for(i).await;
        drop(caller);
        tokio::time::timeout(WAIT_TIMEOUT, wait_until_idle(daemon.admin()))
            .await
            .unwrap();
    }
    assert!(daemon.stop().await, "every call finished");
    assert_eq!(stub.started(), 2);
    assert_eq!(stub.connections(), 1, "the response was read to its end");
}

async fn wait_until_idle(admin: SocketAddr) {
    loop {
        let status = send(admin, &request("GET", "/status", "", "")).await;
        if status.text().contains("\"in_flight\":0") {
            return;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// With a guard of the dispatcher switched off, the daemon's own check of the invariant still fires
/// and keeps the request from running twice or being reported as `not-run`.
#[tokio::test]
async fn invariants_are_checked_with_a_guard_off() {
    for invariant in [Invariant::AtMostOnce, Invariant::NotRun] {
        let stub = StubServer::start(Behaviour::CloseBeforeResponse).await;
        let other = StubServer::start(Behaviour::CloseBeforeResponse).await;
        let mut settings = fixture::settings();
        settings.guards.proof = invariant != Invariant::AtMostOnce;
        settings.guards.outcome = invariant != Invariant::NotRun;
        let service = fixture::service(&[stub.address, other.address]);
        let daemon = fixture::daemon(settings, service).await;
        let res = send(daemon.front(), &request("POST", "/orders", "", "paper")).await;
        assert_eq!(res.outcome(), "unknown", "{invariant}: {res:?}");
        assert_eq!(stub.started() + other.started(), 1, "{invariant}");
        assert!(daemon.invariants().broken(invariant) > 0, "{invariant}");
    }
}

/// A response that names another request reaches no caller and counts as a broken invariant.
#[tokio::test]
async fn responses_to_other_requests_reach_no_caller() {
    let bytes = b"HTTP/1.1 200 OK\r\ncumin-call: other\r\ncontent-length: 2\r\n\r\nok".to_vec();
    let stub = StubServer::start(Behaviour::Raw {
        bytes,
        close: false,
    })
    .await;
    let daemon = fixture::daemon_for(&stub).await;
    let res = send(daemon.front(), &request("POST", "/orders", "", "paper")).await;
    assert_eq!(res.outcome(), "unknown", "{res:?}");
    assert_eq!(daemon.invariants().broken(Invariant::OwnAnswer), 1);
}

/// A second response to one request reaches no caller.
#[tokio::test]
async fn unrequested_responses_reach_no_caller() {
    let one = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst";
    let two = "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond";
    let stub = StubServer::start(Behaviour::Raw {
        bytes: format!("{one}{two}").into_bytes(),
        close: false,
    })
    .await;
    let daemon = fixture::daemon_for(&stub).await;
    for _ in 0..5 {
        let res = send(daemon.front(), &request("POST", "/orders", "", "paper")).await;
        assert_eq!(res.text(), "first");
    }
    assert_eq!(stub.connections(), 5);
    assert_eq!(daemon.invariants().total_broken(), 0);
}

/// When the caller of an idempotent request leaves, the daemon asks the server to cancel the
/// attempt.
#[tokio::test]
async fn an_attempt_is_cancelled_when_its_caller_leaves() {
    let stub = StubServer::start(Behaviour::Silent).await;
    let mut service = fixture::service(&[stub.address]);
    service.cancel_path = "/cancel".into();
    let daemon = fixture::daemon(fixture::settings(), service).await;
    let mut caller = Caller::connect(daemon.front()).await;
    let req = request("GET", "/jobs/7", "", "");
    caller.write(req.as_bytes()).await;
    stub.wait_for(1).await;
    drop(caller);
    stub.wait_for(2).await;
    let heads = stub.heads();
    let sent = heads[0].split("cumin-call: ").nth(1).unwrap();
    let id = sent.lines().next().unwrap();
    assert!(
        heads[1].starts_with(&format!("post /cancel?call={id} ")),
        "{heads:?}"
    );
    tokio::time::timeout(WAIT_TIMEOUT, wait_until_idle(daemon.admin()))
        .await
        .unwrap();
}

/// An idempotent request is retried until it reaches a server that works.
#[tokio::test]
async fn idempotent_requests_are_retried() {
    let dead = StubServer::start(Behaviour::CloseAtOnce).await;
    let alive = StubServer::start(Behaviour::Echo).await;
    let service = fixture::service(&[dead.address, alive.address]);
    let daemon = fixture::daemon(fixture::settings(), service).await;
    for i in 0..10 {
        let target = format!("/jobs/{i}");
        let res = send(daemon.front(), &request("GET", &target, "", "")).await;
        assert_eq!(res.text(), target, "{res:?}");
    }
    assert_eq!(daemon.invariants().total_broken(), 0);
}

/// A request with an invalid `idempotency-key` or `cumin-*` field reaches no server.
#[tokio::test]
async fn invalid_fields_are_refused() {
    let stub = StubServer::start(Behaviour::Echo).await;
    let daemon = fixture::daemon_for(&stub).await;
    let key = "idempotency-key: 0190163d-8694-739b-aea5-966c26f8ad91\r\n";
    for fields in [
        format!("{key}cumin-deadline-ms: soon\r\n"),
        format!("{key}{key}"),
        "idempotency-key: \r\n".to_owned(),
    ] {
        let res = send(daemon.front(), &request("POST", "/orders", &fields, "x")).await;
        assert_eq!(res.status, 400, "{fields}: {res:?}");
        assert_eq!(res.outcome(), "not-run", "{fields}");
    }
    assert_eq!(stub.started(), 0);
}
