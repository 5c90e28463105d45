//! A small deployment.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cuminspread::state::Name;
use cuminspread_platform::standin::client::ClientRequest;
use cuminspread_platform::standin::server::StandInServer;
use cuminspread_platform::standin::store::{RouteRow, StandInStore, config_text};
use cuminspreadd::edge::run::EdgeDaemon;
use cuminspreadd::edge::settings::EdgeSettings;
use cuminspreadd::settings::Settings;
use serde_json::json;

use crate::caller::{self, Response};

/// Bound on news, of the users' sites.
pub const BOUND: Duration = Duration::from_secs(2);
/// Service of most routes.
pub const STATUS: &str = "status";

/// A store and some servers.
pub struct Site {
    pub store: StandInStore,
    pub servers: Vec<StandInServer>,
}

impl Site {
    /// Servers of one service, and one route to it.
    pub async fn new(servers: usize, route: RouteRow) -> Self {
        let site = Self::without_config(servers).await;
        site.store.put_config(config_text(3, &[route], 15.0));
        site
    }

    /// Servers of one service that no route leads to.
    pub async fn without_config(servers: usize) -> Self {
        let store = StandInStore::start().await;
        let mut started = Vec::new();
        for i in 0..servers {
            let server = StandInServer::start(&format!("i-{i}")).await;
            store.put_server(server.id(), STATUS, server.address(), &json!({}));
            started.push(server);
        }
        Self {
            store,
            servers: started,
        }
    }

    /// Settings of a daemon that knows the store and some seeds.
    pub fn settings(&self, seeds: &[SocketAddr]) -> (Settings, EdgeSettings) {
        let settings = Settings {
            name: Name::new("vm"),
            data_centre: Name::new("here"),
            seed: 1,
            ..Settings::default()
        };
        let platform = EdgeSettings {
            store: self.store.address(),
            seeds: seeds.to_vec(),
            ..EdgeSettings::default()
        };
        (settings, platform)
    }

    /// Starts a daemon without peers and waits until it is ready.
    pub async fn daemon(&self) -> EdgeDaemon {
        let (settings, platform) = self.settings(&[]);
        let daemon = EdgeDaemon::start(settings, platform).await.unwrap();
        self.wait_ready(&daemon).await;
        daemon
    }

    pub async fn wait_ready(&self, daemon: &EdgeDaemon) {
        wait_for("readiness", async || is_ready(daemon).await).await;
    }

    /// Runs of all servers.
    pub fn runs(&self) -> usize {
        self.servers.iter().map(|s| s.executed().len()).sum()
    }
}

/// Whether the platform would send connections to a daemon.
pub async fn is_ready(daemon: &EdgeDaemon) -> bool {
    let path = cuminspread_platform::headers::READY_PATH;
    let text = format!("GET {path} HTTP/1.1\r\nhost: vm\r\n\r\n");
    caller::send(daemon.readiness(), &text).await.status == 200
}

/// Sends one request on a connection of its own.
pub async fn send(daemon: &EdgeDaemon, req: &ClientRequest<'_>) -> Response {
    caller::send(daemon.front(), &req.text()).await
}

/// Waits until something holds.
pub async fn wait_for(what: &str, mut holds: impl AsyncFnMut() -> bool) -> Duration {
    let began = Instant::now();
    while !holds().await {
        assert!(began.elapsed() < caller::WAIT_TIMEOUT, "no {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    began.elapsed()
}
