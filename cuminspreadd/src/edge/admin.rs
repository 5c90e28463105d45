//! Admin listener for operators, and the listener for the platform's readiness check.
//!
//! | request | response |
//! |---|---|
//! | `GET /live` | 200 while the process runs |
//! | `GET /ready` | 200 while the daemon accepts new connections, else 503 |
//! | `GET /metrics` | metrics in the `OpenMetrics` text format |
//! | `GET /status` | [`Status`] as JSON |
//!
//! The readiness listener answers `GET` requests for the platform's path as `GET /ready`.

use std::sync::Arc;

use cuminspread::coordination::server_limit::ServerLimit;
use cuminspread_platform::headers::READY_PATH;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use warp::Filter as _;
use warp::reply::{Reply as _, Response, json, with_status};

use super::control::Control;
use super::state::Edge;
use crate::logging;

/// State of a daemon in store mode: what it knows, from which source, and how old that is.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// Name of the VM.
    pub name: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Start of the daemon, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Routes and servers are known and the daemon isn't stopping.
    pub ready: bool,
    /// A graceful stop has begun.
    pub stopping: bool,
    /// Requests that have not ended.
    pub in_flight: usize,
    /// Version of the active configuration; 0 before the first.
    pub version: u64,
    /// Newest version that any daemon is known to have.
    #[serde(default)]
    pub known_version: u64,
    /// Time since the active version was activated, in milliseconds; `None` before the first.
    #[serde(rename = "in_force_ms")]
    pub active_ms: Option<u64>,
    /// Active routes.
    pub routes: usize,
    /// Era of the store, which rises when it comes back from an older copy; 0 if unknown.
    #[serde(default)]
    pub era: u64,
    /// Revision of the registry in that era.
    pub revision: u64,
    /// Time since any daemon read the store, in milliseconds; `None` if none has.
    pub store_age_ms: Option<u64>,
    /// Address of the daemon that made the last known read of the store.
    pub reader: Option<String>,
    /// This daemon reads the store and sends the changes to its peers.
    pub reads_store: bool,
    /// Consecutive reads of the store by this daemon that failed.
    pub failed_reads: u32,
    /// Daemons heard recently, this one included.
    pub daemons: usize,
    /// Services of which this daemon reaches no server, sorted.
    #[serde(default)]
    pub lost_services: Vec<String>,
    /// Data centres whose servers get nothing, sorted.
    #[serde(default)]
    pub emptied: Vec<String>,
    /// Revision of the store up to which `emptied` is complete, as era/number.
    #[serde(default)]
    pub emptied_as_of: String,
    /// Peers heard recently.
    pub peers: Vec<PeerStatus>,
    /// Servers, sorted by service and id.
    pub servers: Vec<ServerStatus>,
}

/// What a daemon knows of one peer.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct PeerStatus {
    /// Address for peers.
    pub address: String,
    /// Data centre of the peer.
    pub data_centre: String,
    /// Time since any daemon heard the peer, in milliseconds.
    pub heard_ms: u64,
}

/// Registry entry of one server, and this daemon's estimates and connections.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct ServerStatus {
    /// Id in the registry.
    pub id: String,
    /// Service that the server belongs to.
    pub service: String,
    /// Address for requests.
    pub address: String,
    /// Data centre of the server.
    pub data_centre: String,
    /// The server accepts no new requests.
    pub draining: bool,
    /// Requests of this daemon that run at the server.
    pub in_flight: usize,
    /// Consecutive failures.
    #[serde(rename = "strikes")]
    pub consecutive_failures: u32,
    /// Measured response time as a multiple of the expected one.
    #[serde(rename = "lag")]
    pub latency_ratio: f32,
    /// Recent fraction of attempts that failed, 0 to 1.
    pub error_rate: f32,
    /// Age of the last load report, in milliseconds; `None` before the first.
    pub report_age_ms: Option<u64>,
    /// Open connections of this daemon.
    pub connections: u32,
    /// Requests a second that the server takes from all daemons together; `None` if it names no
    /// limit.
    #[serde(default)]
    pub limit_per_s: Option<f32>,
    /// Time for which the server wants nothing of this daemon, in milliseconds; `None` if it hasn't
    /// asked for a pause.
    #[serde(default)]
    pub paused_ms: Option<u64>,
    /// Time for which the server stays cold and bears few requests, in milliseconds; `None` if it is
    /// warm.
    #[serde(default)]
    pub cold_ms: Option<u64>,
}

