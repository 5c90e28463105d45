//! Answers that the daemon gives itself, and their outcome header.

use std::time::Duration;

use cuminspread::coordination::event::Reason;
use cuminspread::protocol::header::{OUTCOME, Outcome};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, StatusCode};
use warp::reply::{Reply, Response};

/// Step at which a call came to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Reading the request.
    Request,
    /// Finding its service.
    Route,
    /// Choosing a server.
    Dispatch,
    /// Exchange with a server.
    Server,
}

impl Step {
    /// Label for logs and answers.
    pub fn label(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Route => "route",
            Self::Dispatch => "dispatch",
            Self::Server => "server",
        }
    }
}

/// An answer of the daemon's own.
#[derive(Debug, Clone)]
pub struct ErrorResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// What is known about the request.
    pub outcome: Outcome,
    /// Step at which it ended.
    pub step: Step,
    /// Peer at which it ended; empty if it was this daemon.
    pub peer: String,
    /// Why, as a label.
    pub reason: &'static str,
    /// Why, in words.
    pub detail: String,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
}

impl ErrorResponse {
    /// A request that can't be accepted; no server saw it.
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

    /// Renders the answer.
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

/// Seconds of a `Retry-After` field: whole ones, rounded up.
fn ceil_seconds(after: Duration) -> u64 {
    after.as_millis().div_ceil(1000) as u64
}

/// Status of a refused or unknown call.
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
