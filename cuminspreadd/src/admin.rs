//! HTTP listener for operators and for the platform's health checks.
//!
//! | request | response |
//! |---|---|
//! | `GET /live` | 200 while the process runs |
//! | `GET /ready` | 200 while the daemon takes calls, else 503 |
//! | `GET /metrics` | metrics in the `OpenMetrics` text format |
//! | `GET /status` | [`Status`] as JSON |
//! | `GET /explain?method=&path=&host=` | [`Explanation`] as JSON |
//! | `POST /drain` | 202; begins a graceful stop |

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::Arc;

use cuminspread::invariant::Invariant;
use cuminspread::state::council::{CouncilConfig, ServiceConfig};
use http::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use warp::Filter as _;
use warp::reply::{Json, Reply as _, Response, json, with_status};

use crate::engine::Engine;
use crate::metrics::Snapshot;
use crate::peer_handle::PeerHandle;
pub use crate::server_status::ServerStatus;

/// State of a daemon in folder mode.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// Name of the VM.
    pub name: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Wall-clock time of the start, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Whether the daemon takes calls.
    pub ready: bool,
    /// Whether a graceful stop has begun.
    pub stopping: bool,
    /// Accepted requests that haven't ended.
    pub in_flight: usize,
    /// Active configuration, by council.
    pub councils: Vec<CouncilStatus>,
    /// Councils whose newest files are refused; the last valid ones stay active.
    #[serde(default)]
    pub refused_files: Vec<RefusedStatus>,
    /// Servers of the active configuration, sorted by council and name.
    pub servers: Vec<ServerStatus>,
    /// Counts of invariant checks, by label of the invariant.
    #[serde(rename = "promises")]
    pub invariants: BTreeMap<String, InvariantStatus>,
}

/// Active configuration of one council.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct CouncilStatus {
    /// Name of the council.
    pub council: String,
    /// Active version.
    pub version: u64,
    /// Digest of the active version, 32 hexadecimal digits.
    pub digest: String,
    /// Most probes a second that all daemons together may send to the council's servers.
    pub probe_budget: f64,
    /// Services of the council.
    pub services: Vec<ServiceStatus>,
}

/// Refused files of one council.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct RefusedStatus {
    /// Name of the council.
    pub council: String,
    /// Version of the refused files.
    pub version: u64,
    /// Faults as text, with file, line, section and key.
    pub faults: Vec<String>,
}

/// Active configuration of one service.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Name of the service.
    pub name: String,
    /// Host that requests must name; any host if empty.
    pub host: String,
    /// Routes that lead to the service.
    pub routes: Vec<RouteStatus>,
    /// Names of all servers.
    pub servers: Vec<String>,
    /// Names of the servers that are leaving.
    pub leaving: Vec<String>,
}

/// A route of a service.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct RouteStatus {
    /// Methods; any method if empty.
    pub methods: Vec<String>,
    /// Path pattern.
    pub path: String,
    /// Whether running a request twice does no harm.
    pub idempotent: bool,
}

/// Counts of the checks of one invariant.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct InvariantStatus {
    /// Number of checks made.
    pub checked: u64,
    /// Number of checks that failed.
    pub broken: u64,
}

/// Query of `GET /explain`: the request to explain.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct ExplainQuery {
    /// HTTP method, such as `GET`.
    pub method: String,
    /// Path, without query.
    pub path: String,
    /// Host, without port.
    #[serde(default)]
    pub host: String,
}

/// Response to `GET /explain`: where a request would go.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Explanation {
    /// Council; empty if no service serves the request.
    pub council: String,
    /// Service of the request; empty if there is none.
    pub service: String,
    /// Whether running the request twice does no harm.
    pub idempotent: bool,
    /// Longest time for the call, in milliseconds; 0 if no service serves the request.
    pub deadline_ms: u64,
    /// Names of the servers that may run it, without those that are leaving.
    pub servers: Vec<String>,
    /// How the request is handled, in words.
    pub text: String,
}

/// Serves until the task is aborted; `POST /drain` notifies `drain`.
pub async fn serve(engine: Arc<Engine>, listener: TcpListener, drain: Arc<Notify>) {
    let with = warp::any().map(move || Arc::clone(&engine));
    let get = warp::get().and(with.clone());
    let live = warp::path!("live")
        .and(warp::get())
        .map(|| text("live\n", StatusCode::OK));
    let ready = warp::path!("ready")
        .and(get.clone())
        .map(|e: Arc<Engine>| ready(&e));
    let metrics = warp::path!("metrics")
        .and(get.clone())
        .map(|e: Arc<Engine>| metrics(&e));
    let status = warp::path!("status")
        .and(get.clone())
        .map(|e: Arc<Engine>| json(&status(&e)));
    let explain = warp::path!("explain")
        .and(get)
        .and(warp::query::<ExplainQuery>())
        .map(|e: Arc<Engine>, q: ExplainQuery| explain(&e, &q));
    let drain = warp::path!("drain").and(warp::post()).map(move || {
        drain.notify_one();
        text("draining\n", StatusCode::ACCEPTED)
    });
    let routes = live
        .or(ready)
        .or(metrics)
        .or(status)
        .or(explain)
        .or(drain)
        .recover(|_: warp::Rejection| async {
            Ok::<_, Infallible>(text("not found\n", StatusCode::NOT_FOUND))
        });
    warp::serve(routes).incoming(listener).run().await;
}

