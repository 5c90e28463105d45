//! What one daemon believes: councils, services, servers, the fleet, and the time of each belief.

pub mod council;
pub mod fleet;
pub mod folder;
pub mod load;
pub mod routing;
pub mod table;
pub mod time;

/// Immutable shared string that names a council, service, server, VM or data centre.
pub type Name = smol_str::SmolStr;
