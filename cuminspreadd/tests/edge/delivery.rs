//! How long a response may be open, whatever keeps it open.

use std::time::{Duration, Instant};

use cuminspread_platform::standin::client::ClientRequest;
use cuminspread_platform::standin::endless::Endless;
use cuminspread_platform::standin::server::{Behaviour, PacedBody};
use cuminspread_platform::standin::store::RouteRow;
use cuminspreadd::edge::run::EdgeDaemon;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

use crate::caller::Caller;
use crate::fixture::{Fixture, get, send, wait_for};
use crate::forwarding::start_cut_fleet;

/// Timeout of the route.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after it within which a response must have ended; required by the users.
const END_BOUND: Duration = Duration::from_millis(500);
/// Time for which callers wait.
const CALLER_DEADLINE_MS: u64 = 6000;
/// Receive buffer of a caller that reads slowly, in bytes.
const SLOW_CALLER_BUFFER: u32 = 4096;

fn route(idempotent: bool, timeout: Duration) -> RouteRow {
    RouteRow {
        idempotent,
        timeout_s: timeout.as_secs_f64(),
        latency_target_s: 0.5,
        ..RouteRow::default()
    }
}

/// What a caller got on a connection of its own.
struct Ended {
    bytes: Vec<u8>,
    /// The connection was closed by the daemon, not reset.
    closed: bool,
    took: Duration,
}

impl Ended {
    /// Whether a caller takes this for a complete response; the end of the connection ends the body of
    /// a response without a length.
    fn looks_complete(&self) -> bool {
        let text = String::from_utf8_lossy(&self.bytes).to_ascii_lowercase();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            return false;
        };
        let field = |name: &str| head.lines().find_map(|l| l.strip_prefix(name));
        if let Some(len) = field("content-length: ") {
            return body.len() == len.parse::<usize>().unwrap();
        }
        if field("transfer-encoding: ").is_some() {
            return body.ends_with("\r\n0\r\n\r\n");
        }
        self.closed
    }
}

/// Sends a request and reads until the connection ends.
async fn read_to_end(mut stream: TcpStream, text: &str) -> Ended {
    stream.write_all(text.as_bytes()).await.unwrap();
    let began = Instant::now();
    let mut bytes = Vec::new();
    let limit = Duration::from_millis(CALLER_DEADLINE_MS);
    let read = timeout(limit, stream.read_to_end(&mut bytes)).await;
    Ended {
        closed: matches!(read, Ok(Ok(_))),
        bytes,
        took: began.elapsed(),
    }
}

fn download<'a>() -> ClientRequest<'a> {
    ClientRequest {
        deadline_ms: CALLER_DEADLINE_MS,
        ..ClientRequest::default()
    }
}

fn assert_ended_in_time(took: Duration, name: &str) {
    assert!(took < ROUTE_TIMEOUT + END_BOUND, "{name}: {took:?}");
    // What ends sooner could still have become complete.
    assert!(took > ROUTE_TIMEOUT, "{name}: {took:?}");
}

/// Guards against responses that stay open after their route's timeout since their server falls silent
/// (review/5), and against truncated ones that look complete.
#[tokio::test]
async fn a_response_ends_soon_after_the_routes_timeout() {
    struct Case {
        name: &'static str,
        body: PacedBody,
        http_1_0: bool,
        forwarded: bool,
        idempotent: bool,
    }
    let stalled = PacedBody {
        stalls: true,
        ..PacedBody::default()
    };
    let base = Case {
        name: "",
        body: stalled,
        http_1_0: false,
        forwarded: false,
        idempotent: true,
    };
    let no_length = PacedBody {
        has_length: false,
        ..stalled
    };
    let slow = PacedBody {
        ms: 4000,
        ..PacedBody::default()
    };
    let cases = [
        Case {
            name: "large",
            ..base
        },
        Case {
            name: "large, at most once",
            idempotent: false,
            ..base
        },
        Case {
            name: "without a length",
            body: no_length,
            ..base
        },
        Case {
            name: "without a length, to an HTTP/1.0 caller",
            body: no_length,
            http_1_0: true,
            ..base
        },
        Case {
            name: "server sends slowly",
            body: slow,
            ..base
        },
        Case {
            name: "forwarded",
            forwarded: true,
            ..base
        },
        Case {
            name: "forwarded, server sends slowly",
            body: slow,
            forwarded: true,
            ..base
        },
    ];
    for case in cases {
        let fixture = Fixture::new(1, route(case.idempotent, ROUTE_TIMEOUT)).await;
        let daemons = start(&fixture, case.forwarded).await;
        fixture.servers[0].set_behaviour(Behaviour::Paced(case.body));
        let mut text = download().text();
        if case.http_1_0 {
            text = text.replacen("HTTP/1.1", "HTTP/1.0", 1);
        }
        let stream = TcpStream::connect(daemons[0].front()).await.unwrap();
        let ended = read_to_end(stream, &text).await;
        assert_ended_in_time(ended.took, case.name);
        assert!(ended.bytes.starts_with(b"HTTP/1."), "{}", case.name);
        assert!(!ended.looks_complete(), "{}", case.name);
        let metrics = get(&daemons[0], "/metrics").await;
        let cut = "cumin_responses_cut_total{cause=\"server\"} 1";
        assert!(metrics.contains(cut), "{}: {metrics}", case.name);
        if case.body.stalls {
            // The connection to the server is closed as well.
            wait_for("the cancellation", async || {
                !fixture.servers[0].abandoned().is_empty()
            })
            .await;
        }
        daemons.into_iter().for_each(EdgeDaemon::kill);
    }
}