fn ready(engine: &Engine) -> Response {
    let (body, status) = if engine.is_ready() {
        ("ready\n", StatusCode::OK)
    } else if engine.is_stopping() {
        ("stopping\n", StatusCode::SERVICE_UNAVAILABLE)
    } else {
        (
            "waiting for configuration\n",
            StatusCode::SERVICE_UNAVAILABLE,
        )
    };
    text(body, status)
}

fn text(body: &'static str, status: StatusCode) -> Response {
    with_status(body, status).into_response()
}

fn metrics(engine: &Engine) -> Response {
    let snapshot = Snapshot {
        invariants: &engine.invariants,
        in_flight: engine.admissions.requests(),
        servers: engine.servers(),
        peers: engine.peers().map(PeerHandle::counts).unwrap_or_default(),
    };
    match engine.metrics.write(&snapshot) {
        Ok(text) => text.into_response(),
        Err(e) => {
            let text = format!("step=metrics cause={e}\n");
            with_status(text, StatusCode::INTERNAL_SERVER_ERROR).into_response()
        }
    }
}

/// Collects the state of the daemon.
pub fn status(engine: &Engine) -> Status {
    let settings = &engine.settings;
    let invariants = Invariant::ALL.map(|invariant| {
        let status = InvariantStatus {
            checked: engine.invariants.checked(invariant),
            broken: engine.invariants.broken(invariant),
        };
        (invariant.label().to_owned(), status)
    });
    let refused = engine.refused_configs().into_iter();
    let refused = refused.map(|(council, config)| RefusedStatus {
        council: council.to_string(),
        version: config.version.0,
        faults: config.faults.iter().map(ToString::to_string).collect(),
    });
    Status {
        name: settings.name.to_string(),
        data_centre: settings.data_centre.to_string(),
        incarnation: engine.incarnation,
        ready: engine.is_ready(),
        stopping: engine.is_stopping(),
        in_flight: engine.admissions.requests(),
        councils: engine.table().councils().map(|c| council(c)).collect(),
        refused_files: refused.collect(),
        servers: engine.servers(),
        invariants: invariants.into(),
    }
}

fn council(config: &CouncilConfig) -> CouncilStatus {
    CouncilStatus {
        council: config.council.to_string(),
        version: config.stamp.version.0,
        digest: format!("{:032x}", u128::from_be_bytes(config.stamp.digest.0)),
        probe_budget: config.probe_budget,
        services: config.services.iter().map(|s| service(s)).collect(),
    }
}

fn service(config: &ServiceConfig) -> ServiceStatus {
    let routes = config.routes.iter().map(|r| RouteStatus {
        methods: r.methods.iter().map(ToString::to_string).collect(),
        path: r.path.to_string(),
        idempotent: r.idempotent,
    });
    let servers = config.servers.iter();
    let leaving = config.servers.iter().filter(|s| s.leaving);
    ServiceStatus {
        name: config.name.to_string(),
        host: config.host.to_string(),
        routes: routes.collect(),
        servers: servers.map(|s| s.name.to_string()).collect(),
        leaving: leaving.map(|s| s.name.to_string()).collect(),
    }
}

fn explain(engine: &Engine, q: &ExplainQuery) -> Json {
    let Some(found) = engine.lookup(&q.host, &q.method, &q.path) else {
        let text = format!(
            "no service serves {} {} at host {:?}: 404, not-run",
            q.method, q.path, q.host
        );
        return json(&Explanation {
            council: String::new(),
            service: String::new(),
            idempotent: false,
            deadline_ms: 0,
            servers: Vec::new(),
            text,
        });
    };
    let service = &found.service;
    let handling = if found.idempotent {
        "idempotent: may be sent again or twice within its retry budget"
    } else {
        "not idempotent: sent again only with proof that it didn't start"
    };
    let servers = service.servers.iter().filter(|s| !s.leaving);
    json(&Explanation {
        council: service.council.to_string(),
        service: service.name.to_string(),
        idempotent: found.idempotent,
        deadline_ms: service.deadline.as_millis() as u64,
        servers: servers.map(|s| s.name.to_string()).collect(),
        text: handling.to_owned(),
    })
}
