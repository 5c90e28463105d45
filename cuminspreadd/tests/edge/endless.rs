//! Servers that send bytes without end.
//!
//! Servers and callers have threads of their own: a daemon's tasks must not get their turns only because
//! the faulty server waits for the same thread.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cuminspread_platform::standin::client::ClientRequest;
use cuminspread_platform::standin::endless::Endless;
use cuminspread_platform::standin::server::{Behaviour, StandInServer};
use cuminspread_platform::standin::store::{RouteRow, config_text};
use cuminspreadd::edge::run::EdgeDaemon;
use serde_json::json;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::caller;
use crate::fixture::{Fixture, wait_for};
use crate::forwarding::start_cut_fleet;
use crate::other_threads::OtherThreads;

/// Timeout of the routes.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after it within which a response must have ended; required by the users.
const END_BOUND: Duration = Duration::from_millis(500);
/// Latency target of the route to the sound service.
const LATENCY_TARGET: Duration = Duration::from_millis(500);
/// Time for which callers wait.
const CALLER_DEADLINE: Duration = Duration::from_secs(6);

fn route(idempotent: bool) -> RouteRow {
    RouteRow {
        idempotent,
        timeout_s: ROUTE_TIMEOUT.as_secs_f64(),
        latency_target_s: LATENCY_TARGET.as_secs_f64(),
        ..RouteRow::default()
    }
}

fn request(target: &str, id: usize) -> String {
    ClientRequest {
        target,
        id: &format!("attempt-{id}"),
        deadline_ms: CALLER_DEADLINE.as_millis() as u64,
        fields: "connection: close\r\n",
        ..ClientRequest::default()
    }
    .text()
}

/// Sends a request on a connection of its own and reads until the daemon closes it; returns the first
/// bytes, and the time that took.
async fn read_to_end(front: SocketAddr, text: String) -> (Vec<u8>, Duration) {
    let began = Instant::now();
    let mut stream = TcpStream::connect(front).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut first = Vec::new();
    let mut buf = vec![0; 64 << 10];
    let read = async {
        while let Ok(len @ 1..) = stream.read(&mut buf).await {
            if first.is_empty() {
                first.extend_from_slice(&buf[..len]);
            }
        }
    };
    let _ = timeout(CALLER_DEADLINE, read).await;
    (first, began.elapsed())
}

/// Guards against responses that stay open after their route's timeout, since a task that always has
/// something to pass on finds its timers pending (issues 49 and 50).
#[tokio::test]
async fn a_response_without_end_ends_soon_after_the_routes_timeout() {
    #[derive(Debug)]
    struct Case {
        endless: Endless,
        idempotent: bool,
        at_once: usize,
        forwarded: bool,
    }
    let one = |endless| Case {
        endless,
        idempotent: false,
        at_once: 1,
        forwarded: false,
    };
    let mut cases: Vec<Case> = Endless::ALL.into_iter().map(one).collect();
    for endless in [
        Endless::TinyChunks,
        Endless::Informational,
        Endless::Trailers,
    ] {
        cases.push(Case {
            idempotent: true,
            at_once: 20,
            ..one(endless)
        });
        cases.push(Case {
            forwarded: true,
            ..one(endless)
        });
    }
    for case in cases {
        let others = OtherThreads::start();
        let fixture = others.spawn(Fixture::new(1, route(case.idempotent)));
        let fixture = fixture.await.unwrap();
        let daemons = if case.forwarded {
            start_cut_fleet(&fixture, 2, 1).await
        } else {
            vec![fixture.start_daemon().await]
        };
        fixture.set_behaviour(Behaviour::Endless(case.endless));
        let front = daemons[0].front();
        let reads: Vec<_> = (0..case.at_once)
            .map(|i| others.spawn(read_to_end(front, request("/", i))))
            .collect();
        for read in reads {
            let (first, took) = read.await.unwrap();
            assert!(first.starts_with(b"HTTP/1.1 "), "{case:?}: {took:?}");
            assert!(took < ROUTE_TIMEOUT + END_BOUND, "{case:?}: {took:?}");
        }
        fixture.set_behaviour(Behaviour::Answer);
        daemons.into_iter().for_each(EdgeDaemon::kill);
    }
}