/// Guards against servers that keep their share of the requests although they never end their responses
/// (issue 50).
#[tokio::test]
async fn a_server_that_does_not_end_its_responses_gets_few_requests() {
    const REQUESTS: usize = 24;
    #[derive(Debug)]
    struct Case {
        behaviour: Behaviour,
        forwarded: bool,
        /// Most requests that the first of two servers gets.
        most: usize,
    }
    let stalls = Behaviour::Paced(PacedBody {
        stalls: true,
        ..PacedBody::default()
    });
    let slow = Behaviour::Paced(PacedBody {
        ms: 100,
        ..PacedBody::default()
    });
    let few = |behaviour| Case {
        behaviour,
        forwarded: false,
        most: REQUESTS / 4,
    };
    let cases = [
        few(stalls),
        few(Behaviour::LargeCutShort(200)),
        few(Behaviour::Endless(Endless::TinyChunks)),
        few(Behaviour::Endless(Endless::Body)),
        few(Behaviour::Endless(Endless::Extensions)),
        Case {
            forwarded: true,
            ..few(stalls)
        },
        // What is slow but complete is no failure.
        Case {
            most: REQUESTS,
            ..few(slow)
        },
    ];
    for case in cases {
        let fixture = Fixture::new(2, route(false, Duration::from_millis(300))).await;
        let daemons = start(&fixture, case.forwarded).await;
        let large = Behaviour::Paced(PacedBody::default());
        fixture.servers[0].set_behaviour(case.behaviour);
        fixture.servers[1].set_behaviour(large);
        let mut complete = 0;
        for i in 0..REQUESTS {
            let req = ClientRequest {
                id: &format!("attempt-{i}"),
                fields: "connection: close\r\n",
                ..download()
            };
            let stream = TcpStream::connect(daemons[0].front()).await.unwrap();
            let ended = read_to_end(stream, &req.text()).await;
            let served = ended.bytes.starts_with(b"HTTP/1.1 200") && ended.looks_complete();
            complete += usize::from(served);
        }
        let faulty = fixture.servers[0].executed().len();
        assert!(faulty <= case.most, "{case:?}: {faulty} of {REQUESTS}");
        let expected = if case.most == REQUESTS {
            REQUESTS
        } else {
            REQUESTS - faulty
        };
        assert_eq!(complete, expected, "{case:?}");
        daemons.into_iter().for_each(EdgeDaemon::kill);
    }
}

/// Guards against small responses, which are read before they are passed on, that leave their caller without
/// an answer.
#[tokio::test]
async fn a_small_response_that_stalls_is_answered_at_the_routes_timeout() {
    let fixture = Fixture::new(1, route(true, ROUTE_TIMEOUT)).await;
    let daemon = fixture.start_daemon().await;
    fixture.set_behaviour(Behaviour::Paced(PacedBody {
        kb: 4,
        stalls: true,
        ..PacedBody::default()
    }));
    let began = Instant::now();
    let res = send(&daemon, &download()).await;
    assert_eq!(res.status, 504, "it isn't begun");
    assert_ended_in_time(began.elapsed(), "small");
    daemon.kill();
}

/// Starts one daemon, or two of which the first has lost its way to the server.
async fn start(fixture: &Fixture, forwarded: bool) -> Vec<EdgeDaemon> {
    if !forwarded {
        return vec![fixture.start_daemon().await];
    }
    start_cut_fleet(fixture, 2, 1).await
}

