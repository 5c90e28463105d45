//! Runs a print shop's deployment on loopback, with a drain and a crash, and checks every promise.

use std::sync::Arc;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};

use cuminspread::invariant::Invariant;

use crate::deployment::Deployment;
use crate::load::{LoadGenerator, LoadSettings, LoadStats};
use crate::operation::Breach;
use crate::report::Report;
use crate::shop::{CallKind, VESTFJORD};

const DAEMONS: usize = 4;
const RATE: f64 = 600.0;
const SPAN: Duration = Duration::from_secs(18);
const DRAIN_AT: Duration = Duration::from_secs(4);
const CRASH_AFTER: Duration = Duration::from_secs(5);
const SETTLE: Duration = Duration::from_secs(2);

/// Arguments of the subcommand.
pub fn command() -> Command {
    Command::new("demo")
        .about("Runs a print shop's deployment on loopback and checks every promise")
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
/// Fails if the deployment can't be started or a promise is broken.
pub fn run(args: &ArgMatches) -> anyhow::Result<()> {
    let seed = args.get_one("seed").copied().unwrap_or(1);
    let report = crate::runtime()?.block_on(play(seed))?;
    report.print();
    anyhow::ensure!(report.passed(), "promises were broken");
    Ok(())
}

async fn play(seed: u64) -> anyhow::Result<Report> {
    println!(
        "starting {DAEMONS} daemons and {} servers of {}",
        VESTFJORD.services.iter().map(|s| s.servers).sum::<usize>(),
        VESTFJORD.name
    );
    let mut deployment = Deployment::start(VESTFJORD, DAEMONS, seed).await?;
    println!("ready; {RATE} calls/s for {} s", SPAN.as_secs());
    let settings = LoadSettings {
        rate: RATE,
        duration: SPAN,
        seed,
        ..LoadSettings::default()
    };
    let fronts = Arc::clone(&deployment.fronts);
    let ledger = Arc::clone(&deployment.ledger);
    let load = LoadGenerator::new(settings, VESTFJORD, fronts, Arc::clone(&ledger));
    tokio::join!(load.run(), disturb(&deployment, &load, seed));
    let mut stats = load.take_stats();
    tokio::time::sleep(SETTLE).await;
    let mut breaches = deployment.stop().await;
    stats.check_pending(&ledger);
    breaches.extend(deployment.breaches());
    Ok(report(&stats, breaches, &deployment))
}

async fn disturb(deployment: &Deployment, load: &Arc<LoadGenerator>, seed: u64) {
    tokio::time::sleep(DRAIN_AT).await;
    let leaving = &deployment.servers[0];
    println!("server {} begins to leave", leaving.spec.name);
    leaving.upstream.leave();
    tokio::time::sleep(CRASH_AFTER).await;
    println!("a request that crashes its servers is sent");
    let kind: &'static CallKind = &VESTFJORD.kinds[0];
    load.call_crashing(kind, seed).await;
}

fn report(stats: &LoadStats, mut breaches: Vec<Breach>, deployment: &Deployment) -> Report {
    breaches.extend(stats.breaches.iter().cloned());
    let mut report = Report::new(stats, &breaches);
    report.faults.insert("drain", 1);
    let crashes = deployment.servers.iter().map(|s| s.upstream.crashes());
    report.faults.insert("server_crash", crashes.sum());
    for promise in Invariant::ALL {
        let checked = deployment.checked(promise);
        report.checks.insert(promise.label(), checked);
    }
    report
}