/// A daemon with a faulty and a sound service.
struct Shop {
    others: OtherThreads,
    fixture: Fixture,
    _sound: StandInServer,
    daemon: EdgeDaemon,
}

impl Shop {
    async fn start() -> Self {
        let others = OtherThreads::start();
        // A server for each faulty connection, so that none is full.
        let fixture = others.spawn(Fixture::without_config(FAULTY_CONNECTIONS));
        let fixture = fixture.await.unwrap();
        let sound = others.spawn(StandInServer::start("i-sound")).await.unwrap();
        let (id, address) = (sound.id(), sound.address());
        fixture.store.put_server(id, "sound", address, &json!({}));
        let routes = [
            // What has no end lasts longer than the test, and is sent once.
            RouteRow {
                timeout_s: CALLER_DEADLINE.as_secs_f64(),
                ..route(false)
            },
            RouteRow {
                name: "r-2",
                prefix: "/sound/",
                services: vec![("sound", 1)],
                ..route(true)
            },
        ];
        fixture.store.put_config(config_text(3, &routes, 15.0));
        let daemon = fixture.start_daemon().await;
        sound.set_behaviour(Behaviour::Slow(20));
        Self {
            others,
            fixture,
            _sound: sound,
            daemon,
        }
    }

    /// Sends requests to the sound service; returns the longest time until an answer.
    async fn longest_sound_request(&self) -> Duration {
        const REQUESTS: usize = 60;
        let front = self.daemon.front();
        let mut tasks = Vec::new();
        for i in 0..REQUESTS {
            tasks.push(self.others.spawn(async move {
                let began = Instant::now();
                let res = caller::send(front, &request("/sound/", 1000 + i)).await;
                (res.status, began.elapsed())
            }));
            sleep(Duration::from_millis(50)).await;
        }
        let mut longest = Duration::ZERO;
        for task in tasks {
            let (status, took) = task.await.unwrap();
            assert_eq!(status, 200);
            longest = longest.max(took);
        }
        longest
    }
}

/// Connections that send or read bytes without end.
const FAULTY_CONNECTIONS: usize = 6;

/// Guards against keeping the requests of other callers waiting while tiny chunks are passed on.
#[tokio::test]
async fn tiny_chunks_of_a_server_leave_other_requests_their_turns() {
    let shop = Shop::start().await;
    let behaviour = Behaviour::Endless(Endless::TinyChunks);
    shop.fixture.set_behaviour(behaviour);
    let front = shop.daemon.front();
    let faulty: Vec<_> = (0..FAULTY_CONNECTIONS)
        .map(|i| shop.others.spawn(read_to_end(front, request("/", i))))
        .collect();
    wait_for("the responses without an end", async || {
        shop.fixture.runs() == FAULTY_CONNECTIONS
    })
    .await;
    let longest = shop.longest_sound_request().await;
    assert!(longest < LATENCY_TARGET, "{longest:?}");
    assert!(faulty.iter().all(|f| !f.is_finished()));
    shop.daemon.kill();
}

/// Guards against the same from the other side: callers that send tiny chunks.
#[tokio::test]
async fn tiny_chunks_of_callers_leave_other_requests_their_turns() {
    let shop = Shop::start().await;
    let front = shop.daemon.front();
    let faulty: Vec<_> = (0..FAULTY_CONNECTIONS)
        .map(|i| shop.others.spawn(send_tiny_chunks(front, i)))
        .collect();
    let longest = shop.longest_sound_request().await;
    assert!(longest < LATENCY_TARGET, "{longest:?}");
    assert!(faulty.iter().all(|f| !f.is_finished()));
    shop.daemon.kill();
}

/// Sends a request whose body has no end, in chunks of one byte.
async fn send_tiny_chunks(front: SocketAddr, id: usize) {
    let mut stream = TcpStream::connect(front).await.unwrap();
    let head = ClientRequest {
        method: "POST",
        id: &format!("attempt-{id}"),
        deadline_ms: CALLER_DEADLINE.as_millis() as u64,
        fields: "transfer-encoding: chunked\r\n",
        ..ClientRequest::default()
    };
    let mut sent = stream.write_all(head.text().as_bytes()).await;
    let chunks = "1\r\n.\r\n".repeat(10_000);
    while sent.is_ok() {
        sent = stream.write_all(chunks.as_bytes()).await;
    }
}
