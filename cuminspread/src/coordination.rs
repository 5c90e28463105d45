//! Decisions of a daemon, made without I/O.
//!
//! Two state machines take an event and the time, and return actions: [`dispatch::Dispatcher`] for
//! calls, and [`node::Node`] for the messages between daemons.

pub mod attempt;
pub mod backoff;
pub mod catalog;
pub mod choice;
pub mod crash;
pub mod dispatch;
pub mod event;
pub mod limits;
pub mod membership;
pub mod mesh;
pub mod news;
pub mod node;
pub mod placement;
pub mod policy;
pub mod pool;
pub mod probe;
pub mod probe_limiter;
pub mod reader;
pub mod refusal;
pub mod retry;
pub mod server;
pub mod spread;
pub mod wait_queue;
pub mod weighted_round_robin;
