//! Subcommands against running daemons in folder mode.

use std::process::Command;
use std::sync::Arc;

use cuminspread::state::Name;
use cuminspread::state::council::{CouncilConfig, Digest, Route, ServerConfig, ServiceConfig};
use cuminspread::state::council::{Stamp, Version};
use cuminspreadd::daemon::Daemon;
use cuminspreadd::settings::Settings;

const KEY: &str = "peer-key-of-a-test-0123456789";

fn config(version: u64) -> CouncilConfig {
    let server = |name: &str, port: u16, leaving: bool| ServerConfig {
        name: Name::new(name),
        address: ([127, 0, 0, 1], port).into(),
        data_centre: Name::new("here"),
        slots: 2,
        connections: 20,
        leaving,
    };
    let service = ServiceConfig {
        council: Name::new("print"),
        name: Name::new("jobs"),
        routes: vec![Route {
            methods: vec![Name::new("GET")],
            path: Name::new("/jobs/*"),
            idempotent: true,
        }],
        servers: vec![server("one", 1, false), server("two", 2, true)],
        ..ServiceConfig::default()
    };
    CouncilConfig {
        council: Name::new("print"),
        stamp: Stamp {
            version: Version(version),
            digest: Digest::of(&version.to_le_bytes()),
        },
        services: vec![Arc::new(service)],
        ..CouncilConfig::default()
    }
}

async fn daemon(name: &str, version: u64) -> Daemon {
    let settings = Settings {
        name: Name::new(name),
        data_centre: Name::new("here"),
        platform: "http://127.0.0.1:1".to_owned(),
        peer_keys: vec![KEY.to_owned()],
        ..Settings::default()
    };
    let daemon = Daemon::start(settings).await.expect("free ports");
    daemon.activate_config(config(version));
    daemon
}

struct Case {
    args: &'static [&'static str],
    /// Expected exit status.
    status: i32,
    /// Texts that standard output must contain.
    output: &'static [&'static str],
}

const ONE_DAEMON: &[Case] = &[
    Case {
        args: &["status"],
        status: 0,
        output: &[
            "vm-a in here: ready",
            "council print version 3",
            "jobs leaving: two",
        ],
    },
    Case {
        args: &["status", "--json"],
        status: 0,
        output: &["\"name\": \"vm-a\"", "\"at_most_once\""],
    },
    Case {
        args: &["services"],
        status: 0,
        output: &[
            "print/jobs at any host: 2 servers",
            "GET /jobs/* idempotent",
        ],
    },
    Case {
        args: &["servers", "--json"],
        status: 0,
        output: &["\"vm-a\""],
    },
    Case {
        args: &["explain", "get", "/jobs/7"],
        status: 0,
        output: &["service print/jobs", "servers: one"],
    },
    Case {
        args: &["explain", "GET", "/nowhere"],
        status: 1,
        output: &["no service serves GET /nowhere"],
    },
    Case {
        args: &["versions", "--json"],
        status: 0,
        output: &["\"agree\": true"],
    },
    Case {
        args: &["top", "--count", "2", "--interval-ms", "10"],
        status: 0,
        output: &["vm-a ready", "calls/s"],
    },
];

const TWO_DAEMONS: &[Case] = &[Case {
    args: &["versions"],
    status: 1,
    output: &["print: DIFFER", "vm-a 3-", "vm-b 4-"],
}];

async fn check(case: &'static Case, admins: Vec<String>) {
    let run = move || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_cumin"));
        command.args(case.args);
        for admin in admins {
            command.args(["--admin", &admin]);
        }
        command.output().expect("cumin runs")
    };
    let output = tokio::task::spawn_blocking(run).await.expect("no panic");
    let text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(case.status), "{text}{errors}");
    for expected in case.output {
        assert!(text.contains(expected), "{:?}: {text}{errors}", case.args);
    }
}

fn url(daemon: &Daemon) -> String {
    format!("http://{}", daemon.admin())
}

#[tokio::test(flavor = "multi_thread")]
async fn subcommands_print_the_state_of_the_daemons() {
    let (a, b) = (daemon("vm-a", 3).await, daemon("vm-b", 4).await);
    for case in ONE_DAEMON {
        check(case, vec![url(&a)]).await;
    }
    for case in TWO_DAEMONS {
        check(case, vec![url(&a), url(&b)]).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_begins_a_graceful_stop() {
    const DRAIN: &Case = &Case {
        args: &["drain"],
        status: 0,
        output: &["draining: http://"],
    };
    let a = daemon("vm-a", 3).await;
    let requested = a.drain_requested();
    check(DRAIN, vec![url(&a)]).await;
    requested.await;
    assert!(a.stop().await);
}
