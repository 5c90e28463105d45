//! Responses that callers get, and how often servers run a request, however servers misbehave.

use std::time::{Duration, Instant};

use cuminspread_platform::standin::client::ClientRequest;
use cuminspread_platform::standin::server::{Behaviour, RefusalCopy, StandInServer};
use cuminspread_platform::standin::store::{HEAD_TIMEOUT_S, RouteRow, config_text};
use cuminspreadd::edge::run::EdgeDaemon;
use cuminspreadd::settings::{CallerSettings, Settings};
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

use crate::caller::Caller;
use crate::fixture::{Fixture, send, wait_for};

struct Case {
    behaviour: Behaviour,
    idempotent: bool,
    status: u16,
    /// The response is the server's, not the daemon's own.
    from_server: bool,
    /// Runs of the request by both servers together, which behave alike.
    runs: usize,
}

#[tokio::test]
async fn servers_that_misbehave() {
    let served = |behaviour, idempotent| Case {
        behaviour,
        idempotent,
        status: 200,
        from_server: true,
        runs: 1,
    };
    // The outcome is unknown to the daemon: it retries an idempotent request at the second server,
    // and answers any other request with an error without a further attempt.
    let unknown = |behaviour, idempotent| Case {
        behaviour,
        idempotent,
        status: 502,
        from_server: false,
        runs: if idempotent { 2 } else { 1 },
    };
    let cases = [
        served(Behaviour::Answer, true),
        served(Behaviour::Answer, false),
        served(Behaviour::NoLength, false),
        served(Behaviour::ExtraResponse, false),
        served(Behaviour::EarlyResponse, false),
        served(Behaviour::Large(200), false),
        unknown(Behaviour::Reset, true),
        unknown(Behaviour::Reset, false),
        unknown(Behaviour::CutShort, true),
        unknown(Behaviour::CutShort, false),
        unknown(Behaviour::WrongId, true),
        unknown(Behaviour::WrongId, false),
        unknown(Behaviour::Unsigned, false),
        unknown(Behaviour::Encoded, false),
        unknown(Behaviour::Garbage, true),
        unknown(Behaviour::Garbage, false),
        Case {
            behaviour: Behaviour::Fail,
            idempotent: false,
            status: 500,
            from_server: true,
            runs: 1,
        },
        Case {
            behaviour: Behaviour::Fail,
            idempotent: true,
            status: 500,
            from_server: true,
            runs: 2,
        },
        Case {
            behaviour: Behaviour::Shed,
            idempotent: false,
            status: 503,
            from_server: false,
            runs: 0,
        },
        Case {
            behaviour: Behaviour::Misdirected,
            idempotent: false,
            status: 503,
            from_server: false,
            runs: 0,
        },
    ];
    for case in cases {
        let name = format!("{:?}, idempotent={}", case.behaviour, case.idempotent);
        let route = RouteRow {
            idempotent: case.idempotent,
            ..RouteRow::default()
        };
        let fixture = Fixture::new(2, route).await;
        let daemon = fixture.start_daemon().await;
        fixture.set_behaviour(case.behaviour);
        let req = ClientRequest {
            method: "POST",
            body: "two copies",
            ..ClientRequest::default()
        };
        let res = send(&daemon, &req).await;
        assert_eq!(res.status, case.status, "{name}");
        assert!(res.complete, "{name}");
        let is_signed = res.head.contains("signature: sig-");
        assert_eq!(is_signed, case.from_server, "{name}");
        if case.behaviour == Behaviour::EarlyResponse {
            // The server reads the body and counts the run after its response.
            wait_for("a run", async || fixture.runs() > 0).await;
        }
        assert_eq!(fixture.runs(), case.runs, "{name}");
        if case.status == 503 {
            let secs: f64 = res.field("retry-after").unwrap().parse().unwrap();
            assert!(secs > 0.0, "{name}");
        }
        daemon.kill();
    }
}

/// A server sends its answer once more, late: on a connection that carries the next request by then.
#[tokio::test]
async fn a_late_copy_of_an_answer_reaches_no_other_caller() {
    for idempotent in [true, false] {
        let route = RouteRow {
            idempotent,
            ..RouteRow::default()
        };
        let fixture = Fixture::new(1, route).await;
        let daemon = fixture.start_daemon().await;
        fixture.servers[0].set_behaviour(Behaviour::LateCopy(20));
        for (id, status) in [("a", 200), ("b", 502)] {
            let req = ClientRequest {
                id,
                ..ClientRequest::default()
            };
            let res = send(&daemon, &req).await;
            assert_eq!(res.status, status, "{id}, idempotent={idempotent}");
            assert_eq!(res.text() == format!("answer to {id}"), status == 200);
        }
        daemon.kill();
    }
}