/// Guards against responses that stay open for as long as their caller doesn't read (review/5).
#[tokio::test]
async fn a_response_that_its_caller_does_not_read_ends_soon_after_the_routes_timeout() {
    let fixture = Fixture::new(1, route(true, ROUTE_TIMEOUT)).await;
    let daemon = fixture.start_daemon().await;
    // More than the system buffers for a connection.
    let body = PacedBody {
        kb: 16 << 10,
        ..PacedBody::default()
    };
    fixture.servers[0].set_behaviour(Behaviour::Paced(body));
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(SLOW_CALLER_BUFFER).unwrap();
    let mut stream = socket.connect(daemon.front()).await.unwrap();
    let began = Instant::now();
    stream
        .write_all(download().text().as_bytes())
        .await
        .unwrap();
    let cut = "cumin_responses_cut_total{cause=\"caller\"} 1";
    wait_for("the end", async || {
        get(&daemon, "/metrics").await.contains(cut)
    })
    .await;
    assert_ended_in_time(began.elapsed(), "not read");
    daemon.kill();
}

/// Guards against a body that is waited for beyond the route's timeout, or given up before it.
#[tokio::test]
async fn a_body_may_arrive_until_the_routes_timeout() {
    struct Case {
        name: &'static str,
        timeout: Duration,
        body_arrives_in: Duration,
        status: u16,
    }
    let cases = [
        Case {
            name: "in time",
            timeout: Duration::from_secs(12),
            body_arrives_in: Duration::from_millis(10_500),
            status: 200,
        },
        Case {
            name: "too late",
            timeout: ROUTE_TIMEOUT,
            body_arrives_in: ROUTE_TIMEOUT + END_BOUND,
            status: 408,
        },
    ];
    for case in cases {
        let fixture = Fixture::new(1, route(false, case.timeout)).await;
        let daemon = fixture.start_daemon().await;
        let req = ClientRequest {
            method: "POST",
            body: "two copies",
            deadline_ms: 20_000,
            ..ClientRequest::default()
        };
        let text = req.text();
        let (start, end) = text.split_at(text.len() - 5);
        let mut caller = Caller::connect(daemon.front()).await;
        caller.write(start.as_bytes()).await;
        let began = Instant::now();
        let first = timeout(case.body_arrives_in, caller.read_response(false)).await;
        let res = if let Ok(res) = first {
            res
        } else {
            caller.write(end.as_bytes()).await;
            caller.read_response(false).await
        };
        let (status, took) = (res.status, began.elapsed());
        assert_eq!(status, case.status, "{}", case.name);
        assert!(took < case.timeout + END_BOUND, "{}: {took:?}", case.name);
        daemon.kill();
    }
}

/// Guards against cutting responses that reach their end in time, also while the daemon stops.
#[tokio::test]
async fn a_response_that_moves_is_completed() {
    struct Case {
        name: &'static str,
        body: PacedBody,
        forwarded: bool,
        /// The daemon that the caller uses stops, or the peer that it forwards requests to.
        stops: bool,
    }
    // Longer than idle connections stay open during a stop, and shorter than the grace period.
    let long = PacedBody {
        ms: 3800,
        ..PacedBody::default()
    };
    let timeout = Duration::from_secs(4);
    let base = Case {
        name: "",
        body: long,
        forwarded: false,
        stops: false,
    };
    let cases = [
        Case {
            name: "with a length",
            ..base
        },
        Case {
            name: "without a length",
            body: PacedBody {
                has_length: false,
                ..long
            },
            ..base
        },
        Case {
            name: "forwarded",
            forwarded: true,
            ..base
        },
        Case {
            name: "while the daemon stops",
            stops: true,
            ..base
        },
        Case {
            name: "while the peer that sent it stops",
            forwarded: true,
            stops: true,
            ..base
        },
    ];
    for case in cases {
        let fixture = Fixture::new(1, route(true, timeout)).await;
        let mut daemons = start(&fixture, case.forwarded).await;
        fixture.servers[0].set_behaviour(Behaviour::Paced(case.body));
        let front = daemons[0].front();
        let runs = fixture.runs();
        let download = tokio::spawn(async move {
            let mut caller = Caller::connect(front).await;
            caller.write(download().text().as_bytes()).await;
            caller.read_response(false).await
        });
        wait_for("a run", async || fixture.runs() > runs).await;
        let stop = case.stops.then(|| {
            let daemon = daemons.pop().unwrap();
            tokio::spawn(daemon.stop())
        });
        let res = download.await.unwrap();
        assert_eq!(res.status, 200, "{}", case.name);
        assert!(res.complete, "{}", case.name);
        assert_eq!(res.body.len(), case.body.kb << 10, "{}", case.name);
        if let Some(stop) = stop {
            assert!(stop.await.unwrap(), "{}", case.name);
        }
        daemons.into_iter().for_each(EdgeDaemon::kill);
    }
}

