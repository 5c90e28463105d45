//! Load reports that servers send with their responses or in answer to a probe.

use serde::{Deserialize, Serialize};

/// Load that a server reports about itself; may be out of date or wrong.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that run or are queued at the server.
    pub in_flight: u32,
    /// Age of the report when it was sent, in milliseconds.
    pub age_ms: u32,
    /// Whether the server is about to stop and should get no new requests.
    pub draining: bool,
}
