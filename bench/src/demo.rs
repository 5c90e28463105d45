//! Runs a print shop's deployment on loopback, drains a server, sends a request that crashes
//! servers, and checks all invariants.

use std::sync::Arc;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};

use cuminspread::invariant::Invariant;

use crate::deployment::Deployment;
use crate::load::{LoadGenerator, LoadSettings, LoadStats};
use crate::operation::Violation;
use crate::report::Report;
use crate::shop::{CallKind, VESTFJORD};

const DAEMONS: usize = 4;
const CALLS_PER_S: f64 = 600.0;
const DURATION: Duration = Duration::from_secs(18);
/// Time from the start of the load to the drain.
const DRAIN_AFTER: Duration = Duration::from_secs(4);
/// Time from the drain to the crash.
const CRASH_AFTER: Duration = Duration::from_secs(5);
/// Time after the load in which servers finish what callers no longer wait for.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Arguments of the subcommand.
pub fn command() -> Command {
    Command::new("demo")
        .about("Runs a print shop's deployment on loopback and checks all invariants")
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed of load and faults"),
        )
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the deployment can't be started or an invariant is violated.
pub fn run(args: &ArgMatches) -> anyhow::Result<()> {
    let seed = args.get_one("seed").copied().unwrap_or(1);
    let report = crate::runtime()?.block_on(run_demo(seed))?;
    report.print();
    anyhow::ensure!(report.passed(), "promises were broken");
    Ok(())
}

async fn run_demo(seed: u64) -> anyhow::Result<Report> {
    println!(
        "starting {DAEMONS} daemons and {} servers of {}",
        VESTFJORD.services.iter().map(|s| s.servers).sum::<usize>(),
        VESTFJORD.name
    );
    let mut deployment = Deployment::start(VESTFJORD, DAEMONS, seed).await?;
    println!("ready; {CALLS_PER_S} calls/s for {} s", DURATION.as_secs());
    let settings = LoadSettings {
        rate: CALLS_PER_S,
        duration: DURATION,
        seed,
        ..LoadSettings::default()
    };
    let daemon_addresses = Arc::clone(&deployment.daemon_addresses);
    let execution_log = Arc::clone(&deployment.execution_log);
    let load = LoadGenerator::new(
        settings,
        VESTFJORD,
        daemon_addresses,
        Arc::clone(&execution_log),
    );
    tokio::join!(load.run(), inject_faults(&deployment, &load, seed));
    let mut stats = load.take_stats();
    tokio::time::sleep(SETTLE_TIME).await;
    let mut violations = deployment.stop().await;
    stats.check_pending(&execution_log);
    violations.extend(deployment.violations());
    Ok(report(&stats, violations, &deployment))
}

async fn inject_faults(deployment: &Deployment, load: &Arc<LoadGenerator>, seed: u64) {
    tokio::time::sleep(DRAIN_AFTER).await;
    let leaving = &deployment.servers[0];
    println!("draining server {}", leaving.spec.name);
    leaving.upstream.leave();
    tokio::time::sleep(CRASH_AFTER).await;
    println!("sending a request that crashes each server that starts it");
    let kind: &'static CallKind = &VESTFJORD.kinds[0];
    load.call_crashing(kind, seed).await;
}

fn report(stats: &LoadStats, mut violations: Vec<Violation>, deployment: &Deployment) -> Report {
    violations.extend(stats.violations.iter().cloned());
    let mut report = Report::new(stats, &violations);
    report.faults.insert("drain", 1);
    let crashes = deployment.servers.iter().map(|s| s.upstream.crashes());
    report.faults.insert("server_crash", crashes.sum());
    for invariant in Invariant::ALL {
        let checked = deployment.checked(invariant);
        report.checks.insert(invariant.label(), checked);
    }
    report
}
