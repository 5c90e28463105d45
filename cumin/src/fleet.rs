//! `cumin fleet`: the state of daemons in store mode, and where their versions differ.

use std::collections::{BTreeMap, BTreeSet};
use std::process::ExitCode;

use clap::Command;
use cuminspreadd::edge::admin::Status;

use crate::admin::AdminClient;

/// Command-line definition of `cumin fleet`.
pub fn command() -> Command {
    Command::new("fleet").about("Shows the state of daemons in store mode, and its age")
}

/// Runs the subcommand; the exit status is 1 if a daemon isn't ready, or if active versions or
/// emptied data centres differ.
pub async fn run(daemons: &[AdminClient], json: bool) -> anyhow::Result<ExitCode> {
    let mut statuses = Vec::new();
    for daemon in daemons {
        statuses.push(daemon.store_status().await?);
    }
    if json {
        println!("{}", serde_json::to_string_pretty(&statuses)?);
    } else {
        statuses.iter().for_each(print);
    }
    let versions: BTreeSet<u64> = statuses.iter().map(|s| s.version).collect();
    let emptied: BTreeSet<&[String]> = statuses.iter().map(|s| s.emptied.as_slice()).collect();
    if !json && emptied.len() > 1 {
        println!("emptied data centres differ: {emptied:?}");
    }
    let ready = statuses.iter().all(|s| s.ready);
    if !json && versions.len() > 1 {
        println!("versions differ: {versions:?}");
    }
    Ok(if ready && versions.len() == 1 && emptied.len() == 1 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Prints the state of one daemon, and counts of its servers by service.
pub(crate) fn print(status: &Status) {
    let state = match (status.stopping, status.ready) {
        (true, _) => "stopping",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    let active = match status.active_ms {
        Some(age) => format!(", in force for {age} ms"),
        None => String::new(),
    };
    let store = match status.store_age_ms {
        Some(age) => format!("read {age} ms ago"),
        None => "not read yet".to_owned(),
    };
    let reader = if status.reads_store {
        ", by this one"
    } else {
        ""
    };
    println!(
        "{} in {}: {state}, {} requests in flight, version {} with {} routes{active}, store {store}{reader}, \
         revision {} of era {}, {} daemons",
        status.name,
        status.data_centre,
        status.in_flight,
        status.version,
        status.routes,
        status.revision,
        status.era,
        status.daemons
    );
    if !status.lost_services.is_empty() {
        println!(
            "  reaches no server of: {}",
            status.lost_services.join(", ")
        );
    }
    if !status.emptied.is_empty() {
        println!(
            "  emptied data centres, as of revision {}: {}",
            status.emptied_as_of,
            status.emptied.join(", ")
        );
    }
    let mut services: BTreeMap<&str, [usize; 6]> = BTreeMap::new();
    for server in &status.servers {
        let counts = services.entry(&server.service).or_default();
        counts[0] += 1;
        counts[1] += usize::from(server.draining);
        counts[2] += usize::from(server.consecutive_failures > 0);
        counts[3] += usize::from(server.limit_per_s.is_some());
        counts[4] += usize::from(server.paused_ms.is_some());
        counts[5] += usize::from(server.cold_ms.is_some());
    }
    for (service, [all, leaving, failing, limited, paused, cold]) in services {
        println!(
            "  {service}: {all} servers, {leaving} leaving, {failing} failing, {limited} limited, \
             {paused} paused, {cold} cold"
        );
    }
}
