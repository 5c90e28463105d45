//! A store and servers for the tests, and helpers to start daemons and send requests.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cuminspread::state::Name;
use cuminspread_platform::standin::client::ClientRequest;
use cuminspread_platform::standin::server::{Behaviour, StandInServer};
use cuminspread_platform::standin::store::{RouteRow, StandInStore, config_text};
use cuminspreadd::edge::run::EdgeDaemon;
use cuminspreadd::edge::settings::EdgeSettings;
use cuminspreadd::settings::Settings;
use serde_json::json;

use crate::caller::{self, Response};

/// Time within which a change in the store must take effect at all daemons; required by the users.
pub const UPDATE_BOUND: Duration = Duration::from_secs(2);
/// Service of most routes and servers in the tests.
pub const STATUS_SERVICE: &str = "status";

/// A running store and its servers.
pub struct Fixture {
    pub store: StandInStore,
    pub servers: Vec<StandInServer>,
}

impl Fixture {
    /// Starts servers of one service, with one route to it.
    pub async fn new(servers: usize, route: RouteRow) -> Self {
        let fixture = Self::without_config(servers).await;
        fixture.store.put_config(config_text(3, &[route], 15.0));
        fixture
    }

    /// Starts servers of one service without a configuration in the store.
    pub async fn without_config(servers: usize) -> Self {
        let store = StandInStore::start().await;
        let mut started = Vec::new();
        for i in 0..servers {
            let server = StandInServer::start(&format!("i-{i}")).await;
            store.put_server(server.id(), STATUS_SERVICE, server.address(), &json!({}));
            started.push(server);
        }
        Self {
            store,
            servers: started,
        }
    }

    /// Settings of a daemon with this store and these seeds.
    pub fn settings(&self, seeds: &[SocketAddr]) -> (Settings, EdgeSettings) {
        let settings = Settings {
            name: Name::new("vm"),
            data_centre: Name::new("here"),
            seed: 1,
            ..Settings::default()
        };
        let edge_settings = EdgeSettings {
            store: self.store.address(),
            seeds: seeds.to_vec(),
            forward: Some(SocketAddr::from(([127, 0, 0, 1], 0))),
            ..EdgeSettings::default()
        };
        (settings, edge_settings)
    }

    /// Starts a daemon without peers and waits until it is ready.
    pub async fn start_daemon(&self) -> EdgeDaemon {
        let (settings, edge_settings) = self.settings(&[]);
        let daemon = EdgeDaemon::start(settings, edge_settings).await.unwrap();
        self.wait_ready(&daemon).await;
        daemon
    }

    pub async fn wait_ready(&self, daemon: &EdgeDaemon) {
        wait_for("readiness", async || is_ready(daemon).await).await;
    }

    /// Sets the behaviour of all servers for requests from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        for server in &self.servers {
            server.set_behaviour(behaviour);
        }
    }

    /// Number of requests that all servers together have run.
    pub fn runs(&self) -> usize {
        self.servers.iter().map(|s| s.executed().len()).sum()
    }
}

/// Starts daemons one after the other, each with the first as its seed.
pub async fn start_fleet(fixture: &Fixture, count: usize) -> Vec<EdgeDaemon> {
    let first = fixture.start_daemon().await;
    let seed: SocketAddr = first.peer();
    let mut daemons = vec![first];
    for _ in 1..count {
        let (settings, edge_settings) = fixture.settings(&[seed]);
        let daemon = EdgeDaemon::start(settings, edge_settings).await.unwrap();
        fixture.wait_ready(&daemon).await;
        daemons.push(daemon);
    }
    daemons
}

/// Whether a daemon answers the platform's readiness check with 200.
pub async fn is_ready(daemon: &EdgeDaemon) -> bool {
    let path = cuminspread_platform::headers::READY_PATH;
    let text = format!("GET {path} HTTP/1.1\r\nhost: vm\r\n\r\n");
    caller::send(daemon.readiness(), &text).await.status == 200
}

/// What the admin listener answers to a request for a path.
pub async fn get(daemon: &EdgeDaemon, path: &str) -> String {
    let text = format!("GET {path} HTTP/1.1\r\nhost: vm\r\n\r\n");
    caller::send(daemon.admin(), &text).await.text()
}

/// Sends one request on a new connection and reads the response.
pub async fn send(daemon: &EdgeDaemon, req: &ClientRequest<'_>) -> Response {
    caller::send(daemon.front(), &req.text()).await
}

/// Waits until `condition` returns true; returns the time that took.
pub async fn wait_for(what: &str, mut condition: impl AsyncFnMut() -> bool) -> Duration {
    let started_at = Instant::now();
    while !condition().await {
        assert!(started_at.elapsed() < caller::WAIT_TIMEOUT, "no {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    started_at.elapsed()
}
