//! A server that turns a request away and names a pause is left alone for that time.

use std::time::{Duration, Instant};

use cuminspread_platform::standin::client::ClientRequest;
use cuminspread_platform::standin::server::{Behaviour, StandInServer};
use cuminspread_platform::standin::store::RouteRow;
use cuminspreadd::edge::run::EdgeDaemon;
use tokio::time::sleep;

use crate::fixture::{Fixture, STATUS_SERVICE, send, wait_for};

const PAUSE: Duration = Duration::from_secs(3);

async fn status(daemon: &EdgeDaemon) -> u16 {
    send(daemon, &ClientRequest::default()).await.status
}

/// Lets `server` turn a request of the daemon away with a pause; `other` is full meanwhile, so the
/// daemon has no choice.
async fn turn_away(
    daemon: &EdgeDaemon,
    server: &StandInServer,
    other: &StandInServer,
    pause: &str,
) {
    other.set_running(4);
    server.set_behaviour(Behaviour::Shed);
    server.set_pause(pause);
    wait_for("a refusal", async || {
        status(daemon).await;
        !server.arrivals().is_empty()
    })
    .await;
}

#[tokio::test]
async fn a_server_that_names_a_pause_gets_nothing_until_its_end() {
    struct Case {
        /// Pause in the server's refusals, in seconds.
        pause: &'static str,
        /// The server is left alone.
        kept: bool,
    }
    let cases = [
        Case {
            pause: "3",
            kept: true,
        },
        Case {
            pause: "soon",
            kept: false,
        },
    ];
    for case in cases {
        let fixture = Fixture::new(2, RouteRow::default()).await;
        let daemon = fixture.start_daemon().await;
        let [server, other] = fixture.servers.as_slice() else {
            panic!("two servers");
        };
        turn_away(&daemon, server, other, case.pause).await;
        let began = Instant::now();
        other.set_running(0);
        let (before, probes) = (server.arrivals().len(), server.probes());
        while began.elapsed() < PAUSE.mul_f32(0.9) {
            let is_answered = status(&daemon).await == 200;
            assert!(is_answered || !case.kept, "the other server is free");
            sleep(Duration::from_millis(20)).await;
        }
        let left_alone = server.arrivals().len() == before && server.probes() == probes;
        assert_eq!(left_alone, case.kept, "{}", case.pause);
        server.set_behaviour(Behaviour::Answer);
        other.set_running(4);
        wait_for("the end of the pause", async || {
            status(&daemon).await;
            server.arrivals().len() > before
        })
        .await;
        daemon.kill();
    }
}

#[tokio::test]
async fn a_probe_that_is_turned_away_begins_a_pause() {
    let fixture = Fixture::new(2, RouteRow::default()).await;
    let daemon = fixture.start_daemon().await;
    let [server, _] = fixture.servers.as_slice() else {
        panic!("two servers");
    };
    server.set_probe_pause("3");
    wait_for("a probe", async || {
        // A request right after another one uses the report of the other server without a probe.
        sleep(Duration::from_millis(20)).await;
        status(&daemon).await;
        server.probes() > 0
    })
    .await;
    let began = Instant::now();
    // The answer to the probe may still be on its way.
    sleep(Duration::from_millis(100)).await;
    let (before, probes) = (server.arrivals().len(), server.probes());
    while began.elapsed() < PAUSE.mul_f32(0.9) {
        assert_eq!(status(&daemon).await, 200);
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!((server.arrivals().len(), server.probes()), (before, probes));
    daemon.kill();
}

#[tokio::test]
async fn requests_are_refused_at_once_while_all_servers_pause() {
    let fixture = Fixture::new(2, RouteRow::default()).await;
    let daemon = fixture.start_daemon().await;
    for server in &fixture.servers {
        server.set_behaviour(Behaviour::Shed);
        server.set_pause("30");
    }
    wait_for("both refusals", async || {
        status(&daemon).await;
        fixture.servers.iter().all(|s| !s.arrivals().is_empty())
    })
    .await;
    let before: Vec<usize> = fixture.servers.iter().map(|s| s.arrivals().len()).collect();
    for _ in 0..10 {
        let began = Instant::now();
        let res = send(&daemon, &ClientRequest::default()).await;
        assert_eq!(res.status, 503);
        assert!(res.text().contains("paused"), "{}", res.text());
        let retry_after = res.field("retry-after").and_then(|v| v.parse::<f64>().ok());
        assert!(retry_after.is_some_and(|s| s >= 1.0), "{}", res.head);
        assert!(began.elapsed() < Duration::from_millis(100));
    }
    let after: Vec<usize> = fixture.servers.iter().map(|s| s.arrivals().len()).collect();
    assert_eq!(after, before);
    daemon.kill();
}

#[tokio::test]
async fn a_pause_outlives_an_entry_that_lapses() {
    let fixture = Fixture::new(2, RouteRow::default()).await;
    let daemon = fixture.start_daemon().await;
    let [server, other] = fixture.servers.as_slice() else {
        panic!("two servers");
    };
    turn_away(&daemon, server, other, "20").await;
    other.set_running(0);
    let (before, probes) = (server.arrivals().len(), server.probes());
    fixture.store.delete_server(server.id());
    sleep(PAUSE / 2).await;
    let (id, address) = (server.id(), server.address());
    fixture.store.put_report(id, STATUS_SERVICE, address, 9);
    sleep(PAUSE / 2).await;
    for _ in 0..20 {
        assert_eq!(status(&daemon).await, 200);
    }
    assert_eq!((server.arrivals().len(), server.probes()), (before, probes));
    daemon.kill();
}
