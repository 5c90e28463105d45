//! Long run of a shop's deployment under random faults; the verdict comes from outcomes alone.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use serde::Serialize;

use cuminspread::invariant::Invariant;

use crate::deployment::Deployment;
use crate::load::{LoadGenerator, LoadSettings};
use crate::operation::Violation;
use crate::path::{flag, number};
use crate::report::Report;
use crate::shop::Shop;

pub mod fault;
pub mod injector;

use injector::Injector;

const SETTLE: Duration = Duration::from_secs(3);
const CONVERGE_BOUND: Duration = Duration::from_secs(30);
const CONVERGE_POLL: Duration = Duration::from_millis(200);
const MIN_DAEMONS: u64 = 3;
const DAEMON_CHOICES: u64 = 4;

/// Settings of a long run.
#[derive(Debug, Clone)]
pub struct SoakSettings {
    /// Deployment.
    pub shop: Shop,
    /// Seed of load and faults; also chooses from 3 to 6 daemons.
    pub seed: u64,
    /// Time under faults.
    pub span: Duration,
    /// Calls a second.
    pub rate: f64,
}

/// Result of a long run.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct SoakReport {
    /// Deployment.
    pub shop: &'static str,
    /// Seed.
    pub seed: u64,
    /// Daemons at a time.
    pub daemons: u64,
    /// Sendings answered `ran` a second.
    pub ran_per_s: f64,
    /// Outcomes, faults and broken promises.
    pub report: Report,
}

/// Arguments of the subcommand.
pub fn command() -> Command {
    Command::new("soak")
        .about("Runs a shop's deployment under random faults and checks every invariant")
        .arg(
            Arg::new("shop")
                .long("shop")
                .value_name("NAME")
                .default_value("vestfjord")
                .value_parser(["vestfjord", "cascade"])
                .help("Deployment"),
        )
        .arg(number("seed", "1", "Seed of load and faults"))
        .arg(number("seconds", "60", "Seconds under faults"))
        .arg(
            Arg::new("rate")
                .long("rate")
                .value_name("CALLS")
                .default_value("500")
                .value_parser(value_parser!(f64))
                .help("Calls a second"),
        )
        .arg(flag("json", "Print JSON"))
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the deployment can't be started or an invariant is broken.
pub fn run(args: &ArgMatches) -> anyhow::Result<()> {
    let shop = args.get_one::<String>("shop").map(String::as_str);
    let Some(shop) = shop.and_then(Shop::by_name) else {
        anyhow::bail!("unknown shop");
    };
    let number = |name| args.get_one(name).copied().unwrap_or(1u64);
    let settings = SoakSettings {
        shop,
        seed: number("seed"),
        span: Duration::from_secs(number("seconds")),
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

/// Runs a deployment under faults.
///
/// # Errors
///
/// Fails if something can't be started.
pub async fn soak(settings: &SoakSettings) -> anyhow::Result<SoakReport> {
    let daemons = MIN_DAEMONS + settings.seed % DAEMON_CHOICES;
    let shop = settings.shop;
    let mut deployment = Deployment::start(shop, daemons as usize, settings.seed).await?;
    let load_settings = LoadSettings {
        rate: settings.rate,
        duration: settings.span,
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
    let (injected, ()) = tokio::join!(injector.run(&mut deployment, settings.span), load.run());
    injected?;
    let mut violations = injector.take_violations();
    violations.extend(converge(&deployment).await);
    tokio::time::sleep(SETTLE).await;
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
        ran_per_s: stats.ran() as f64 / settings.span.as_secs_f64(),
        report,
    })
}

/// Waits until all daemons have the same configuration in force.
async fn converge(deployment: &Deployment) -> Option<Violation> {
    let converged = tokio::time::timeout(CONVERGE_BOUND, async {
        while in_force(deployment).await.len() != 1 {
            tokio::time::sleep(CONVERGE_POLL).await;
        }
    });
    if converged.await.is_ok() {
        return None;
    }
    let seen = in_force(deployment).await;
    Some(Violation {
        invariant: Invariant::ConfigForward,
        detail: format!(
            "daemons have {} configurations in force: {seen:?}",
            seen.len()
        ),
    })
}

/// Digests in force by council, once for each daemon that has different ones.
async fn in_force(deployment: &Deployment) -> BTreeSet<String> {
    let client = reqwest::Client::new();
    let mut seen = BTreeSet::new();
    for member in &deployment.members {
        let url = format!("http://{}/status", member.daemon.admin());
        let text = match client.get(url).send().await {
            Ok(answer) => answer.text().await.unwrap_or_default(),
            Err(e) => e.to_string(),
        };
        seen.insert(councils_of(&text));
    }
    seen
}

fn councils_of(status: &str) -> String {
    let Ok(status) = serde_json::from_str::<cuminspreadd::admin::Status>(status) else {
        return status.to_owned();
    };
    let stamps = status
        .councils
        .iter()
        .map(|c| format!("{}={}", c.council, c.digest));
    stamps.collect::<Vec<_>>().join(" ")
}
