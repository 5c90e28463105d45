//! Starts requests before the ones in front of them on their connection are answered.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use cuminspread::coordination::read_ahead::{AheadLoad, Class, RequestTraits, classify};
use cuminspread::state::Name;
use cuminspread::state::routing::{Route, RouteTable};
use cuminspread::state::time::Mono;
use cuminspread::transport::request_scan::{Framing, Scan, read_head, scan_head};
use cuminspread_platform::headers::{RequestFields, read_request};
use http::header::{CONNECTION, EXPECT, HOST, UPGRADE};
use http::{HeaderMap, Method, Request, Uri, Version};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::admission::{self, Admission};
use super::forward::take_fields;
use super::ingress::BufferedBytes;
use super::request::{Origin, Reply};
use super::state::Edge;

/// A request that was started before it was in front.
#[derive(Debug)]
pub struct StartedCall {
    id: Name,
    method: Method,
    target: Uri,
    route: Arc<Route>,
    reply: oneshot::Receiver<Reply>,
    /// Bytes that the reply may take while it waits.
    reserved: BufferedBytes,
}

impl StartedCall {
    /// Id of the request.
    pub fn id(&self) -> &Name {
        &self.id
    }

    /// Whether it is the call of this request.
    pub fn is_of(&self, req: &Request<impl Sized>, id: &Name) -> bool {
        self.id == *id && self.method == *req.method() && self.target == *req.uri()
    }

    /// Route of the request, and its reply.
    pub fn into_reply(self) -> (Arc<Route>, oneshot::Receiver<Reply>) {
        drop(self.reserved);
        (self.route, self.reply)
    }
}

/// Result of trying to start a request.
#[derive(Debug)]
pub enum Start {
    /// It runs.
    Started {
        /// Its call.
        call: StartedCall,
        /// None behind it may be started.
        last: bool,
    },
    /// It may be started when there is room.
    NoRoom,
    /// It waits until it is in front.
    Wait,
}

/// Starts the requests of one connection.
#[derive(Debug)]
pub struct Starter {
    edge: Arc<Edge>,
    origin: Origin,
}

impl Starter {
    /// Creates the starter of a connection; it starts only requests of callers.
    pub fn new(edge: Arc<Edge>, origin: Origin) -> Self {
        Self { edge, origin }
    }

    /// Time since the daemon's start.
    pub fn now(&self) -> Mono {
        self.edge.now()
    }

    /// Records that the connection's task runs.
    pub fn record_activity(&self) {
        self.edge.pause_watch().record_activity(self.edge.now());
    }

    /// Whether the process stood still at a time.
    pub fn was_paused_at(&self, at: Mono) -> bool {
        self.edge.pause_watch().was_paused_at(at)
    }

    /// Converts a time since the daemon's start for Tokio's timers.
    pub fn instant(&self, at: Mono) -> Instant {
        self.edge.instant(at)
    }

    /// Classifies a request by its complete head.
    pub fn classify(&self, head: &[u8], max_fields: usize) -> Class {
        let table = self.edge.table();
        self.read(head, max_fields, &table)
            .map_or(Class::Wait, |found| found.class)
    }

    /// Starts a request, if it may be; `running` requests of the connection have been started before
    /// their turn.
    pub fn start(&self, head: &[u8], max_fields: usize, arrived: Mono, running: usize) -> Start {
        let edge = &self.edge;
        let table = edge.table();
        let Some(found) = self.read(head, max_fields, &table) else {
            return Start::Wait;
        };
        if found.class == Class::Wait {
            return Start::Wait;
        }
        let answer = edge.settings.servers.stream_above;
        let load = AheadLoad {
            started: running,
            max_started: edge.settings.callers.max_ahead,
            held: edge.buffered().load(Ordering::Acquire),
            max_held: edge.settings.callers.max_buffered,
            answer,
            serving: edge.is_ready(),
        };
        if !load.has_room() {
            return Start::NoRoom;
        }
        let Some(service) = edge.servers().pick_service(&found.route) else {
            return Start::Wait;
        };
        let mut req = found.req;
        take_fields(req.headers_mut());
        let (method, target) = (req.method().clone(), req.uri().clone());
        let id = found.fields.id.clone();
        let admission = Admission {
            origin: self.origin,
            version: table.routing().version,
            fields: found.fields,
            route: Arc::clone(&found.route),
            service,
            arrived,
            in_flight: edge.track_request(),
        };
        let (head, ()) = req.into_parts();
        let inbound = admission.into_request(head, bytes::Bytes::new());
        let Ok(reply) = admission::start(edge, inbound, BufferedBytes::new(edge)) else {
            return Start::Wait;
        };
        edge.metrics.count_started_ahead();
        log::info!("event=started_ahead id={id} behind={}", running + 1);
        let mut reserved = BufferedBytes::new(edge);
        reserved.grow(answer);
        Start::Started {
            call: StartedCall {
                id,
                method,
                target,
                route: found.route,
                reply,
                reserved,
            },
            last: found.class == Class::StartLast,
        }
    }

    fn read(&self, head: &[u8], max_fields: usize, table: &RouteTable) -> Option<Found> {
        if self.origin != Origin::Caller {
            return None;
        }
        let Scan::Head(scanned) = scan_head(head, max_fields) else {
            return None;
        };
        let req = read_head(head, max_fields)?;
        let fields = read_request(req.headers())?;
        let route = Arc::clone(admission::find_route(table, req.headers(), req.uri())?);
        let fields_of = req.headers();
        let class = classify(&RequestTraits {
            reads: matches!(*req.method(), Method::GET | Method::HEAD),
            plain: scanned.framing == Framing::Empty
                && !fields_of.contains_key(UPGRADE)
                && !fields_of.contains_key(EXPECT),
            valid: fields_of.get_all(HOST).iter().count() == 1,
            repeatable: route.idempotent,
            streams: self.edge.has_streamed(&route.name),
            closes: req.version() != Version::HTTP_11 || asks_to_close(fields_of),
        });
        Some(Found {
            req,
            fields,
            route,
            class,
        })
    }
}

/// A request whose head was read.
struct Found {
    req: Request<()>,
    fields: RequestFields,
    route: Arc<Route>,
    class: Class,
}

fn asks_to_close(fields: &HeaderMap) -> bool {
    let values = fields.get_all(CONNECTION).iter();
    let mut options = values.flat_map(|v| v.as_bytes().split(|b| *b == b','));
    options.any(|o| o.trim_ascii().eq_ignore_ascii_case(b"close"))
}
