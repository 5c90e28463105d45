//! Decisions of a daemon, made without I/O.
//!
//! Daemons with a published VM list and the platform's folder run two state machines. These take an
//! event and the time, and return actions: [`dispatch::Dispatcher`] for calls, and [`node::Node`]
//! for the messages between daemons.
//!
//! Daemons that use a store have no common state machine. They combine [`mesh`], [`reader`],
//! [`catalog`], [`evacuation`] and [`leaving`] for peers and servers with [`placement`],
//! [`wait_queue`], [`hedging`], [`probe_limiter`], [`weighted_round_robin`], [`hold_off`],
//! [`cold_server`], [`reachability`], [`forwarding`], [`read_ahead`], [`delivery`], [`pause`],
//! [`refusal`] and [`stop`] for requests.
//! [`crash`] and [`retry`] serve both.

pub mod attempt;
pub mod backoff;
pub mod catalog;
pub mod choice;
pub mod cold_server;
pub mod crash;
pub mod decaying_rate;
pub mod delivery;
pub mod dispatch;
pub mod evacuation;
pub mod event;
pub mod forwarding;
pub mod hedging;
pub mod hold_off;
pub mod leaving;
pub mod limits;
pub mod membership;
pub mod mesh;
pub mod news;
pub mod node;
pub mod pause;
pub mod placement;
pub mod policy;
pub mod pool;
pub mod probe;
pub mod probe_limiter;
pub mod reachability;
pub mod read_ahead;
pub mod reader;
pub mod refusal;
pub mod retry;
pub mod server;
pub mod server_limit;
pub mod spread;
pub mod stop;
pub mod store_read;
pub mod wait_queue;
pub mod weighted_round_robin;
