//! Long run of a shop's deployment under random faults, all in one process.
//!
//! The run passes if no invariant was violated, judged by the callers' outcomes, the servers'
//! execution log and the daemons' own checks.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use serde::Serialize;

use cuminspread::invariant::Invariant;

use crate::deployment::Deployment;
use crate::load::{LoadGenerator, LoadSettings};
use crate::operation::Violation;
use crate::path::{flag_arg, number_arg};
use crate::report::Report;
use crate::shop::Shop;

pub mod fault;
pub mod injector;

use injector::Injector;

/// Time after the load in which servers finish what callers no longer wait for.
const SETTLE_TIME: Duration = Duration::from_secs(3);
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(30);
const CONVERGENCE_POLL_INTERVAL: Duration = Duration::from_millis(200);
const MIN_DAEMONS: u64 = 3;
/// Number of possible deployment sizes, from [`MIN_DAEMONS`] daemons up.
const DAEMON_COUNTS: u64 = 4;

/// Settings of a long run.
#[derive(Debug, Clone)]
pub struct SoakSettings {
    /// Deployment that is tested.
    pub shop: Shop,
    /// Seed of load and faults; it also selects the number of daemons, from 3 to 6.
    pub seed: u64,
    /// Time in which faults are injected.
    pub duration: Duration,
    /// Mean rate of new calls outside bursts, in calls a second.
    pub rate: f64,
}

/// Result of a long run, for output.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct SoakReport {
    /// Deployment that is tested.
    pub shop: &'static str,
    /// Seed of load, faults and the number of daemons.
    pub seed: u64,
    /// Number of daemons; replacements are not counted.
    pub daemons: u64,
    /// Attempts with outcome `ran`, a second.
    pub ran_per_s: f64,
    /// Outcomes, faults and violated invariants.
    pub report: Report,
}

/// Arguments of the subcommand.
pub fn command() -> Command {
    Command::new("soak")
        .about("Runs a shop's deployment under random faults and checks all invariants")
        .arg(
            Arg::new("shop")
                .long("shop")
                .value_name("NAME")
                .default_value("vestfjord")
                .value_parser(["vestfjord", "cascade"])
                .help("Deployment"),
        )
        .arg(number_arg("seed", "1", "Seed of load and faults"))
        .arg(number_arg("seconds", "60", "Seconds under faults"))
        .arg(
            Arg::new("rate")
                .long("rate")
                .value_name("CALLS")
                .default_value("500")
                .value_parser(value_parser!(f64))
                .help("Calls a second"),
        )
        .arg(flag_arg("json", "Print JSON"))
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the deployment can't be started or an invariant is violated.
pub fn run(args: &ArgMatches) -> anyhow::Result<()> {
    let shop = args.get_one::<String>("shop").map(String::as_str);
    let Some(shop) = shop.and_then(Shop::by_name) else {
        anyhow::bail!("unknown shop: expected vestfjord or cascade");
    };
    let number = |name| args.get_one(name).copied().unwrap_or(1u64);
    let settings = SoakSettings {
        shop,
        seed: number("seed"),
        duration: Duration::from_secs(number("seconds")),
        rate: args.get_one("rate").copied().unwrap_or(1.0),
    };
    let soak = crate::runtime()?.block_on(soak(&settings))?;
    if args.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&soak)?);
    } else {
        println!(
            "{} seed {}: {} daemons, {:.0} answers a second",
            soak.shop, soak.seed, soak.daemons, soak.ran_per_s
        );
        soak.report.print();
    }
    anyhow::ensure!(soak.report.passed(), "promises were broken");
    Ok(())
}

/// Runs a deployment under faults and checks the invariants.
///
/// # Errors
///
/// Fails if the deployment or a replacement can't be started.
pub async fn soak(settings: &SoakSettings) -> anyhow::Result<SoakReport> {
    let daemons = MIN_DAEMONS + settings.seed % DAEMON_COUNTS;
    let shop = settings.shop;
    let mut deployment = Deployment::start(shop, daemons as usize, settings.seed).await?;
    let load_settings = LoadSettings {
        rate: settings.rate,
        duration: settings.duration,
        burst_factor: 4.0,
        abandoned_fraction: 0.01,
        seed: settings.seed,
        ..LoadSettings::default()
    };
    let daemon_addresses = Arc::clone(&deployment.daemon_addresses);
    let execution_log = Arc::clone(&deployment.execution_log);
    let load = LoadGenerator::new(
        load_settings,
        shop,
        daemon_addresses,
        Arc::clone(&execution_log),
    );
    let mut injector = Injector::new(Arc::clone(&load), settings.seed);
    let (injected, ()) = tokio::join!(injector.run(&mut deployment, settings.duration), load.run());
    injected?;
    let mut violations = injector.take_violations();
    violations.extend(converge(&deployment).await);
    tokio::time::sleep(SETTLE_TIME).await;
    violations.extend(deployment.stop().await);
    let mut stats = load.take_stats();
    stats.check_pending(&execution_log);
    violations.append(&mut stats.violations);
    violations.extend(deployment.violations());
    let mut report = Report::new(&stats, &violations);
    report.faults.clone_from(injector.counts());
    for invariant in Invariant::ALL {
        let checked = deployment.checked(invariant);
        report.checks.insert(invariant.label(), checked);
    }
    Ok(SoakReport {
        shop: shop.name,
        seed: settings.seed,
        daemons,
        ran_per_s: stats.ran() as f64 / settings.duration.as_secs_f64(),
        report,
    })
}

/// Waits until all daemons have the same active configuration; a violation if they take too long.
async fn converge(deployment: &Deployment) -> Option<Violation> {
    let converged = tokio::time::timeout(CONVERGENCE_TIMEOUT, async {
        while active_configs(deployment).await.len() != 1 {
            tokio::time::sleep(CONVERGENCE_POLL_INTERVAL).await;
        }
    });
    if converged.await.is_ok() {
        return None;
    }
    let configs = active_configs(deployment).await;
    Some(Violation {
        invariant: Invariant::ConfigForward,
        detail: format!(
            "expected one active configuration, daemons have {}: {configs:?}",
            configs.len()
        ),
    })
}

/// Distinct active configurations of the daemons, each as digests by council. An error stands for a
/// daemon that does not respond.
async fn active_configs(deployment: &Deployment) -> BTreeSet<String> {
    let client = reqwest::Client::new();
    let mut configs = BTreeSet::new();
    for member in &deployment.members {
        let url = format!("http://{}/status", member.daemon.admin());
        let text = match client.get(url).send().await {
            Ok(response) => response.text().await.unwrap_or_default(),
            Err(e) => e.to_string(),
        };
        configs.insert(digests(&text));
    }
    configs
}

/// Digests by council in a daemon's `/status`; the text itself if it can't be parsed.
fn digests(status: &str) -> String {
    let Ok(status) = serde_json::from_str::<cuminspreadd::admin::Status>(status) else {
        return status.to_owned();
    };
    let digests = status
        .councils
        .iter()
        .map(|c| format!("{}={}", c.council, c.digest));
    digests.collect::<Vec<_>>().join(" ")
}
