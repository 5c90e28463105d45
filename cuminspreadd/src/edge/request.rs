//! A caller's request while the daemon handles it, and its reply.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cuminspread::coordination::refusal::RefusalReason;
use cuminspread::protocol::header::Outcome;
use cuminspread::state::Name;
use cuminspread::state::routing::Route;
use cuminspread::state::time::Mono;
use cuminspread::transport::upstream::exchange::Exchange;
use http::StatusCode;
use http::response::Parts;

use super::attempt::OutboundRequest;
use super::state::{InFlightGuard, ServerKey};

/// Who sent a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// A peer, which forwards it for its caller.
    Peer,
}

impl Origin {
    /// Value of `from` in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Peer => "peer",
        }
    }
}

/// A request whose body has been read completely.
#[derive(Debug)]
pub struct InboundRequest {
    /// Who sent it; a peer's request isn't forwarded again.
    pub origin: Origin,
    /// The request as it is sent to servers.
    pub outbound: OutboundRequest,
    /// Route that matched.
    pub route: Arc<Route>,
    /// Version of the configuration that the route is from.
    pub version: u64,
    /// Service that was chosen among those of the route.
    pub service: Name,
    /// Arrival of the request's head.
    pub arrived: Mono,
    /// Deadline that servers are given.
    pub deadline: Mono,
    /// Time by which the caller gets a final response; may be later than `deadline`.
    pub respond_by: Mono,
    /// Counts the request as in flight.
    pub in_flight: InFlightGuard,
}

/// A body that is still arriving.
#[derive(Debug)]
pub struct StreamedBody {
    /// Bytes read so far.
    pub prefix: Bytes,
    /// Exchange that reads the others.
    pub rest: Exchange,
    /// Server that sends it; `None` if it comes through a peer, which records how it ends.
    pub server: Option<ServerKey>,
}

/// What the caller gets.
#[derive(Debug)]
pub enum Reply {
    /// A server's complete response.
    Buffered(Parts, Bytes),
    /// A server's response whose body is still arriving.
    Streaming(Parts, StreamedBody),
    /// The request has not run, and won't.
    Refused {
        /// Reason in the response.
        reason: RefusalReason,
        /// How the last attempt ended, for the log.
        detail: &'static str,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// The request may have run; no response can be passed on.
    Failed {
        /// Status of the response.
        status: StatusCode,
        /// How the last attempt ended, as in the response's body.
        detail: &'static str,
    },
}

impl Reply {
    /// What is known of the request's execution.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Buffered(..) | Self::Streaming(..) => Outcome::Ran,
            Self::Refused { .. } => Outcome::NotRun,
            Self::Failed { .. } => Outcome::Unknown,
        }
    }

    /// Server whose response is passed on as it arrives, unless it comes through a peer.
    pub fn streamed_from(&self) -> Option<ServerKey> {
        match self {
            Self::Streaming(_, body) => body.server,
            Self::Buffered(..) | Self::Refused { .. } | Self::Failed { .. } => None,
        }
    }

    /// Label of the outcome's reason.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Buffered(..) | Self::Streaming(..) => "answer",
            Self::Refused { reason, .. } => reason.label(),
            Self::Failed { detail, .. } => detail,
        }
    }
}
