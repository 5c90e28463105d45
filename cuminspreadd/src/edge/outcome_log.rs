//! What a request went through, and the log line and metrics at its end.

use std::net::SocketAddr;
use std::time::Duration;

use cuminspread::state::Name;
use cuminspread::state::time::Mono;
use http::StatusCode;

use super::request::{InboundRequest, Reply};
use super::state::{Edge, ServerKey};

/// Attempts of a request so far.
#[derive(Debug, Default)]
pub struct History {
    /// Servers that got the request.
    pub tried: Vec<ServerKey>,
    /// Attempts that may have run the request.
    pub possible_runs: u32,
    /// Attempts that were sent.
    pub attempts: u32,
    /// Probes for all attempts.
    pub probes: u32,
    /// Attempts that were hedges.
    pub hedges: u32,
    /// Start of the last attempt.
    pub last_sent: Mono,
    /// Server of the last attempt, for the log.
    pub server: Name,
    /// Whether that server is in the own data centre.
    pub near: bool,
    /// Last peer that the request was offered to.
    pub peer: Option<SocketAddr>,
    /// Time until the first attempt.
    pub waited: Option<Duration>,
    /// Slowness that the last server reported.
    pub slowness: f32,
    /// Age of that report.
    pub report_age: Duration,
    /// Requests running and waiting at the last server, by that report.
    pub server_requests: u32,
}

/// Logs the end of a request and counts it.
pub fn log_outcome(edge: &Edge, req: &InboundRequest, history: &History, reply: Option<&Reply>) {
    let took = edge.now().since(req.arrived);
    let (outcome, status, detail, last) = match reply {
        Some(Reply::Buffered(head, _) | Reply::Streaming(head, ..)) => {
            let outcome = if head.status.is_success() {
                "served"
            } else {
                "passed_on"
            };
            (outcome, head.status, "answer", "answer")
        }
        Some(Reply::Refused { reason, detail, .. }) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            ("refused", status, reason.label(), *detail)
        }
        Some(Reply::Failed { status, detail }) => ("failed", *status, *detail, *detail),
        None => ("caller_left", StatusCode::OK, "caller_left", "caller_left"),
    };
    let peer = history.peer.map(|p| p.to_string()).unwrap_or_default();
    edge.metrics.count_request(&req.service, outcome, detail);
    edge.metrics.observe(&req.service, took);
    let level = match outcome {
        "served" | "caller_left" => log::Level::Info,
        _ => log::Level::Warn,
    };
    log::log!(
        level,
        "event=request id={} route={} version={} from={} service={} server={} near={} peer={} \
         outcome={outcome} status={} detail={detail} last={last} sends={} runs={} hedges={} looks={} waited_us={} \
         took_us={} slowness={:.2} report_age_us={}",
        req.outbound.id,
        req.route.name,
        req.version,
        req.origin.label(),
        req.service,
        history.server,
        history.near,
        peer,
        status.as_u16(),
        history.attempts,
        history.possible_runs,
        history.hedges,
        history.probes,
        history.waited.unwrap_or_default().as_micros(),
        took.as_micros(),
        history.slowness,
        history.report_age.as_micros(),
    );
}
