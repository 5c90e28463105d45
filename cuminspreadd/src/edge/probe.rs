//! Probes a server for its load.
//!
//! A probe uses a connection that a request may use right after it, so that a response also proves
//! the connection and the server alive. A request that isn't idempotent could not be retried after
//! it was sent on a dead connection.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cuminspread::coordination::cold_server::ColdNews;
use cuminspread::state::Name;
use cuminspread::transport::upstream::exchange::Exchange;
use cuminspread::transport::upstream::{self as transport, ConnectionChoice, Failure, Upstream};
use cuminspread_platform::headers::{Health, read_health};
use http::Request;
use http::header::HOST;
use http_body_util::Full;

use super::state::{Edge, LimitSource, MOVED_SERVER_PAUSE, ServerKey};

/// Longest time for a response; servers answer at once, and far ones are 10 ms away.
const TIMEOUT: Duration = Duration::from_millis(250);
/// Largest body of a response.
const MAX_BODY_BYTES: usize = 4096;

/// Result of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// The server answered.
    Answered,
    /// Another server answered at the address.
    Moved,
    /// No valid response.
    Failed,
    /// The probe wasn't sent: the server is gone or gets nothing, or this daemon has no connection
    /// left for it.
    Unsent,
}

/// Probes a server and records its load or its failure.
pub async fn probe(edge: Arc<Edge>, key: ServerKey, choice: ConnectionChoice) -> ProbeResult {
    let Some((upstream, path, id)) = begin(&edge, key) else {
        return ProbeResult::Unsent;
    };
    let sent_at = edge.now();
    let probed = tokio::time::timeout(TIMEOUT, request_health(&upstream, &path, choice)).await;
    let now = edge.now();
    let mut servers = edge.servers();
    let Some(server) = servers.get_mut(key) else {
        return ProbeResult::Failed;
    };
    server.probed_since = None;
    let cause = match probed {
        Ok(Ok((health, is_new_connection))) if health.server.as_ref().is_none_or(|s| *s == id) => {
            let (service, near) = (server.entry.service.clone(), server.state.near);
            match health.load {
                Some(load) => servers.record_load(now, key, load, Some(health.healthy)),
                None => servers.record_no_load(now, &service),
            }
            if let Some(pause) = health.pause {
                servers.record_pause(now, key, pause);
            }
            let is_new = servers.record_limit(now, key, health.limit, LimitSource::Probe);
            let news = ColdNews::Check {
                sent_at,
                healthy: health.healthy,
            };
            let is_new = servers.record_cold(now, key, health.warm_up, news) || is_new;
            if health.leaving && servers.record_leaving(key) || is_new {
                edge.server_notice.notify_one();
            }
            if is_new_connection {
                servers.record_connected(now, key);
            } else {
                servers.round_trips.record(near, now.since(sent_at));
            }
            edge.metrics.count_probe("answered");
            return ProbeResult::Answered;
        }
        Ok(Ok((health, _))) => {
            server.moved_until = now + MOVED_SERVER_PAUSE;
            let other = health.server.unwrap_or_default();
            edge.metrics.count_probe("moved");
            log::info!(
                "event=server_moved server={id} address={} found={other}",
                upstream.address()
            );
            return ProbeResult::Moved;
        }
        // This daemon's share of connections is in use, which is no failure of the server.
        Ok(Err(e)) if e.step == transport::Step::ConnectionLimit => return ProbeResult::Unsent,
        Ok(Err(e)) => e.to_string(),
        Err(_) => format!(
            "step=health peer={} cause=\"no response within 250 ms\"",
            upstream.address()
        ),
    };
    let before = server.state.consecutive_failures();
    server.state.record_failure(now, edge.placement());
    servers.record_unanswered(key);
    edge.reach_notice.notify_one();
    edge.metrics.count_probe("failed");
    if before == 0 {
        log::info!("event=server_silent server={id} {cause}");
    }
    ProbeResult::Failed
}

/// Marks a server as being probed; returns its connections, the path to request, and its id.
fn begin(edge: &Edge, key: ServerKey) -> Option<(Arc<Upstream>, Name, Name)> {
    let table = edge.table();
    let now = edge.now();
    let mut servers = edge.servers();
    if servers.is_in_emptied(key) {
        return None;
    }
    let server = servers.get_mut(key)?;
    server.probed_since.get_or_insert(now);
    let service = table.service(&server.entry.service);
    let path = service.map_or_else(Name::default, |s| s.probe_path.clone());
    Some((Arc::clone(&server.upstream), path, server.entry.id.clone()))
}

/// Also returns whether the connection was new.
async fn request_health(
    upstream: &Arc<Upstream>,
    path: &str,
    choice: ConnectionChoice,
) -> Result<(Health, bool), Failure> {
    let conn = upstream.acquire(choice).await?;
    let is_new = conn.meter().read() == 0;
    let mut req = Request::new(Full::new(Bytes::new()));
    *req.uri_mut() = path.parse().unwrap_or_default();
    if let Ok(host) = upstream.address().to_string().try_into() {
        req.headers_mut().insert(HOST, host);
    }
    let (head, mut exchange) = Exchange::send(conn, req).await?;
    let mut body = BytesMut::new();
    if !exchange.read_up_to(MAX_BODY_BYTES, &mut body).await? {
        return Err(exchange.failure("health check response larger than 4096 bytes"));
    }
    exchange.finish();
    Ok((read_health(head.status, &head.headers), is_new))
}
