//! Subcommands that print the state of running daemons.

use std::collections::{BTreeMap, BTreeSet};
use std::process::ExitCode;

use clap::ArgMatches;
use serde::Serialize;
use serde_json::json;

use cuminspreadd::admin::{ExplainQuery, Status};

use cuminspreadd::edge::admin as edge;

use crate::admin::{AdminClient, DaemonStatus};
use crate::counters;
use crate::fleet;

/// Heading of the versions of daemons in store mode, which have one version for all councils.
const ROUTES: &str = "routes";

#[derive(Serialize)]
struct DaemonReport<S> {
    status: S,
    refused: BTreeMap<String, u64>,
}

/// Report of one daemon, by the source of its routes.
#[derive(Serialize)]
#[serde(untagged)]
enum Report {
    Folder(DaemonReport<Box<Status>>),
    Store(DaemonReport<Box<edge::Status>>),
}

/// Shows the state of the daemons; the exit status is 1 if one broke an invariant.
pub(crate) async fn status(daemons: &[AdminClient], json: bool) -> anyhow::Result<ExitCode> {
    let mut reports = Vec::new();
    for daemon in daemons {
        let status = daemon.status().await?;
        let calls = counters::calls(&daemon.metrics().await?);
        let refused = counters::unserved(&calls);
        reports.push(match status {
            DaemonStatus::Folder(status) => Report::Folder(DaemonReport { status, refused }),
            DaemonStatus::Store(status) => Report::Store(DaemonReport { status, refused }),
        });
    }
    if json {
        print_json(&reports)?;
    } else {
        reports.iter().for_each(print_status);
    }
    let broken = reports.iter().any(|report| match report {
        Report::Folder(report) => !broken_invariants(&report.status).is_empty(),
        // In store mode a daemon counts no invariants; its users check it from outside.
        Report::Store(_) => false,
    });
    Ok(exit(!broken))
}

