//! Subcommands of `cumin-bench`, one module each.

use clap::{ArgMatches, Command};

use crate::{config, decide, demo, fault_soak, fleet_cost, path, policy, slopes, soak};

/// Subcommand of `cumin-bench`.
#[derive(Debug, Clone, Copy)]
pub struct Subcommand {
    /// Definition of name and arguments.
    pub command: fn() -> Command,
    /// Runs the subcommand with the parsed arguments.
    pub run: fn(&ArgMatches) -> anyhow::Result<()>,
}

/// Subcommands in the order of the help text.
pub const ALL: &[Subcommand] = &[
    subcommand(demo::command, demo::run),
    subcommand(soak::command, soak::run),
    subcommand(fault_soak::command, fault_soak::run),
    subcommand(path::command, path::run),
    subcommand(slopes::command, slopes::run),
    subcommand(fleet_cost::command, fleet_cost::run),
    subcommand(config::command, config::run),
    subcommand(policy::command, policy::run),
    subcommand(decide::command, decide::run),
];

const fn subcommand(
    command: fn() -> Command,
    run: fn(&ArgMatches) -> anyhow::Result<()>,
) -> Subcommand {
    Subcommand { command, run }
}
