//! A server that says in its answers that it is leaving gets nothing more.

use std::time::Duration;

use cuminspread_platform::standin::client::ClientRequest;
use cuminspread_platform::standin::store::{Mode, RouteRow};
use cuminspreadd::edge::run::EdgeDaemon;
use serde_json::json;
use tokio::time::sleep;

use crate::fixture::{Fixture, STATUS_SERVICE, send, start_fleet, wait_for};

/// Time for a change of the store, or a message of a peer, to reach all daemons.
const SETTLE_TIME: Duration = Duration::from_millis(1500);

/// Time within which daemons that missed an announcement hear of it: the time between two
/// repetitions, and that for two daemons to meet.
const REPEAT_BOUND: Duration = Duration::from_secs(6);

async fn send_many(daemon: &EdgeDaemon, count: usize) -> usize {
    let mut served = 0;
    for _ in 0..count {
        served += usize::from(send(daemon, &ClientRequest::default()).await.status == 200);
    }
    served
}

/// What the store says of the server afterwards.
#[derive(Debug, Clone, Copy)]
enum Later {
    Nothing,
    /// It reports again, as the same incarnation and ready.
    Reports,
    /// Its entry is removed and written again.
    Returns,
    /// The store doesn't answer.
    StoreDown,
}

#[tokio::test]
async fn a_server_that_announces_its_end_in_an_answer_gets_no_further_request() {
    for later in [
        Later::Nothing,
        Later::Reports,
        Later::Returns,
        Later::StoreDown,
    ] {
        let fixture = Fixture::new(2, RouteRow::default()).await;
        let daemons = start_fleet(&fixture, 3).await;
        let store = &fixture.store;
        if let Later::StoreDown = later {
            store.set_mode(Mode::Silent);
        }
        // All daemons have the same preference, so one of the two gets the requests.
        send_many(&daemons[0], 4).await;
        let leaving = fixture.servers.iter().max_by_key(|s| s.arrivals().len());
        let leaving = leaving.expect("two servers");
        leaving.set_leaving(true);
        // Its answer tells one daemon, and this daemon tells its peers. A request that uses the report
        // of the other server asks the leaving one nothing.
        let contacts = || leaving.arrivals().len() + leaving.probes() as usize;
        let told = contacts();
        wait_for("an answer of the leaving server", async || {
            assert_eq!(send_many(&daemons[0], 1).await, 1);
            contacts() > told
        })
        .await;
        sleep(SETTLE_TIME).await;
        let report = || {
            let ready = json!({"seq": 9});
            store.put_server(leaving.id(), STATUS_SERVICE, leaving.address(), &ready);
        };
        match later {
            Later::Nothing | Later::StoreDown => {}
            Later::Reports => report(),
            Later::Returns => {
                store.delete_server(leaving.id());
                sleep(SETTLE_TIME).await;
                report();
            }
        }
        sleep(SETTLE_TIME).await;
        let (before, probes) = (leaving.arrivals().len(), leaving.probes());
        for daemon in &daemons {
            assert_eq!(send_many(daemon, 10).await, 10, "{later:?}");
        }
        assert_eq!(leaving.arrivals().len(), before, "{later:?}");
        assert_eq!(leaving.probes(), probes, "{later:?}");
        for daemon in daemons {
            daemon.kill();
        }
    }
}

#[tokio::test]
async fn another_incarnation_of_a_server_that_left_is_used() {
    let fixture = Fixture::new(1, RouteRow::default()).await;
    let daemon = fixture.start_daemon().await;
    let server = &fixture.servers[0];
    server.set_leaving(true);
    // The answer to this request, or to the probe before it, tells.
    send_many(&daemon, 1).await;
    assert_eq!(send_many(&daemon, 1).await, 0, "no other server");
    server.set_leaving(false);
    let started = json!({"born": 2000});
    fixture
        .store
        .put_server(server.id(), STATUS_SERVICE, server.address(), &started);
    wait_for("the new incarnation", async || {
        send_many(&daemon, 1).await == 1
    })
    .await;
    daemon.kill();
}

/// A daemon that has the server's entry from the store, and meets its peers later.
#[tokio::test]
async fn a_daemon_that_missed_the_announcement_hears_of_it_again() {
    let fixture = Fixture::new(2, RouteRow::default()).await;
    let told = fixture.start_daemon().await;
    let late = fixture.start_daemon().await;
    let leaving = &fixture.servers[0];
    leaving.set_leaving(true);
    wait_for("an answer of the leaving server", async || {
        send_many(&told, 1).await;
        leaving.arrivals().len() + leaving.probes() as usize > 0
    })
    .await;
    let (_, edge_settings) = fixture.settings(&[told.peer()]);
    late.reload(&edge_settings);
    sleep(REPEAT_BOUND).await;
    let (before, probes) = (leaving.arrivals().len(), leaving.probes());
    assert_eq!(send_many(&late, 20).await, 20);
    assert_eq!(leaving.arrivals().len(), before);
    assert_eq!(leaving.probes(), probes);
    for daemon in [told, late] {
        daemon.kill();
    }
}
