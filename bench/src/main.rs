//! Command line of `cumin-bench`.

use std::process::ExitCode;

use clap::Command;
use cuminspread_bench::subcommand::ALL;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("cumin-bench: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> anyhow::Result<()> {
    let commands = ALL.iter().map(|s| (s.command)());
    let matches = Command::new("cumin-bench")
        .about("Benchmarks and long-running tests of cuminspread")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands(commands)
        .get_matches();
    let Some((name, args)) = matches.subcommand() else {
        anyhow::bail!("expected a subcommand");
    };
    let Some(chosen) = ALL.iter().find(|s| (s.command)().get_name() == name) else {
        anyhow::bail!("unknown subcommand {name}");
    };
    (chosen.run)(args)
}
