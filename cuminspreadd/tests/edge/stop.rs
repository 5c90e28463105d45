//! Graceful stops: no accepted request is lost, and the process ends within its grace period.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cuminspread::coordination::mesh::MeshSettings;
use cuminspread_platform::standin::client::ClientRequest;
use cuminspread_platform::standin::server::{Behaviour, StandInServer};
use cuminspread_platform::standin::store::{Mode, RouteRow, StandInStore, config_text};
use cuminspreadd::edge::run::EdgeDaemon;
use cuminspreadd::edge::settings::EdgeSettings;
use tokio::net::TcpStream;

use crate::caller::{self, Caller};
use crate::fixture::{Fixture, UPDATE_BOUND, is_ready, start_fleet, wait_for};
use crate::forwarding::start_cut_fleet;

/// Default time between SIGTERM and SIGKILL.
const GRACE: Duration = Duration::from_secs(6);

#[tokio::test]
async fn open_connections_are_served_until_they_close() {
    let fixture = Fixture::new(2, RouteRow::default()).await;
    let daemon = fixture.start_daemon().await;
    let front = daemon.front();
    let mut kept = Caller::connect(front).await;
    kept.write(ClientRequest::default().text().as_bytes()).await;
    assert_eq!(kept.read_response(false).await.status, 200);
    let mut idle = Caller::connect(front).await;
    let started_at = Instant::now();
    let stop = tokio::spawn(daemon.stop());
    tokio::time::sleep(Duration::from_millis(300)).await;
    // The platform sends new connections until two of its readiness checks have failed.
    let mut sent = 0;
    while started_at.elapsed() < Duration::from_millis(2500) {
        let mut new = Caller::connect(front).await;
        new.write(ClientRequest::default().text().as_bytes()).await;
        assert_eq!(new.read_response(false).await.status, 200);
        sent += 1;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(sent > 10);
    kept.write(ClientRequest::default().text().as_bytes()).await;
    let res = kept.read_response(false).await;
    assert_eq!(res.status, 200);
    assert_eq!(res.field("connection"), Some("close"));
    assert_eq!(
        idle.read_response(false).await.status,
        0,
        "the idle connection is closed without a response"
    );
    assert!(stop.await.unwrap(), "every request ended");
    assert!(started_at.elapsed() < GRACE);
}

#[tokio::test]
async fn requests_in_flight_are_completed() {
    let route = RouteRow {
        idempotent: false,
        timeout_s: 10.0,
        ..RouteRow::default()
    };
    let fixture = Fixture::new(1, route).await;
    let daemon = fixture.start_daemon().await;
    fixture.servers[0].set_behaviour(Behaviour::Slow(3500));
    let mut caller = Caller::connect(daemon.front()).await;
    let req = ClientRequest {
        deadline_ms: 9000,
        ..ClientRequest::default()
    };
    caller.write(req.text().as_bytes()).await;
    wait_for("a run", async || fixture.runs() == 1).await;
    let stop = tokio::spawn(daemon.stop());
    assert_eq!(caller.read_response(false).await.status, 200);
    assert!(stop.await.unwrap());
}

#[tokio::test]
async fn readiness_fails_at_once_and_the_process_ends_in_time() {
    let fixture = Fixture::new(1, RouteRow::default()).await;
    let daemon = fixture.start_daemon().await;
    fixture.servers[0].set_behaviour(Behaviour::Hang);
    let req = ClientRequest {
        deadline_ms: 60_000,
        ..ClientRequest::default()
    };
    let mut caller = Caller::connect(daemon.front()).await;
    caller.write(req.text().as_bytes()).await;
    assert!(is_ready(&daemon).await);
    let readiness = daemon.readiness();
    let started_at = Instant::now();
    let stop = tokio::spawn(daemon.stop());
    tokio::time::sleep(Duration::from_millis(100)).await;
    let path = cuminspread_platform::headers::READY_PATH;
    let text = format!("GET {path} HTTP/1.1\r\nhost: vm\r\n\r\n");
    assert_eq!(crate::caller::send(readiness, &text).await.status, 503);
    stop.await.unwrap();
    assert!(started_at.elapsed() < GRACE, "{:?}", started_at.elapsed());
}

#[tokio::test]
async fn waiting_requests_are_refused() {
    let route = RouteRow {
        idempotent: false,
        timeout_s: 20.0,
        latency_target_s: 10.0,
        ..RouteRow::default()
    };
    let fixture = Fixture::new(1, route).await;
    let daemon = fixture.start_daemon().await;
    // All slots are taken, so that the request waits in the daemon.
    fixture.servers[0].set_running(4);
    let mut caller = Caller::connect(daemon.front()).await;
    let req = ClientRequest {
        deadline_ms: 18_000,
        ..ClientRequest::default()
    };
    caller.write(req.text().as_bytes()).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let started_at = Instant::now();
    let stop = tokio::spawn(daemon.stop());
    let res = caller.read_response(false).await;
    assert_eq!(res.status, 503);
    assert!(res.field("retry-after").is_some());
    assert!(started_at.elapsed() < Duration::from_millis(3500));
    assert!(stop.await.unwrap());
    assert_eq!(fixture.runs(), 0);
}

/// Guards against requests that are sent to servers late in a stop, and cut without an answer when the
/// process ends (issue 49).
#[tokio::test]
async fn what_is_sent_to_a_server_during_a_stop_is_answered_before_its_end() {
    struct Case {
        name: &'static str,
        /// The first estimate of the time that requests take is about a third of it.
        latency_target_s: f64,
        work_ms: u64,
        sent_after_ms: u64,
        status: u16,
    }
    let cases = [
        Case {
            name: "early, with time enough",
            latency_target_s: 2.0,
            work_ms: 3000,
            sent_after_ms: 300,
            status: 200,
        },
        Case {
            name: "late and short",
            latency_target_s: 2.0,
            work_ms: 1500,
            sent_after_ms: 2500,
            status: 200,
        },
        Case {
            name: "late, and longer than it is known to take",
            latency_target_s: 2.0,
            work_ms: 5000,
            sent_after_ms: 2500,
            status: 504,
        },
        Case {
            name: "late, and as long as it is known to take",
            latency_target_s: 11.0,
            work_ms: 4000,
            sent_after_ms: 2500,
            status: 503,
        },
        Case {
            name: "early, and as long as it is known to take",
            latency_target_s: 11.0,
            work_ms: 4000,
            sent_after_ms: 500,
            status: 200,
        },
    ];
    for case in cases {
        let route = RouteRow {
            idempotent: false,
            timeout_s: 10.0,
            latency_target_s: case.latency_target_s,
            ..RouteRow::default()
        };
        let fixture = Fixture::new(1, route).await;
        let daemon = fixture.start_daemon().await;
        fixture.set_behaviour(Behaviour::Work(case.work_ms));
        let front = daemon.front();
        let mut caller = Caller::connect(front).await;
        let began = Instant::now();
        let stop = tokio::spawn(daemon.stop());
        tokio::time::sleep(Duration::from_millis(case.sent_after_ms)).await;
        let req = ClientRequest {
            method: "POST",
            body: "two pages",
            deadline_ms: 9000,
            ..ClientRequest::default()
        };
        caller.write(req.text().as_bytes()).await;
        let res = caller.read_response(false).await;
        assert!(began.elapsed() < GRACE, "{}", case.name);
        assert_eq!(res.status, case.status, "{}", case.name);
        let runs = usize::from(case.status != 503);
        assert_eq!(fixture.runs(), runs, "{}", case.name);
        drop(caller);
        assert!(stop.await.unwrap(), "{}: every request ended", case.name);
    }
}

/// Guards against sending a request, to a server or to a peer, whose body arrives when the stop leaves no time
/// for its answer.
#[tokio::test]
async fn a_request_whose_body_arrives_late_in_a_stop_is_refused() {
    for forwarded in [false, true] {
        let route = RouteRow {
            idempotent: false,
            timeout_s: 10.0,
            ..RouteRow::default()
        };
        let fixture = Fixture::new(1, route).await;
        let mut daemons = if forwarded {
            start_cut_fleet(&fixture, 2, 1).await
        } else {
            vec![fixture.start_daemon().await]
        };
        let daemon = daemons.remove(0);
        let runs = fixture.runs();
        let mut caller = Caller::connect(daemon.front()).await;
        let req = ClientRequest {
            method: "POST",
            body: "two pages",
            deadline_ms: 9000,
            ..ClientRequest::default()
        };
        let text = req.text();
        let (start, end) = text.split_at(text.len() - 5);
        caller.write(start.as_bytes()).await;
        let stop = tokio::spawn(daemon.stop());
        tokio::time::sleep(Duration::from_millis(3500)).await;
        caller.write(end.as_bytes()).await;
        let res = caller.read_response(false).await;
        assert_eq!(res.status, 503, "forwarded={forwarded}");
        assert!(res.field("retry-after").is_some());
        assert_eq!(fixture.runs(), runs, "forwarded={forwarded}");
        drop(caller);
        assert!(stop.await.unwrap(), "forwarded={forwarded}");
        daemons.into_iter().for_each(EdgeDaemon::kill);
    }
}

/// Guards against a stop that takes longer than a short grace period, and is cut by its end.
#[tokio::test]
async fn a_stop_ends_within_a_short_grace_period() {
    const SHORT_GRACE: Duration = Duration::from_secs(2);
    let fixture = Fixture::new(1, RouteRow::default()).await;
    let (settings, edge_settings) = fixture.settings(&[]);
    let edge_settings = EdgeSettings {
        grace: SHORT_GRACE,
        ..edge_settings
    };
    let daemon = EdgeDaemon::start(settings, edge_settings).await.unwrap();
    fixture.wait_ready(&daemon).await;
    fixture.set_behaviour(Behaviour::Work(700));
    let mut caller = Caller::connect(daemon.front()).await;
    let began = Instant::now();
    let stop = tokio::spawn(daemon.stop());
    tokio::time::sleep(SHORT_GRACE / 4).await;
    caller
        .write(ClientRequest::default().text().as_bytes())
        .await;
    assert_eq!(caller.read_response(false).await.status, 200);
    assert!(stop.await.unwrap(), "every request ended");
    assert!(began.elapsed() < SHORT_GRACE, "{:?}", began.elapsed());
}

/// Callers keep connecting until the daemon no longer listens. What it cuts off without an answer, as
/// the connection crosses its close, no server has run.
#[tokio::test]
async fn nothing_that_was_passed_on_is_cut_off_under_load() {
    const CALLERS: usize = 24;
    let fixture = Fixture::new(4, RouteRow::default()).await;
    let daemon = fixture.start_daemon().await;
    fixture.set_behaviour(Behaviour::Slow(20));
    let front = daemon.front();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| tokio::spawn(send_until_refused(front, caller)))
        .collect();
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(daemon.stop().await, "every request ended");
    let (mut answered, mut cut) = (0, Vec::new());
    for caller in callers {
        let (count, ids) = caller.await.unwrap();
        answered += count;
        cut.extend(ids);
    }
    assert!(answered > 10 * CALLERS, "{answered}");
    let runs: Vec<_> = fixture
        .servers
        .iter()
        .flat_map(StandInServer::executed)
        .collect();
    let lost: Vec<_> = cut
        .iter()
        .filter(|id| runs.iter().any(|r| r.id == **id))
        .collect();
    assert!(lost.is_empty(), "{lost:?} of {cut:?}");
    // Requests behind a response that closes the connection count as not read.
    let first = cut.iter().filter(|id| id.ends_with("-0")).count();
    assert!(first <= CALLERS, "{first} first requests of a connection");
}

