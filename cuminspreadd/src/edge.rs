//! The daemon on a platform whose store names routes and servers.
//!
//! Nothing is stored and no list of daemons is published. [`control`] learns routes and servers from
//! the platform's store or from peers, [`ingress`] takes callers' requests, [`call`] brings one
//! request to its answer, [`place`] chooses a server for a send, [`look`] asks servers for their load
//! before, and [`exchange`] makes the send, and
//! [`crash`] finds requests that crash servers. [`state`] holds what they share; the decisions are the
//! library's.

pub mod admin;
pub mod call;
pub mod control;
pub mod crash;
pub mod exchange;
pub mod ingress;
pub mod job;
pub mod look;
pub mod metrics;
pub mod place;
pub mod run;
pub mod settings;
pub mod state;
