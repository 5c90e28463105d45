//! Daemon in store mode, for a platform whose store has the routes and the registry of servers.
//!
//! The daemon keeps nothing on disk, and no VM list is published. [`control`] learns routes and
//! servers from the store or from peers. [`ingress`] accepts callers' requests, [`call`] runs a
//! request until it has a reply, [`placement`] chooses a server for an attempt, [`probe`] asks
//! servers for their load, and [`attempt`] sends the request. [`caller_stream`] and [`ahead`] start
//! requests that a caller sends before the one in front is answered. [`crash`] finds requests that crash
//! servers, and [`reachability`] whether this daemon reaches any; if
//! not, [`forward`] asks peers. [`state`] is what these modules share; the decisions are made in the library crate.

pub mod admin;
pub mod admission;
pub mod ahead;
pub mod attempt;
pub mod call;
pub mod caller_stream;
pub mod control;
pub mod crash;
pub mod forward;
pub mod hedge;
pub mod ingress;
pub mod metrics;
pub mod outcome_log;
pub mod placement;
pub mod probe;
pub mod reachability;
pub mod request;
pub mod response;
pub mod run;
pub mod settings;
pub mod state;