/// Guards against a success with an empty or short body since a server stops within its response's head.
#[tokio::test]
async fn a_response_that_is_cut_anywhere_is_never_passed_on_as_complete() {
    // Less than a complete response has.
    const MIN_LEN: usize = 150;
    // So many that one without recent failures gets each request.
    const SERVERS: usize = 32;
    let route = RouteRow {
        idempotent: false,
        ..RouteRow::default()
    };
    let fixture = Fixture::new(SERVERS, route).await;
    let daemon = fixture.start_daemon().await;
    for len in 0.. {
        fixture.set_behaviour(Behaviour::Answer);
        wait_for("an answer", async || {
            send(&daemon, &ClientRequest::default()).await.status == 200
        })
        .await;
        let runs = fixture.runs();
        fixture.set_behaviour(Behaviour::CutAfter(len));
        let res = send(&daemon, &ClientRequest::default()).await;
        assert_eq!(fixture.runs(), runs + 1, "cut after {len} bytes");
        if res.status == 200 {
            assert_eq!(res.text(), "answer to attempt-1", "cut after {len} bytes");
            assert!(len > MIN_LEN, "cut after {len} bytes");
            break;
        }
        assert_eq!(res.status, 502, "cut after {len} bytes");
    }
    daemon.kill();
}

/// Guards against orders that callers are told have not run, or that run at a second server, since a
/// server sends an earlier refusal once more.
#[tokio::test]
async fn a_copy_of_an_earlier_refusal_is_no_proof() {
    struct Case {
        copy: RefusalCopy,
        idempotent: bool,
        runs: usize,
    }
    let copies = [
        RefusalCopy::Probe,
        RefusalCopy::Request,
        RefusalCopy::Misdirected,
    ];
    let cases = copies.into_iter().flat_map(|copy| {
        [(false, 1), (true, 2)].map(|(idempotent, runs)| Case {
            copy,
            idempotent,
            runs,
        })
    });
    for case in cases {
        let route = RouteRow {
            idempotent: case.idempotent,
            ..RouteRow::default()
        };
        let fixture = Fixture::new(2, route).await;
        let daemon = fixture.start_daemon().await;
        fixture.set_behaviour(Behaviour::RefusalCopy(case.copy));
        let res = send(&daemon, &ClientRequest::default()).await;
        let name = format!("{:?}, idempotent={}", case.copy, case.idempotent);
        assert_eq!(res.status, 502, "{name}");
        assert_eq!(fixture.runs(), case.runs, "{name}");
        daemon.kill();
    }
}

#[tokio::test]
async fn a_request_reaches_its_server_unchanged() {
    let fixture = Fixture::new(1, RouteRow::default()).await;
    let daemon = fixture.start_daemon().await;
    let req = ClientRequest {
        method: "PUT",
        target: "/jobs/7/2f?copies=2&x=%20",
        id: "id-7",
        deadline_ms: 1500,
        fields: "x-council: vest\r\nconnection: x-hop\r\nx-hop: 1\r\n",
        body: "two copies, stapled",
        chunked: true,
    };
    let res = send(&daemon, &req).await;
    assert_eq!((res.status, res.text().as_str()), (200, "answer to id-7"));
    let run = fixture.servers[0].executed().remove(0);
    assert_eq!(run.request_line, "PUT /jobs/7/2f?copies=2&x=%20 HTTP/1.1");
    assert_eq!(run.body, b"two copies, stapled");
    assert_eq!(run.target, "i-0");
    let left = run.deadline_ms.unwrap();
    assert!((1000..=1500).contains(&left), "{left}");
    assert!(run.head.contains("x-council: vest"), "{}", run.head);
    assert!(!run.head.contains("x-hop"), "{}", run.head);
    daemon.kill();
}

