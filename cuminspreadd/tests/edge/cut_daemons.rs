//! Daemons that are cut off from all servers, while callers, the store and their peers reach them.

use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use cuminspread_platform::standin::client::ClientRequest;
use cuminspread_platform::standin::server::{Cut, StandInServer};
use cuminspread_platform::standin::store::{RouteRow, config_text};
use cuminspreadd::edge::run::EdgeDaemon;
use cuminspreadd::edge::settings::EdgeSettings;
use futures_util::future::join_all;
use tokio::time::sleep;

use crate::caller;
use crate::fixture::{Fixture, send, wait_for};

/// Time after the start of a cut from which on the users compare daemons.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Least fraction of the first tries that cut daemons serve, relative to the others.
const MIN_SERVED_RATIO: f64 = 0.9;
/// Time within which a daemon must know that it reaches no server.
const LOSS_BOUND: Duration = Duration::from_secs(1);
/// Time between two requests to the same daemon.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Source address of a daemon's connections to servers.
fn source(daemon: usize) -> IpAddr {
    Ipv4Addr::new(127, 0, 1, 10 + daemon as u8).into()
}

/// Starts daemons with source addresses of their own.
pub async fn start_daemons(fixture: &Fixture, count: usize) -> Vec<EdgeDaemon> {
    let probes_per_s = EdgeSettings::default().probes_per_s;
    start_probing_daemons(fixture, count, probes_per_s).await
}

async fn start_probing_daemons(
    fixture: &Fixture,
    count: usize,
    probes_per_s: f32,
) -> Vec<EdgeDaemon> {
    let mut daemons: Vec<EdgeDaemon> = Vec::new();
    for i in 0..count {
        let seeds: Vec<_> = daemons.first().map(EdgeDaemon::peer).into_iter().collect();
        let (mut settings, edge_settings) = fixture.settings(&seeds);
        settings.servers.connections.source = Some(source(i));
        let edge_settings = EdgeSettings {
            probes_per_s,
            ..edge_settings
        };
        let daemon = EdgeDaemon::start(settings, edge_settings).await.unwrap();
        fixture.wait_ready(&daemon).await;
        daemons.push(daemon);
    }
    daemons
}

/// Cuts the first `count` daemons off from all servers; `None` ends that.
pub fn cut_daemons(fixture: &Fixture, count: usize, cut: Option<Cut>) {
    for server in &fixture.servers {
        for daemon in 0..count {
            server.set_cut(source(daemon), cut);
        }
    }
}

/// Sends requests to one daemon for a time; returns the ids with the statuses.
async fn send_for(
    daemon: &EdgeDaemon,
    name: &str,
    method: &str,
    time: Duration,
) -> Vec<(String, u16)> {
    let mut outcomes = Vec::new();
    let start = Instant::now();
    while start.elapsed() < time {
        let id = format!("{name}-{}", outcomes.len());
        let req = ClientRequest {
            method,
            id: &id,
            deadline_ms: 1000,
            ..ClientRequest::default()
        };
        let status = send(daemon, &req).await.status;
        outcomes.push((id, status));
        sleep(REQUEST_INTERVAL).await;
    }
    outcomes
}

/// Sends requests to all daemons at the same time; returns the outcomes by daemon.
async fn send_to_all(
    daemons: &[EdgeDaemon],
    phase: &str,
    method: &str,
    time: Duration,
) -> Vec<Vec<(String, u16)>> {
    let sent = daemons.iter().enumerate().map(async |(i, daemon)| {
        let name = format!("{phase}-{i}");
        send_for(daemon, &name, method, time).await
    });
    join_all(sent).await
}

fn served_fraction(outcomes: &[Vec<(String, u16)>]) -> f64 {
    let all = outcomes.iter().flatten();
    let served = all.clone().filter(|(_, status)| *status == 200).count();
    served as f64 / all.count().max(1) as f64
}

