//! Typed messages between daemons, and the headers shared with callers and servers.

pub mod envelope;
pub mod gossip;
pub mod header;
pub mod member;
pub mod message;
pub mod news;
pub mod spread;
