//! `cumin fleet` asks daemons on a platform with a store.

use std::process::Command;
use std::time::Duration;

use cuminspread::state::Name;
use cuminspread_platform::standin::server::StandInServer;
use cuminspread_platform::standin::store::{RouteRow, StandInStore, config_text};
use cuminspreadd::edge::run::Running;
use cuminspreadd::edge::settings::EdgeSettings;
use cuminspreadd::settings::Settings;

struct Case {
    /// The store has a configuration.
    configured: bool,
    status: i32,
    says: &'static [&'static str],
}

#[tokio::test(flavor = "multi_thread")]
async fn beliefs() {
    let cases = [
        Case {
            configured: true,
            status: 0,
            says: &[
                "vm-1 in here: ready, 0 requests in flight, version 3 with 1 routes",
                "by this one",
                "status: 1 servers, 0 leaving, 0 failing",
            ],
        },
        Case {
            configured: false,
            status: 1,
            says: &["vm-1 in here: not ready"],
        },
    ];
    for case in cases {
        let store = StandInStore::start().await;
        let server = StandInServer::start("i-1").await;
        let more = serde_json::json!({});
        store.put_server("i-1", "status", server.address(), &more);
        if case.configured {
            store.put_config(config_text(3, &[RouteRow::default()], 15.0));
        }
        let settings = Settings {
            name: Name::new("vm-1"),
            data_centre: Name::new("here"),
            ..Settings::default()
        };
        let platform = EdgeSettings {
            store: store.address(),
            ..EdgeSettings::default()
        };
        let daemon = Running::start(settings, platform)
            .await
            .expect("free ports");
        tokio::time::sleep(Duration::from_millis(800)).await;
        let output = Command::new(env!("CARGO_BIN_EXE_cumin"))
            .arg("--admin")
            .arg(format!("http://{}", daemon.admin()))
            .arg("fleet")
            .output()
            .expect("cumin runs");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert_eq!(output.status.code(), Some(case.status), "{text}");
        for part in case.says {
            assert!(text.contains(part), "{part}: {text}");
        }
        daemon.kill();
    }
}
