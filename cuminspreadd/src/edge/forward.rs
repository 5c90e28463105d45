//! Forwards requests to peers that reach the servers of a service, when this daemon doesn't.
//!
//! The internal listener for forwarded requests is [`ingress`](super::ingress) with
//! [`Origin::Peer`](super::request::Origin): a request from there is placed on servers or refused,
//! and never forwarded again. Each response says whether the request has run. A peer that falls
//! silent after it got a request may have run it, so it goes nowhere else then.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::BytesMut;
use cuminspread::coordination::forwarding::{ForwardEnd, ForwardPeer, Forwarding};
use cuminspread::coordination::refusal::RefusalReason;
use cuminspread::protocol::header::{OUTCOME, Outcome, REASON, SERVICE, VERSION};
use cuminspread::state::Name;
use cuminspread::transport::upstream::exchange::{Exchange, WriteCounter};
use cuminspread::transport::upstream::{ConnectionChoice, Upstream, UpstreamSettings};
use cuminspread_platform::headers::set_time_left;
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use http_body_util::Full;

use super::request::{InboundRequest, Reply, StreamedBody};
use super::state::Edge;
use crate::settings::Settings;

/// Peers that one request is offered to.
const MAX_PEERS: usize = 4;
/// Connections to one peer.
const MAX_CONNECTIONS: u32 = 256;
/// Longest time for opening a connection to a peer; far ones are 10 ms away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after which idle connections to peers are closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Fields that the head of a forwarded request, or of its response, may have beyond the limit on those
/// of callers and servers.
pub const ADDED_FIELDS: usize = 8;
/// Bytes that such a head may have beyond the same limit.
pub const ADDED_HEAD_BYTES: usize = 1024;

/// Peers that take requests of this daemon, and the connections to them.
#[derive(Debug, Default)]
pub struct ForwardPool {
    /// Which peer gets a request.
    pub peers: Forwarding,
    /// Data centres of the peers.
    data_centres: HashMap<SocketAddr, Name>,
    upstreams: HashMap<SocketAddr, Arc<Upstream>>,
}

impl ForwardPool {
    /// Replaces the peers, each with its data centre; running requests continue.
    pub fn set_peers(&mut self, peers: Vec<(ForwardPeer, Name)>) {
        let data_centres = peers.iter().map(|(p, d)| (p.address, d.clone()));
        self.data_centres = data_centres.collect();
        let peers: Vec<ForwardPeer> = peers.into_iter().map(|(p, _)| p).collect();
        let is_peer = |address: &SocketAddr| peers.iter().any(|p| p.address == *address);
        self.upstreams.retain(|address, _| is_peer(address));
        self.peers.set_peers(peers);
    }

    /// Closes connections that are no longer used.
    pub fn close_idle(&self) {
        for upstream in self.upstreams.values() {
            upstream.close_idle();
        }
    }

    /// Connections to a peer, which knows this daemon by the host of its own address.
    fn upstream(&mut self, peer: SocketAddr, settings: &Settings) -> Arc<Upstream> {
        let upstream = self.upstreams.entry(peer).or_insert_with(|| {
            let to_servers = &settings.servers.connections;
            let settings = UpstreamSettings {
                connect_timeout: CONNECT_TIMEOUT,
                idle_timeout: IDLE_TIMEOUT,
                max_head: to_servers.max_head + ADDED_HEAD_BYTES,
                max_headers: to_servers.max_headers + ADDED_FIELDS,
                source: Some(settings.peer.ip()).filter(|ip| !ip.is_unspecified()),
                ..UpstreamSettings::default()
            };
            let name = Name::new(peer.to_string());
            Arc::new(Upstream::new(name, peer, MAX_CONNECTIONS, settings))
        });
        Arc::clone(upstream)
    }
}

/// What one peer did with a request.
enum PeerReply {
    Ran(Box<Reply>),
    NotRun(ForwardEnd, &'static str),
    Unknown(&'static str),
}

/// Counts a request as in flight at a peer until its end is recorded or it is dropped.
struct Hop<'a> {
    edge: &'a Edge,
    peer: SocketAddr,
    service: &'a Name,
    end: ForwardEnd,
}

impl Drop for Hop<'_> {
    fn drop(&mut self) {
        let now = self.edge.now();
        let mut pool = self.edge.forward_pool();
        pool.peers
            .record_end(now, self.peer, self.service, self.end);
    }
}

