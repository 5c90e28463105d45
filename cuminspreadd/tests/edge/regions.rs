//! Requests of a route with regions stay in data centres of these.

use std::time::{Duration, Instant};

use cuminspread::state::Name;
use cuminspread_platform::standin::client::ClientRequest;
use cuminspread_platform::standin::server::StandInServer;
use cuminspread_platform::standin::store::RouteRow;
use cuminspreadd::edge::run::EdgeDaemon;
use serde_json::json;

use crate::fixture::{Fixture, STATUS_SERVICE, UPDATE_BOUND, get, send, wait_for};

const REQUESTS: usize = 8;
/// Data centres, in the order of the servers, and their regions. The last one is in none.
const PLACES: [(&str, Option<&str>); 4] = [
    ("here", Some("north")),
    ("there", Some("north")),
    ("yonder", Some("south")),
    ("nowhere", None),
];

async fn start_daemon(fixture: &Fixture, data_centre: &str, seeds: &[EdgeDaemon]) -> EdgeDaemon {
    let seeds: Vec<_> = seeds.iter().map(EdgeDaemon::peer).collect();
    let (mut settings, mut edge_settings) = fixture.settings(&seeds);
    settings.data_centre = Name::new(data_centre);
    let places = PLACES.iter();
    let regions = places.filter_map(|(d, r)| Some((Name::new(d), Name::new((*r)?))));
    edge_settings.regions = regions.collect();
    let daemon = EdgeDaemon::start(settings, edge_settings).await.unwrap();
    fixture.wait_ready(&daemon).await;
    daemon
}

/// One server in each place, and a route that allows these regions.
async fn start(regions: &[&'static str]) -> (Fixture, Vec<StandInServer>) {
    let route = RouteRow {
        regions: regions.to_vec(),
        ..RouteRow::default()
    };
    let fixture = Fixture::new(0, route).await;
    let mut servers = Vec::new();
    for (i, (data_centre, _)) in PLACES.iter().enumerate() {
        let server = StandInServer::start(&format!("i-{i}")).await;
        let (store, zone) = (&fixture.store, json!({"zone": data_centre}));
        store.put_server(server.id(), STATUS_SERVICE, server.address(), &zone);
        servers.push(server);
    }
    (fixture, servers)
}

#[tokio::test]
async fn requests_go_to_servers_of_the_routes_regions() {
    struct Case {
        regions: &'static [&'static str],
        daemon: &'static str,
        /// Servers that may get requests, by their numbers; none if requests are refused.
        servers: &'static [usize],
    }
    let case = |regions, daemon, servers| Case {
        regions,
        daemon,
        servers,
    };
    let cases = [
        case(&[], "here", &[0, 1, 2, 3]),
        case(&["north"], "here", &[0, 1]),
        case(&["north"], "yonder", &[0, 1]),
        case(&["south"], "here", &[2]),
        case(&["south", "north"], "nowhere", &[0, 1, 2]),
        case(&["east"], "here", &[]),
    ];
    for case in cases {
        let what = (case.regions, case.daemon);
        let (fixture, servers) = start(case.regions).await;
        let daemon = start_daemon(&fixture, case.daemon, &[]).await;
        for _ in 0..REQUESTS {
            let began = Instant::now();
            let res = send(&daemon, &ClientRequest::default()).await;
            if case.servers.is_empty() {
                assert_eq!(res.status, 503, "{what:?}");
                assert_eq!(res.text().trim_end(), "no_server_in_region", "{what:?}");
                assert!(began.elapsed() < Duration::from_millis(200), "{what:?}");
            } else {
                assert_eq!(res.status, 200, "{what:?}");
            }
        }
        for (i, server) in servers.iter().enumerate() {
            let arrivals = server.arrivals().len();
            let allowed = case.servers.contains(&i);
            assert!(
                allowed || arrivals == 0,
                "{what:?}: {arrivals} at server {i}"
            );
        }
        daemon.kill();
    }
}

#[tokio::test]
async fn requests_stay_in_the_region_when_its_data_centres_are_emptied() {
    let (fixture, servers) = start(&["north"]).await;
    let daemon = start_daemon(&fixture, "here", &[]).await;
    fixture.store.put_evacuation("here");
    let reaches = |i: usize| {
        let servers = &servers;
        async move |daemon: &EdgeDaemon| {
            let before = servers[i].arrivals().len();
            send(daemon, &ClientRequest::default()).await;
            servers[i].arrivals().len() > before
        }
    };
    let there = reaches(1);
    let took = wait_for("a request to the other data centre", async || {
        there(&daemon).await
    });
    assert!(took.await < UPDATE_BOUND);
    fixture.store.put_evacuation("there");
    let took = wait_for("a refusal", async || {
        let res = send(&daemon, &ClientRequest::default()).await;
        res.text().trim_end() == "emptied"
    });
    assert!(took.await < UPDATE_BOUND);
    assert_eq!(servers[2].arrivals().len() + servers[3].arrivals().len(), 0);
    daemon.kill();
}

/// The peer in a region that isn't allowed has the only server that answers, and may not be asked.
#[tokio::test]
async fn requests_are_forwarded_to_peers_of_the_routes_regions_only() {
    for (peer, expected) in [("there", true), ("yonder", false), ("nowhere", false)] {
        let (fixture, servers) = start(&["north"]).await;
        let first = start_daemon(&fixture, "here", &[]).await;
        let second = start_daemon(&fixture, peer, std::slice::from_ref(&first)).await;
        let received = async || {
            let metrics = get(&first, "/metrics").await;
            let offered = "cumin_forwarded_total{";
            metrics.lines().any(|l| l.starts_with(offered))
        };
        for server in &servers {
            server.stop();
        }
        // Some requests until the service counts as lost.
        let deadline = Instant::now() + Duration::from_secs(3);
        while Instant::now() < deadline && !received().await {
            let res = send(&first, &ClientRequest::default()).await;
            assert_ne!(res.status, 200);
        }
        assert_eq!(received().await, expected, "{peer}");
        first.kill();
        second.kill();
    }
}