/// Serves the admin listener until the task is aborted.
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

/// Serves the platform's readiness check until the task is aborted.
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
    let synced = control.status();
    let gauges = &edge.metrics.gauges;
    gauges.in_flight.set(edge.in_flight() as i64);
    gauges.version.set(edge.version());
    gauges.known_version.set(synced.known_version);
    gauges.era.set(synced.revision.era);
    gauges.revision.set(synced.revision.number);
    gauges.daemons.set(synced.daemons as i64);
    let emptied = synced.evacuations.data_centres.len();
    gauges.emptied.set(emptied as i64);
    gauges.sent.set(synced.sent_bytes);
    gauges.received.set(synced.received_bytes);
    gauges.lines_dropped.set(logging::dropped());
    let opened = edge
        .servers()
        .iter()
        .map(|s| s.upstream.opened_total())
        .sum();
    gauges.connections.set(opened);
    let servers = edge.servers();
    gauges.limited.set(servers.limited() as i64);
    gauges.cold.set(servers.cold(edge.now()) as i64);
    gauges.paused.set(servers.paused(edge.now()) as i64);
    gauges.lost.set(servers.lost_services().count() as i64);
    drop(servers);
    match edge.metrics.write() {
        Ok(text) => text.into_response(),
        Err(e) => {
            log::error!("event=metrics_failed cause={e:?}");
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        }
    }
}

fn status(edge: &Edge, control: &Control) -> Status {
    let synced = control.status();
    let now = edge.now();
    let settings = edge.placement();
    let table = edge.table();
    let servers = edge.servers();
    let lost = servers.lost_services().map(ToString::to_string);
    let mut lost_services: Vec<String> = lost.collect();
    lost_services.sort_unstable();
    let servers = servers.iter().map(|s| ServerStatus {
        id: s.entry.id.to_string(),
        service: s.entry.service.to_string(),
        address: s.entry.address.to_string(),
        data_centre: s.entry.data_centre.to_string(),
        draining: s.entry.draining,
        in_flight: s.state.in_flight(),
        consecutive_failures: s.state.consecutive_failures(),
        latency_ratio: s.state.latency_ratio(now, settings),
        error_rate: s.state.error_rate(now, settings),
        report_age_ms: s
            .state
            .report()
            .map(|(at, _)| now.since(at).as_millis() as u64),
        connections: s.upstream.open_count(),
        limit_per_s: s.hold_off.limit.as_ref().map(ServerLimit::rate),
        paused_ms: s
            .hold_off
            .pause_left(now)
            .map(|left| left.as_millis() as u64),
        cold_ms: s
            .hold_off
            .cold
            .left(now)
            .map(|left| left.as_millis() as u64),
    });
    let mut servers: Vec<ServerStatus> = servers.collect();
    let emptied = synced.evacuations.data_centres.keys();
    let peers = synced.peers.into_iter().map(|(daemon, age)| PeerStatus {
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
        known_version: synced.known_version,
        active_ms: edge.active_for().map(|age| age.as_millis() as u64),
        routes: table.routing().routes.len(),
        era: synced.revision.era,
        revision: synced.revision.number,
        store_age_ms: synced.store_age.map(|age| age.as_millis() as u64),
        reader: synced.reader.map(|address| address.to_string()),
        reads_store: synced.reads_store,
        failed_reads: synced.failed_reads,
        daemons: synced.daemons,
        lost_services,
        emptied: emptied.map(ToString::to_string).collect(),
        emptied_as_of: synced.evacuations.as_of.to_string(),
        peers,
        servers,
    }
}
