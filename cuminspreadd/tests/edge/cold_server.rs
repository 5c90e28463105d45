//! Cold servers get no more from all daemons together than they bear.

use std::time::{Duration, Instant};

use cuminspread_platform::standin::store::{RouteRow, config_text, with_cold_rate};
use cuminspreadd::edge::run::EdgeDaemon;
use tokio::time::sleep;

use crate::fixture::{Fixture, STATUS_SERVICE, start_fleet};
use crate::load::{busiest_window, load};

const DAEMONS: usize = 4;
/// Requests a second that a cold server bears.
const COLD_PER_S: f64 = 2.5;
/// Most requests in any second at a cold server; the users allow one and a half times the rate and
/// eight.
const MOST_IN_WINDOW: usize = 11;
const WINDOW: Duration = Duration::from_secs(1);
const COLD_TIME: Duration = Duration::from_secs(4);
/// Time between two requests of all callers.
const INTERVAL: Duration = Duration::from_millis(20);
/// Running requests of a server without a free slot.
const FULL: u32 = 8;
/// Time in which the daemons of a fleet learn of each other.
const JOIN_TIME: Duration = Duration::from_secs(5);

async fn start(servers: usize) -> (Fixture, Vec<EdgeDaemon>) {
    let fixture = Fixture::without_config(servers).await;
    let config = config_text(3, &[RouteRow::default()], 15.0);
    fixture
        .store
        .put_config(with_cold_rate(&config, COLD_PER_S));
    let daemons = start_fleet(&fixture, DAEMONS).await;
    sleep(JOIN_TIME).await;
    (fixture, daemons)
}

#[tokio::test]
async fn servers_that_turn_cold_get_what_they_bear_until_they_are_warm() {
    let (fixture, daemons) = start(1).await;
    let warm = load(&daemons, Duration::from_secs(1), INTERVAL).await;
    assert!(warm.iter().all(|res| res.status == 200));
    // The registry doesn't tell, so the daemons learn it from the answers to probes.
    let began = Instant::now();
    for server in &fixture.servers {
        server.set_cold_for(COLD_TIME);
    }
    let responses = load(&daemons, COLD_TIME, INTERVAL).await;
    let ended = began + COLD_TIME;
    for server in &fixture.servers {
        let busiest = busiest_window(server, began..ended, WINDOW);
        assert!(busiest <= MOST_IN_WINDOW, "{busiest} requests in 1 s");
        let sent = server.arrivals().into_iter();
        let sent = sent.filter(|a| (began..ended).contains(&a.at)).count();
        let most = COLD_PER_S * COLD_TIME.as_secs_f64();
        assert!(sent as f64 >= 0.4 * most, "{sent} of {most} requests");
    }
    for res in responses.iter().filter(|r| r.status != 200) {
        assert_eq!(res.status, 503, "{}", res.head);
        assert!(res.field("retry-after").is_some(), "{}", res.head);
    }
    sleep(Duration::from_millis(500)).await;
    let warm = load(&daemons, Duration::from_secs(1), INTERVAL).await;
    assert!(warm.iter().all(|res| res.status == 200));
    for daemon in daemons {
        daemon.kill();
    }
}

#[tokio::test]
async fn a_cold_server_is_not_flooded_while_the_others_are_full() {
    let (fixture, daemons) = start(2).await;
    let cold = &fixture.servers[0];
    let began = Instant::now();
    cold.set_cold_for(COLD_TIME);
    let store = &fixture.store;
    store.put_cold_report(cold.id(), STATUS_SERVICE, cold.address(), 2, COLD_TIME);
    let full = &fixture.servers[1];
    full.set_running(FULL);
    full.set_slowness(300);
    let responses = load(&daemons, COLD_TIME, INTERVAL).await;
    let busiest = busiest_window(cold, began..began + COLD_TIME, WINDOW);
    assert!(busiest <= MOST_IN_WINDOW, "{busiest} requests in 1 s");
    assert!(!cold.arrivals().is_empty(), "its turns are used");
    for res in responses.iter().filter(|r| r.status != 200) {
        assert_eq!(res.status, 503, "{}", res.head);
    }
    for daemon in daemons {
        daemon.kill();
    }
}
