//! Whether the servers of a service report their load.
//!
//! Load pattern: servers turn away half of all requests and health checks, and leave their load out
//! of these answers. Without reports a daemon would choose servers at random, a quarter of which are
//! slow, so single answers without a load don't end the use of reports.

use std::time::Duration;

use crate::state::time::Mono;

/// Time without any report after which an answer without a load counts.
const REPORT_MEMORY: Duration = Duration::from_secs(10);

/// What the answers of a service's servers have told.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoadReporting {
    /// Last report of any server.
    reported: Option<Mono>,
    is_unknown: bool,
}

impl LoadReporting {
    /// Records that a server reported its load.
    pub fn record_report(&mut self, now: Mono) {
        self.reported = Some(now);
        self.is_unknown = false;
    }

    /// Records that a server answered a probe without its load.
    pub fn record_missing(&mut self, now: Mono) {
        self.is_unknown = self.reported.is_none_or(|at| now.since(at) > REPORT_MEMORY);
    }

    /// Whether the servers report no load, so that probes tell nothing.
    pub fn is_unknown(&self) -> bool {
        self.is_unknown
    }
}
