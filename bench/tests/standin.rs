//! The stand-ins for servers and the platform behave as configured, also with faults.

use std::sync::Arc;
use std::time::Duration;

use cuminspread::protocol::header;
use cuminspread::state::fleet::FleetList;
use cuminspread_bench::standin::execution_log::ExecutionLog;
use cuminspread_bench::standin::platform::{Condition, FolderFile, Platform};
use cuminspread_bench::standin::response::{ATTEMPT_HEADER, OPERATION_HEADER, attempt_of};
use cuminspread_bench::standin::upstream::{CANCEL_PATH, PROBE_PATH, Upstream, UpstreamSettings};
use reqwest::{Client, Response, StatusCode};

/// Time-out, window and grace time that no passing test reaches.
const LONG: Duration = Duration::from_secs(20);
const NO_RESPONSE_WAIT: Duration = Duration::from_millis(200);

async fn start_upstream(settings: UpstreamSettings) -> (Upstream, Arc<ExecutionLog>) {
    let execution_log = Arc::new(ExecutionLog::default());
    let started = Upstream::start(settings, Arc::clone(&execution_log)).await;
    (started.expect("free port"), execution_log)
}

async fn call(client: &Client, upstream: &Upstream, operation: &str) -> reqwest::Result<Response> {
    let url = format!("http://{}/jobs/{operation}", upstream.address());
    let req = client.get(url).timeout(LONG);
    let req = req
        .header(OPERATION_HEADER, operation)
        .header(ATTEMPT_HEADER, 7);
    req.header(header::CALL_ID, operation).send().await
}

#[tokio::test]
async fn responses_are_complete_and_executions_are_recorded() {
    let (upstream, execution_log) = start_upstream(UpstreamSettings::default()).await;
    let response = call(&Client::new(), &upstream, "a")
        .await
        .expect("response");
    assert!(response.headers().contains_key(header::LOAD));
    let body = response.bytes().await.expect("body");
    assert_eq!(attempt_of(&body, "a"), Some(7));
    assert_eq!(attempt_of(&body, "b"), None);
    assert_eq!(attempt_of(&body[..body.len() - 1], "a"), None);
    assert_eq!(execution_log.executions("a").len(), 1);
}

#[tokio::test]
async fn a_truncated_response_fails() {
    let (upstream, _) = start_upstream(UpstreamSettings::default()).await;
    upstream.truncate_next();
    let response = call(&Client::new(), &upstream, "a")
        .await
        .expect("response head");
    assert!(response.bytes().await.is_err());
}

#[tokio::test]
async fn a_full_queue_refuses_requests_before_their_start() {
    let settings = UpstreamSettings {
        slots: 1,
        queue: 0,
        service_time: Duration::from_millis(300),
        ..UpstreamSettings::default()
    };
    let (upstream, execution_log) = start_upstream(settings).await;
    let client = Client::new();
    let first = call(&client, &upstream, "a");
    let second = async {
        while execution_log.executions("a").is_empty() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        call(&client, &upstream, "b").await
    };
    let (first, second) = tokio::join!(first, second);
    assert_eq!(first.expect("response").status(), StatusCode::OK);
    let refused = second.expect("response").status();
    assert_eq!(refused, StatusCode::SERVICE_UNAVAILABLE);
    assert!(execution_log.executions("b").is_empty());
}

#[tokio::test]
async fn only_a_waiting_request_can_be_cancelled() {
    let settings = UpstreamSettings {
        slots: 1,
        queue: 4,
        service_time: Duration::from_millis(500),
        ..UpstreamSettings::default()
    };
    let (upstream, execution_log) = start_upstream(settings).await;
    let client = Client::new();
    let cancel = |call: &'static str| {
        let address = upstream.address();
        let url = format!("http://{address}{CANCEL_PATH}?call={call}");
        let req = client.post(url).send();
        async move { req.await.expect("response").text().await.expect("body") }
    };
    let canceller = async {
        while execution_log.executions("a").is_empty() || upstream.in_flight() < 2 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        (cancel("a").await, cancel("b").await, cancel("c").await)
    };
    let first = call(&client, &upstream, "a");
    let second = async {
        while execution_log.executions("a").is_empty() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        call(&client, &upstream, "b").await
    };
    let (_, second, results) = tokio::join!(first, second, canceller);
    let results = (results.0.as_str(), results.1.as_str(), results.2.as_str());
    assert_eq!(results, ("started", "before-start", "unknown"));
    let status = second.expect("response").status();
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(execution_log.executions("b").is_empty());
}

