//! Injects random faults around real daemon processes and checks the invariants from outside.
//!
//! The store, the servers and the clients run in this process, each daemon in a process of its own.
//! Each connection from a daemon to the store or a server goes through a proxy on loopback that can
//! delay it, reset it, or stop its traffic in one or both directions. Faults overlap. These
//! invariants are checked from what the clients and servers saw:
//!
//! - a request that isn't idempotent has run at most once, over all servers;
//! - a request that was refused as not run has not run;
//! - a response with status 2xx is a server's complete response to that very request;
//! - servers ran only requests that clients sent, with the same request line and body;
//! - an idempotent request has run at most as often as its route allows;
//! - requests to routes that all configurations have never get status 404;
//! - after the last fault and a recovery time, nearly all requests are served;
//! - a server that then announces that it leaves gets no request sent after the drain time-out.
//!
//! `--only` plays a drill instead: with `store-restore` the store comes back from older copies, and
//! with `server-signals` servers name limits and pauses and announce their ends, with `cut-daemons`
//! daemons are cut off from all servers, with `evacuate` data centres are emptied, and with
//! `endless-responses` servers send responses without an end.
//!
//! No fault changes clocks: daemons measure time with the monotonic clock and use the wall clock
//! only to name their start.

pub mod client;
mod cold_servers;
mod cut_daemons;
mod endless_responses;
mod evacuate;
pub mod fleet;
pub mod proxy;
mod server_signals;
mod store_restore;

use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command};
use cuminspread_platform::standin::server::Behaviour;
use cuminspread_platform::standin::store::Mode;
use rand::RngExt as _;
use rand_pcg::Pcg32;
use tokio::time::{Instant, sleep};

use crate::path::{flag_arg, number_arg};
use client::{Client, Outcome, SentRequest};
use fleet::{Fleet, Signal};
use proxy::Fault;

/// Time after the last fault for the deployment to recover: lapsed servers, outdated server states
/// and restarts take 2 to 3 s each.
const RECOVERY_TIME: Duration = Duration::from_secs(6);
/// Time after the recovery in which requests must be served.
const CALM_TIME: Duration = Duration::from_secs(4);
/// Time after which a leaving server must get no new requests, as on the users' sites.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Fraction of the requests in [`CALM_TIME`] that must be served.
const MIN_SERVED_FRACTION: f64 = 0.95;
/// Longest time between two faults.
const MAX_FAULT_INTERVAL_MS: u64 = 400;
/// Time from a response to the next request of the same client.
const THINK_TIME: Duration = Duration::from_millis(15);

/// Seeds that failed once, with the cause; `--failed` runs them again.
const FAILED_SEEDS: [(u64, &str); 3] = [
    (
        114,
        "executions of a replaced server were read before its last execution",
    ),
    (
        123,
        "executions of a replaced server were read before its last execution",
    ),
    (
        125,
        "executions of a replaced server were read before its last execution",
    ),
];

/// Which faults are injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Faults {
    /// All but those of the other variants, in random order.
    Any,
    /// The store comes back from older copies.
    StoreRestore,
    /// Servers name limits and pauses, and announce that they leave.
    ServerSignals,
    /// Daemons are cut off from all servers.
    CutDaemons,
    /// Servers turn cold, and bear few requests.
    ColdServers,
    /// Data centres are emptied and taken back.
    Evacuate,
    /// Servers send responses without an end.
    EndlessResponses,
}

/// Settings of a run.
#[derive(Debug, Clone)]
pub struct SoakSettings {
    /// Paths of the daemons' programs; the daemons run them in turn.
    pub programs: Vec<PathBuf>,
    /// Faults that are injected.
    pub faults: Faults,
    /// Seed of the faults and of the clients' requests.
    pub seed: u64,
    /// Time in which faults are injected.
    pub duration: Duration,
    /// Number of daemons.
    pub daemons: usize,
    /// Number of servers.
    pub servers: usize,
    /// Number of clients.
    pub clients: usize,
    /// Folder for the daemons' logs, which are appended to; `None` to keep none.
    pub logs: Option<PathBuf>,
}

