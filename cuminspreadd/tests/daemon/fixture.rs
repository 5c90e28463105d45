//! A daemon with one council and one service, for the tests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cuminspread::state::council::{CouncilConfig, Route, ServerConfig, ServiceConfig};
use cuminspreadd::daemon::Daemon;
use cuminspreadd::settings::Settings;

use super::stub_server::StubServer;

pub fn service(servers: &[SocketAddr]) -> ServiceConfig {
    let server = |(i, address): (usize, &SocketAddr)| ServerConfig {
        name: format!("server-{i}").into(),
        address: *address,
        data_centre: "hall".into(),
        slots: 6,
        connections: 250,
        leaving: false,
    };
    ServiceConfig {
        council: "vestfjord".into(),
        name: "print".into(),
        routes: vec![
            Route {
                methods: vec!["GET".into(), "HEAD".into()],
                path: "/jobs/*".into(),
                idempotent: true,
            },
            Route {
                methods: vec!["POST".into()],
                path: "/orders".into(),
                idempotent: false,
            },
        ],
        servers: servers.iter().enumerate().map(server).collect(),
        deadline: Duration::from_secs(5),
        ..ServiceConfig::default()
    }
}

pub fn council(service: ServiceConfig) -> CouncilConfig {
    CouncilConfig {
        council: "vestfjord".into(),
        probe_budget: 1.0,
        services: vec![Arc::new(service)],
        ..CouncilConfig::default()
    }
}

pub fn settings() -> Settings {
    Settings {
        name: "vm-1".into(),
        data_centre: "hall".into(),
        peer_keys: vec!["a secret of the tests".to_owned()],
        seed: 7,
        stop_bound: Duration::from_secs(20),
        ..Settings::default()
    }
}

/// Starts a daemon with this service.
pub async fn daemon(settings: Settings, service: ServiceConfig) -> Daemon {
    let daemon = Daemon::start(settings).await.unwrap();
    daemon.activate_config(council(service));
    daemon
}

/// Starts a daemon whose service has one stub server.
pub async fn daemon_for(stub: &StubServer) -> Daemon {
    daemon(settings(), service(&[stub.address])).await
}
