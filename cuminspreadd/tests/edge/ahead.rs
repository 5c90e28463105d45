//! Callers that send requests before the ones in front are answered.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use cuminspread_platform::standin::client::ClientRequest;
use cuminspread_platform::standin::server::{Behaviour, StandInServer};
use cuminspread_platform::standin::store::{RouteRow, config_text};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;

use crate::caller::Caller;
use crate::fixture::{Fixture, wait_for};

/// Time that each server takes for a request.
const SERVICE_MS: u64 = 400;
const SERVICE: Duration = Duration::from_millis(SERVICE_MS);

/// Requests may have one attempt, so that no hedge hides which server got what.
fn route() -> RouteRow {
    RouteRow {
        max_attempts: 1,
        timeout_s: 3.0,
        latency_target_s: 2.0,
        ..RouteRow::default()
    }
}

async fn slow_fixture(servers: usize, route: RouteRow) -> Fixture {
    let fixture = Fixture::new(servers, route).await;
    fixture.set_behaviour(Behaviour::Slow(SERVICE_MS));
    fixture
}

fn text(id: &str) -> String {
    ClientRequest {
        id,
        ..ClientRequest::default()
    }
    .text()
}

fn abandoned(fixture: &Fixture) -> usize {
    let servers = fixture.servers.iter();
    servers.map(|s| s.abandoned().len()).sum()
}

/// Requests and how their answers must come.
struct Case {
    name: &'static str,
    requests: Vec<String>,
    /// Ids in the order of the answers.
    ids: Vec<&'static str>,
    /// Service times until the last answer.
    rounds: u32,
}

#[tokio::test]
async fn requests_sent_ahead_run_side_by_side() {
    let post = ClientRequest {
        method: "POST",
        id: "post",
        body: "two copies",
        ..ClientRequest::default()
    };
    let chunked = ClientRequest {
        id: "chunked",
        chunked: true,
        ..post.clone()
    };
    let closing = ClientRequest {
        id: "closing",
        fields: "connection: close\r\n",
        ..ClientRequest::default()
    };
    let cases = [
        Case {
            name: "three reads",
            requests: vec![text("a"), text("b"), text("c")],
            ids: vec!["a", "b", "c"],
            rounds: 1,
        },
        Case {
            name: "the last one closes the connection",
            requests: vec![text("a"), text("b"), closing.text()],
            ids: vec!["a", "b", "closing"],
            rounds: 1,
        },
        Case {
            name: "a body in between",
            requests: vec![text("a"), post.text(), text("b"), text("c")],
            ids: vec!["a", "post", "b", "c"],
            rounds: 3,
        },
        Case {
            name: "reads behind a body in chunks",
            requests: vec![chunked.text(), text("a"), text("b"), text("c")],
            ids: vec!["chunked", "a", "b", "c"],
            rounds: 2,
        },
    ];
    for case in cases {
        let fixture = slow_fixture(4, route()).await;
        let daemon = fixture.start_daemon().await;
        let mut caller = Caller::connect(daemon.front()).await;
        let started_at = Instant::now();
        caller.write(case.requests.concat().as_bytes()).await;
        for id in &case.ids {
            let res = caller.read_response(false).await;
            assert_eq!(res.status, 200, "{} {id}", case.name);
            assert_eq!(res.text(), format!("answer to {id}"), "{}", case.name);
        }
        let took = started_at.elapsed();
        let most = SERVICE * case.rounds + SERVICE / 2;
        assert!(took < most, "{}: {took:?}", case.name);
        assert_eq!(fixture.runs(), case.requests.len(), "{}", case.name);
        daemon.kill();
    }
}

/// The servers answer those behind at once; their answers wait for the one in front.
#[tokio::test]
async fn answers_keep_the_order_of_the_requests() {
    let fixture = Fixture::new(2, route()).await;
    let daemon = fixture.start_daemon().await;
    for round in 0..5 {
        fixture.set_behaviour(Behaviour::Slow(SERVICE_MS));
        let ids: Vec<_> = (0..4).map(|i| format!("id-{round}-{i}")).collect();
        let started_at = Instant::now();
        let mut caller = Caller::connect(daemon.front()).await;
        caller.write(text(&ids[0]).as_bytes()).await;
        wait_for("a run", async || fixture.runs() == round * 4 + 1).await;
        fixture.set_behaviour(Behaviour::Answer);
        let texts: String = ids[1..].iter().map(|id| text(id)).collect();
        caller.write(texts.as_bytes()).await;
        wait_for("all runs", async || fixture.runs() == round * 4 + 4).await;
        assert!(started_at.elapsed() < SERVICE);
        for id in &ids {
            let res = caller.read_response(false).await;
            assert_eq!(res.text(), format!("answer to {id}"));
        }
    }
    daemon.kill();
}