/// Sends requests on new connections until none is accepted; returns the number of answers, and the
/// ids that got none.
async fn send_until_refused(front: SocketAddr, caller: usize) -> (usize, Vec<String>) {
    let (mut answered, mut cut) = (0, Vec::new());
    for round in 0.. {
        let Ok(stream) = TcpStream::connect(front).await else {
            break;
        };
        let mut connection = Caller::new(stream);
        // Every other caller sends two requests at once.
        let ids: Vec<_> = (0..=caller % 2)
            .map(|i| format!("{caller}-{round}-{i}"))
            .collect();
        for id in &ids {
            let req = ClientRequest {
                id,
                ..ClientRequest::default()
            };
            connection.try_write(req.text().as_bytes()).await;
        }
        for id in ids {
            let res = connection.read_response(false).await;
            if res.complete {
                answered += 1;
            } else {
                cut.push(id);
            }
        }
    }
    (answered, cut)
}

/// Guards against daemons that their peers no longer send updates to since they are stopping, although
/// they still serve callers (issue 49). The store refuses the daemon, and it sends no further hello, so
/// that it depends on what its peers send of their own accord.
#[tokio::test]
async fn a_change_reaches_a_daemon_that_is_stopping() {
    let fixture = Fixture::new(1, RouteRow::default()).await;
    let fleet = start_fleet(&fixture, 3).await;
    let refusing = StandInStore::start().await;
    refusing.set_mode(Mode::Busy);
    let (settings, edge_settings) = fixture.settings(&[fleet[0].peer()]);
    let mesh = MeshSettings {
        hello_interval: Duration::from_secs(60),
        ..MeshSettings::default()
    };
    let edge_settings = EdgeSettings {
        store: refusing.address(),
        mesh,
        ..edge_settings
    };
    let daemon = EdgeDaemon::start(settings, edge_settings).await.unwrap();
    fixture.wait_ready(&daemon).await;
    // Its last hello for now, after the one that found a peer.
    tokio::time::sleep(2 * MeshSettings::default().search_interval).await;
    let front = daemon.front();
    let stop = tokio::spawn(daemon.stop());
    // Its peers have heard of the stop by then.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let elsewhere = RouteRow {
        prefix: "/elsewhere/",
        ..RouteRow::default()
    };
    let config = config_text(10, &[elsewhere], 15.0);
    fixture.store.put_config(config);
    let changed_at = Instant::now();
    let dropped_route = ClientRequest::default().text();
    loop {
        let res = caller::send(front, &dropped_route).await;
        if res.status == 404 {
            break;
        }
        assert_eq!(res.status, 200);
        let elapsed = changed_at.elapsed();
        assert!(
            elapsed < UPDATE_BOUND,
            "a dropped route is served after {elapsed:?}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(stop.await.unwrap(), "every request ended");
    fleet.into_iter().for_each(EdgeDaemon::kill);
}
