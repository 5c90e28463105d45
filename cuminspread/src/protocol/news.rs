//! Peer messages about leaving servers and crashing requests.

use serde::{Deserialize, Serialize};

use crate::state::Name;

/// News item: an observation that one daemon makes and every daemon needs.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum NewsItem {
    /// A server is leaving.
    ServerLeaving {
        /// Council that owns the service.
        council: Name,
        /// Service, unique within its council.
        service: Name,
        /// Name of the server within its service.
        server: Name,
    },
    /// Requests with this fingerprint, a hash of method, path and body, crash servers.
    Crashing(u64),
}

/// Message about leaving servers and crashing requests.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum NewsMessage {
    /// News items, each with its age in milliseconds.
    Items(Vec<(NewsItem, u32)>),
}