#[tokio::test]
async fn silent_connections_get_no_response_and_new_connections_do() {
    let (upstream, execution_log) = start_upstream(UpstreamSettings::default()).await;
    let client = Client::new();
    let response = call(&client, &upstream, "a").await.expect("response");
    response.bytes().await.expect("body");
    upstream.silence();
    let timed_out = tokio::time::timeout(NO_RESPONSE_WAIT, call(&client, &upstream, "b")).await;
    assert!(timed_out.is_err());
    assert!(execution_log.executions("b").is_empty());
    let response = call(&Client::new(), &upstream, "c")
        .await
        .expect("response");
    assert_eq!(response.status(), StatusCode::OK);
}

#[tokio::test]
async fn a_request_with_the_marker_crashes_the_server_which_restarts() {
    let (upstream, execution_log) = start_upstream(UpstreamSettings::default()).await;
    let client = Client::new();
    assert!(call(&client, &upstream, "crash-1").await.is_err());
    assert_eq!(upstream.crashes(), 1);
    assert_eq!(execution_log.executions("crash-1").len(), 1);
    let restarted = tokio::time::timeout(LONG, async {
        while call(&client, &upstream, "b").await.is_err() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    restarted.await.expect("restart within the time limit");
}

#[tokio::test]
async fn probes_are_counted_by_council() {
    let settings = UpstreamSettings {
        council: "print".to_owned(),
        ..UpstreamSettings::default()
    };
    let (upstream, execution_log) = start_upstream(settings).await;
    let url = format!("http://{}{PROBE_PATH}", upstream.address());
    let response = Client::new().get(url).send().await.expect("response");
    assert!(response.headers().contains_key(header::LOAD));
    assert_eq!(execution_log.probes("print"), 1);
    assert_eq!(execution_log.max_probes("print", LONG), 1);
}

#[tokio::test]
async fn requests_at_a_leaving_server_are_late_after_the_grace_time() {
    for (grace, late) in [(Duration::ZERO, 1), (LONG, 0)] {
        let settings = UpstreamSettings {
            leave_grace: grace,
            ..UpstreamSettings::default()
        };
        let (upstream, execution_log) = start_upstream(settings).await;
        upstream.leave();
        let response = call(&Client::new(), &upstream, "a")
            .await
            .expect("response");
        let load = response
            .headers()
            .get(header::LOAD)
            .expect("load header field");
        assert!(load.to_str().expect("text").ends_with("draining=1"));
        assert_eq!(execution_log.late_requests().len(), late);
    }
}

fn files(text: &str) -> Vec<FolderFile> {
    vec![FolderFile {
        name: "10.print.a.ini".to_owned(),
        text: text.to_owned(),
    }]
}

async fn read(platform: &Platform, query: &str) -> (StatusCode, String) {
    let url = format!("{}{query}", platform.url());
    let response = reqwest::get(url).await.expect("response");
    (response.status(), response.text().await.expect("body"))
}

#[tokio::test]
async fn platform_reads_wait_for_changes_and_are_counted() {
    let platform = Platform::start().await.expect("free port");
    platform.publish_folder(files("one"));
    platform.publish_vm_list(FleetList::default());
    let (_, text) = read(&platform, "/folder?after=0&wait_ms=0").await;
    assert!(text.contains("\"revision\":1") && text.contains("one"));
    let (status, _) = read(&platform, "/fleet?after=1&wait_ms=10").await;
    assert_eq!(status, StatusCode::NO_CONTENT);
    let watch = read(&platform, "/folder?after=1&wait_ms=20000");
    let change = async {
        while platform.calls() < 3 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        platform.publish_folder(files("two"));
    };
    let ((_, text), ()) = tokio::join!(watch, change);
    assert!(text.contains("two"));
    assert_eq!(platform.calls(), 3);
}

#[tokio::test]
async fn platform_serves_old_state_or_fails_as_set() {
    let platform = Platform::start().await.expect("free port");
    platform.publish_folder(files("one"));
    platform.set_condition(Condition::Stale);
    platform.publish_folder(files("two"));
    let (_, text) = read(&platform, "/folder?after=0&wait_ms=0").await;
    assert!(text.contains("one"));
    platform.set_condition(Condition::Down);
    let (status, _) = read(&platform, "/folder?after=0&wait_ms=0").await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    platform.set_condition(Condition::Up);
    let (_, text) = read(&platform, "/folder?after=0&wait_ms=0").await;
    assert!(text.contains("two"));
}
