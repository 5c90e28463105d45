//! Data types of a daemon's state: configuration, routes, the VM list, load reports and time.
//!
//! There are two sources of configuration. The platform's folder of INI files gives a
//! [`council::CouncilConfig`] per council, looked up by [`table`], and comes with a published VM
//! list in [`fleet`]. A store gives one [`routing::Routing`] for all services.

pub mod council;
pub mod fleet;
pub mod folder;
pub mod json_lines;
pub mod load;
pub mod routing;
pub mod table;
pub mod time;

/// Immutable shared string that names a council, service, server, VM or data centre.
pub type Name = smol_str::SmolStr;
