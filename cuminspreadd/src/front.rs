//! HTTP/1 listener for callers.
//!
//! Requests are handled by a `warp` filter. `warp::serve` has no timeouts for slow callers and
//! can't close a single connection, so the filter runs as a service on connections of `hyper`,
//! which `warp` is built on.
//!
//! A request's body is read to its end before its call starts: the call may need several attempts,
//! and a caller that sends its body slowly must not occupy a slot of a server. Trailers of requests
//! and responses are dropped, as HTTP allows an intermediary to (RFC 9110, section 6.5.1). Bodies
//! are framed anew for servers, and a request with both `Content-Length` and `Transfer-Encoding` is
//! refused.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes};
use cuminspread::coordination::event::Call;
use cuminspread::protocol::header::{self as cumin, OUTCOME, Outcome};
use cuminspread::state::routing::without_port;
use cuminspread::state::table::Match;
use futures_util::Stream;
use http::header::{CONNECTION, HOST, TRANSFER_ENCODING, VIA};
use http::response::Parts;
use http::{HeaderValue, Request, StatusCode};
use hyper::server::conn::http1;
use hyper::service::{Service as _, service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, oneshot, watch};
use tokio::task::JoinSet;
use warp::Filter as _;
use warp::reply::{Reply as _, Response};

use crate::admission::Admission;
use crate::attempt::OutboundRequest;
use crate::call::{self, InboundCall, Reply};
use crate::engine::Engine;
use crate::error_response::{ErrorResponse, Step};
use crate::framing::{Ambiguities, InspectedStream};
use crate::headers;
use crate::request::{
    AcceptedRequest, BodyLimits, RETRY_AFTER, RequestHead, check_head, read_body, request_digest,
    request_error, to_origin_form,
};
use crate::trace_context::TraceContext;

/// Pause after a failed accept; the usual cause is a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Limit on header fields that `hyper` has by default.
const DEFAULT_MAX_HEADERS: usize = 100;

/// State shared by all connections of callers.
#[derive(Debug)]
struct Front {
    engine: Arc<Engine>,
}

/// Accepts connections until the task is aborted. When `closing` changes, connections are closed
/// after their current response.
pub async fn serve(engine: Arc<Engine>, listener: TcpListener, closing: watch::Receiver<bool>) {
    let permits = Arc::new(Semaphore::new(engine.settings.callers.max_connections));
    let front = Arc::new(Front { engine });
    // Aborting this task drops the set, which closes the connections.
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!("event=accept_failed cause={e:?}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let front = Arc::clone(&front);
        let closing = closing.clone();
        connections.spawn(async move {
            serve_connection(front, stream, closing).await;
            drop(permit);
        });
    }
}

async fn serve_connection(
    front: Arc<Front>,
    stream: TcpStream,
    mut closing: watch::Receiver<bool>,
) {
    if *closing.borrow() {
        return;
    }
    let _ = stream.set_nodelay(true);
    let callers = &front.engine.settings.callers;
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(callers.head_timeout)
        .max_buf_size(callers.max_head);
    // With its default limit, `hyper` parses heads without an allocation.
    if callers.max_headers != DEFAULT_MAX_HEADERS {
        builder.max_headers(callers.max_headers);
    }
    let stream = InspectedStream::new(stream, callers);
    let ambiguities = stream.ambiguities();
    let service = TowerToHyperService::new(warp::service(filter(front)));
    let service = service_fn(move |req| service.call(stash_head(req, &ambiguities)));
    let conn = builder.serve_connection(TokioIo::new(stream), service);
    let mut conn = std::pin::pin!(conn);
    let ended = tokio::select! {
        ended = conn.as_mut() => ended,
        _ = closing.changed() => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    if let Err(e) = ended {
        log::debug!("event=caller_connection_ended cause={:?}", e.to_string());
    }
}

fn filter(
    front: Arc<Front>,
) -> impl warp::Filter<Extract = (Response,), Error = warp::Rejection> + Clone {
    warp::ext::get::<StashedHead>()
        .and(warp::body::stream())
        .then(move |head: StashedHead, body| {
            let front = Arc::clone(&front);
            async move { front.respond(head.take(), body).await }
        })
}

/// Head of a request, passed around `warp` in an extension: its filters would copy every field.
#[derive(Debug, Clone)]
struct StashedHead(Arc<Mutex<RequestHead>>);

impl StashedHead {
    fn take(&self) -> RequestHead {
        let mut head = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut head)
    }
}

fn stash_head<B>(mut req: Request<B>, ambiguities: &Ambiguities) -> Request<B> {
    let ambiguous = ambiguities.take();
    let encoded = req.headers().contains_key(TRANSFER_ENCODING);
    let head = RequestHead {
        method: std::mem::take(req.method_mut()),
        uri: std::mem::take(req.uri_mut()),
        headers: std::mem::take(req.headers_mut()),
        ambiguous: encoded && ambiguous,
    };
    let head = StashedHead(Arc::new(Mutex::new(head)));
    req.extensions_mut().insert(head);
    req
}

impl Front {
    async fn respond<B: Buf>(
        &self,
        req: RequestHead,
        body: impl Stream<Item = Result<B, warp::Error>>,
    ) -> Response {
        match self.accept(req, body).await {
            Ok(reply) => self.render(reply),
            Err(err) => {
                self.engine
                    .metrics
                    .count_unrouted(err.outcome.label(), err.reason);
                let mut res = err.response();
                // The rest of the request may be unread, so the connection can't be reused.
                res.headers_mut()
                    .insert(CONNECTION, HeaderValue::from_static("close"));
                res
            }
        }
    }

