//! `cumin check`: checks a folder of INI files before it is published.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use serde::Serialize;

use cuminspread::state::folder::{Fault, ParsedFolder, parse_folder};
use cuminspread::transport::directory::read_folder;

/// Command-line definition of `cumin check`.
pub(crate) fn command() -> Command {
    Command::new("check")
        .about("Checks a folder of INI files and prints each fault with its file and line")
        .arg(
            Arg::new("folder")
                .value_name("FOLDER")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
}

#[derive(Serialize)]
struct FaultReport {
    file: String,
    line: u32,
    section: String,
    key: String,
    problem: String,
}

impl FaultReport {
    fn new(fault: &Fault) -> Self {
        Self {
            file: fault.file.to_string(),
            line: fault.line,
            section: fault.section.clone(),
            key: fault.key.clone(),
            problem: fault.problem.to_string(),
        }
    }
}

#[derive(Serialize)]
struct CheckReport {
    ok: bool,
    councils: usize,
    services: usize,
    servers: usize,
    faults: Vec<FaultReport>,
}

/// Checks the folder; the exit status is 1 if there is a fault.
pub(crate) fn run(args: &ArgMatches, json: bool) -> anyhow::Result<ExitCode> {
    let Some(path) = args.get_one::<PathBuf>("folder") else {
        anyhow::bail!("no folder");
    };
    let files = read_folder(path)?;
    anyhow::ensure!(
        !files.is_empty(),
        "{}: expected .ini files, found none",
        path.display()
    );
    let merged = parse_folder(&files);
    let report = report(&merged);
    if json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print(&merged, &report);
    }
    Ok(if report.ok {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn report(merged: &ParsedFolder) -> CheckReport {
    let faults: Vec<FaultReport> = merged.all_faults().map(FaultReport::new).collect();
    let accepted = || merged.councils.values().flatten();
    let services = || accepted().flat_map(|c| &c.services);
    CheckReport {
        ok: faults.is_empty(),
        councils: accepted().count(),
        services: services().count(),
        servers: services().map(|s| s.servers.len()).sum(),
        faults,
    }
}

fn print(merged: &ParsedFolder, report: &CheckReport) {
    for fault in merged.all_faults() {
        println!("{fault}");
    }
    if report.ok {
        println!(
            "yes: {} councils, {} services, {} servers",
            report.councils, report.services, report.servers
        );
    } else {
        println!("no: {} faults", report.faults.len());
    }
}
