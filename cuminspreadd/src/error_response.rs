//! Error responses of the daemon, with their outcome header.

use std::time::Duration;

use cuminspread::coordination::event::Reason;
use cuminspread::protocol::header::{OUTCOME, Outcome};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, StatusCode};
use warp::reply::{Reply, Response};

/// Step at which a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Reading the request.
    Request,
    /// Finding the service of the request.
    Route,
    /// Choosing a server.
    Dispatch,
    /// Exchange with a server.
    Server,
}

impl Step {
    /// Label for logs and responses.
    pub fn label(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Route => "route",
            Self::Dispatch => "dispatch",
            Self::Server => "server",
        }
    }
}

/// A response that the daemon makes itself, in place of a server's.
#[derive(Debug, Clone)]
pub struct ErrorResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Whether the request is known to have run or not.
    pub outcome: Outcome,
    /// Step at which the call failed.
    pub step: Step,
    /// Server at which the call failed, as `name@address`; empty if it failed in this daemon.
    pub peer: String,
    /// Reason, as a label for metrics and logs.
    pub reason: &'static str,
    /// Reason, in words.
    pub detail: String,
    /// Time after which the caller may try again; `None` for no `Retry-After` field.
    pub retry_after: Option<Duration>,
}

impl ErrorResponse {
    /// Response to a request that is refused before it is sent to a server.
    pub fn not_run(status: StatusCode, step: Step, reason: &'static str, detail: &str) -> Self {
        Self {
            status,
            outcome: Outcome::NotRun,
            step,
            peer: String::new(),
            reason,
            detail: detail.to_owned(),
            retry_after: None,
        }
    }

    /// Renders the HTTP response.
    pub fn response(&self) -> Response {
        let body = format!(
            "outcome={} step={} peer={} reason={} detail={:?}\n",
            self.outcome,
            self.step.label(),
            if self.peer.is_empty() {
                "-"
            } else {
                &self.peer
            },
            self.reason,
            self.detail
        );
        let mut res = body.into_response();
        *res.status_mut() = self.status;
        let headers = res.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        headers.insert(OUTCOME, HeaderValue::from_static(self.outcome.label()));
        if let Some(after) = self.retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(ceil_seconds(after)));
        }
        res
    }
}

/// Seconds for a `Retry-After` field, rounded up.
fn ceil_seconds(after: Duration) -> u64 {
    after.as_millis().div_ceil(1000) as u64
}

/// HTTP status for a call that was refused or whose outcome is unknown.
pub fn status_for(reason: Reason) -> StatusCode {
    match reason {
        Reason::NoServer
        | Reason::Overload
        | Reason::CouncilLimit
        | Reason::ServerRefused
        | Reason::Crashing
        | Reason::CallerGone
        | Reason::Stopping => StatusCode::SERVICE_UNAVAILABLE,
        Reason::TooDeep => StatusCode::LOOP_DETECTED,
        Reason::Deadline => StatusCode::GATEWAY_TIMEOUT,
        Reason::ConnectFailed | Reason::ConnectionBroken => StatusCode::BAD_GATEWAY,
    }
}
