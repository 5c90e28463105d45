//! Subcommands against running daemons in store mode.

use std::process::Command;
use std::time::Duration;

use cuminspread::state::Name;
use cuminspread_platform::standin::client::ClientRequest;
use cuminspread_platform::standin::server::{Behaviour, StandInServer};
use cuminspread_platform::standin::store::{RouteRow, StandInStore, config_text, with_cold_rate};
use cuminspreadd::edge::run::EdgeDaemon;
use cuminspreadd::edge::settings::EdgeSettings;
use cuminspreadd::settings::Settings;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

struct Case {
    args: &'static [&'static str],
    /// The store has a configuration.
    configured: bool,
    /// Expected exit status.
    status: i32,
    /// Texts that standard output must contain.
    output: &'static [&'static str],
}

/// Settings of a daemon named `vm-1` with this store.
fn settings(store: &StandInStore) -> (Settings, EdgeSettings) {
    let settings = Settings {
        name: Name::new("vm-1"),
        data_centre: Name::new("here"),
        ..Settings::default()
    };
    let edge_settings = EdgeSettings {
        store: store.address(),
        ..EdgeSettings::default()
    };
    (settings, edge_settings)
}

#[tokio::test(flavor = "multi_thread")]
async fn subcommands_print_the_state_of_a_daemon_with_a_store() {
    let cases = [
        Case {
            args: &["fleet"],
            configured: true,
            status: 0,
            output: &[
                "vm-1 in here: ready, 0 requests in flight, version 3 with 1 routes",
                "by this one",
                "status: 1 servers, 0 leaving, 0 failing",
            ],
        },
        Case {
            args: &["fleet"],
            configured: false,
            status: 1,
            output: &["vm-1 in here: not ready"],
        },
        Case {
            args: &["status"],
            configured: true,
            status: 0,
            output: &[
                "version 3 with 1 routes",
                "in force for",
                "store read",
                "refused: none",
            ],
        },
        Case {
            args: &["status", "--json"],
            configured: true,
            status: 0,
            output: &["\"name\": \"vm-1\"", "\"store_age_ms\"", "\"peers\": []"],
        },
        Case {
            args: &["servers"],
            configured: true,
            status: 0,
            output: &["vm-1", "i-1 status 127.0.0.1", "report none", "strikes 0"],
        },
        Case {
            args: &["versions"],
            configured: true,
            status: 0,
            output: &["routes: agree", "vm-1 3"],
        },
        Case {
            args: &["versions"],
            configured: false,
            status: 0,
            output: &["vm-1 none"],
        },
        Case {
            args: &["top", "--count", "2", "--interval-ms", "10"],
            configured: true,
            status: 0,
            output: &["vm-1 ready", "calls/s"],
        },
    ];
    for case in cases {
        let store = StandInStore::start().await;
        let server = StandInServer::start("i-1").await;
        let no_overrides = serde_json::json!({});
        store.put_server("i-1", "status", server.address(), &no_overrides);
        if case.configured {
            store.put_config(config_text(3, &[RouteRow::default()], 15.0));
        }
        let (settings, edge_settings) = settings(&store);
        let daemon = EdgeDaemon::start(settings, edge_settings)
            .await
            .expect("free ports");
        tokio::time::sleep(Duration::from_millis(800)).await;
        let output = Command::new(env!("CARGO_BIN_EXE_cumin"))
            .arg("--admin")
            .arg(format!("http://{}", daemon.admin()))
            .args(case.args)
            .output()
            .expect("cumin runs");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert_eq!(output.status.code(), Some(case.status), "{text}");
        for expected in case.output {
            assert!(text.contains(expected), "{expected}: {text}");
        }
        daemon.kill();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn servers_shows_what_a_server_has_asked_for() {
    let store = StandInStore::start().await;
    let server = StandInServer::start("i-1").await;
    store.put_server("i-1", "status", server.address(), &serde_json::json!({}));
    let config = config_text(3, &[RouteRow::default()], 15.0);
    store.put_config(with_cold_rate(&config, 2.5));
    server.set_cold_for(Duration::from_secs(60));
    server.set_behaviour(Behaviour::Shed);
    server.set_limit("3.5");
    server.set_pause("60");
    let (settings, edge_settings) = settings(&store);
    let daemon = EdgeDaemon::start(settings, edge_settings)
        .await
        .expect("free ports");
    tokio::time::sleep(Duration::from_millis(800)).await;
    // The server names its pause to a request, and a cold server gets one only in a turn.
    let expected = ["limit 3.5/s", "paused for ", "cold for "];
    let mut text = String::new();
    for _ in 0..40 {
        assert_eq!(status_line(&daemon).await, "HTTP/1.1 503");
        let output = Command::new(env!("CARGO_BIN_EXE_cumin"))
            .arg("--admin")
            .arg(format!("http://{}", daemon.admin()))
            .arg("servers")
            .output()
            .expect("cumin runs");
        text = String::from_utf8_lossy(&output.stdout).into_owned();
        if expected.iter().all(|e| text.contains(e)) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    for expected in expected {
        assert!(text.contains(expected), "{expected}: {text}");
    }
    daemon.kill();
}

/// Status line of the response to a new caller's request.
async fn status_line(daemon: &EdgeDaemon) -> String {
    let mut caller = TcpStream::connect(daemon.front())
        .await
        .expect("the daemon listens");
    let req = ClientRequest::default().text();
    caller
        .write_all(req.as_bytes())
        .await
        .expect("the daemon reads");
    let mut status_line = [0; 12];
    caller
        .read_exact(&mut status_line)
        .await
        .expect("a response");
    String::from_utf8_lossy(&status_line).into_owned()
}