#[tokio::test]
async fn requests_without_a_route_or_an_id_and_ambiguous_ones() {
    struct Case {
        target: &'static str,
        id: &'static str,
        fields: &'static str,
        status: u16,
    }
    let route = RouteRow {
        prefix: "/jobs/",
        ..RouteRow::default()
    };
    let fixture = Fixture::new(1, route).await;
    let daemon = fixture.start_daemon().await;
    let cases = [
        Case {
            target: "/jobs/7",
            id: "id-1",
            fields: "",
            status: 200,
        },
        Case {
            target: "/orders/7",
            id: "id-2",
            fields: "",
            status: 404,
        },
        Case {
            target: "/jobs/7",
            id: "",
            fields: "",
            status: 400,
        },
        Case {
            target: "/jobs/7",
            id: "id-3",
            fields: "content-length: 0\r\ntransfer-encoding: chunked\r\n",
            status: 400,
        },
    ];
    for case in cases {
        let req = ClientRequest {
            target: case.target,
            id: case.id,
            fields: case.fields,
            ..ClientRequest::default()
        };
        let mut caller = Caller::connect(daemon.front()).await;
        caller.write(req.text().as_bytes()).await;
        if case.fields.contains("chunked") {
            caller.write(b"0\r\n\r\n").await;
        }
        let res = caller.read_response(false).await;
        assert_eq!(res.status, case.status, "{} {}", case.target, case.id);
    }
    daemon.kill();
}

#[tokio::test]
async fn timeouts_follow_the_route_and_the_callers_deadline() {
    struct Case {
        idempotent: bool,
        /// Timeout that the caller sends.
        deadline_ms: u64,
        /// Earliest response; it may come up to 200 ms later.
        min_ms: u64,
    }
    let cases = [
        Case {
            idempotent: false,
            deadline_ms: 5000,
            min_ms: 500,
        },
        Case {
            idempotent: true,
            deadline_ms: 5000,
            min_ms: 500,
        },
        Case {
            idempotent: false,
            deadline_ms: 300,
            min_ms: 270,
        },
    ];
    for case in cases {
        let route = RouteRow {
            idempotent: case.idempotent,
            timeout_s: 0.5,
            latency_target_s: 0.2,
            ..RouteRow::default()
        };
        let fixture = Fixture::new(3, route).await;
        let daemon = fixture.start_daemon().await;
        fixture.set_behaviour(Behaviour::Hang);
        let req = ClientRequest {
            deadline_ms: case.deadline_ms,
            ..ClientRequest::default()
        };
        let started_at = std::time::Instant::now();
        let res = send(&daemon, &req).await;
        let took = started_at.elapsed();
        assert_eq!(res.status, 504);
        assert!(took >= Duration::from_millis(case.min_ms), "{took:?}");
        assert!(took < Duration::from_millis(case.min_ms + 200), "{took:?}");
        // After its deadline, the caller no longer reads a response.
        assert!(took < Duration::from_millis(case.deadline_ms), "{took:?}");
        let runs = fixture.servers.iter().flat_map(StandInServer::executed);
        for run in runs {
            let left = run.deadline_ms.unwrap();
            assert!(left <= case.deadline_ms.min(500), "{left}");
        }
        daemon.kill();
    }
}

#[tokio::test]
async fn idempotent_requests_are_cancelled_when_their_caller_leaves() {
    struct Case {
        idempotent: bool,
        /// The server sees its connection close.
        cancelled: bool,
    }
    // Cancelling a request that isn't idempotent could leave an order half done.
    let cases = [
        Case {
            idempotent: true,
            cancelled: true,
        },
        Case {
            idempotent: false,
            cancelled: false,
        },
    ];
    for case in cases {
        let route = RouteRow {
            idempotent: case.idempotent,
            max_attempts: 1,
            ..RouteRow::default()
        };
        let fixture = Fixture::new(1, route).await;
        let daemon = fixture.start_daemon().await;
        fixture.servers[0].set_behaviour(Behaviour::Slow(1200));
        let mut stream = TcpStream::connect(daemon.front()).await.unwrap();
        let text = ClientRequest::default().text();
        stream.write_all(text.as_bytes()).await.unwrap();
        wait_for("a run", async || fixture.runs() == 1).await;
        drop(stream);
        tokio::time::sleep(Duration::from_millis(500)).await;
        let cancelled = !fixture.servers[0].abandoned().is_empty();
        assert_eq!(cancelled, case.cancelled, "idempotent={}", case.idempotent);
        daemon.kill();
    }
}

