//! Entries in the registry that another writer left.

use std::net::SocketAddr;
use std::time::Duration;

use cuminspread_platform::standin::client::ClientRequest;
use cuminspread_platform::standin::server::StandInServer;
use cuminspread_platform::standin::store::RouteRow;
use cuminspreadd::edge::run::EdgeDaemon;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::fixture::{Fixture, STATUS_SERVICE, UPDATE_BOUND, get, is_ready, send, start_fleet};
use crate::program::{self, line_with};

/// Nesting that overflows the stack of a decoder that recurses without a limit.
const DEEP: usize = 200_000;

/// An entry as another writer left it; `address` is that of a server.
fn odd_entries(address: SocketAddr) -> Vec<(&'static str, Vec<u8>)> {
    let entry = |overrides: Value| {
        let mut entry = json!({
            "service": STATUS_SERVICE,
            "address": address.to_string(),
            "zone": "here",
            "slots": 4,
            "state": "ready",
            "warmup_left_s": 0,
            "seq": 1,
            "born": 1000,
        });
        let fields = entry.as_object_mut().unwrap();
        fields.extend(overrides.as_object().unwrap().clone());
        entry.to_string()
    };
    // Numbers and nesting that `Value` can't hold are put in place of a text.
    let raw = |field: &str, text: &str| {
        let marked = entry(json!({ field: "@" }));
        marked.replace("\"@\"", text).into_bytes()
    };
    let deep = format!("{}{}", "[".repeat(DEEP), "]".repeat(DEEP));
    let deep_map = format!("{}1{}", "{\"a\":".repeat(DEEP), "}".repeat(DEEP));
    let port = |port: &str| entry(json!({"address": format!("127.0.0.1:{port}")})).into_bytes();
    vec![
        ("nested lists only", deep.clone().into_bytes()),
        ("unclosed lists", "[".repeat(DEEP).into_bytes()),
        ("nested maps only", deep_map.clone().into_bytes()),
        ("nested lists in a known field", raw("slots", &deep)),
        ("nested lists in an unknown field", raw("extra", &deep)),
        ("nested maps in an unknown field", raw("extra", &deep_map)),
        ("slots out of range", raw("slots", "4294967296")),
        ("the most slots", raw("slots", "4294967295")),
        ("no slots", raw("slots", "0")),
        ("negative slots", raw("slots", "-1")),
        ("slots beyond any float", raw("slots", "1e400")),
        ("a long number of slots", raw("slots", &"9".repeat(10_000))),
        (
            "a sequence out of range",
            raw("seq", "18446744073709551616"),
        ),
        ("the last sequence", raw("seq", "18446744073709551615")),
        (
            "born at the end of time",
            raw("born", "18446744073709551615"),
        ),
        ("born out of range", raw("born", "1e300")),
        ("a long warm-up", raw("warmup_left_s", "1e308")),
        ("the longest warm-up", raw("warmup_left_s", "1.8e19")),
        ("a warm-up beyond any float", raw("warmup_left_s", "1e999")),
        ("a negative warm-up", raw("warmup_left_s", "-1e308")),
        ("a port out of range", port("65536")),
        ("a long port", port("99999999999999999999")),
        ("a negative port", port("-1")),
        ("port 0", port("0")),
        ("no bytes", Vec::new()),
        ("bytes that aren't text", vec![0xff, 0xfe, 0, 0x80]),
    ]
}

/// Guards against daemons that end, or no longer follow the registry, since one entry is odd.
#[tokio::test]
async fn an_odd_entry_is_left_out_and_the_others_are_followed() {
    let fixture = Fixture::new(2, RouteRow::default()).await;
    let address = fixture.servers[0].address();
    let first = odd_entries(address).len() / 2;
    for (i, (_, bytes)) in odd_entries(address).into_iter().enumerate() {
        // Half of them are there when the daemons start, and the others come later.
        if i < first {
            fixture.store.put_raw_server(&format!("i-0odd{i}"), bytes);
        }
    }
    let daemons = start_fleet(&fixture, 2).await;
    assert_follows(&fixture, &daemons, "with odd entries at the start").await;
    for (i, (name, bytes)) in odd_entries(address).into_iter().enumerate().skip(first) {
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
    for (i, (_, bytes)) in odd_entries(fixture.servers[0].address())
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
