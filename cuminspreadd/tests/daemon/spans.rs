//! Export of the spans of calls and attempts.

use std::fs;

use serde_json::Value;

use crate::caller::{request, send};
use crate::fixture;
use crate::stub_server::{Behaviour, StubServer};
use crate::temp_path::temp_path;

const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";
const CALLER: &str = "b7ad6b7169203331";

fn field(flags: &str) -> String {
    format!("traceparent: 00-{TRACE}-{CALLER}-{flags}\r\n")
}

#[tokio::test]
async fn sampled_spans_are_written_to_a_file() {
    let path = temp_path("spans.jsonl");
    if path.exists() {
        fs::remove_file(&path).unwrap();
    }
    let stub = StubServer::start(Behaviour::Echo).await;
    let mut settings = fixture::settings();
    settings.traces.file = Some(path.clone());
    let daemon = fixture::daemon(settings, fixture::service(&[stub.address])).await;
    for flags in ["01", "00"] {
        let req = request("GET", "/jobs/7", &field(flags), "");
        assert_eq!(send(daemon.front(), &req).await.status, 200);
    }
    assert!(daemon.stop().await);

    let text = fs::read_to_string(&path).unwrap();
    let spans: Vec<Value> = text
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(spans.len(), 2, "only the sampled trace: {text}");
    let named = |name: &str| spans.iter().find(|s| s["name"] == name).unwrap();
    let (call, attempt) = (named("call"), named("attempt"));
    assert_eq!(call["trace"], TRACE);
    assert_eq!(call["parent"], CALLER);
    assert_eq!(call["attributes"]["cumin.outcome"], "ran");
    assert_eq!(attempt["trace"], TRACE);
    assert_eq!(attempt["parent"], call["span"]);
    assert_eq!(attempt["attributes"]["cumin.server"], "server-0");
    let sent = format!("{TRACE}-{}-01", attempt["span"].as_str().unwrap());
    assert!(stub.heads()[0].contains(&sent), "{:?}", stub.heads());
}

#[tokio::test]
async fn spans_are_sent_to_a_collector() {
    let collector = StubServer::start(Behaviour::Echo).await;
    let stub = StubServer::start(Behaviour::Echo).await;
    let mut settings = fixture::settings();
    settings.traces.otlp = format!("http://{}/v1/traces", collector.address);
    let daemon = fixture::daemon(settings, fixture::service(&[stub.address])).await;
    let req = request("GET", "/jobs/7", "", "");
    assert_eq!(send(daemon.front(), &req).await.status, 200);
    assert!(daemon.stop().await);
    let heads = collector.heads();
    assert!(heads[0].starts_with("post /v1/traces "), "{heads:?}");
    assert!(heads[0].contains("application/x-protobuf"), "{heads:?}");
}
