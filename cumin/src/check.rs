//! `cumin check`: checks a configuration before it is published, and compares it with the one in
//! force.
//!
//! A configuration is a folder of INI files, or a file with the document in the store. Exit status: 0
//! if daemons accept it and no error was found, 1 if not, 2 if the arguments are wrong.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use serde::Serialize;

use cuminspread::state::folder::{Fault, ParsedFolder, parse_folder};
use cuminspread::transport::directory::read_folder;

mod document;

/// Command-line definition of `cumin check`.
pub(crate) fn command() -> Command {
    Command::new("check")
        .about("Checks a configuration and prints each fault with its file and line")
        .arg(
            Arg::new("new")
                .value_name("NEW")
                .required(true)
                .help("Folder of INI files, or the document in the store as a file")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("against")
                .long("against")
                .value_name("CURRENT")
                .help("Configuration in force, to print what differs from it")
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
    changes: Vec<ChangeReport>,
}

/// Checks the configuration; the exit status is 1 if there is an error.
pub(crate) fn run(args: &ArgMatches, json: bool) -> anyhow::Result<ExitCode> {
    let Some(path) = args.get_one::<PathBuf>("new") else {
        anyhow::bail!("no configuration");
    };
    let current = args.get_one::<PathBuf>("against").map(PathBuf::as_path);
    let kinds_differ = current.is_some_and(|c| c.is_dir() != path.is_dir());
    anyhow::ensure!(
        !kinds_differ,
        "compare a folder with a folder, or a file with a file"
    );
    if path.is_file() {
        return document::run(path, current, json);
    }
    let merged = read(path)?;
    let changes = match current {
        // A council with faults stays as it is, so its changes aren't known.
        Some(current) if merged.all_faults().next().is_none() => {
            folder_changes(&merged, &read(current)?)
        }
        _ => Vec::new(),
    };
    let report = report(&merged, changes);
    if json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print(&merged, &report);
    }
    Ok(exit_code(report.ok))
}

fn exit_code(ok: bool) -> ExitCode {
    if ok {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn read(path: &Path) -> anyhow::Result<ParsedFolder> {
    let files = read_folder(path)?;
    anyhow::ensure!(
        !files.is_empty(),
        "{}: expected .ini files, found none",
        path.display()
    );
    Ok(parse_folder(&files))
}

/// A difference from the configuration in force.
#[derive(Debug, Serialize)]
struct ChangeReport {
    subject: String,
    change: String,
    #[serde(skip_serializing_if = "String::is_empty")]
    effect: String,
}

impl fmt::Display for ChangeReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "change: {}: {}", self.subject, self.change)?;
        if self.effect.is_empty() {
            return Ok(());
        }
        write!(f, "; {}", self.effect)
    }
}

/// Councils, services, routes and servers that are new, gone or changed.
fn folder_changes(new: &ParsedFolder, current: &ParsedFolder) -> Vec<ChangeReport> {
    let (new, current) = (parts(new), parts(current));
    let subjects: BTreeSet<&String> = new.keys().chain(current.keys()).collect();
    let mut changes = Vec::new();
    for subject in subjects {
        let mut push = |change: String| {
            changes.push(ChangeReport {
                subject: subject.clone(),
                change,
                effect: String::new(),
            });
        };
        match (new.get(subject), current.get(subject)) {
            (Some(new), Some(old)) => {
                for ((label, new), (_, old)) in new.iter().zip(old).filter(|(n, o)| n != o) {
                    push(format!("{label} {new}, was {old}"));
                }
            }
            (Some(_), None) => push("added".to_owned()),
            (None, _) => push("removed".to_owned()),
        }
    }
    changes
}

type Values = Vec<(&'static str, String)>;

/// Parts of a folder by name, each with its values.
fn parts(folder: &ParsedFolder) -> BTreeMap<String, Values> {
    let mut parts = BTreeMap::new();
    for config in folder.councils.values().flatten() {
        let values = vec![
            ("probe-budget", config.probe_budget.to_string()),
            ("max-in-flight", config.max_in_flight.to_string()),
        ];
        parts.insert(format!("council {}", config.council), values);
        for service in &config.services {
            let name = format!("service {} of {}", service.name, config.council);
            for server in &service.servers {
                let values = vec![
                    ("address", server.address.to_string()),
                    ("data centre", server.data_centre.to_string()),
                    ("slots", server.slots.to_string()),
                    ("connections", server.connections.to_string()),
                    ("leaving", server.leaving.to_string()),
                ];
                parts.insert(format!("server {} of {name}", server.name), values);
            }
            for route in &service.routes {
                let subject = format!("route {:?} {} of {name}", route.methods, route.path);
                parts.insert(subject, vec![("idempotent", route.idempotent.to_string())]);
            }
            let values = vec![
                ("host", service.host.to_string()),
                ("deadline", format!("{:?}", service.deadline)),
                (
                    "refused-statuses",
                    format!("{:?}", service.refused_statuses),
                ),
                ("max-body", service.max_body.to_string()),
                ("probe-path", service.probe_path.to_string()),
                ("cancel-path", service.cancel_path.to_string()),
            ];
            parts.insert(name, values);
        }
    }
    parts
}

fn report(merged: &ParsedFolder, changes: Vec<ChangeReport>) -> CheckReport {
    let faults: Vec<FaultReport> = merged.all_faults().map(FaultReport::new).collect();
    let accepted = || merged.councils.values().flatten();
    let services = || accepted().flat_map(|c| &c.services);
    CheckReport {
        ok: faults.is_empty(),
        councils: accepted().count(),
        services: services().count(),
        servers: services().map(|s| s.servers.len()).sum(),
        faults,
        changes,
    }
}

fn print(merged: &ParsedFolder, report: &CheckReport) {
    for fault in merged.all_faults() {
        println!("{fault}");
    }
    for change in &report.changes {
        println!("{change}");
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
