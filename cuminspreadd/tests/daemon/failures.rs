//! What callers are told when servers, connections or callers fail.

use std::net::SocketAddr;
use std::time::Duration;

use cuminspread::invariant::Invariant;

use crate::caller::{Caller, PATIENCE, request, send};
use crate::site;
use crate::stub::{Behaviour, Stub};

struct Case {
    name: &'static str,
    behaviour: Behaviour,
    status: u16,
    outcome: &'static str,
    /// The body of an answer names this.
    says: &'static str,
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

/// Servers that break or stay silent.
fn failing() -> Vec<Case> {
    vec![
        Case {
            name: "dies before the answer",
            behaviour: Behaviour::DieBefore,
            status: 502,
            outcome: "unknown",
            says: "step=server",
        },
        Case {
            name: "dies in the head",
            behaviour: raw("HTTP/1.1 200 OK\r\ncont"),
            status: 502,
            outcome: "unknown",
            says: "step=server",
        },
        Case {
            name: "dies in the body",
            behaviour: truncated(1000),
            status: 502,
            outcome: "unknown",
            says: "step=server",
        },
        Case {
            name: "dies in a chunk",
            behaviour: raw("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nabc"),
            status: 502,
            outcome: "unknown",
            says: "step=server",
        },
        Case {
            name: "dies after the answer",
            behaviour: Behaviour::DieAfter,
            status: 200,
            outcome: "ran",
            says: "/orders",
        },
        Case {
            name: "answers no HTTP",
            behaviour: raw("220 mail.example ESMTP\r\n\r\n"),
            status: 502,
            outcome: "unknown",
            says: "step=server",
        },
        Case {
            name: "is silent",
            behaviour: Behaviour::Silent,
            status: 504,
            outcome: "unknown",
            says: "reason=deadline",
        },
        Case {
            name: "answers after the deadline",
            behaviour: Behaviour::Late(Duration::from_secs(2)),
            status: 504,
            outcome: "unknown",
            says: "reason=deadline",
        },
    ]
}

/// Servers that answer in uncommon ways.
fn answering() -> Vec<Case> {
    vec![
        Case {
            name: "refuses before start",
            behaviour: Behaviour::Refuse,
            status: 503,
            outcome: "not-run",
            says: "reason=server_refused",
        },
        Case {
            name: "informs before the answer",
            behaviour: raw(
                "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
            ),
            status: 200,
            outcome: "ran",
            says: "ok",
        },
        Case {
            name: "ends the body by closing",
            behaviour: raw("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nall of it"),
            status: 200,
            outcome: "ran",
            says: "all of it",
        },
        Case {
            name: "sends trailers",
            behaviour: raw(
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nx: 1\r\n\r\n",
            ),
            status: 200,
            outcome: "ran",
            says: "ok",
        },
    ]
}

/// An order at a single server: nothing is sent twice, nothing unproven is called `not-run`.
#[tokio::test]
async fn orders() {
    for case in failing().into_iter().chain(answering()) {
        let stub = Stub::start(case.behaviour).await;
        let daemon = site::before(&stub).await;
        let order = request("POST", "/orders", "cumin-deadline-ms: 500\r\n", "paper");
        let answer = send(daemon.front(), &order).await;
        assert_eq!(answer.status, case.status, "{}: {answer:?}", case.name);
        assert_eq!(answer.outcome(), case.outcome, "{}", case.name);
        assert!(
            answer.text().contains(case.says),
            "{}: {answer:?}",
            case.name
        );
        let retry_after = answer.field("retry-after").is_some();
        assert_eq!(retry_after, case.outcome == "not-run", "{}", case.name);
        assert_eq!(stub.started(), 1, "{}", case.name);
        assert_eq!(daemon.invariants().total_broken(), 0, "{}", case.name);
        daemon.kill();
    }
}

#[tokio::test]
async fn refused_connection_is_proof() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let daemon = site::daemon(site::settings(), site::service(&[address])).await;
    let answer = send(daemon.front(), &request("POST", "/orders", "", "paper")).await;
    assert_eq!(answer.outcome(), "not-run", "{answer:?}");
    assert_eq!(daemon.invariants().total_broken(), 0);
}