#[tokio::test]
async fn connections_are_reused_and_close_when_idle() {
    let fixture = Fixture::without_config(1).await;
    let text = cuminspread_platform::standin::store::config_text(3, &[RouteRow::default()], 0.4);
    fixture.store.put_config(text);
    let daemon = fixture.start_daemon().await;
    let mut caller = Caller::connect(daemon.front()).await;
    for i in 0..5 {
        let id = format!("id-{i}");
        let req = ClientRequest {
            id: &id,
            ..ClientRequest::default()
        };
        caller.write(req.text().as_bytes()).await;
        assert_eq!(caller.read_response(false).await.status, 200);
        // Below the idle timeout of 0.4 s.
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(caller.read_response(false).await.status, 0, "it was closed");
    daemon.kill();
}

#[tokio::test]
async fn connections_close_when_a_head_stalls_or_they_are_idle() {
    struct Case {
        name: &'static str,
        /// Requests that are answered first.
        requests_before: usize,
        /// Bytes that are sent then.
        sent: &'static str,
        /// Time after which the connection closes.
        closes_ms: u64,
    }
    let head_ms = (HEAD_TIMEOUT_S * 1000.0) as u64;
    let idle_ms = 2500;
    let cases = [
        Case {
            name: "nothing is sent",
            requests_before: 0,
            sent: "",
            closes_ms: idle_ms,
        },
        Case {
            name: "the first head stalls",
            requests_before: 0,
            sent: "GET /jobs/1 HTTP/1.1\r\nhost: sh",
            closes_ms: head_ms,
        },
        Case {
            name: "idle after a response",
            requests_before: 1,
            sent: "",
            closes_ms: idle_ms,
        },
        Case {
            name: "a later head stalls",
            requests_before: 2,
            sent: "GET",
            closes_ms: head_ms,
        },
    ];
    let fixture = Fixture::without_config(1).await;
    let text = config_text(3, &[RouteRow::default()], idle_ms as f64 / 1000.0);
    fixture.store.put_config(text);
    let daemon = fixture.start_daemon().await;
    for case in cases {
        let mut caller = Caller::connect(daemon.front()).await;
        for _ in 0..case.requests_before {
            let text = ClientRequest::default().text();
            caller.write(text.as_bytes()).await;
            assert_eq!(
                caller.read_response(false).await.status,
                200,
                "{}",
                case.name
            );
        }
        let started_at = Instant::now();
        caller.write(case.sent.as_bytes()).await;
        assert_eq!(caller.read_response(false).await.status, 0, "{}", case.name);
        let took = started_at.elapsed();
        let bound = Duration::from_millis(case.closes_ms);
        let late = Duration::from_millis(500);
        assert!(took >= bound.mul_f32(0.9), "{}: {took:?}", case.name);
        assert!(took < bound + late, "{}: {took:?}", case.name);
    }
    daemon.kill();
}

/// Bodies must count as buffered while they arrive; else callers that send large bodies slowly
/// could fill the memory.
#[tokio::test]
async fn large_bodies_that_arrive_together_are_bounded() {
    const BODY: usize = 400_000;
    let fixture = Fixture::new(1, RouteRow::default()).await;
    let (settings, edge_settings) = fixture.settings(&[]);
    let settings = Settings {
        callers: CallerSettings {
            max_buffered: 2 * BODY,
            ..settings.callers
        },
        ..settings
    };
    let daemon = EdgeDaemon::start(settings, edge_settings).await.unwrap();
    fixture.wait_ready(&daemon).await;
    let body = "x".repeat(BODY);
    let req = ClientRequest {
        method: "POST",
        body: &body,
        ..ClientRequest::default()
    };
    let text = req.text();
    let (start, end) = text.split_at(text.len() - 10);
    let mut callers = Vec::new();
    for _ in 0..6 {
        let mut caller = Caller::connect(daemon.front()).await;
        // The daemon may refuse a request and close its connection before the body is written.
        caller.try_write(start.as_bytes()).await;
        callers.push(caller);
    }
    let mut statuses = Vec::new();
    for mut caller in callers {
        caller.try_write(end.as_bytes()).await;
        statuses.push(caller.read_response(false).await.status);
    }
    let ok = statuses.iter().filter(|s| **s == 200).count();
    assert_eq!(ok, 2, "{statuses:?}");
    assert!(
        statuses.iter().all(|s| [200, 503, 0].contains(s)),
        "{statuses:?}"
    );
    // The buffered bytes are free again.
    let res = send(&daemon, &req).await;
    assert_eq!(res.status, 200);
    daemon.kill();
}