/// The bytes arrive in two parts, split at every place of the second request and around it.
#[tokio::test]
async fn requests_may_arrive_in_any_parts() {
    let fixture = Fixture::new(2, route()).await;
    let daemon = fixture.start_daemon().await;
    let post = ClientRequest {
        method: "POST",
        id: "b",
        body: "body",
        chunked: true,
        ..ClientRequest::default()
    };
    let texts = [text("a"), post.text(), text("c")].concat();
    for split in 1..texts.len() {
        let (start, end) = texts.split_at(split);
        let mut caller = Caller::connect(daemon.front()).await;
        caller.write(start.as_bytes()).await;
        tokio::time::sleep(Duration::from_millis(1)).await;
        caller.write(end.as_bytes()).await;
        for id in ["a", "b", "c"] {
            let res = caller.read_response(false).await;
            assert_eq!(res.text(), format!("answer to {id}"), "split at {split}");
        }
    }
    let bodies = fixture.servers.iter().flat_map(StandInServer::executed);
    let bodies: Vec<_> = bodies.filter(|r| r.id == "b").map(|r| r.body).collect();
    assert_eq!(bodies.len(), texts.len() - 1);
    assert!(bodies.iter().all(|b| b == b"body"));
    daemon.kill();
}

#[tokio::test]
async fn more_requests_than_may_run_at_once_are_answered_in_turn() {
    const REQUESTS: usize = 60;
    let fixture = slow_fixture(20, route()).await;
    let (mut settings, edge_settings) = fixture.settings(&[]);
    settings.callers.max_ahead = 3;
    let daemon = cuminspreadd::edge::run::EdgeDaemon::start(settings, edge_settings)
        .await
        .unwrap();
    fixture.wait_ready(&daemon).await;
    fixture.set_behaviour(Behaviour::Slow(50));
    let ids: Vec<_> = (0..REQUESTS).map(|i| format!("id-{i}")).collect();
    let texts: String = ids.iter().map(|id| text(id)).collect();
    let mut caller = Caller::connect(daemon.front()).await;
    caller.write(texts.as_bytes()).await;
    let mut most = 0;
    for (answered, id) in ids.iter().enumerate() {
        let res = caller.read_response(false).await;
        assert_eq!(res.text(), format!("answer to {id}"));
        most = most.max(fixture.runs() - answered);
    }
    // The one in front, three behind it, and those that follow an answer before it is read.
    assert!((2..=6).contains(&most), "{most}");
    assert_eq!(fixture.runs(), REQUESTS);
    daemon.kill();
}

#[tokio::test]
async fn all_requests_are_cancelled_when_their_caller_leaves() {
    struct Case {
        name: &'static str,
        /// Bytes behind the three requests.
        behind: &'static str,
    }
    let cases = [
        Case {
            name: "nothing behind",
            behind: "",
        },
        Case {
            name: "a part of a head behind",
            behind: "GET /jobs/1 HTTP/1.1\r\nhost: sh",
        },
        Case {
            name: "a body behind",
            behind: "POST / HTTP/1.1\r\nhost: shop.example\r\ncontent-length: 9\r\n\r\nbody",
        },
    ];
    for case in cases {
        let fixture = Fixture::new(3, route()).await;
        let daemon = fixture.start_daemon().await;
        fixture.set_behaviour(Behaviour::Slow(2500));
        let mut caller = Caller::connect(daemon.front()).await;
        let texts = [text("a"), text("b"), text("c")].concat();
        caller.write(texts.as_bytes()).await;
        caller.write(case.behind.as_bytes()).await;
        wait_for("three runs", async || fixture.runs() == 3).await;
        drop(caller);
        tokio::time::sleep(Duration::from_millis(400)).await;
        assert_eq!(abandoned(&fixture), 3, "{}", case.name);
        daemon.kill();
    }
}

/// A planned stop answers what has been passed on; the last of these answers closes the connection.
#[tokio::test]
async fn a_stop_answers_all_requests_that_have_been_started() {
    struct Case {
        name: &'static str,
        /// Time that the servers take; the daemon closes idle connections after 2.8 s.
        service_ms: u64,
    }
    let cases = [
        Case {
            name: "before idle connections are closed",
            service_ms: 600,
        },
        Case {
            name: "after that",
            service_ms: 3300,
        },
    ];
    for case in cases {
        let route = RouteRow {
            timeout_s: 6.0,
            latency_target_s: 5.0,
            ..route()
        };
        let fixture = Fixture::new(3, route).await;
        let daemon = fixture.start_daemon().await;
        fixture.set_behaviour(Behaviour::Slow(case.service_ms));
        let mut caller = Caller::connect(daemon.front()).await;
        for id in ["a", "b", "c"] {
            let req = ClientRequest {
                id,
                deadline_ms: 8000,
                ..ClientRequest::default()
            };
            caller.write(req.text().as_bytes()).await;
        }
        wait_for("three runs", async || fixture.runs() == 3).await;
        let stop = tokio::spawn(daemon.stop());
        tokio::time::sleep(Duration::from_millis(50)).await;
        // Sent after the stop began: it counts as not read.
        caller.write(text("d").as_bytes()).await;
        for (id, connection) in [("a", None), ("b", None), ("c", Some("close"))] {
            let res = caller.read_response(false).await;
            assert_eq!(res.text(), format!("answer to {id}"), "{}", case.name);
            assert_eq!(res.field("connection"), connection, "{} {id}", case.name);
        }
        assert_eq!(caller.read_response(false).await.status, 0, "{}", case.name);
        assert!(stop.await.unwrap(), "{}", case.name);
        assert_eq!(fixture.runs(), 3, "{}", case.name);
    }
}

