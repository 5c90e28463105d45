//! What callers get, and how often servers run a request, for each way in which a server misbehaves.

use std::time::{Duration, Instant};

use cuminspread_platform::standin::client::ClientRequest;
use cuminspread_platform::standin::server::{Behaviour, StandInServer};
use cuminspread_platform::standin::store::{HEAD_TIMEOUT_S, RouteRow, config_text};
use cuminspreadd::edge::run::EdgeDaemon;
use cuminspreadd::settings::{CallerSettings, Settings};
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

use crate::caller::Caller;
use crate::site::{Site, send, wait_for};

struct Case {
    behaviour: Behaviour,
    idempotent: bool,
    status: u16,
    /// The answer's body is the server's.
    own_body: bool,
    /// Runs of one request over both servers, which both behave alike.
    runs: usize,
}

#[tokio::test]
async fn servers_that_misbehave() {
    let good = |behaviour, idempotent| Case {
        behaviour,
        idempotent,
        status: 200,
        own_body: true,
        runs: 1,
    };
    // A request that may run once gets one server, and no success that isn't the server's; one that
    // may run again gets a second server.
    let unknown = |behaviour, idempotent| Case {
        behaviour,
        idempotent,
        status: 502,
        own_body: false,
        runs: if idempotent { 2 } else { 1 },
    };
    let cases = [
        good(Behaviour::Answer, true),
        good(Behaviour::Answer, false),
        good(Behaviour::NoLength, false),
        good(Behaviour::ExtraResponse, false),
        good(Behaviour::EarlyResponse, false),
        good(Behaviour::Large(200), false),
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
            own_body: true,
            runs: 1,
        },
        Case {
            behaviour: Behaviour::Fail,
            idempotent: true,
            status: 500,
            own_body: true,
            runs: 2,
        },
        Case {
            behaviour: Behaviour::Shed,
            idempotent: false,
            status: 503,
            own_body: false,
            runs: 0,
        },
        Case {
            behaviour: Behaviour::Misdirected,
            idempotent: false,
            status: 503,
            own_body: false,
            runs: 0,
        },
    ];
    for case in cases {
        let what = format!("{:?}, idempotent={}", case.behaviour, case.idempotent);
        let route = RouteRow {
            idempotent: case.idempotent,
            ..RouteRow::default()
        };
        let site = Site::new(2, route).await;
        let daemon = site.daemon().await;
        for server in &site.servers {
            server.set_behaviour(case.behaviour);
        }
        let req = ClientRequest {
            method: "POST",
            body: "two copies",
            ..ClientRequest::default()
        };
        let answer = send(&daemon, &req).await;
        assert_eq!(answer.status, case.status, "{what}");
        assert!(answer.complete, "{what}");
        let signature = answer.field("x-signed").is_none() && answer.head.contains("signature");
        assert_eq!(signature, case.own_body, "{what}");
        if case.behaviour == Behaviour::EarlyResponse {
            // The server reads the body, and counts the run, after its answer.
            wait_for("a run", async || site.runs() > 0).await;
        }
        assert_eq!(site.runs(), case.runs, "{what}");
        if case.status == 503 {
            let secs: f64 = answer.field("retry-after").unwrap().parse().unwrap();
            assert!(secs > 0.0, "{what}");
        }
        daemon.kill();
    }
}

