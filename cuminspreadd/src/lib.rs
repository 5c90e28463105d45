//! The daemon as a library, so that tests and measurements can run several in one process.
//!
//! A call passes these modules: [`front`] reads the request and names its service, [`call`]
//! carries out what the dispatcher decides, [`attempt`] sends it to one server. [`engine`] holds the
//! dispatcher and the routing table, [`peers`] the state machine that talks to other daemons.

pub mod admin;
pub mod admission;
pub mod attempt;
mod body_buffer;
pub mod call;
pub mod commands;
pub mod daemon;
pub mod edge;
pub mod engine;
pub mod error_response;
pub mod framing;
pub mod front;
pub mod headers;
pub mod logging;
pub mod metrics;
pub mod peer_handle;
pub mod peers;
pub mod probe;
pub mod request;
pub mod response_stream;
pub mod server_status;
pub mod settings;
pub mod spans;
pub mod trace_context;
