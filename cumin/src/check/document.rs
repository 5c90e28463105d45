//! Checks a document of the store.

use std::path::Path;
use std::process::ExitCode;

use anyhow::Context as _;
use cuminspread::state::routing::Routing;
use cuminspread::state::routing::check::{Finding, Severity, Subject, check, differences};
use cuminspread_platform::config::lines::{Lines, field_name};
use cuminspread_platform::config::{ConfigError, decode};
use serde::Serialize;

use super::{ChangeReport, exit_code};

#[derive(Debug, Serialize)]
struct FindingReport {
    file: String,
    line: u32,
    severity: &'static str,
    subject: String,
    field: String,
    problem: String,
}

impl std::fmt::Display for FindingReport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            file,
            line,
            severity,
            subject,
            field,
            problem,
        } = self;
        write!(f, "{file}:{line}: {severity}: {subject}")?;
        if !field.is_empty() {
            write!(f, " {field}")?;
        }
        write!(f, ": {problem}")
    }
}

#[derive(Debug, Default, Serialize)]
struct DocumentReport {
    ok: bool,
    version: u64,
    routes: usize,
    services: usize,
    findings: Vec<FindingReport>,
    changes: Vec<ChangeReport>,
}

/// Checks the document; the exit status is 1 if there is an error.
pub(super) fn run(path: &Path, current: Option<&Path>, json: bool) -> anyhow::Result<ExitCode> {
    let current = current.map(|path| {
        let text = read(path)?;
        decode(text.as_bytes()).with_context(|| path.display().to_string())
    });
    let report = report(path, &read(path)?, current.transpose()?.as_ref());
    if json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print(&report);
    }
    Ok(exit_code(report.ok))
}

fn read(path: &Path) -> anyhow::Result<String> {
    std::fs::read_to_string(path).with_context(|| path.display().to_string())
}

fn report(path: &Path, text: &str, current: Option<&Routing>) -> DocumentReport {
    let file = path.display().to_string();
    let lines = Lines::find(text);
    match decode(text.as_bytes()) {
        Ok(routing) => {
            let findings = check(&routing, current);
            let changes = current.map(|current| differences(&routing, current));
            let changes = changes.into_iter().flatten().map(|d| ChangeReport {
                subject: d.subject,
                change: d.change,
                effect: d.effect,
            });
            DocumentReport {
                ok: findings.iter().all(|f| f.severity != Severity::Error),
                version: routing.version,
                routes: routing.routes.len(),
                services: routing.services.len(),
                findings: findings
                    .into_iter()
                    .map(|f| finding(&file, &lines, &routing, f))
                    .collect(),
                changes: changes.collect(),
            }
        }
        Err(error) => DocumentReport {
            findings: vec![unreadable(&file, &lines, &error)],
            ..DocumentReport::default()
        },
    }
}

fn finding(file: &str, lines: &Lines, routing: &Routing, finding: Finding) -> FindingReport {
    let subject = match finding.subject {
        Subject::Document => "document".to_owned(),
        Subject::Route(i) => routing
            .routes
            .get(i)
            .map_or_else(String::new, |r| format!("route {}", r.name)),
        Subject::Service(i) => routing
            .services
            .get(i)
            .map_or_else(String::new, |s| format!("service {}", s.name)),
        Subject::Limits => "limits".to_owned(),
    };
    FindingReport {
        file: file.to_owned(),
        line: lines.of(finding.subject),
        severity: match finding.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
        },
        subject,
        field: field_name(finding.field).to_owned(),
        problem: finding.problem,
    }
}

/// Why daemons can't read the document.
fn unreadable(file: &str, lines: &Lines, error: &ConfigError) -> FindingReport {
    let (line, subject, field, problem) = match error {
        ConfigError::Json(e) => (e.line() as u32, "document".to_owned(), "", e.to_string()),
        ConfigError::Version(_) => (1, "document".to_owned(), "version", error.to_string()),
        ConfigError::Row {
            subject,
            field,
            error,
        } => {
            let row = match subject {
                Subject::Route(i) => format!("route {}", i + 1),
                Subject::Service(i) => format!("service {}", i + 1),
                Subject::Document | Subject::Limits => "document".to_owned(),
            };
            (lines.of(*subject), row, field.as_str(), error.to_string())
        }
    };
    FindingReport {
        file: file.to_owned(),
        line,
        severity: "error",
        subject,
        field: field.to_owned(),
        problem,
    }
}

fn print(report: &DocumentReport) {
    for finding in &report.findings {
        println!("{finding}");
    }
    for change in &report.changes {
        println!("{change}");
    }
    let errors = report.findings.iter().filter(|f| f.severity == "error");
    if report.ok {
        println!(
            "yes: version {}, {} routes, {} services, {} warnings",
            report.version,
            report.routes,
            report.services,
            report.findings.len()
        );
    } else {
        println!("no: {} errors", errors.count());
    }
}