fn exit(success: bool) -> ExitCode {
    if success {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn print_json(value: &impl Serialize) -> anyhow::Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

/// Counts of broken invariants by name; those that hold are left out.
fn broken_invariants(status: &Status) -> BTreeMap<String, u64> {
    let broken = status.invariants.iter().filter(|(_, i)| i.broken > 0);
    broken.map(|(name, i)| (name.clone(), i.broken)).collect()
}

fn print_status(report: &Report) {
    let report = match report {
        Report::Folder(report) => report,
        Report::Store(report) => {
            fleet::print(&report.status);
            println!("  refused: {}", pairs(&report.refused));
            return;
        }
    };
    let status = &report.status;
    let state = match (status.stopping, status.ready) {
        (true, _) => "stopping",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    println!(
        "{} in {}: {state}, {} calls in flight",
        status.name, status.data_centre, status.in_flight
    );
    for council in &status.councils {
        println!(
            "  council {} version {} digest {} probes/s {}",
            council.council, council.version, council.digest, council.probe_budget
        );
        for service in council.services.iter().filter(|s| !s.leaving.is_empty()) {
            println!(
                "    {} leaving: {}",
                service.name,
                service.leaving.join(", ")
            );
        }
    }
    for files in &status.refused_files {
        let (council, version) = (&files.council, files.version);
        println!("  {council}: files of version {version} are refused, older ones in force");
        files.faults.iter().for_each(|f| println!("    {f}"));
    }
    println!("  refused: {}", pairs(&report.refused));
    println!("  promises broken: {}", pairs(&broken_invariants(status)));
}

fn pairs(counts: &BTreeMap<String, u64>) -> String {
    if counts.is_empty() {
        return "none".to_owned();
    }
    let pairs: Vec<String> = counts.iter().map(|(k, n)| format!("{k}={n}")).collect();
    pairs.join(" ")
}

/// States of daemons, by the source of their routes.
async fn statuses(daemons: &[AdminClient]) -> anyhow::Result<(Vec<Status>, Vec<edge::Status>)> {
    let (mut folder, mut store) = (Vec::new(), Vec::new());
    for daemon in daemons {
        match daemon.status().await? {
            DaemonStatus::Folder(status) => folder.push(*status),
            DaemonStatus::Store(status) => store.push(*status),
        }
    }
    Ok((folder, store))
}

/// Lists services and their routes.
pub(crate) async fn services(daemons: &[AdminClient], json: bool) -> anyhow::Result<ExitCode> {
    let (statuses, store) = statuses(daemons).await?;
    anyhow::ensure!(
        store.is_empty(),
        "services: daemons in store mode don't list services; use `cumin servers`"
    );
    if json {
        let councils: Vec<_> = statuses.iter().map(|s| (&s.name, &s.councils)).collect();
        print_json(&councils.into_iter().collect::<BTreeMap<_, _>>())?;
        return Ok(ExitCode::SUCCESS);
    }
    for status in &statuses {
        println!("{}", status.name);
        for council in &status.councils {
            for service in &council.services {
                let host = or_default(&service.host, "any host");
                let (name, servers) = (&service.name, service.servers.len());
                println!("  {}/{name} at {host}: {servers} servers", council.council);
                for route in &service.routes {
                    let methods = or_default(&route.methods.join(","), "any").to_owned();
                    let kind = if route.idempotent {
                        "idempotent"
                    } else {
                        "at most once"
                    };
                    println!("    {methods} {} {kind}", route.path);
                }
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn or_default<'a>(text: &'a str, default: &'a str) -> &'a str {
    if text.is_empty() { default } else { text }
}

/// Lists servers and connections.
pub(crate) async fn servers(daemons: &[AdminClient], json: bool) -> anyhow::Result<ExitCode> {
    let (statuses, store) = statuses(daemons).await?;
    if json {
        let folder = statuses.iter().map(|s| (&s.name, json!(s.servers)));
        let store = store.iter().map(|s| (&s.name, json!(s.servers)));
        print_json(&folder.chain(store).collect::<BTreeMap<_, _>>())?;
        return Ok(ExitCode::SUCCESS);
    }
    for status in &store {
        println!("{}", status.name);
        status.servers.iter().for_each(print_server);
    }
    for status in &statuses {
        println!("{}", status.name);
        let services = status.councils.iter().flat_map(|c| &c.services);
        let leaving: BTreeSet<&String> = services.flat_map(|s| &s.leaving).collect();
        for server in &status.servers {
            let mark = if leaving.contains(&server.name) {
                " leaving"
            } else {
                ""
            };
            println!(
                "  {} {} connections open {} opened {}{mark}",
                server.name, server.address, server.open, server.opened
            );
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn print_server(server: &edge::ServerStatus) {
    let report = match server.report_age_ms {
        Some(age) => format!("{age} ms old"),
        None => "none".to_owned(),
    };
    let limit = server.limit_per_s.map(|rate| format!(", limit {rate}/s"));
    let pause = server
        .paused_ms
        .map(|left| format!(", paused for {left} ms"));
    let cold = server.cold_ms.map(|left| format!(", cold for {left} ms"));
    let mark = if server.draining { " leaving" } else { "" };
    println!(
        "  {} {} {} in {}, {} in flight, connections {}, report {report}, lag {:.2}, strikes {}{}{}{}{mark}",
        server.id,
        server.service,
        server.address,
        server.data_centre,
        server.in_flight,
        server.connections,
        server.latency_ratio,
        server.consecutive_failures,
        limit.unwrap_or_default(),
        pause.unwrap_or_default(),
        cold.unwrap_or_default()
    );
}

#[derive(Serialize)]
struct CouncilVersions {
    agree: bool,
    by_daemon: BTreeMap<String, String>,
}

/// Compares the active versions; the exit status is 1 if they differ.
pub(crate) async fn versions(daemons: &[AdminClient], json: bool) -> anyhow::Result<ExitCode> {
    let (statuses, store) = statuses(daemons).await?;
    let all = statuses.iter().flat_map(|s| &s.councils);
    let names: BTreeSet<&String> = all.map(|c| &c.council).collect();
    let mut councils: BTreeMap<&str, CouncilVersions> = names
        .into_iter()
        .map(|name| (name.as_str(), versions_of(name, &statuses)))
        .collect();
    if !store.is_empty() {
        let versions = store.iter().map(|s| {
            let version = (s.version > 0).then(|| s.version.to_string());
            (s.name.clone(), version)
        });
        councils.insert(ROUTES, CouncilVersions::new(versions));
    }
    let agree = councils.values().all(|c| c.agree);
    if json {
        print_json(&councils)?;
        return Ok(exit(agree));
    }
    for (name, council) in &councils {
        let verdict = if council.agree { "agree" } else { "DIFFER" };
        println!("{name}: {verdict}");
        for (daemon, version) in &council.by_daemon {
            println!("  {daemon} {version}");
        }
    }
    Ok(exit(agree))
}

fn versions_of(name: &str, statuses: &[Status]) -> CouncilVersions {
    CouncilVersions::new(statuses.iter().map(|status| {
        let council = status.councils.iter().find(|c| c.council == name);
        let version = council.map(|c| format!("{}-{}", c.version, c.digest));
        (status.name.clone(), version)
    }))
}

impl CouncilVersions {
    /// Compares versions by daemon; `None` if a daemon has none.
    fn new(versions: impl Iterator<Item = (String, Option<String>)>) -> Self {
        let named = versions.map(|(daemon, version)| {
            let version = version.unwrap_or_else(|| "none".into());
            (daemon, version)
        });
        let by_daemon: BTreeMap<String, String> = named.collect();
        let distinct: BTreeSet<&String> = by_daemon.values().collect();
        Self {
            agree: distinct.len() <= 1,
            by_daemon,
        }
    }
}

/// Shows where each daemon would send a request; the exit status is 1 if one has no service for it.
pub(crate) async fn explain(
    daemons: &[AdminClient],
    args: &ArgMatches,
    json: bool,
) -> anyhow::Result<ExitCode> {
    let text = |name: &str| args.get_one::<String>(name).cloned().unwrap_or_default();
    let query = ExplainQuery {
        method: text("method").to_ascii_uppercase(),
        path: text("path"),
        host: text("host"),
    };
    let mut served = true;
    for daemon in daemons {
        let explanation = daemon.explain(&query).await?;
        served &= !explanation.service.is_empty();
        if json {
            print_json(&explanation)?;
            continue;
        }
        if !explanation.service.is_empty() {
            println!(
                "service {}/{}, deadline {} ms, servers: {}",
                explanation.council,
                explanation.service,
                explanation.deadline_ms,
                explanation.servers.join(", ")
            );
        }
        println!("{}", explanation.text);
    }
    Ok(exit(served))
}

/// Begins a graceful stop of the daemons.
pub(crate) async fn drain(daemons: &[AdminClient], json: bool) -> anyhow::Result<ExitCode> {
    let mut draining = Vec::new();
    for daemon in daemons {
        daemon.drain().await?;
        draining.push(daemon.url());
    }
    if json {
        print_json(&draining)?;
    } else {
        println!("draining: {}", draining.join(", "));
    }
    Ok(ExitCode::SUCCESS)
}
