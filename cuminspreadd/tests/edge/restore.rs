//! A store that comes back from an older copy takes nothing back from the daemons.

use std::net::SocketAddr;
use std::time::Duration;

use cuminspread_platform::standin::client::ClientRequest;
use cuminspread_platform::standin::server::StandInServer;
use cuminspread_platform::standin::store::{RouteRow, config_text};
use cuminspreadd::edge::run::EdgeDaemon;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::fixture::{Fixture, STATUS_SERVICE, UPDATE_BOUND, send, start_fleet, wait_for};

/// Time in which the daemons read the restored store, and all entries that it lacks are written
/// again.
const SETTLE_TIME: Duration = Duration::from_secs(3);
const ORDERS: &str = "orders";

fn routes() -> Vec<RouteRow> {
    let route = |name, prefix, service| RouteRow {
        name,
        prefix,
        services: vec![(service, 1)],
        ..RouteRow::default()
    };
    vec![
        route("status", "/status/", STATUS_SERVICE),
        route("orders", "/orders/", ORDERS),
    ]
}

async fn status(daemon: &EdgeDaemon, target: &str) -> u16 {
    let req = ClientRequest {
        target,
        ..ClientRequest::default()
    };
    send(daemon, &req).await.status
}

/// Three daemons, a server of each service, and a copy of the store at this time.
struct Drill {
    fixture: Fixture,
    orders: StandInServer,
    daemons: Vec<EdgeDaemon>,
}

impl Drill {
    async fn start() -> Self {
        let fixture = Fixture::without_config(2).await;
        fixture.store.put_config(config_text(3, &routes(), 15.0));
        let orders = StandInServer::start("i-orders").await;
        fixture
            .store
            .put_server("i-orders", ORDERS, orders.address(), &json!({}));
        let daemons = start_fleet(&fixture, 3).await;
        fixture.store.save_copy();
        Self {
            fixture,
            orders,
            daemons,
        }
    }

    /// Sends requests to all daemons for a time; returns those that didn't get the status 200.
    async fn failures(&self, target: &str, duration: Duration) -> usize {
        let end = Instant::now() + duration;
        let mut failures = 0;
        while Instant::now() < end {
            for daemon in &self.daemons {
                failures += usize::from(status(daemon, target).await != 200);
            }
            sleep(Duration::from_millis(20)).await;
        }
        failures
    }

    /// Server of the status service that the daemons prefer.
    async fn preferred(&self) -> &StandInServer {
        assert_eq!(
            self.failures("/status/1", Duration::from_millis(300)).await,
            0
        );
        let servers = self.fixture.servers.iter();
        servers.max_by_key(|s| s.executed().len()).unwrap()
    }

    /// Writes that are lost with the copy, so that its revisions are given out again.
    fn write_others(&self, count: u64) {
        for i in 0..count {
            let address = SocketAddr::from(([127, 0, 0, 1], 9));
            self.fixture
                .store
                .put_server(&format!("i-other-{i}"), "others", address, &json!({}));
        }
    }

    fn end(self) {
        for daemon in self.daemons {
            daemon.kill();
        }
    }
}

#[tokio::test]
async fn an_older_configuration_is_not_activated() {
    let mut drill = Drill::start().await;
    let newer = [
        routes(),
        vec![RouteRow {
            name: "new",
            prefix: "/new/",
            ..RouteRow::default()
        }],
    ]
    .concat();
    drill.fixture.store.put_config(config_text(9, &newer, 15.0));
    for daemon in &drill.daemons {
        wait_for("version 9", async || status(daemon, "/new/1").await == 200).await;
    }
    drill.fixture.store.restore();
    assert_eq!(drill.failures("/new/1", SETTLE_TIME).await, 0);
    // A daemon that starts now knows only the older one until it has heard of its peers'.
    let seeds: Vec<SocketAddr> = drill.daemons.iter().map(EdgeDaemon::peer).collect();
    let (settings, edge_settings) = drill.fixture.settings(&seeds);
    let late = EdgeDaemon::start(settings, edge_settings).await.unwrap();
    drill.fixture.wait_ready(&late).await;
    let took = wait_for("version 9", async || status(&late, "/new/1").await == 200).await;
    assert!(took < UPDATE_BOUND, "{took:?}");
    drill.daemons.push(late);
    assert_eq!(drill.failures("/new/1", SETTLE_TIME).await, 0);
    drill.end();
}

