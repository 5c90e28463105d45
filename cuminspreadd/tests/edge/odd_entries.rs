//! Entries in the registry that another writer left.

use std::time::Duration;

use cuminspread_platform::standin::client::ClientRequest;
use cuminspread_platform::standin::odd_entries::odd_entries;
use cuminspread_platform::standin::server::StandInServer;
use cuminspread_platform::standin::store::RouteRow;
use cuminspreadd::edge::run::EdgeDaemon;
use serde_json::json;
use tokio::time::sleep;

use crate::fixture::{Fixture, STATUS_SERVICE, UPDATE_BOUND, get, is_ready, send, start_fleet};
use crate::program::{self, line_with};

/// Guards against daemons that end, or no longer follow the registry, since one entry is odd.
#[tokio::test]
async fn an_odd_entry_is_left_out_and_the_others_are_followed() {
    let fixture = Fixture::new(2, RouteRow::default()).await;
    let address = fixture.servers[0].address();
    let first = odd_entries(STATUS_SERVICE, address).len() / 2;
    for (i, (_, bytes)) in odd_entries(STATUS_SERVICE, address).into_iter().enumerate() {
        // Half of them are there when the daemons start, and the others come later.
        if i < first {
            fixture.store.put_raw_server(&format!("i-0odd{i}"), bytes);
        }
    }
    let daemons = start_fleet(&fixture, 2).await;
    assert_follows(&fixture, &daemons, "with odd entries at the start").await;
    for (i, (name, bytes)) in odd_entries(STATUS_SERVICE, address)
        .into_iter()
        .enumerate()
        .skip(first)
    {
        fixture.store.put_raw_server(&format!("i-0odd{i}"), bytes);
        assert_follows(&fixture, &daemons, name).await;
    }
    daemons.into_iter().for_each(EdgeDaemon::kill);
}

/// The same for the program, whose stack and runtime differ from those of tests.
#[tokio::test]
async fn the_program_survives_odd_entries() {
    let fixture = Fixture::new(1, RouteRow::default()).await;
    let (mut child, mut lines, _) = program::start("odd.ini", &program::settings(&fixture, 0));
    line_with(&mut lines, "event=server_known server=i-0 ").await;
    for (i, (_, bytes)) in odd_entries(STATUS_SERVICE, fixture.servers[0].address())
        .into_iter()
        .enumerate()
    {
        let server = StandInServer::start(&format!("i-new{i}")).await;
        fixture.store.put_raw_server(&format!("i-0odd{i}"), bytes);
        let (service, entry) = (STATUS_SERVICE, &json!({}));
        let store = &fixture.store;
        store.put_server(server.id(), service, server.address(), entry);
        let known = format!("event=server_known server={} ", server.id());
        line_with(&mut lines, &known).await;
        store.delete_server(server.id());
    }
    assert!(
        child.try_wait().unwrap().is_none(),
        "it has ended by itself"
    );
    child.kill().unwrap();
    child.wait().unwrap();
}

/// Asserts that all daemons are ready and learn of a new server, and that it gets a request.
async fn assert_follows(fixture: &Fixture, daemons: &[EdgeDaemon], name: &str) {
    let server = StandInServer::start("i-new").await;
    let entry = &json!({});
    fixture
        .store
        .put_server(server.id(), STATUS_SERVICE, server.address(), entry);
    let began = std::time::Instant::now();
    for daemon in daemons {
        loop {
            assert!(began.elapsed() < UPDATE_BOUND, "{name}");
            if get(daemon, "/status").await.contains("i-new") {
                break;
            }
            sleep(Duration::from_millis(20)).await;
        }
        assert!(is_ready(daemon).await, "{name}");
        let res = send(daemon, &ClientRequest::default()).await;
        assert_eq!(res.status, 200, "{name}");
    }
    fixture.store.delete_server(server.id());
}
