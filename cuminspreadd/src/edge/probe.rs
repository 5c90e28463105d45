//! Asks a server for its load.
//!
//! The question goes out on the connection that a request may use right after it, so that an answer
//! also shows that the connection and the server live. An order sent on a dead connection could not
//! be sent again.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cuminspread::state::Name;
use cuminspread::transport::upstream::exchange::Exchange;
use cuminspread::transport::upstream::{self as transport, ConnectionChoice, Failure, Upstream};
use cuminspread_platform::headers::{Health, read_health};
use http::Request;
use http::header::HOST;
use http_body_util::Full;

use super::state::{Edge, MOVED_SERVER_PAUSE, ServerKey};

/// Longest time for an answer; servers answer at once, and far ones are 10 ms away.
const TIMEOUT: Duration = Duration::from_millis(250);
/// Largest body of an answer, in bytes.
const MAX_BODY: usize = 4096;

/// What came of a question.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// The server answered.
    Answered,
    /// Another server has its address.
    Moved,
    /// It didn't answer.
    Failed,
}

/// Asks a server and notes what it says.
pub async fn look(edge: Arc<Edge>, key: ServerKey) -> ProbeResult {
    let Some((upstream, path, id)) = begin(&edge, key) else {
        return ProbeResult::Failed;
    };
    let asked = tokio::time::timeout(TIMEOUT, ask(&upstream, &path)).await;
    let now = edge.now();
    let mut fleet = edge.fleet();
    let Some(server) = fleet.server(key) else {
        return ProbeResult::Failed;
    };
    server.asked = None;
    let cause = match asked {
        Ok(Ok(health)) if health.server.as_ref().is_none_or(|s| *s == id) => {
            let service = server.entry.service.clone();
            fleet.set_load_unknown(&service, health.load.is_none());
            if let Some(room) = health.load {
                fleet.note_room(now, key, room, Some(health.healthy));
            }
            edge.metrics.count_probe("answered");
            return ProbeResult::Answered;
        }
        Ok(Ok(health)) => {
            server.moved_until = now + MOVED_SERVER_PAUSE;
            let other = health.server.unwrap_or_default();
            edge.metrics.count_probe("moved");
            log::info!(
                "event=server_moved server={id} address={} found={other}",
                upstream.address()
            );
            return ProbeResult::Moved;
        }
        // All connections of this daemon's share are in use, which isn't the server's fault.
        Ok(Err(e)) if e.step == transport::Step::ConnectionLimit => return ProbeResult::Failed,
        Ok(Err(e)) => e.to_string(),
        Err(_) => format!(
            "step=health peer={} cause=\"no answer\"",
            upstream.address()
        ),
    };
    let before = server.standing.consecutive_failures();
    server.standing.record_failure(now, edge.placing());
    edge.metrics.count_probe("failed");
    if before == 0 {
        log::info!("event=server_silent server={id} {cause}");
    }
    ProbeResult::Failed
}

fn begin(edge: &Edge, key: ServerKey) -> Option<(Arc<Upstream>, Name, Name)> {
    let table = edge.table();
    let now = edge.now();
    let mut fleet = edge.fleet();
    let server = fleet.server(key)?;
    server.asked.get_or_insert(now);
    let spec = table.service(&server.entry.service);
    let path = spec.map_or_else(Name::default, |s| s.probe_path.clone());
    Some((Arc::clone(&server.upstream), path, server.entry.id.clone()))
}

async fn ask(upstream: &Arc<Upstream>, path: &str) -> Result<Health, Failure> {
    let conn = upstream.acquire(ConnectionChoice::Any).await?;
    let mut req = Request::new(Full::new(Bytes::new()));
    *req.uri_mut() = path.parse().unwrap_or_default();
    if let Ok(host) = upstream.address().to_string().try_into() {
        req.headers_mut().insert(HOST, host);
    }
    let (head, mut rest) = Exchange::send(conn, req).await?;
    let mut body = BytesMut::new();
    if !rest.read_up_to(MAX_BODY, &mut body).await? {
        return Err(rest.failure("the answer to a health check is too large"));
    }
    rest.finish();
    Ok(read_health(head.status, &head.headers))
}
