//! The daemon on a platform whose store names routes and servers.
//!
//! Nothing is stored and no list of daemons is published. [`control`] learns routes and servers from
//! the platform's store or from peers, [`ingress`] takes callers' requests, [`call`] brings one
//! request to its answer, [`placement`] chooses a server for a send, [`probe`] asks servers for their load
//! before, and [`attempt`] makes the send, and
//! [`crash`] finds requests that crash servers. [`state`] holds what they share; the decisions are the
//! library's.

pub mod admin;
pub mod attempt;
pub mod call;
pub mod control;
pub mod crash;
pub mod ingress;
pub mod metrics;
pub mod placement;
pub mod probe;
pub mod request;
pub mod run;
pub mod settings;
pub mod state;