/// An answer that is passed on while it arrives, and ends early: the caller sees that.
#[tokio::test]
async fn long_answers() {
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
        let stub = Stub::start(behaviour).await;
        let daemon = site::before(&stub).await;
        let answer = send(daemon.front(), &request("POST", "/orders", "", "paper")).await;
        if cut {
            let looks_whole = answer.whole && answer.status == 200;
            assert!(!looks_whole, "{:?}", answer.head);
        } else {
            assert!(answer.whole, "{:?}", answer.head);
            assert_eq!(answer.body.len(), length);
            assert_eq!(answer.outcome(), "ran");
        }
        assert_eq!(daemon.invariants().total_broken(), 0);
        daemon.kill();
    }
}

/// The late answer of a request that was given up on never reaches the next caller.
#[tokio::test]
async fn late_answers_go_to_nobody_else() {
    let stub = Stub::start(Behaviour::Late(Duration::from_millis(300))).await;
    let daemon = site::before(&stub).await;
    let late = request("GET", "/jobs/late", "cumin-deadline-ms: 100\r\n", "");
    let answer = send(daemon.front(), &late).await;
    assert_eq!(answer.status, 504, "{answer:?}");
    stub.set(Behaviour::Echo);
    for i in 0..50 {
        let target = format!("/jobs/{i}");
        let answer = send(daemon.front(), &request("GET", &target, "", "")).await;
        assert_eq!(answer.text(), target);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(daemon.invariants().total_broken(), 0);
}

/// Many callers over few reused connections: each gets its own answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answers_are_never_swapped() {
    let stub = Stub::start(Behaviour::Echo).await;
    let daemon = site::before(&stub).await;
    let front = daemon.front();
    let caller = |c: usize| async move {
        let mut caller = Caller::connect(front).await;
        for i in 0..100 {
            let target = format!("/jobs/{c}-{i}");
            let text = request("GET", &target, "", "");
            caller.write(text.as_bytes()).await;
            let answer = caller.answer(false).await;
            if answer.status == 200 {
                assert_eq!(answer.text(), target);
            } else {
                assert_eq!(answer.outcome(), "not-run", "{answer:?}");
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

/// A reused connection that went silent: an order goes out on it only if it is live.
#[tokio::test]
async fn silent_connections() {
    let stub = Stub::start(Behaviour::SilentLater).await;
    let mut settings = site::settings();
    settings.servers.connections.live_window = Duration::from_millis(1);
    let daemon = site::daemon(settings, site::service(&[stub.address])).await;
    for i in 0..5 {
        let order = request("POST", "/orders", "", &format!("{i}"));
        let answer = send(daemon.front(), &order).await;
        assert_eq!(answer.outcome(), "ran", "{answer:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(stub.connections(), 5);
    assert_eq!(daemon.invariants().total_broken(), 0);
}

#[tokio::test]
async fn trickled_body_is_cut_off() {
    let stub = Stub::start(Behaviour::Echo).await;
    let mut settings = site::settings();
    settings.callers.body_timeout = Duration::from_millis(200);
    settings.callers.head_timeout = Duration::from_millis(200);
    let daemon = site::daemon(settings, site::service(&[stub.address])).await;
    let mut caller = Caller::connect(daemon.front()).await;
    caller
        .write(b"POST /orders HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\nab")
        .await;
    let answer = caller.answer(false).await;
    assert_eq!(answer.status, 408, "{answer:?}");
    assert_eq!(answer.outcome(), "not-run");

    let mut caller = Caller::connect(daemon.front()).await;
    caller.write(b"GET /jobs/1 HTTP/1.1\r\nho").await;
    let answer = caller.answer(false).await;
    assert!(!answer.whole, "closed or refused: {answer:?}");
    assert_eq!(stub.started(), 0);
}

/// A caller that leaves: its order is left to finish, and the daemon serves on.
#[tokio::test]
async fn callers_that_leave() {
    let stub = Stub::start(Behaviour::Late(Duration::from_millis(100))).await;
    let daemon = site::before(&stub).await;
    for i in 1..=2 {
        let mut caller = Caller::connect(daemon.front()).await;
        let text = request("POST", "/orders", "", "paper");
        caller.write(text.as_bytes()).await;
        stub.wait_for(i).await;
        drop(caller);
        tokio::time::timeout(PATIENCE, idle(daemon.admin()))
            .await
            .unwrap();
    }
    assert!(daemon.stop().await, "every call finished");
    assert_eq!(stub.started(), 2);
    assert_eq!(stub.connections(), 1, "the answer was read to its end");
}

async fn idle(admin: SocketAddr) {
    loop {
        let status = send(admin, &request("GET", "/status", "", "")).await;
        if status.text().contains("\"in_flight\":0") {
            return;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// A guard of the dispatcher that is switched off: the daemon's own check notices and holds.
#[tokio::test]
async fn guards_off() {
    for promise in [Invariant::AtMostOnce, Invariant::NotRun] {
        let stub = Stub::start(Behaviour::DieBefore).await;
        let other = Stub::start(Behaviour::DieBefore).await;
        let mut settings = site::settings();
        settings.guards.proof = promise != Invariant::AtMostOnce;
        settings.guards.outcome = promise != Invariant::NotRun;
        let service = site::service(&[stub.address, other.address]);
        let daemon = site::daemon(settings, service).await;
        let answer = send(daemon.front(), &request("POST", "/orders", "", "paper")).await;
        assert_eq!(answer.outcome(), "unknown", "{promise}: {answer:?}");
        assert_eq!(stub.started() + other.started(), 1, "{promise}");
        assert!(daemon.invariants().broken(promise) > 0, "{promise}");
    }
}

/// An answer that names another request is given to nobody, and is counted.
#[tokio::test]
async fn answers_of_others() {
    let bytes = b"HTTP/1.1 200 OK\r\ncumin-call: other\r\ncontent-length: 2\r\n\r\nok".to_vec();
    let stub = Stub::start(Behaviour::Raw {
        bytes,
        close: false,
    })
    .await;
    let daemon = site::before(&stub).await;
    let answer = send(daemon.front(), &request("POST", "/orders", "", "paper")).await;
    assert_eq!(answer.outcome(), "unknown", "{answer:?}");
    assert_eq!(daemon.invariants().broken(Invariant::OwnAnswer), 1);
}

/// A server that answers twice: the second answer is given to nobody.
#[tokio::test]
async fn answers_nobody_asked_for() {
    let one = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst";
    let two = "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond";
    let stub = Stub::start(Behaviour::Raw {
        bytes: format!("{one}{two}").into_bytes(),
        close: false,
    })
    .await;
    let daemon = site::before(&stub).await;
    for _ in 0..5 {
        let answer = send(daemon.front(), &request("POST", "/orders", "", "paper")).await;
        assert_eq!(answer.text(), "first");
    }
    assert_eq!(stub.connections(), 5);
    assert_eq!(daemon.invariants().total_broken(), 0);
}

/// The caller of a status check leaves: the server is asked to cancel that attempt.
#[tokio::test]
async fn cancellation() {
    let stub = Stub::start(Behaviour::Silent).await;
    let mut service = site::service(&[stub.address]);
    service.cancel_path = "/cancel".into();
    let daemon = site::daemon(site::settings(), service).await;
    let mut caller = Caller::connect(daemon.front()).await;
    let check = request("GET", "/jobs/7", "", "");
    caller.write(check.as_bytes()).await;
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
    tokio::time::timeout(PATIENCE, idle(daemon.admin()))
        .await
        .unwrap();
}

/// Retries of a status check reach a server that works.
#[tokio::test]
async fn status_checks_are_retried() {
    let dead = Stub::start(Behaviour::CloseAtOnce).await;
    let alive = Stub::start(Behaviour::Echo).await;
    let service = site::service(&[dead.address, alive.address]);
    let daemon = site::daemon(site::settings(), service).await;
    for i in 0..10 {
        let target = format!("/jobs/{i}");
        let answer = send(daemon.front(), &request("GET", &target, "", "")).await;
        assert_eq!(answer.text(), target, "{answer:?}");
    }
    assert_eq!(daemon.invariants().total_broken(), 0);
}

/// An order whose fields are wrong, its key among them, reaches no server.
#[tokio::test]
async fn refused_keyed_orders() {
    let stub = Stub::start(Behaviour::Echo).await;
    let daemon = site::before(&stub).await;
    let key = "idempotency-key: 0190163d-8694-739b-aea5-966c26f8ad91\r\n";
    for fields in [
        format!("{key}cumin-deadline-ms: soon\r\n"),
        format!("{key}{key}"),
        "idempotency-key: \r\n".to_owned(),
    ] {
        let answer = send(daemon.front(), &request("POST", "/orders", &fields, "x")).await;
        assert_eq!(answer.status, 400, "{fields}: {answer:?}");
        assert_eq!(answer.outcome(), "not-run", "{fields}");
    }
    assert_eq!(stub.started(), 0);
}
