//! Listeners for operators and for the platform's question whether to send connections.
//!
//! | path | answer |
//! |---|---|
//! | `GET /live` | 200 while the process serves |
//! | `GET /ready` | 200 while it takes connections, else 503 |
//! | `GET /metrics` | metrics in the `OpenMetrics` text format |
//! | `GET /status` | [`Status`] as JSON |

use std::sync::Arc;

use cuminspread_platform::headers::READY_PATH;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use warp::Filter as _;
use warp::reply::{Reply as _, Response, json, with_status};

use super::control::Control;
use super::state::Edge;
use crate::logging;

/// What a daemon believes, from whom, and how old it is.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// Name of the VM.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Start of the daemon, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// It takes connections.
    pub ready: bool,
    /// A planned stop has begun.
    pub stopping: bool,
    /// Requests that haven't ended.
    pub in_flight: usize,
    /// Version of the configuration in force.
    pub version: u64,
    /// Time since it came into force, in milliseconds.
    pub in_force_ms: Option<u64>,
    /// Routes in force.
    pub routes: usize,
    /// Revision of the registry.
    pub revision: u64,
    /// Time since any daemon read the store, in milliseconds; `None` if none has.
    pub store_age_ms: Option<u64>,
    /// Daemon that made the last read that was heard of.
    pub reader: Option<String>,
    /// This daemon reads the store for others.
    pub reads_store: bool,
    /// Own reads of the store that failed in a row.
    pub failed_reads: u32,
    /// Daemons heard lately, this one included.
    pub daemons: usize,
    /// Peers.
    pub peers: Vec<PeerStatus>,
    /// Servers.
    pub servers: Vec<ServerStatus>,
}

/// What a daemon believes of one peer.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct PeerStatus {
    /// Address.
    pub address: String,
    /// Data centre.
    pub data_centre: String,
    /// Time since anybody heard it, in milliseconds.
    pub heard_ms: u64,
}

/// What a daemon believes of one server.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct ServerStatus {
    /// Id.
    pub id: String,
    /// Service.
    pub service: String,
    /// Address.
    pub address: String,
    /// Data centre.
    pub data_centre: String,
    /// It is leaving.
    pub draining: bool,
    /// Requests of this daemon that it has.
    pub in_flight: usize,
    /// Failures in a row.
    pub strikes: u32,
    /// How long its work takes against what it says.
    pub lag: f32,
    /// Part of its answers that are failures.
    pub error_rate: f32,
    /// Age of its last report, in milliseconds.
    pub report_age_ms: Option<u64>,
    /// Open connections.
    pub connections: u32,
}

/// Serves operators until the task is aborted.
pub async fn serve(edge: Arc<Edge>, control: Arc<Control>, listener: TcpListener) {
    let live = warp::path!("live").map(|| StatusCode::OK.into_response());
    let ready = {
        let edge = Arc::clone(&edge);
        warp::path!("ready").map(move || readiness(&edge))
    };
    let status = {
        let (edge, control) = (Arc::clone(&edge), Arc::clone(&control));
        warp::path!("status").map(move || json(&status(&edge, &control)).into_response())
    };
    let metrics = warp::path!("metrics").map(move || metrics(&edge, &control));
    let routes = live
        .or(ready)
        .unify()
        .or(status)
        .unify()
        .or(metrics)
        .unify();
    let routes = warp::get().and(routes);
    warp::serve(routes).incoming(listener).run().await;
}

/// Answers the platform until the task is aborted.
pub async fn serve_readiness(edge: Arc<Edge>, listener: TcpListener) {
    let ready = warp::get()
        .and(warp::path::full())
        .then(move |path: warp::path::FullPath| {
            let edge = Arc::clone(&edge);
            async move {
                if path.as_str() == READY_PATH {
                    readiness(&edge)
                } else {
                    StatusCode::NOT_FOUND.into_response()
                }
            }
        });
    warp::serve(ready).incoming(listener).run().await;
}

fn readiness(edge: &Edge) -> Response {
    let (status, text) = if edge.is_ready() {
        (StatusCode::OK, "ready")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready")
    };
    with_status(text, status).into_response()
}

fn metrics(edge: &Edge, control: &Control) -> Response {
    let learned = control.status();
    let gauges = &edge.metrics.gauges;
    gauges.in_flight.set(edge.in_flight() as i64);
    gauges.version.set(edge.version());
    gauges.revision.set(learned.revision);
    gauges.daemons.set(learned.daemons as i64);
    gauges.sent.set(learned.sent_bytes);
    gauges.received.set(learned.received_bytes);
    gauges.lines_dropped.set(logging::dropped());
    let opened = edge
        .fleet()
        .servers()
        .map(|s| s.upstream.opened_total())
        .sum();
    gauges.connections.set(opened);
    match edge.metrics.write() {
        Ok(text) => text.into_response(),
        Err(e) => {
            log::error!("event=metrics_failed cause={e:?}");
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        }
    }
}

fn status(edge: &Edge, control: &Control) -> Status {
    let learned = control.status();
    let now = edge.now();
    let settings = edge.placement();
    let table = edge.table();
    let fleet = edge.fleet();
    let servers = fleet.servers().map(|s| ServerStatus {
        id: s.entry.id.to_string(),
        service: s.entry.service.to_string(),
        address: s.entry.address.to_string(),
        data_centre: s.entry.data_centre.to_string(),
        draining: s.entry.draining,
        in_flight: s.state.in_flight(),
        strikes: s.state.consecutive_failures(),
        lag: s.state.latency_ratio(now, settings),
        error_rate: s.state.error_rate(now, settings),
        report_age_ms: s
            .state
            .report()
            .map(|(at, _)| now.since(at).as_millis() as u64),
        connections: s.upstream.open_count(),
    });
    let mut servers: Vec<ServerStatus> = servers.collect();
    let peers = learned.peers.into_iter().map(|(daemon, age)| PeerStatus {
        address: daemon.address.to_string(),
        data_centre: daemon.data_centre.to_string(),
        heard_ms: age.as_millis() as u64,
    });
    let peers = peers.collect();
    servers.sort_by(|a, b| (&a.service, &a.id).cmp(&(&b.service, &b.id)));
    Status {
        name: edge.settings.name.to_string(),
        data_centre: edge.settings.data_centre.to_string(),
        started_ms: edge.started_ms,
        ready: edge.is_ready(),
        stopping: edge.is_stopping(),
        in_flight: edge.in_flight(),
        version: table.routing().version,
        in_force_ms: edge.active_for().map(|age| age.as_millis() as u64),
        routes: table.routing().routes.len(),
        revision: learned.revision,
        store_age_ms: learned.store_age.map(|age| age.as_millis() as u64),
        reader: learned.reader.map(|address| address.to_string()),
        reads_store: learned.reads_store,
        failed_reads: learned.failed_reads,
        daemons: learned.daemons,
        peers,
        servers,
    }
}
