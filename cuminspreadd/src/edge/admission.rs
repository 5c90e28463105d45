//! What follows from the head of a request: its route, its times, and the start of its call.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cuminspread::coordination::refusal::RefusalReason;
use cuminspread::state::Name;
use cuminspread::state::routing::{Route, RouteTable};
use cuminspread::state::time::Mono;
use cuminspread_platform::headers::RequestFields;
use http::header::HOST;
use http::request::Parts;
use http::{HeaderMap, StatusCode, Uri};
use tokio::sync::oneshot;

use super::attempt::{OutboundRequest, forwarded};
use super::call;
use super::ingress::BufferedBytes;
use super::request::{InboundRequest, Origin, Reply};
use super::state::{Edge, InFlightGuard};

/// Largest part of a caller's timeout that is reserved for the response to reach it: a round trip
/// between data centres and the caller's own delay.
const MAX_RESPONSE_MARGIN: Duration = Duration::from_millis(25);
/// Time after the server's deadline in which the caller still gets a final response.
const FINAL_RESPONSE_DELAY: Duration = Duration::from_millis(30);

/// Why a request is answered without a server.
#[derive(Debug)]
pub enum Rejection {
    /// The request violates HTTP or exceeds a limit.
    Bad(StatusCode, &'static str),
    /// No route matches the request of this id.
    NoRoute(Name),
    /// The request of this id can't be served now.
    Refused(Name, RefusalReason),
}

impl Rejection {
    /// Id of the request; `None` if it may have none.
    pub fn id(&self) -> Option<&Name> {
        match self {
            Self::Bad(..) => None,
            Self::NoRoute(id) | Self::Refused(id, _) => Some(id),
        }
    }

    /// Label of the reason.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Bad(_, reason) => reason,
            Self::NoRoute(_) => "no_route",
            Self::Refused(_, reason) => reason.label(),
        }
    }
}

/// Finds the route of a request.
pub fn find_route<'a>(
    table: &'a RouteTable,
    headers: &HeaderMap,
    uri: &Uri,
) -> Option<&'a Arc<Route>> {
    let host = headers.get(HOST).and_then(|h| h.to_str().ok());
    let host = host.or_else(|| uri.host()).unwrap_or_default();
    table.find(host, uri.path())
}

/// A request whose head was read and found a route.
#[derive(Debug)]
pub struct Admission {
    /// Who sent it.
    pub origin: Origin,
    /// Version of the configuration that the route is from.
    pub version: u64,
    /// Fields of the head.
    pub fields: RequestFields,
    /// Route that matched.
    pub route: Arc<Route>,
    /// Service that was chosen among those of the route.
    pub service: Name,
    /// Arrival of the head.
    pub arrived: Mono,
    /// Counts the request as in flight.
    pub in_flight: InFlightGuard,
}

impl Admission {
    /// Time until servers must have answered.
    pub fn time(&self) -> Duration {
        let timeout = self.caller_timeout().unwrap_or(self.route.timeout);
        timeout.min(self.route.timeout)
    }

    /// Adds the body.
    pub fn into_request(self, head: Parts, body: Bytes) -> InboundRequest {
        let latest = self.route.timeout + FINAL_RESPONSE_DELAY;
        let respond_in = self.caller_timeout().map_or(latest, |t| t.min(latest));
        let target = head.uri.path_and_query().cloned();
        InboundRequest {
            origin: self.origin,
            deadline: self.arrived + self.time(),
            respond_by: self.arrived + respond_in,
            outbound: OutboundRequest {
                id: self.fields.id,
                method: head.method,
                target: target.map(Into::into).unwrap_or_default(),
                headers: forwarded(head.headers),
                body,
            },
            route: self.route,
            version: self.version,
            service: self.service,
            arrived: self.arrived,
            in_flight: self.in_flight,
        }
    }

    fn caller_timeout(&self) -> Option<Duration> {
        let timeout = self.fields.timeout;
        timeout.map(|t| t.saturating_sub(response_margin(t)))
    }
}

/// Part of a caller's timeout that is reserved for the final response to reach it.
fn response_margin(timeout: Duration) -> Duration {
    (timeout / 20).min(MAX_RESPONSE_MARGIN)
}

/// Starts the call of a request, which is cancelled when the receiver is dropped.
///
/// # Errors
///
/// Fails if such requests have crashed servers.
pub fn start(
    edge: &Arc<Edge>,
    inbound: InboundRequest,
    buffered: BufferedBytes,
) -> Result<oneshot::Receiver<Reply>, Rejection> {
    if edge.crash_tracker().refuses(edge.now(), &inbound.outbound) {
        let id = inbound.outbound.id;
        return Err(Rejection::Refused(id, RefusalReason::Crashing));
    }
    let (tx, rx) = oneshot::channel();
    let edge = Arc::clone(edge);
    tokio::spawn(async move {
        call::run(edge, inbound, tx).await;
        drop(buffered);
    });
    Ok(rx)
}

/// Waits for the reply of a call that was started.
pub async fn reply(rx: oneshot::Receiver<Reply>, id: &Name) -> Reply {
    // The task always sends a reply unless it panicked; then the request may have run.
    rx.await.unwrap_or_else(|_| {
        log::error!("event=call_lost id={id}");
        Reply::Failed {
            status: StatusCode::BAD_GATEWAY,
            detail: "lost",
        }
    })
}
