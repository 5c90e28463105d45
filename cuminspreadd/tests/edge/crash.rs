//! Requests that crash servers are refused by all daemons.

use std::time::Duration;

use cuminspread_platform::standin::client::ClientRequest;
use cuminspread_platform::standin::server::Behaviour;
use cuminspread_platform::standin::store::RouteRow;
use cuminspreadd::edge::run::EdgeDaemon;

use crate::fixture::{Fixture, send};

const CRASHING_REQUEST: ClientRequest<'_> = ClientRequest {
    method: "POST",
    target: "/jobs/7",
    id: "poison",
    deadline_ms: 2000,
    fields: "",
    body: "a page that crashes the printer",
    chunked: false,
};

/// A request crashes three servers, one after the other, through two daemons. Both must then refuse
/// it, since it would crash every server in turn, and still serve other requests.
#[tokio::test]
async fn a_request_that_crashes_servers_is_refused_by_the_whole_fleet() {
    let route = RouteRow {
        max_attempts: 1,
        ..RouteRow::default()
    };
    let fixture = Fixture::new(6, route).await;
    let first = fixture.start_daemon().await;
    let (settings, edge_settings) = fixture.settings(&[first.peer()]);
    let second = EdgeDaemon::start(settings, edge_settings).await.unwrap();
    fixture.wait_ready(&second).await;
    fixture.set_behaviour(Behaviour::Crash);
    let daemons = [&first, &second];
    for daemon in [&first, &second, &first] {
        let before = fixture.runs();
        assert_eq!(send(daemon, &CRASHING_REQUEST).await.status, 502);
        assert_eq!(fixture.runs(), before + 1);
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    // The fleet must know of the crashes within 3 s.
    tokio::time::sleep(Duration::from_secs(1)).await;
    for daemon in daemons {
        assert_eq!(send(daemon, &CRASHING_REQUEST).await.status, 503);
    }
    assert_eq!(fixture.runs(), 3, "the other servers must not get it");
    fixture.set_behaviour(Behaviour::Answer);
    for daemon in daemons {
        let other = ClientRequest {
            body: "a page",
            ..CRASHING_REQUEST
        };
        assert_eq!(send(daemon, &other).await.status, 200);
    }
    first.kill();
    second.kill();
}
