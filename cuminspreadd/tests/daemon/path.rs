//! Requests and responses that pass through a daemon.

use crate::caller::{Caller, request, send};
use crate::fixture;
use crate::stub_server::{Behaviour, StubServer};

struct Case {
    name: &'static str,
    request: String,
    status: u16,
    outcome: &'static str,
    body: Option<&'static str>,
    /// Number of requests that reach the server.
    started: usize,
}

impl Default for Case {
    fn default() -> Self {
        Self {
            name: "",
            request: String::new(),
            status: 200,
            outcome: "ran",
            body: None,
            started: 1,
        }
    }
}

fn served() -> Vec<Case> {
    vec![
        Case {
            name: "get with a query",
            request: request("GET", "/jobs/7?a=b%20c", "", ""),
            body: Some("/jobs/7?a=b%20c"),
            ..Case::default()
        },
        Case {
            name: "absolute target",
            request: "GET http://print.example/jobs/7?a HTTP/1.1\r\nhost: other\r\n\r\n".to_owned(),
            body: Some("/jobs/7?a"),
            ..Case::default()
        },
        Case {
            name: "head",
            request: request("HEAD", "/jobs/7", "", ""),
            body: Some(""),
            ..Case::default()
        },
        Case {
            name: "post",
            request: request("POST", "/orders", "", "paper"),
            body: Some("/orderspaper"),
            ..Case::default()
        },
        Case {
            name: "chunked post",
            request: "POST /orders HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n\
                      3\r\npap\r\n2\r\ner\r\n0\r\n\r\n"
                .to_owned(),
            body: Some("/orderspaper"),
            ..Case::default()
        },
        Case {
            name: "large header",
            request: request(
                "GET",
                "/jobs/7",
                &format!("x: {}\r\n", "y".repeat(9000)),
                "",
            ),
            body: Some("/jobs/7"),
            ..Case::default()
        },
    ]
}

fn refused() -> Vec<Case> {
    vec![
        Case {
            name: "no service",
            request: request("GET", "/elsewhere", "", ""),
            status: 404,
            outcome: "not-run",
            started: 0,
            ..Case::default()
        },
        Case {
            name: "length and encoding",
            request: "POST /orders HTTP/1.1\r\nhost: a\r\ncontent-length: 60\r\ntransfer-encoding: chunked\r\n\r\n\
                      0\r\n\r\nGET /jobs/smuggled HTTP/1.1\r\nhost: a\r\n\r\n"
                .to_owned(),
            status: 400,
            outcome: "not-run",
            started: 0,
            ..Case::default()
        },
        Case {
            name: "encoding and length",
            request: "POST /orders HTTP/1.1\r\nhost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 60\r\n\r\n\
                      0\r\n\r\nGET /jobs/smuggled HTTP/1.1\r\nhost: a\r\n\r\n"
                .to_owned(),
            status: 400,
            outcome: "not-run",
            started: 0,
            ..Case::default()
        },
        Case {
            name: "two lengths",
            request: "POST /orders HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\
                      content-length: 6\r\n\r\npaper"
                .to_owned(),
            status: 400,
            outcome: "none",
            started: 0,
            ..Case::default()
        },
        Case {
            name: "two hosts",
            request: request("GET", "/jobs/7", "host: other\r\n", ""),
            status: 400,
            outcome: "not-run",
            started: 0,
            ..Case::default()
        },
        Case {
            name: "no host",
            request: "GET /jobs/7 HTTP/1.1\r\n\r\n".to_owned(),
            status: 400,
            outcome: "not-run",
            started: 0,
            ..Case::default()
        },
        Case {
            name: "malformed deadline",
            request: request("GET", "/jobs/7", "cumin-deadline-ms: soon\r\n", ""),
            status: 400,
            outcome: "not-run",
            started: 0,
            ..Case::default()
        },
        Case {
            name: "too deep",
            request: request("GET", "/jobs/7", "cumin-depth: 200\r\n", ""),
            status: 508,
            outcome: "not-run",
            started: 0,
            ..Case::default()
        },
        Case {
            name: "body too large",
            request: request("POST", "/orders", "", &"x".repeat((1 << 20) + 1)),
            status: 413,
            outcome: "not-run",
            started: 0,
            ..Case::default()
        },
    ]
}

