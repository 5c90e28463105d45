//! Benchmarks and long-running tests of cuminspread, with stand-ins for servers and platform and a
//! load generator.

pub mod config;
pub mod daemon_addresses;
pub mod decide;
pub mod demo;
pub mod deployment;
pub mod fault_soak;
pub mod fleet_cost;
pub mod host;
pub mod load;
pub mod operation;
pub mod path;
pub mod policy;
pub mod process;
pub mod report;
pub mod shop;
pub mod slopes;
pub mod soak;
pub mod standin;
pub mod subcommand;

/// Multi-threaded runtime for the subcommands that do I/O.
///
/// # Errors
///
/// Fails if the worker threads can't be started.
pub fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
}