/// Offers a request to one peer after the other until one takes it.
///
/// `may_run` is set while a peer may have the request.
///
/// # Errors
///
/// Fails with the reason if no peer takes the request; then it has not run.
pub async fn forward(
    edge: &Edge,
    req: &InboundRequest,
    may_run: &AtomicBool,
    peer: &mut Option<SocketAddr>,
) -> Result<Reply, RefusalReason> {
    let mut tried = Vec::new();
    let mut reason = RefusalReason::NoServer;
    while tried.len() < MAX_PEERS {
        let Some((address, upstream)) = choose(edge, req, &tried) else {
            break;
        };
        tried.push(address);
        *peer = Some(address);
        let began = edge.now();
        let mut hop = Hop {
            edge,
            peer: address,
            service: &req.service,
            end: ForwardEnd::Cancelled,
        };
        let reply = send(edge, &upstream, req, may_run).await;
        let (end, outcome, detail) = match &reply {
            PeerReply::Ran(_) => (ForwardEnd::Taken, Outcome::Ran, "answer"),
            PeerReply::NotRun(end, detail) => (*end, Outcome::NotRun, *detail),
            PeerReply::Unknown(detail) => (ForwardEnd::Unavailable, Outcome::Unknown, *detail),
        };
        hop.end = end;
        drop(hop);
        log::info!(
            "event=forwarded id={} service={} peer={address} attempt={} outcome={outcome} \
             detail={detail} took_us={}",
            req.outbound.id,
            req.service,
            tried.len(),
            edge.now().since(began).as_micros()
        );
        edge.metrics.count_forwarded(outcome.label(), detail);
        match (reply, end) {
            (PeerReply::Ran(reply), _) => return Ok(*reply),
            (PeerReply::Unknown(detail), _) => {
                let status = StatusCode::BAD_GATEWAY;
                return Ok(Reply::Failed { status, detail });
            }
            (PeerReply::NotRun(..), ForwardEnd::Refused) => {
                reason = RefusalReason::Crashing;
                break;
            }
            (PeerReply::NotRun(..), ForwardEnd::NoRoom) => reason = RefusalReason::NoRoom,
            (PeerReply::NotRun(..), _) => {}
        }
    }
    Err(reason)
}

fn choose(
    edge: &Edge,
    req: &InboundRequest,
    tried: &[SocketAddr],
) -> Option<(SocketAddr, Arc<Upstream>)> {
    let now = edge.now();
    let mut servers = edge.servers();
    let mut pool = edge.forward_pool();
    let may_have = |peer| {
        let data_centre = pool.data_centres.get(&peer);
        data_centre.is_some_and(|d| edge.allows(&req.route, d))
    };
    let rng = &mut servers.rng;
    let peer = pool
        .peers
        .choose_among(now, &req.service, tried, may_have, rng)?;
    pool.peers.record_sent(peer);
    Some((peer, pool.upstream(peer, &edge.settings)))
}

