//! Daemons that have just started get what others read of the store.

use cuminspread_platform::standin::store::{Mode, RouteRow, StandInStore, config_text};
use cuminspreadd::edge::admin::Status;
use cuminspreadd::edge::run::EdgeDaemon;
use cuminspreadd::edge::settings::EdgeSettings;

use crate::fixture::{Fixture, UPDATE_BOUND, get, start_fleet, wait_for};

async fn status(daemon: &EdgeDaemon) -> Status {
    serde_json::from_str(&get(daemon, "/status").await).expect("a status")
}

/// Guards against changes that reach a daemon late since the reader doesn't know it yet (issue 49). The store
/// refuses the daemon, so that it depends on its peers.
#[tokio::test]
async fn a_change_reaches_a_daemon_that_the_reader_does_not_know_yet() {
    const FLEET: usize = 10;
    const ROUNDS: u64 = 4;
    let fixture = Fixture::new(1, RouteRow::default()).await;
    let fleet = start_fleet(&fixture, FLEET).await;
    let refusing = StandInStore::start().await;
    refusing.set_mode(Mode::Busy);
    let mut seed = &fleet[0];
    for daemon in &fleet {
        if !status(daemon).await.reads_store {
            seed = daemon;
        }
    }
    for round in 0..ROUNDS {
        let (settings, edge_settings) = fixture.settings(&[seed.peer()]);
        let edge_settings = EdgeSettings {
            store: refusing.address(),
            ..edge_settings
        };
        let newcomer = EdgeDaemon::start(settings, edge_settings).await.unwrap();
        fixture.wait_ready(&newcomer).await;
        let version = 10 + round;
        let config = config_text(version, &[RouteRow::default()], 15.0);
        fixture.store.put_config(config);
        let took = wait_for("the configuration", async || {
            status(&newcomer).await.version == version
        })
        .await;
        assert!(took < UPDATE_BOUND, "round {round}: {took:?}");
        newcomer.kill();
    }
    fleet.into_iter().for_each(EdgeDaemon::kill);
}