/// Result of a run.
#[derive(Debug, Clone, Default)]
pub struct Verdict {
    /// Number of requests that clients sent.
    pub sent: usize,
    /// Number of requests with a complete response of a server.
    pub served: usize,
    /// Number of faults injected.
    pub faults: usize,
    /// Violated invariants, described for people.
    pub violations: Vec<String>,
}

/// Arguments of the subcommand.
pub fn command() -> Command {
    Command::new("fault-soak")
        .about("Injects random faults around real daemon processes and checks the invariants")
        .arg(
            Arg::new("program")
                .long("program")
                .value_name("FILE")
                .action(ArgAction::Append)
                .default_value("target/release/cuminspreadd")
                .help("Program of the daemons; several are used in turn"),
        )
        .arg(
            Arg::new("only")
                .long("only")
                .value_name("FAULT")
                .value_parser([
                    "store-restore",
                    "server-signals",
                    "cut-daemons",
                    "cold-servers",
                    "evacuate",
                    "endless-responses",
                ])
                .help("Inject only this fault"),
        )
        .arg(
            Arg::new("logs")
                .long("logs")
                .value_name("FOLDER")
                .help("Folder for the daemons' logs, one file for each seed and daemon"),
        )
        .arg(number_arg("seed", "1", "First seed"))
        .arg(number_arg("seeds", "1", "Seeds, one run each"))
        .arg(flag_arg("failed", "Run the seeds that failed once"))
        .arg(number_arg("seconds", "10", "Seconds under faults"))
        .arg(number_arg("daemons", "4", "Daemons"))
        .arg(number_arg("servers", "8", "Servers"))
        .arg(number_arg("clients", "24", "Clients"))
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the deployment can't be started or an invariant is violated.
pub fn run(args: &ArgMatches) -> anyhow::Result<()> {
    let number = |name| args.get_one(name).copied().unwrap_or(1u64);
    let programs = args.get_many::<String>("program").into_iter().flatten();
    let programs: Vec<PathBuf> = programs.map(PathBuf::from).collect();
    let faults = match args.get_one::<String>("only").map(String::as_str) {
        Some("server-signals") => Faults::ServerSignals,
        Some("cut-daemons") => Faults::CutDaemons,
        Some("cold-servers") => Faults::ColdServers,
        Some("evacuate") => Faults::Evacuate,
        Some("endless-responses") => Faults::EndlessResponses,
        Some(_) => Faults::StoreRestore,
        None => Faults::Any,
    };
    let mut violations = 0;
    let seeds = number("seed")..number("seed") + number("seeds");
    let seeds: Vec<u64> = if args.get_flag("failed") {
        FAILED_SEEDS.iter().map(|(seed, _)| *seed).collect()
    } else {
        seeds.collect()
    };
    for seed in seeds {
        let settings = SoakSettings {
            programs: programs.clone(),
            faults,
            seed,
            duration: Duration::from_secs(number("seconds")),
            daemons: number("daemons") as usize,
            servers: number("servers") as usize,
            clients: number("clients") as usize,
            logs: args.get_one::<String>("logs").map(PathBuf::from),
        };
        let verdict = crate::runtime()?.block_on(soak(&settings))?;
        println!(
            "seed {seed}: {} of {} requests served, {} faults, {} promises broken",
            verdict.served,
            verdict.sent,
            verdict.faults,
            verdict.violations.len()
        );
        for violation in verdict.violations.iter().take(10) {
            println!("  {violation}");
        }
        violations += verdict.violations.len();
    }
    anyhow::ensure!(violations == 0, "promises were broken");
    Ok(())
}

/// Runs one deployment under faults and checks the invariants.
///
/// # Errors
///
/// Fails if the deployment can't be started, a daemon can't be restarted or a client panics.
pub async fn soak(settings: &SoakSettings) -> anyhow::Result<Verdict> {
    let mut fleet = Fleet::start(settings).await?;
    let mut rng = Pcg32::new(settings.seed, 5);
    let start = Instant::now();
    let calm_from = start + settings.duration + RECOVERY_TIME;
    let end = calm_from + CALM_TIME;
    let added_routes = Arc::new(AtomicUsize::new(0));
    let client_timeout = match settings.faults {
        Faults::EndlessResponses => endless_responses::CLIENT_TIMEOUT,
        _ => client::RESPONSE_TIMEOUT,
    };
    let clients: Vec<_> = (0..settings.clients)
        .map(|i| {
            let daemons = fleet.daemon_addresses();
            let added_routes = Arc::clone(&added_routes);
            let client = Client::new(daemons, settings.seed, i, added_routes, client_timeout);
            tokio::spawn(client.run(end, THINK_TIME))
        })
        .collect();
    let mut faults = 0;
    while start.elapsed() < settings.duration {
        match settings.faults {
            Faults::Any => {
                inject(&mut fleet, &mut rng).await?;
                let interval_ms = rng.random_range(20..MAX_FAULT_INTERVAL_MS);
                sleep(Duration::from_millis(interval_ms)).await;
                fleet.update()?;
            }
            Faults::ServerSignals => server_signals::inject(&mut fleet, &mut rng).await?,
            Faults::ColdServers => cold_servers::inject(&mut fleet, &mut rng).await?,
            Faults::CutDaemons => cut_daemons::inject(&mut fleet, &mut rng).await?,
            Faults::Evacuate => evacuate::inject(&mut fleet, &mut rng).await?,
            Faults::EndlessResponses => endless_responses::inject(&mut fleet, &mut rng).await?,
            Faults::StoreRestore => {
                let left = settings.duration.saturating_sub(start.elapsed());
                store_restore::round(&mut fleet, &mut rng, &added_routes, left).await?;
            }
        }
        faults += 1;
    }
    fleet.end_faults();
    update_until(&mut fleet, calm_from).await?;
    let leaving = rng.random_range(0..fleet.servers());
    fleet.drain(leaving);
    let drained_at = Instant::now();
    update_until(&mut fleet, end).await?;
    let mut requests = Vec::new();
    for client in clients {
        requests.extend(client.await?);
    }
    let served = requests.iter().filter(|r| r.outcome == Outcome::Served);
    let mut verdict = Verdict {
        sent: requests.len(),
        served: served.count(),
        faults,
        violations: check(&fleet, &requests),
    };
    let late =
        |r: &&SentRequest| r.at > drained_at + DRAIN_TIMEOUT && fleet.executed_at(leaving, &r.id);
    for request in requests.iter().filter(late) {
        let (id, after) = (&request.id, request.at - drained_at);
        let violation =
            format!("drain: {id} was sent {after:?} after its server announced that it leaves");
        verdict.violations.push(violation);
    }
    if settings.faults == Faults::StoreRestore {
        verdict
            .violations
            .extend(store_restore::check(&fleet, &requests));
    }
    verdict
        .violations
        .extend(server_signals::check(&fleet, &requests));
    verdict.violations.extend(cold_servers::check(&fleet));
    verdict
        .violations
        .extend(cut_daemons::check(&fleet, &requests));
    verdict
        .violations
        .extend(evacuate::check(&fleet, &requests));
    verdict
        .violations
        .extend(endless_responses::check(&fleet, &requests));
    let calm: Vec<&SentRequest> = requests.iter().filter(|r| r.at >= calm_from).collect();
    let served = calm.iter().filter(|r| r.outcome == Outcome::Served).count();
    if (served as f64) < MIN_SERVED_FRACTION * calm.len() as f64 {
        let all = calm.len();
        let violation = format!("recovery: {served} of {all} requests served after the faults");
        verdict.violations.push(violation);
    }
    Ok(verdict)
}

/// Calls [`Fleet::update`] repeatedly until a time.
async fn update_until(fleet: &mut Fleet, end: Instant) -> anyhow::Result<()> {
    while Instant::now() < end {
        sleep(Duration::from_millis(50)).await;
        fleet.update()?;
    }
    Ok(())
}

/// Injects one random fault. A lasting fault ends after its time or when a later fault replaces it.
async fn inject(fleet: &mut Fleet, rng: &mut Pcg32) -> anyhow::Result<()> {
    let daemon = rng.random_range(0..fleet.daemons());
    let server = rng.random_range(0..fleet.servers());
    let duration = Duration::from_millis(rng.random_range(200..1500));
    match rng.random_range(0..12) {
        0 => fleet.signal(daemon, Signal::Kill),
        1 => fleet.signal(daemon, Signal::Terminate),
        2 => fleet.signal(daemon, Signal::Reload),
        3 => fleet.pause(daemon, duration),
        4 | 5 => {
            const BEHAVIOURS: [Behaviour; 9] = [
                Behaviour::Answer,
                Behaviour::Slow(300),
                Behaviour::Fail,
                Behaviour::Shed,
                Behaviour::Reset,
                Behaviour::CutShort,
                Behaviour::ExtraResponse,
                Behaviour::WrongId,
                Behaviour::Garbage,
            ];
            let behaviour = BEHAVIOURS[rng.random_range(0..BEHAVIOURS.len())];
            fleet.set_behaviour(server, behaviour);
        }
        6 => fleet.set_server_fault(server, random_fault(rng), duration),
        7 => fleet.set_store_fault(random_fault(rng), duration),
        8 => {
            const MODES: [Mode; 4] = [Mode::Up, Mode::Busy, Mode::Silent, Mode::Slow(200)];
            fleet.set_store_mode(MODES[rng.random_range(0..MODES.len())]);
        }
        9 => fleet.compact(),
        10 => fleet.publish_config(rng.random_range(0..40)),
        _ => fleet.replace_server(server).await,
    }
    Ok(())
}

fn random_fault(rng: &mut Pcg32) -> Fault {
    const FAULTS: [Fault; 5] = [
        Fault::Delay(Duration::from_millis(120)),
        Fault::Reset,
        Fault::Silent,
        Fault::CutToServer,
        Fault::CutToClient,
    ];
    FAULTS[rng.random_range(0..FAULTS.len())]
}

/// Checks the outcomes for the clients against what the servers executed; returns the violations.
fn check(fleet: &Fleet, requests: &[SentRequest]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut executions: HashMap<String, Vec<(String, Vec<u8>)>> = HashMap::new();
    for executed in fleet.executed() {
        executions
            .entry(executed.id)
            .or_default()
            .push((executed.request_line, executed.body));
    }
    for request in requests {
        let runs = executions.remove(&request.id).unwrap_or_default();
        let (id, outcome) = (&request.id, request.outcome);
        let max = if request.idempotent {
            client::MAX_ATTEMPTS
        } else {
            1
        };
        if runs.len() > max {
            violations.push(format!(
                "{id} ran {} times, expected at most {max}",
                runs.len()
            ));
        }
        if outcome == Outcome::Refused && !runs.is_empty() && !request.idempotent {
            violations.push(format!("{id} was refused as not run, but a server ran it"));
        }
        if matches!(outcome, Outcome::Wrong | Outcome::NoRoute) {
            violations.push(format!("{id} got an unexpected response: {outcome:?}"));
        }
        if outcome == Outcome::Served && runs.is_empty() {
            violations.push(format!("{id} was served, but no server ran it"));
        }
        let differs = |(line, body): &&(String, Vec<u8>)| {
            *line != request.request_line() || *body != request.body.as_bytes()
        };
        if let Some((line, _)) = runs.iter().find(differs) {
            violations.push(format!(
                "{id} ran with another request line or body: {line}"
            ));
        }
    }
    for id in executions.keys() {
        violations.push(format!("{id} ran, but no client sent it"));
    }
    violations
}
