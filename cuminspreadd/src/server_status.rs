//! What `/status` and the metrics say of one server.

use serde::{Deserialize, Serialize};

/// State of one server, as this daemon sees it.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct ServerStatus {
    /// Council.
    pub council: String,
    /// Service.
    pub service: String,
    /// Server.
    pub name: String,
    /// Its address.
    pub address: String,
    /// `ready`, `cold`, `ejected` or `leaving`.
    pub state: String,
    /// Attempts of this daemon that it has.
    pub in_flight: u32,
    /// Mean time to the head of an answer, in microseconds.
    pub mean_us: u64,
    /// Connections that are open.
    pub open: u32,
    /// Connections opened since the start.
    pub opened: u64,
}