#[tokio::test]
async fn requests_get_their_status_and_outcome() {
    for case in served().into_iter().chain(refused()) {
        let stub = StubServer::start(Behaviour::Echo).await;
        let daemon = fixture::daemon_for(&stub).await;
        let res = send(daemon.front(), &case.request).await;
        assert_eq!(res.status, case.status, "{}: {res:?}", case.name);
        assert_eq!(res.outcome(), case.outcome, "{}", case.name);
        assert!(res.complete, "{}", case.name);
        if let Some(body) = case.body {
            assert_eq!(res.text(), body, "{}", case.name);
        }
        assert_eq!(stub.started(), case.started, "{}", case.name);
        assert_eq!(daemon.invariants().total_broken(), 0, "{}", case.name);
        daemon.kill();
    }
}

/// Both arrive in one read; the first is not ambiguous.
#[tokio::test]
async fn an_ambiguous_request_behind_another_is_refused() {
    let stub = StubServer::start(Behaviour::Echo).await;
    let daemon = fixture::daemon_for(&stub).await;
    let fields = "content-length: 60\r\ntransfer-encoding: chunked\r\n";
    let ambiguous = request("POST", "/orders", fields, "") + "0\r\n\r\n";
    let mut caller = Caller::connect(daemon.front()).await;
    let texts = request("GET", "/jobs/7", "", "") + &ambiguous;
    caller.write(texts.as_bytes()).await;
    assert_eq!(caller.read_response(false).await.status, 200);
    assert_eq!(caller.read_response(false).await.status, 400);
    assert_eq!(stub.started(), 1);
    daemon.kill();
}

#[tokio::test]
async fn fields_that_reach_the_server() {
    let stub = StubServer::start(Behaviour::Echo).await;
    let daemon = fixture::daemon_for(&stub).await;
    let fields = "connection: x-private\r\nx-private: 1\r\nkeep-alive: 1\r\nte: trailers\r\n\
                  upgrade: h2c\r\ncumin-depth: 2\r\ncumin-deadline-ms: 900\r\nx-kept: 1\r\n\
                  traceparent: 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01\r\n";
    let res = send(daemon.front(), &request("GET", "/jobs/7", fields, "")).await;
    assert_eq!(res.status, 200, "{res:?}");
    assert_eq!(res.field("cumin-load"), None);
    let head = &stub.heads()[0];
    for absent in ["x-private", "keep-alive", "te:", "upgrade", "connection"] {
        assert!(!head.contains(&format!("\r\n{absent}")), "{absent}: {head}");
    }
    for present in [
        "\r\nx-kept: 1",
        "\r\nhost: print.example",
        "\r\ncumin-depth: 3",
        "\r\ncumin-call: ",
        "\r\ncumin-retry-budget: ",
        "\r\ntraceparent: 00-0af7651916cd43dd8448eb211c80319c-",
    ] {
        assert!(head.contains(present), "{present}: {head}");
    }
    assert!(!head.contains("b7ad6b7169203331"), "{head}");
    let left = head.split("cumin-deadline-ms: ").nth(1).unwrap();
    let left: u64 = left.lines().next().unwrap().parse().unwrap();
    assert!(left <= 900, "{left}");
}

#[tokio::test]
async fn connections_are_kept() {
    let stub = StubServer::start(Behaviour::Echo).await;
    let daemon = fixture::daemon_for(&stub).await;
    let mut caller = Caller::connect(daemon.front()).await;
    for i in 0..20 {
        let target = format!("/jobs/{i}");
        caller
            .write(request("GET", &target, "", "").as_bytes())
            .await;
        assert_eq!(caller.read_response(false).await.text(), target);
    }
    assert_eq!(stub.connections(), 1);
}