/// Services that a daemon says it has lost.
pub async fn has_lost_status(daemon: &EdgeDaemon) -> bool {
    let req = "GET /status HTTP/1.1\r\nhost: vm\r\nconnection: close\r\n\r\n";
    let status = caller::send(daemon.admin(), req).await.text();
    status.contains("\"lost_services\":[\"status\"]")
}

#[tokio::test]
async fn a_loss_is_known_while_requests_use_up_all_probes() {
    let fixture = Fixture::new(8, RouteRow::default()).await;
    let daemons = start_probing_daemons(&fixture, 2, 1.0).await;
    let daemon = &daemons[0];
    cut_daemons(&fixture, 1, Some(Cut::Reset));
    let req = ClientRequest::default();
    let flood = async {
        loop {
            join_all((0..16).map(|_| send(daemon, &req))).await;
        }
    };
    let known = wait_for("the loss", async || has_lost_status(daemon).await);
    let took = tokio::select! {
        took = known => took,
        () = flood => unreachable!("it has no end"),
    };
    assert!(took < LOSS_BOUND, "{took:?}");
    daemons.into_iter().for_each(EdgeDaemon::kill);
}

#[tokio::test]
async fn first_tries_at_daemons_without_servers_are_served() {
    struct Case {
        cut: Cut,
        method: &'static str,
    }
    let cases = [
        Case {
            cut: Cut::Reset,
            method: "GET",
        },
        Case {
            cut: Cut::Hang,
            method: "POST",
        },
        Case {
            cut: Cut::NewOnly,
            method: "POST",
        },
    ];
    let plays = cases.iter().map(async |case| {
        let fixture = Fixture::without_config(4).await;
        let route = RouteRow {
            idempotent: case.method == "GET",

            ..RouteRow::default()
        };
        fixture.store.put_config(config_text(3, &[route], 15.0));
        let daemons = start_daemons(&fixture, 4).await;
        let before = send_to_all(&daemons, "before", case.method, SETTLE_TIME / 3).await;
        assert!(served_fraction(&before) > 0.99, "{:?}", case.cut);
        cut_daemons(&fixture, 2, Some(case.cut));
        let began = send_to_all(&daemons, "began", case.method, SETTLE_TIME).await;
        let during = send_to_all(&daemons, "during", case.method, SETTLE_TIME).await;
        cut_daemons(&fixture, 2, None);
        let ended = send_to_all(&daemons, "ended", case.method, SETTLE_TIME / 3).await;
        let after = send_to_all(&daemons, "after", case.method, SETTLE_TIME / 3).await;
        let (cut, others) = during.split_at(2);
        let (cut, others) = (served_fraction(cut), served_fraction(others));
        let after_cut = served_fraction(&after);
        assert!(after_cut > 0.99, "{:?}: {after_cut:.3}", case.cut);
        check_runs(&fixture, [began, during, ended].iter().flatten().flatten());
        for daemon in daemons {
            daemon.kill();
        }
        (case.cut, cut, others)
    });
    let results = join_all(plays).await;
    let are_alike =
        |(_, cut, others): &(Cut, f64, f64)| *cut >= MIN_SERVED_RATIO * others && *others > 0.99;
    assert!(
        results.iter().all(are_alike),
        "fraction served by cut daemons and by the others: {results:?}"
    );
}

/// Checks that no order ran twice, and that a refused one didn't run.
fn check_runs<'a>(fixture: &Fixture, outcomes: impl Iterator<Item = &'a (String, u16)>) {
    let executed = fixture.servers.iter().flat_map(StandInServer::executed);
    let executed: Vec<_> = executed.collect();
    for (id, status) in outcomes {
        let runs: Vec<_> = executed.iter().filter(|r| r.id == *id).collect();
        let is_order = runs.iter().all(|r| r.request_line.starts_with("POST"));
        assert!(
            !is_order || runs.len() <= 1,
            "{id} ran {} times",
            runs.len()
        );
        assert!(
            *status != 503 || runs.is_empty(),
            "{id} was refused and ran"
        );
    }
}
