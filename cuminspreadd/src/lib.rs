//! The daemon as a library, so that tests and benchmarks can run several in one process.
//!
//! There are two modes. In store mode, which a `[store]` section in the settings selects, the
//! daemon runs from [`edge`]: it learns routes and servers from the platform's store. In folder
//! mode, it runs from [`daemon`]: it reads the councils' configuration from the platform's folder.
//!
//! In folder mode a call passes these modules: [`front`] reads the request and finds its service,
//! [`call`] executes the dispatcher's commands, [`attempt`] sends the request to one server.
//! [`engine`] holds the dispatcher and the routing table, [`peers`] the state machine that talks to
//! other daemons.

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