#[tokio::test]
async fn a_server_that_has_left_is_not_brought_back() {
    let drill = Drill::start().await;
    let left = drill.preferred().await;
    drill.fixture.store.delete_server(left.id());
    sleep(UPDATE_BOUND).await;
    drill.fixture.store.restore();
    assert!(drill.fixture.store.has_server(left.id()));
    let runs = left.executed().len();
    assert_eq!(drill.failures("/status/1", SETTLE_TIME).await, 0);
    assert_eq!(left.executed().len(), runs);
    drill.end();
}

/// A store that is upgraded names its era from then on; it has lost nothing.
#[tokio::test]
async fn a_server_that_leaves_as_the_store_first_names_its_era_is_gone_at_once() {
    let fixture = Fixture::new(2, RouteRow::default()).await;
    fixture.store.set_era_named(false);
    let daemons = start_fleet(&fixture, 3).await;
    let status = async || {
        for daemon in &daemons {
            let res = send(daemon, &ClientRequest::default()).await;
            assert_eq!(res.status, 200);
        }
    };
    status().await;
    let servers = fixture.servers.iter();
    let leaving = servers.max_by_key(|s| s.executed().len()).unwrap();
    fixture.store.delete_server(leaving.id());
    fixture.store.set_era_named(true);
    sleep(UPDATE_BOUND).await;
    let runs = leaving.executed().len();
    for _ in 0..10 {
        status().await;
    }
    assert_eq!(leaving.executed().len(), runs);
    for daemon in daemons {
        daemon.kill();
    }
}

#[tokio::test]
async fn a_live_server_that_the_copy_lacks_keeps_its_work() {
    let drill = Drill::start().await;
    let store = &drill.fixture.store;
    // The only server of its service registers after the copy was made.
    let address = drill.orders.address();
    store.delete_server("i-orders");
    store.save_copy();
    store.put_server("i-live", ORDERS, address, &json!({"seq": 4}));
    let live = StandInServer::start("i-live").await;
    store.put_server("i-live", ORDERS, live.address(), &json!({"seq": 5}));
    for daemon in &drill.daemons {
        wait_for("server", async || status(daemon, "/orders/1").await == 200).await;
    }
    store.restore();
    drill.write_others(6);
    store.compact();
    assert_eq!(drill.failures("/orders/1", SETTLE_TIME / 2).await, 0);
    store.put_server("i-live", ORDERS, live.address(), &json!({"seq": 6}));
    assert_eq!(drill.failures("/orders/1", SETTLE_TIME).await, 0);
    drill.end();
}

#[tokio::test]
async fn revisions_of_the_new_era_are_not_taken_for_known() {
    let drill = Drill::start().await;
    let leaving = drill.preferred().await;
    drill.write_others(8);
    sleep(UPDATE_BOUND).await;
    drill.fixture.store.restore();
    drill.write_others(4);
    let address = leaving.address();
    drill
        .fixture
        .store
        .drain_server(leaving.id(), STATUS_SERVICE, address, 2);
    sleep(UPDATE_BOUND).await;
    let runs = leaving.executed().len();
    assert_eq!(drill.failures("/status/1", SETTLE_TIME / 2).await, 0);
    assert_eq!(leaving.executed().len(), runs);
    drill.end();
}

#[tokio::test]
async fn the_fleet_reads_a_restored_store_as_rarely_as_before() {
    let drill = Drill::start().await;
    drill.write_others(8);
    sleep(UPDATE_BOUND).await;
    let calls = drill.fixture.store.calls();
    drill.fixture.store.restore();
    sleep(Duration::from_secs(3)).await;
    let calls = drill.fixture.store.calls() - calls;
    // Five reads at an interval of 0.6 s, one of them refused and followed by a snapshot.
    assert!(calls <= 8, "{calls} calls in 3 s");
    drill.end();
}