/// The first request hangs until its own deadline; the others are answered right behind it.
#[tokio::test]
async fn a_request_that_hangs_holds_the_others_to_its_own_deadline_only() {
    let fixture = Fixture::new(3, route()).await;
    let daemon = fixture.start_daemon().await;
    fixture.set_behaviour(Behaviour::Hang);
    let mut caller = Caller::connect(daemon.front()).await;
    let first = ClientRequest {
        id: "a",
        deadline_ms: 700,
        ..ClientRequest::default()
    };
    let started_at = Instant::now();
    caller.write(first.text().as_bytes()).await;
    wait_for("a run", async || fixture.runs() == 1).await;
    fixture.set_behaviour(Behaviour::Answer);
    caller
        .write([text("b"), text("c")].concat().as_bytes())
        .await;
    wait_for("all runs", async || fixture.runs() == 3).await;
    assert!(started_at.elapsed() < Duration::from_millis(500));
    assert_eq!(caller.read_response(false).await.status, 504);
    for id in ["b", "c"] {
        let res = caller.read_response(false).await;
        assert_eq!(res.text(), format!("answer to {id}"));
    }
    let took = started_at.elapsed();
    assert!(took < Duration::from_millis(900), "{took:?}");
    daemon.kill();
}

/// Two heads in one read: the second has both a length and an encoding, the first has neither.
#[tokio::test]
async fn an_ambiguous_request_behind_another_is_rejected() {
    let fixture = Fixture::new(2, route()).await;
    let daemon = fixture.start_daemon().await;
    let ambiguous = ClientRequest {
        method: "POST",
        id: "b",
        fields: "content-length: 4\r\ntransfer-encoding: chunked\r\n",
        ..ClientRequest::default()
    };
    let texts = [text("a"), ambiguous.text(), "0\r\n\r\n".into(), text("c")].concat();
    let mut caller = Caller::connect(daemon.front()).await;
    caller.write(texts.as_bytes()).await;
    assert_eq!(caller.read_response(false).await.text(), "answer to a");
    let res = caller.read_response(false).await;
    assert_eq!(res.status, 400);
    assert_eq!(res.field("connection"), Some("close"));
    assert_eq!(caller.read_response(false).await.status, 0);
    assert_eq!(fixture.runs(), 1);
    daemon.kill();
}

/// An answer breaks off while it is passed on: the connection ends there, and what is behind it is
/// neither answered nor left running.
#[tokio::test]
async fn nothing_follows_an_answer_that_breaks_off() {
    let fixture = Fixture::new(3, route()).await;
    let daemon = fixture.start_daemon().await;
    fixture.set_behaviour(Behaviour::LargeCutShort(200));
    let mut caller = Caller::connect(daemon.front()).await;
    caller.write(text("a").as_bytes()).await;
    wait_for("a run", async || fixture.runs() == 1).await;
    fixture.set_behaviour(Behaviour::Slow(SERVICE_MS));
    caller.write(text("b").as_bytes()).await;
    let res = caller.read_response(false).await;
    assert_eq!(res.status, 200);
    assert!(!res.complete);
    assert_eq!(caller.read_response(false).await.status, 0);
    tokio::time::sleep(SERVICE / 2).await;
    assert_eq!(fixture.runs() - 1, abandoned(&fixture));
    daemon.kill();
}

/// A request crosses an answer that closes the connection and of which the caller has read nothing.
#[tokio::test]
async fn a_request_that_crosses_the_last_answer_does_not_cut_it_off() {
    const SIZE: usize = 1 << 20;
    let fixture = Fixture::new(1, route()).await;
    let daemon = fixture.start_daemon().await;
    fixture.servers[0].set_behaviour(Behaviour::Large(SIZE >> 10));
    let mut caller = Caller::connect(daemon.front()).await;
    let stop = tokio::spawn(daemon.stop());
    tokio::time::sleep(Duration::from_millis(50)).await;
    caller.write(text("a").as_bytes()).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(caller.try_write(text("b").as_bytes()).await);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let res = caller.read_response(false).await;
    assert_eq!(res.field("connection"), Some("close"));
    assert_eq!((res.complete, res.body.len()), (true, SIZE));
    assert_eq!(caller.read_response(false).await.status, 0);
    assert!(stop.await.unwrap());
    assert_eq!(fixture.runs(), 1);
}

