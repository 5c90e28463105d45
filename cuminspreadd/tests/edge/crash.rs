//! Requests that crash the servers that run them.

use std::time::Duration;

use cuminspread_platform::standin::client::ClientRequest;
use cuminspread_platform::standin::server::Behaviour;
use cuminspread_platform::standin::store::RouteRow;
use cuminspreadd::edge::run::EdgeDaemon;

use crate::site::{Site, send};

const POISON: ClientRequest<'_> = ClientRequest {
    method: "POST",
    target: "/jobs/7",
    id: "poison",
    deadline_ms: 2000,
    fields: "",
    body: "a page that crashes the printer",
    chunked: false,
};

/// Three servers are lost to one request, seen by two daemons; then both refuse it and serve others.
#[tokio::test]
async fn a_request_that_crashes_servers_is_refused_by_the_whole_fleet() {
    let route = RouteRow {
        max_attempts: 1,
        ..RouteRow::default()
    };
    let site = Site::new(6, route).await;
    let first = site.daemon().await;
    let (settings, platform) = site.settings(&[first.peer()]);
    let second = EdgeDaemon::start(settings, platform).await.unwrap();
    site.wait_ready(&second).await;
    for server in &site.servers {
        server.set_behaviour(Behaviour::Crash);
    }
    let daemons = [&first, &second];
    for daemon in [&first, &second, &first] {
        let before = site.runs();
        assert_eq!(send(daemon, &POISON).await.status, 502);
        assert_eq!(site.runs(), before + 1);
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    // Far within the 3 s that the fleet has to learn it.
    tokio::time::sleep(Duration::from_secs(1)).await;
    for daemon in daemons {
        assert_eq!(send(daemon, &POISON).await.status, 503);
    }
    assert_eq!(site.runs(), 3, "the other servers don't get it");
    for server in &site.servers {
        server.set_behaviour(Behaviour::Answer);
    }
    for daemon in daemons {
        let other = ClientRequest {
            body: "a page",
            ..POISON
        };
        assert_eq!(send(daemon, &other).await.status, 200);
    }
    first.kill();
    second.kill();
}