    async fn accept<B: Buf>(
        &self,
        req: RequestHead,
        body: impl Stream<Item = Result<B, warp::Error>>,
    ) -> Result<Reply, ErrorResponse> {
        let arrived = Instant::now();
        let mut admission = self.engine.admissions.admit();
        self.check_accepting()?;
        let req = to_origin_form(req);
        let limits = check_head(&req)?;
        let found = self.find_route(&req)?;
        let body = self.read_body(&found, body, &mut admission).await?;
        // A graceful stop may have begun while the body was read.
        self.check_accepting()?;
        let accepted = AcceptedRequest {
            req,
            limits,
            found,
            body,
            arrived,
        };
        let inbound = self.inbound_call(accepted, admission);
        let (tx, rx) = oneshot::channel();
        tokio::spawn(call::run(Arc::clone(&self.engine), inbound, tx));
        rx.await.map_err(|_closed| ErrorResponse {
            outcome: Outcome::Unknown,
            ..ErrorResponse::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                Step::Dispatch,
                "ended",
                "the daemon ends",
            )
        })
    }

    fn check_accepting(&self) -> Result<(), ErrorResponse> {
        let (reason, detail) = if self.engine.is_stopping() {
            ("stopping", "the daemon stops")
        } else if !self.engine.is_ready() {
            ("not_ready", "the daemon has no configuration yet")
        } else {
            return Ok(());
        };
        Err(ErrorResponse {
            retry_after: Some(RETRY_AFTER),
            ..ErrorResponse::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                Step::Request,
                reason,
                detail,
            )
        })
    }

    fn find_route(&self, req: &RequestHead) -> Result<Match, ErrorResponse> {
        let host = req.headers.get(HOST).and_then(|h| h.to_str().ok());
        let host = without_port(host.unwrap_or_default());
        let (method, path) = (req.method.as_str(), req.uri.path());
        self.engine.lookup(host, method, path).ok_or_else(|| {
            let detail = format!("no service serves {method} {path} at host {host:?}");
            ErrorResponse::not_run(StatusCode::NOT_FOUND, Step::Route, "no_service", &detail)
        })
    }

    async fn read_body<B: Buf>(
        &self,
        found: &Match,
        body: impl Stream<Item = Result<B, warp::Error>>,
        admission: &mut Admission,
    ) -> Result<Bytes, ErrorResponse> {
        let callers = &self.engine.settings.callers;
        let timeout = callers.body_timeout;
        let limits = BodyLimits {
            per_body: found.service.max_body as usize,
            total: callers.max_buffered,
        };
        let read = read_body(body, limits, admission);
        tokio::time::timeout(timeout, read)
            .await
            .unwrap_or_else(|_| {
                let detail = "the body did not arrive in time";
                Err(request_error(
                    StatusCode::REQUEST_TIMEOUT,
                    "body_timeout",
                    detail,
                ))
            })
    }

    fn inbound_call(&self, accepted: AcceptedRequest, admission: Admission) -> InboundCall {
        let AcceptedRequest {
            mut req,
            limits,
            found,
            body,
            arrived,
        } = accepted;
        let Match {
            service,
            idempotent,
        } = found;
        let digest = request_digest(&req, &body);
        let time_limit = limits.deadline.unwrap_or(service.deadline);
        let time_limit = time_limit.min(service.deadline);
        let time_left = time_limit.saturating_sub(arrived.elapsed());
        let now = self.engine.now().mono;
        let id = self.engine.next_call();
        let traceparent = req.headers.get(cumin::TRACEPARENT);
        let trace = TraceContext::new(traceparent, self.engine.run_id, id.0);
        headers::strip_request(&mut req.headers);
        req.headers
            .append(VIA, HeaderValue::from_static("1.1 cuminspread"));
        let fingerprint = digest.0.first_chunk().copied().unwrap_or_default();
        let call = Call {
            id,
            service,
            idempotent,
            deadline: now + time_left,
            depth: limits.depth,
            retry_budget: limits.retry_budget,
            fingerprint: u64::from_le_bytes(fingerprint),
        };
        let request = OutboundRequest {
            method: req.method,
            target: req.uri,
            headers: req.headers,
            body,
            trace,
            depth: limits.depth,
            deadline: arrived + time_limit,
        };
        InboundCall {
            call,
            request: Arc::new(request),
            admission,
            arrived,
        }
    }

    fn render(&self, reply: Reply) -> Response {
        let mut res = match reply {
            Reply::Error(err) => err.response(),
            Reply::Buffered { head, body } => with_head(head, Response::new(body.into())),
            Reply::Streaming { head, body } => {
                with_head(head, warp::reply::stream(body).into_response())
            }
        };
        if self.engine.is_stopping() {
            res.headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        res
    }
}

fn with_head(head: Parts, mut res: Response) -> Response {
    *res.status_mut() = head.status;
    *res.headers_mut() = head.headers;
    set_outcome_ran(&mut res);
    res
}

fn set_outcome_ran(res: &mut Response) {
    let value = HeaderValue::from_static(Outcome::Ran.label());
    res.headers_mut().insert(OUTCOME, value);
}