/// Large answers are passed on while they arrive. Once a route had one, its requests run in turn, so
/// that an answer which breaks off or is read slowly concerns no other.
#[tokio::test]
async fn requests_with_large_answers_run_in_turn() {
    let fixture = Fixture::new(3, route()).await;
    let daemon = fixture.start_daemon().await;
    let mut caller = Caller::connect(daemon.front()).await;
    for (ids, side_by_side) in [(["a", "b"], true), (["c", "d"], false)] {
        fixture.set_behaviour(Behaviour::Slow(SERVICE_MS));
        let runs = fixture.runs();
        caller.write(ids.map(text).concat().as_bytes()).await;
        tokio::time::sleep(SERVICE / 2).await;
        assert_eq!(fixture.runs() - runs == 2, side_by_side, "{ids:?}");
        for id in ids {
            let res = caller.read_response(false).await;
            assert_eq!(res.text(), format!("answer to {id}"));
        }
        fixture.set_behaviour(Behaviour::Large(200));
        caller.write(text("large").as_bytes()).await;
        let res = caller.read_response(false).await;
        assert_eq!((res.complete, res.body.len()), (true, 200 << 10));
    }
    daemon.kill();
}

/// Random requests in random parts, at servers that answer, fail, refuse and break off at random:
/// answers keep their order and their owners, and a request that may run once does.
#[tokio::test]
async fn any_mix_of_requests_is_answered_in_order() {
    const CONNECTIONS: usize = 80;
    let behaviours = [
        Behaviour::Answer,
        Behaviour::Answer,
        Behaviour::Slow(15),
        Behaviour::Fail,
        Behaviour::Shed,
        Behaviour::Reset,
        Behaviour::CutShort,
        Behaviour::ExtraResponse,
        Behaviour::WrongId,
    ];
    let orders = RouteRow {
        name: "r-2",
        prefix: "/orders/",
        idempotent: false,
        ..RouteRow::default()
    };
    let fixture = Fixture::without_config(4).await;
    let rows = [RouteRow::default(), orders];
    fixture.store.put_config(config_text(3, &rows, 15.0));
    let daemon = fixture.start_daemon().await;
    let mut rng = Pcg32::seed_from_u64(7);
    let mut served = 0;
    for connection in 0..CONNECTIONS {
        fixture.set_behaviour(behaviours[rng.random_range(0..behaviours.len())]);
        let ids: Vec<_> = (0..rng.random_range(1..7))
            .map(|i| format!("id-{connection}-{i}"))
            .collect();
        let texts: String = ids.iter().map(|id| any_request(id, &mut rng)).collect();
        let mut caller = Caller::connect(daemon.front()).await;
        let mut rest = texts.as_bytes();
        while !rest.is_empty() {
            let (part, next) = rest.split_at(rng.random_range(1..=rest.len()));
            caller.write(part).await;
            tokio::time::sleep(Duration::from_micros(rng.random_range(0..800))).await;
            rest = next;
        }
        for id in &ids {
            let res = caller.read_response(false).await;
            match res.status {
                200 => assert_eq!(res.text(), format!("answer to {id}")),
                500 => assert_eq!(res.text(), "failed", "{id}"),
                502..=504 => {}
                other => panic!("status {other} for {id}"),
            }
            assert!(res.complete, "{id}");
            served += usize::from(res.status == 200);
        }
    }
    assert!(served > CONNECTIONS, "{served}");
    let runs: Vec<_> = fixture
        .servers
        .iter()
        .flat_map(StandInServer::executed)
        .filter(|r| r.request_line.contains("/orders/"))
        .map(|r| r.id)
        .collect();
    let ids: HashSet<_> = runs.iter().collect();
    assert_eq!(ids.len(), runs.len(), "an order ran twice");
    daemon.kill();
}

fn any_request(id: &str, rng: &mut Pcg32) -> String {
    let kind = rng.random_range(0..5);
    ClientRequest {
        method: if kind < 3 { "GET" } else { "POST" },
        target: if kind < 3 { "/jobs/1" } else { "/orders/1" },
        id,
        body: if kind < 3 {
            ""
        } else {
            "GET / HTTP/1.1\r\n\r\n"
        },
        chunked: kind == 4,
        deadline_ms: 500,
        ..ClientRequest::default()
    }
    .text()
}
