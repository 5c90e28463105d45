//! HTTP header fields that callers, daemons and servers exchange.

use std::fmt;

use crate::state::load::LoadReport;

/// [`Outcome`] of a call, on every response to a caller.
pub const OUTCOME: &str = "cumin-outcome";
/// Time left for a call, in milliseconds; decreases along a chain of calls.
pub const DEADLINE_MS: &str = "cumin-deadline-ms";
/// Number of calls above this one in its chain.
pub const DEPTH: &str = "cumin-depth";
/// Retries and hedges that a chain of calls may still make.
pub const RETRY_BUDGET: &str = "cumin-retry-budget";
/// Why a request has not run, on responses to peers.
pub const REASON: &str = "cumin-reason";
/// Version of the configuration by which a daemon forwards a request.
pub const VERSION: &str = "cumin-version";
/// Service that a daemon chose for a request that it forwards.
pub const SERVICE: &str = "cumin-service";
/// Load report of a server, on its responses; see [`format_load`].
pub const LOAD: &str = "cumin-load";
/// Identifier of one attempt, sent to the server; a cancellation names the attempt by it.
pub const CALL_ID: &str = "cumin-call";
/// Identifies the operation of a request, so that a server runs it once; see IETF draft
/// `httpapi-idempotency-key-header`.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Distributed tracing, see W3C Trace Context.
pub const TRACEPARENT: &str = "traceparent";

/// What a caller may conclude about its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// A server ran it, and this is its complete response.
    Ran,
    /// No server started it; the daemon has proof.
    NotRun,
    /// A server may have started or finished it.
    Unknown,
}

impl Outcome {
    /// Value of the [`OUTCOME`] header.
    pub fn label(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

/// Formats a load report for the [`LOAD`] header, as `in-flight=3;age-ms=20;draining=0`.
pub fn format_load(report: &LoadReport) -> String {
    let draining = u8::from(report.draining);
    format!(
        "in-flight={};age-ms={};draining={draining}",
        report.in_flight, report.age_ms
    )
}

/// Parses a [`LOAD`] header; `None` if it is malformed. Unknown keys are ignored, missing ones are
/// zero.
pub fn parse_load(text: &str) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for pair in text.split(';') {
        let (name, value) = pair.trim().split_once('=')?;
        match name {
            "in-flight" => report.in_flight = value.parse().ok()?,
            "age-ms" => report.age_ms = value.parse().ok()?,
            "draining" => report.draining = value == "1",
            _ => {}
        }
    }
    Some(report)
}
