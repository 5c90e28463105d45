//! Results of reads of a store with routes and servers, and why a read fails.

use std::sync::Arc;

use crate::coordination::catalog::{Revision, RevisionedChange, ServerEntry};
use crate::coordination::evacuation::EvacuationRead;
use crate::state::routing::Routing;

/// Why a read failed.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum ReadError {
    /// The store no longer keeps the requested changes; a snapshot is needed.
    #[error("the requested changes are no longer kept")]
    Compacted,
    /// The store answered with another status than 200 or 410.
    #[error("status {0}, expected 200")]
    Refused(u16),
    /// The store came back from a copy between two pages of a snapshot.
    #[error("the store came back from a copy during the read")]
    EraChanged,
    /// The answer is larger than a page of the store, or the pages of a snapshot are too many.
    #[error("the answer is above the size limit")]
    TooLarge,
    /// No response came in time.
    #[error("no response within the timeout")]
    Timeout,
    /// The connection failed or the response is malformed.
    #[error("connection or response failed: {0}")]
    Broken(String),
}

/// Result of a read.
#[derive(Debug)]
pub struct ReadResult {
    /// Revision of the store up to which the result is complete; its number is 0 for a sample.
    pub revision: Revision,
    /// Newest valid configuration in the result.
    pub routing: Option<Arc<Routing>>,
    /// Servers in the result.
    pub servers: Servers,
    /// Emptied data centres in the result.
    pub evacuations: EvacuationRead,
    /// The answer may have been cut at its largest size, so that newer changes follow.
    pub may_have_more: bool,
}

impl ReadResult {
    /// Result without any content; `revision` is that of the read.
    pub fn new(revision: Revision, servers: Servers) -> Self {
        Self {
            revision,
            routing: None,
            servers,
            evacuations: EvacuationRead::Unread,
            may_have_more: false,
        }
    }
}

/// Registry entries or changes in a result.
#[derive(Debug)]
pub enum Servers {
    /// All entries, each with its revision.
    Snapshot(Vec<(Revision, ServerEntry)>),
    /// Changes after the given revision.
    Changes(Vec<RevisionedChange>),
    /// Some of the entries, each with its revision.
    Sample(Vec<(Revision, ServerEntry)>),
}

/// Part of the store that one call reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// The configuration and the emptied data centres.
    Config,
    /// One of sixteen groups of the servers, chosen by this number.
    ServerGroup(u64),
    /// All servers, if one page holds them.
    FirstServers,
}