/// Guards against resetting a connection whose end completes its response.
#[tokio::test]
async fn a_response_that_ends_with_its_connection_is_completed() {
    let fixture = Fixture::new(1, route(true, ROUTE_TIMEOUT)).await;
    let daemon = fixture.start_daemon().await;
    let body = PacedBody {
        ms: 300,
        has_length: false,
        ..PacedBody::default()
    };
    fixture.servers[0].set_behaviour(Behaviour::Paced(body));
    let stream = TcpStream::connect(daemon.front()).await.unwrap();
    let text = download().text().replacen("HTTP/1.1", "HTTP/1.0", 1);
    let ended = read_to_end(stream, &text).await;
    assert!(ended.looks_complete());
    assert!(ended.bytes.len() > body.kb << 10);
    daemon.kill();
}

/// Guards against a part of a response that looks complete since the daemon ends while it is written.
#[tokio::test]
async fn a_response_that_is_open_when_the_daemon_ends_does_not_look_complete() {
    struct Case {
        version: &'static str,
        has_length: bool,
    }
    let cases = [("HTTP/1.0", true), ("HTTP/1.0", false), ("HTTP/1.1", false)];
    let cases = cases.map(|(version, has_length)| Case {
        version,
        has_length,
    });
    for case in cases {
        let fixture = Fixture::new(1, route(true, ROUTE_TIMEOUT)).await;
        let daemon = fixture.start_daemon().await;
        fixture.servers[0].set_behaviour(Behaviour::Paced(PacedBody {
            has_length: case.has_length,
            stalls: true,
            ..PacedBody::default()
        }));
        let stream = TcpStream::connect(daemon.front()).await.unwrap();
        let text = download().text().replacen("HTTP/1.1", case.version, 1);
        let read = tokio::spawn(async move { read_to_end(stream, &text).await });
        wait_for("a run", async || fixture.runs() == 1).await;
        sleep(ROUTE_TIMEOUT / 4).await;
        daemon.kill();
        let ended = read.await.unwrap();
        let name = format!("{}, has_length={}", case.version, case.has_length);
        assert!(ended.took < ROUTE_TIMEOUT, "{name}: {:?}", ended.took);
        assert!(ended.bytes.starts_with(b"HTTP/1."), "{name}");
        assert!(!ended.looks_complete(), "{name}");
    }
}

/// Guards against requests that wait for the body of a refusal until their time is over.
#[tokio::test]
async fn a_refusal_holds_once_its_head_has_come() {
    let fixture = Fixture::new(2, route(false, ROUTE_TIMEOUT)).await;
    let daemon = fixture.start_daemon().await;
    fixture.set_behaviour(Behaviour::ShedStalled);
    let began = Instant::now();
    let res = send(&daemon, &download()).await;
    assert_eq!(res.status, 503, "no server has run it");
    assert!(began.elapsed() < END_BOUND, "{:?}", began.elapsed());
    daemon.kill();
}

/// Guards against cutting what a paused process could not write in time.
#[tokio::test]
async fn a_response_that_was_open_during_a_pause_is_completed() {
    // More than the system buffers for a connection.
    const BODY_KB: usize = 8 << 10;
    let fixture = Fixture::new(1, route(true, ROUTE_TIMEOUT)).await;
    let daemon = fixture.start_daemon().await;
    fixture.servers[0].set_behaviour(Behaviour::Paced(PacedBody {
        kb: BODY_KB,
        ..PacedBody::default()
    }));
    let mut caller = Caller::connect(daemon.front()).await;
    caller.write(download().text().as_bytes()).await;
    sleep(ROUTE_TIMEOUT / 2).await;
    // The daemon and its server share the thread of this test.
    std::thread::sleep(ROUTE_TIMEOUT);
    let res = caller.read_response(false).await;
    assert!(res.complete, "{} bytes", res.body.len());
    assert_eq!(res.body.len(), BODY_KB << 10);
    daemon.kill();
}
