//! Sockets, HTTP clients, files and clocks: all I/O of the library.

pub mod clock;
pub mod directory;
pub mod gossip;
pub mod peer;
pub mod platform;
pub mod recording;
pub mod request_scan;
pub mod turn;
pub mod upstream;