/// Sends a request to a peer and reads its response.
async fn send(
    edge: &Edge,
    upstream: &Arc<Upstream>,
    req: &InboundRequest,
    may_run: &AtomicBool,
) -> PeerReply {
    let conn = match upstream.acquire(ConnectionChoice::Live).await {
        Ok(conn) => conn,
        Err(e) => {
            log::debug!("event=forward_failed id={} {e}", req.outbound.id);
            return PeerReply::NotRun(ForwardEnd::Unavailable, "unreachable");
        }
    };
    let written = WriteCounter::start(&conn);
    // Set before the first byte can be written.
    may_run.store(true, Ordering::Relaxed);
    let (mut head, mut exchange) = match Exchange::send(conn, build(edge, req)).await {
        Ok(res) => res,
        Err(e) => {
            log::debug!("event=forward_failed id={} {e}", req.outbound.id);
            if written.count() > 0 {
                return PeerReply::Unknown("peer_lost");
            }
            may_run.store(false, Ordering::Relaxed);
            return PeerReply::NotRun(ForwardEnd::Unavailable, "not_written");
        }
    };
    let outcome = head.headers.remove(OUTCOME);
    let reason = head.headers.remove(REASON);
    let outcome = outcome.as_ref().and_then(|v| v.to_str().ok());
    if outcome == Some(Outcome::NotRun.label()) {
        may_run.store(false, Ordering::Relaxed);
        exchange.discard().await;
        let (end, detail) = refusal_end(reason.as_ref());
        return PeerReply::NotRun(end, detail);
    }
    if outcome != Some(Outcome::Ran.label()) {
        return PeerReply::Unknown("peer_failed");
    }
    let mut body = BytesMut::new();
    match exchange
        .read_up_to(edge.settings.servers.stream_above, &mut body)
        .await
    {
        Ok(true) => {
            exchange.finish();
            PeerReply::Ran(Box::new(Reply::Buffered(head, body.freeze())))
        }
        Ok(false) => {
            let body = StreamedBody {
                prefix: body.freeze(),
                rest: exchange,
                server: None,
            };
            PeerReply::Ran(Box::new(Reply::Streaming(head, body)))
        }
        Err(e) => {
            log::debug!("event=forward_failed id={} {e}", req.outbound.id);
            PeerReply::Unknown("cut_short")
        }
    }
}

fn build(edge: &Edge, req: &InboundRequest) -> Request<Full<bytes::Bytes>> {
    let outbound = &req.outbound;
    let mut out = Request::new(Full::new(outbound.body.clone()));
    *out.method_mut() = outbound.method.clone();
    *out.uri_mut() = outbound.target.clone();
    *out.headers_mut() = outbound.headers.clone();
    let time_left = edge.server_deadline(req.deadline).since(edge.now());
    set_time_left(out.headers_mut(), time_left);
    out.headers_mut().insert(VERSION, req.version.into());
    if let Ok(service) = HeaderValue::from_str(&req.service) {
        out.headers_mut().insert(SERVICE, service);
    }
    out
}

/// What a peer's refusal says of the peer, by its reason.
fn refusal_end(reason: Option<&HeaderValue>) -> (ForwardEnd, &'static str) {
    const REASONS: [(&str, ForwardEnd); 9] = [
        ("no_server", ForwardEnd::NoServer),
        ("emptied", ForwardEnd::NoServer),
        ("no_server_in_region", ForwardEnd::NoServer),
        ("outdated", ForwardEnd::Outdated),
        ("stopping", ForwardEnd::Unavailable),
        ("no_configuration", ForwardEnd::Unavailable),
        ("not_a_peer", ForwardEnd::Unavailable),
        ("crashing", ForwardEnd::Refused),
        ("no_room", ForwardEnd::NoRoom),
    ];
    let known = REASONS
        .iter()
        .find(|(label, _)| reason.is_some_and(|reason| reason.as_bytes() == label.as_bytes()));
    known.map_or((ForwardEnd::NoRoom, "refused"), |(label, end)| {
        (*end, *label)
    })
}

/// Fields of a forwarded request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardFields {
    /// Version of the configuration by which the peer handled it.
    pub version: u64,
    /// Service that the peer chose.
    pub service: Name,
}

/// Takes the fields of a forwarded request out of its head; missing ones are empty.
pub fn take_fields(headers: &mut HeaderMap) -> ForwardFields {
    let version = headers.remove(VERSION);
    let version = version.and_then(|v| v.to_str().ok()?.parse().ok());
    let service = headers.remove(SERVICE);
    let service = service.and_then(|v| v.to_str().ok().map(Name::new));
    ForwardFields {
        version: version.unwrap_or_default(),
        service: service.unwrap_or_default(),
    }
}

/// Tells a peer whether a forwarded request has run, and if not, why.
pub fn mark_response(headers: &mut HeaderMap, outcome: Outcome, reason: &'static str) {
    headers.insert(OUTCOME, HeaderValue::from_static(outcome.label()));
    headers.insert(REASON, HeaderValue::from_static(reason));
}
