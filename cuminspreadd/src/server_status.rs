//! State of one server in `/status` and the metrics.

use serde::{Deserialize, Serialize};

/// State of one server, as this daemon sees it.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct ServerStatus {
    /// Council of the service.
    pub council: String,
    /// Service of the server.
    pub service: String,
    /// Name of the server.
    pub name: String,
    /// Address, as IP:PORT.
    pub address: String,
    /// `ready`, `cold` (warming up), `ejected` or `leaving`.
    pub state: String,
    /// Running attempts of this daemon at the server.
    pub in_flight: u32,
    /// Mean time to the head of a response, in microseconds.
    pub mean_us: u64,
    /// Open connections of this daemon.
    pub open: u32,
    /// Connections that this daemon has opened since its start.
    pub opened: u64,
}
