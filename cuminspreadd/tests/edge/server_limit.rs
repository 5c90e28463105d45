//! Servers that name a limit get no more from all daemons together.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cuminspread_platform::standin::server::StandInServer;
use cuminspread_platform::standin::store::RouteRow;
use cuminspreadd::edge::run::EdgeDaemon;
use cuminspreadd::settings::Settings;

use crate::fixture::Fixture;
use crate::load::{busiest_window, load};

/// Time after which a limit that a server has named must be kept.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Length of the spans in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time for which callers send requests.
const LOAD_TIME: Duration = Duration::from_secs(11);
/// Time between two requests of all callers.
const INTERVAL: Duration = Duration::from_millis(25);

/// Starts daemons that prefer different servers.
async fn start_daemons(fixture: &Fixture, count: u64) -> Vec<EdgeDaemon> {
    let mut daemons: Vec<EdgeDaemon> = Vec::new();
    for seed in 1..=count {
        let seeds: Vec<SocketAddr> = daemons.iter().take(1).map(EdgeDaemon::peer).collect();
        let (settings, edge_settings) = fixture.settings(&seeds);
        let settings = Settings { seed, ..settings };
        let daemon = EdgeDaemon::start(settings, edge_settings).await.unwrap();
        fixture.wait_ready(&daemon).await;
        daemons.push(daemon);
    }
    daemons
}

/// Most requests in any window that begins once the limit must be kept.
fn busiest_after_settling(server: &StandInServer, began: Instant) -> usize {
    busiest_window(server, began + SETTLE_TIME..Instant::now(), WINDOW)
}

/// Requests that may reach a server in a window, by the users' rule.
fn allowed(per_s: f32) -> usize {
    (1.5 * per_s * WINDOW.as_secs_f32()) as usize + 5
}

#[tokio::test]
async fn a_limited_server_gets_its_rate_and_the_others_the_rest() {
    let per_s = 3.2;
    let fixture = Fixture::new(3, RouteRow::default()).await;
    let daemons = start_daemons(&fixture, 4).await;
    let limited = &fixture.servers[0];
    limited.set_limit(&per_s.to_string());
    let began = Instant::now();
    let responses = load(&daemons, LOAD_TIME, INTERVAL).await;
    let served = responses.iter().filter(|r| r.status == 200).count();
    assert_eq!(served, responses.len(), "the other servers are free");
    let busiest = busiest_after_settling(limited, began);
    assert!(busiest <= allowed(per_s), "{busiest} requests in 4 s");
    // Without a limit it gets its part again.
    limited.set_limit("");
    let before = limited.arrivals().len();
    load(&daemons, LOAD_TIME, INTERVAL).await;
    let gained = limited.arrivals().len() - before;
    assert!(gained > 60, "{gained} requests after the limit has ended");
    for daemon in daemons {
        daemon.kill();
    }
}

#[tokio::test]
async fn a_service_whose_servers_are_all_limited_uses_their_limits() {
    let per_s = 3.2;
    let fixture = Fixture::new(2, RouteRow::default()).await;
    let daemons = start_daemons(&fixture, 4).await;
    for server in &fixture.servers {
        server.set_limit(&per_s.to_string());
    }
    let began = Instant::now();
    let responses = load(&daemons, LOAD_TIME, INTERVAL).await;
    for server in &fixture.servers {
        let busiest = busiest_after_settling(server, began);
        assert!(busiest <= allowed(per_s), "{busiest} requests in 4 s");
        let settled = server.arrivals().into_iter();
        let settled = settled.filter(|a| a.at >= began + SETTLE_TIME);
        let most = per_s * LOAD_TIME.saturating_sub(SETTLE_TIME).as_secs_f32();
        let used = settled.count() as f32 / most;
        assert!(used >= 0.8, "{used} of the limit is used");
    }
    for res in responses.iter().filter(|r| r.status != 200) {
        assert_eq!(res.status, 503, "{}", res.head);
        assert!(res.field("retry-after").is_some(), "{}", res.head);
    }
    for daemon in daemons {
        daemon.kill();
    }
}
