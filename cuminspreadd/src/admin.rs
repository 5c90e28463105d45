//! Listener for operators and the platform's balancer.
//!
//! | path | answer |
//! |---|---|
//! | `GET /live` | 200 while the process serves |
//! | `GET /ready` | 200 while it takes calls, else 503 |
//! | `GET /metrics` | metrics in the `OpenMetrics` text format |
//! | `GET /status` | [`Status`] as JSON |
//! | `GET /explain?method=&path=&host=` | [`Explanation`] as JSON |
//! | `POST /drain` | begins a planned stop |

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

/// State of a daemon.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// Name of the VM.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Random number of this start.
    pub incarnation: u64,
    /// It takes calls.
    pub ready: bool,
    /// A planned stop has begun.
    pub stopping: bool,
    /// Calls that are running.
    pub in_flight: usize,
    /// Configuration in force.
    pub councils: Vec<CouncilStatus>,
    /// Councils whose newest files are refused; the last good ones are in force.
    #[serde(default)]
    pub refused_files: Vec<RefusedStatus>,
    /// Servers in force.
    pub servers: Vec<ServerStatus>,
    /// Invariant checks, by invariant.
    #[serde(rename = "promises")]
    pub invariants: BTreeMap<String, InvariantStatus>,
}

/// Configuration of one council.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct CouncilStatus {
    /// Council.
    pub council: String,
    /// Version in force.
    pub version: u64,
    /// Digest in force, in hexadecimal.
    pub digest: String,
    /// Probes a second over the whole fleet.
    pub probe_budget: f64,
    /// Its services.
    pub services: Vec<ServiceStatus>,
}

/// Refused files of one council.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct RefusedStatus {
    /// Council.
    pub council: String,
    /// Version of the files.
    pub version: u64,
    /// Faults, with file, line, section and key.
    pub faults: Vec<String>,
}

/// One service.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Service.
    pub name: String,
    /// Host that selects it; any if empty.
    pub host: String,
    /// Routes: methods, path and whether it is idempotent.
    pub routes: Vec<RouteStatus>,
    /// Names of its servers.
    pub servers: Vec<String>,
    /// Names of its servers that are leaving.
    pub leaving: Vec<String>,
}

/// One route.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct RouteStatus {
    /// Methods; any if empty.
    pub methods: Vec<String>,
    /// Path pattern.
    pub path: String,
    /// Running a request twice does no harm.
    pub idempotent: bool,
}

/// Checks of one invariant.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct InvariantStatus {
    /// Checks made.
    pub checked: u64,
    /// Checks that failed.
    pub broken: u64,
}

/// ExplainQuery of `explain`.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct ExplainQuery {
    /// Method.
    pub method: String,
    /// Path, without query.
    pub path: String,
    /// Host, without port.
    #[serde(default)]
    pub host: String,
}

/// Where a request would go.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Explanation {
    /// Council; empty if no service serves the request.
    pub council: String,
    /// Service.
    pub service: String,
    /// Running it twice does no harm.
    pub idempotent: bool,
    /// Longest time for the call, in milliseconds.
    pub deadline_ms: u64,
    /// Servers that may run it.
    pub servers: Vec<String>,
    /// What happens to it, in words.
    pub text: String,
}

/// Serves operators until the task is aborted; `drain` is notified by `POST /drain`.
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

/// State of the daemon.
pub fn status(engine: &Engine) -> Status {
    let settings = &engine.settings;
    let invariants = Invariant::ALL.map(|promise| {
        let status = InvariantStatus {
            checked: engine.invariants.checked(promise),
            broken: engine.invariants.broken(promise),
        };
        (promise.label().to_owned(), status)
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