#[tokio::test]
async fn a_request_reaches_its_server_unchanged() {
    let site = Site::new(1, RouteRow::default()).await;
    let daemon = site.daemon().await;
    let req = ClientRequest {
        method: "PUT",
        target: "/jobs/7/2f?copies=2&x=%20",
        id: "id-7",
        deadline_ms: 1500,
        fields: "x-council: vest\r\nconnection: x-hop\r\nx-hop: 1\r\n",
        body: "two copies, stapled",
        chunked: true,
    };
    let answer = send(&daemon, &req).await;
    assert_eq!(
        (answer.status, answer.text().as_str()),
        (200, "answer to id-7")
    );
    let run = site.servers[0].executed().remove(0);
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
async fn requests_without_a_route_or_an_identity() {
    struct Fault {
        target: &'static str,
        id: &'static str,
        fields: &'static str,
        status: u16,
    }
    let route = RouteRow {
        prefix: "/jobs/",
        ..RouteRow::default()
    };
    let site = Site::new(1, route).await;
    let daemon = site.daemon().await;
    let cases = [
        Fault {
            target: "/jobs/7",
            id: "id-1",
            fields: "",
            status: 200,
        },
        Fault {
            target: "/orders/7",
            id: "id-2",
            fields: "",
            status: 404,
        },
        Fault {
            target: "/jobs/7",
            id: "",
            fields: "",
            status: 400,
        },
        Fault {
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
        let answer = caller.read_response(false).await;
        assert_eq!(answer.status, case.status, "{} {}", case.target, case.id);
    }
    daemon.kill();
}

#[tokio::test]
async fn a_request_is_kept_no_longer_than_its_route_allows() {
    struct Wait {
        idempotent: bool,
        deadline_ms: u64,
        least: u64,
    }
    let cases = [
        Wait {
            idempotent: false,
            deadline_ms: 5000,
            least: 500,
        },
        Wait {
            idempotent: true,
            deadline_ms: 5000,
            least: 500,
        },
        Wait {
            idempotent: false,
            deadline_ms: 300,
            least: 270,
        },
    ];
    for case in cases {
        let route = RouteRow {
            idempotent: case.idempotent,
            timeout_s: 0.5,
            aim_s: 0.2,
            ..RouteRow::default()
        };
        let site = Site::new(3, route).await;
        let daemon = site.daemon().await;
        for server in &site.servers {
            server.set_behaviour(Behaviour::Hang);
        }
        let req = ClientRequest {
            deadline_ms: case.deadline_ms,
            ..ClientRequest::default()
        };
        let began = std::time::Instant::now();
        let answer = send(&daemon, &req).await;
        let took = began.elapsed();
        assert_eq!(answer.status, 504);
        assert!(took >= Duration::from_millis(case.least), "{took:?}");
        assert!(took < Duration::from_millis(case.least + 200), "{took:?}");
        // An answer after the caller's patience is read by nobody.
        assert!(took < Duration::from_millis(case.deadline_ms), "{took:?}");
        let given = site.servers.iter().flat_map(StandInServer::executed);
        for run in given {
            let left = run.deadline_ms.unwrap();
            assert!(left <= case.deadline_ms.min(500), "{left}");
        }
        daemon.kill();
    }
}

#[tokio::test]
async fn work_of_callers_that_left_ends() {
    struct Leaves {
        idempotent: bool,
        /// The server sees its connection close.
        ends: bool,
    }
    // An order that has begun is finished: breaking it off could leave half of it done.
    let cases = [
        Leaves {
            idempotent: true,
            ends: true,
        },
        Leaves {
            idempotent: false,
            ends: false,
        },
    ];
    for case in cases {
        let route = RouteRow {
            idempotent: case.idempotent,
            max_attempts: 1,
            ..RouteRow::default()
        };
        let site = Site::new(1, route).await;
        let daemon = site.daemon().await;
        site.servers[0].set_behaviour(Behaviour::Slow(1200));
        let mut stream = TcpStream::connect(daemon.front()).await.unwrap();
        let text = ClientRequest::default().text();
        stream.write_all(text.as_bytes()).await.unwrap();
        wait_for("a run", async || site.runs() == 1).await;
        drop(stream);
        tokio::time::sleep(Duration::from_millis(500)).await;
        let ended = !site.servers[0].abandoned().is_empty();
        assert_eq!(ended, case.ends, "idempotent={}", case.idempotent);
        daemon.kill();
    }
}

#[tokio::test]
async fn kept_connections_carry_many_requests_and_close_when_idle() {
    let site = Site::without_config(1).await;
    let text = cuminspread_platform::standin::store::config_text(3, &[RouteRow::default()], 0.4);
    site.store.put_config(text);
    let daemon = site.daemon().await;
    let mut caller = Caller::connect(daemon.front()).await;
    for i in 0..5 {
        let id = format!("id-{i}");
        let req = ClientRequest {
            id: &id,
            ..ClientRequest::default()
        };
        caller.write(req.text().as_bytes()).await;
        assert_eq!(caller.read_response(false).await.status, 200);
        // Most of the idle time that the configuration allows.
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(caller.read_response(false).await.status, 0, "it was closed");
    daemon.kill();
}

#[tokio::test]
async fn connections_end_when_a_head_stalls_or_they_are_idle() {
    struct Stall {
        what: &'static str,
        /// Answered requests before.
        before: usize,
        sent: &'static str,
        /// Time after which the connection ends, in milliseconds.
        ends_ms: u64,
    }
    let head_ms = (HEAD_TIMEOUT_S * 1000.0) as u64;
    let idle_ms = 2500;
    let cases = [
        Stall {
            what: "nothing is sent",
            before: 0,
            sent: "",
            ends_ms: idle_ms,
        },
        Stall {
            what: "the first head stalls",
            before: 0,
            sent: "GET /jobs/1 HTTP/1.1\r\nhost: sh",
            ends_ms: head_ms,
        },
        Stall {
            what: "idle after an answer",
            before: 1,
            sent: "",
            ends_ms: idle_ms,
        },
        Stall {
            what: "a later head stalls",
            before: 2,
            sent: "GET",
            ends_ms: head_ms,
        },
    ];
    let site = Site::without_config(1).await;
    let text = config_text(3, &[RouteRow::default()], idle_ms as f64 / 1000.0);
    site.store.put_config(text);
    let daemon = site.daemon().await;
    for case in cases {
        let mut caller = Caller::connect(daemon.front()).await;
        for _ in 0..case.before {
            let text = ClientRequest::default().text();
            caller.write(text.as_bytes()).await;
            assert_eq!(
                caller.read_response(false).await.status,
                200,
                "{}",
                case.what
            );
        }
        let began = Instant::now();
        caller.write(case.sent.as_bytes()).await;
        assert_eq!(caller.read_response(false).await.status, 0, "{}", case.what);
        let took = began.elapsed();
        let bound = Duration::from_millis(case.ends_ms);
        let late = Duration::from_millis(500);
        assert!(took >= bound.mul_f32(0.9), "{}: {took:?}", case.what);
        assert!(took < bound + late, "{}: {took:?}", case.what);
    }
    daemon.kill();
}

/// Bodies count while they arrive: callers that send large ones slowly can't fill the memory.
#[tokio::test]
async fn large_bodies_that_arrive_together_are_bounded() {
    const BODY: usize = 400_000;
    let site = Site::new(1, RouteRow::default()).await;
    let (settings, platform) = site.settings(&[]);
    let settings = Settings {
        callers: CallerSettings {
            max_buffered: 2 * BODY,
            ..settings.callers
        },
        ..settings
    };
    let daemon = EdgeDaemon::start(settings, platform).await.unwrap();
    site.wait_ready(&daemon).await;
    let body = "x".repeat(BODY);
    let req = ClientRequest {
        method: "POST",
        body: &body,
        ..ClientRequest::default()
    };
    let text = req.text();
    let (most, end) = text.split_at(text.len() - 10);
    let mut callers = Vec::new();
    for _ in 0..6 {
        let mut caller = Caller::connect(daemon.front()).await;
        // A caller that is turned away may see its connection close before all is written.
        caller.try_write(most.as_bytes()).await;
        callers.push(caller);
    }
    let mut statuses = Vec::new();
    for mut caller in callers {
        caller.try_write(end.as_bytes()).await;
        statuses.push(caller.read_response(false).await.status);
    }
    let served = statuses.iter().filter(|s| **s == 200).count();
    assert_eq!(served, 2, "{statuses:?}");
    assert!(
        statuses.iter().all(|s| [200, 503, 0].contains(s)),
        "{statuses:?}"
    );
    // What was held is free again.
    let answer = send(&daemon, &req).await;
    assert_eq!(answer.status, 200);
    daemon.kill();
}
