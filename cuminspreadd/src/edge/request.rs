//! A request on its way through the daemon, and what its caller gets.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cuminspread::coordination::refusal::RefusalReason;
use cuminspread::state::Name;
use cuminspread::state::routing::Route;
use cuminspread::state::time::Mono;
use cuminspread::transport::upstream::exchange::Exchange;
use http::StatusCode;
use http::response::Parts;

use super::attempt::OutboundRequest;
use super::state::InFlightGuard;

/// A request that was read whole.
#[derive(Debug)]
pub struct InboundRequest {
    /// The request.
    pub out: OutboundRequest,
    /// Its route.
    pub route: Arc<Route>,
    /// Version of the configuration that gave the route.
    pub version: u64,
    /// Service that serves it.
    pub service: Name,
    /// Time of its arrival.
    pub arrived: Mono,
    /// End of the time that servers are given.
    pub deadline: Mono,
    /// Time by which its caller gets a final answer.
    pub last_answer: Mono,
    /// Counts the request.
    pub running: InFlightGuard,
}

/// What a caller gets.
#[derive(Debug)]
pub enum Reply {
    /// A server's whole answer.
    Buffered(Parts, Bytes),
    /// A server's answer that is still arriving.
    Streaming(Parts, Bytes, Exchange),
    /// The request has not run, and won't.
    Refused {
        /// Why.
        cause: RefusalReason,
        /// What happened last.
        detail: &'static str,
        /// When there may be room.
        retry_after: Duration,
    },
    /// The request may have run.
    Failed {
        /// Status.
        status: StatusCode,
        /// What happened last.
        detail: &'static str,
    },
}
