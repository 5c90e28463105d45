//! Messages between daemons, and header fields shared with callers and servers.
//!
//! Daemons that read servers and routes from a store, without a published VM list, use [`gossip`].
//! Daemons on a published VM list send [`message::Message`]s, each in a sealed
//! [`envelope::Envelope`].

pub mod envelope;
pub mod gossip;
pub mod header;
pub mod member;
pub mod message;
pub mod news;
pub mod spread;
