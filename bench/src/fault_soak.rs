//! Random faults from outside, against the real program in processes of its own.
//!
//! A store, servers and clients live in this process; daemons are processes; every connection between
//! a daemon and the store or a server passes a proxy on loopback that can delay, reset, silence or
//! cut it one way. Faults come in series and overlap. While they do, and after, the promises are
//! checked from what clients and servers saw:
//!
//! - a request that may run once has run once at most, over all servers;
//! - one that was refused as not run has not run;
//! - a success is a server's whole answer to that very request;
//! - no server has run what no client sent, or something else under its id;
//! - an idempotent request has run at most as often as its route allows;
//! - a route that is always there is never answered with 404;
//! - soon after the last fault nearly all requests are served;
//! - a server that then says that it leaves gets no request that was sent after the bound.
//!
//! Clocks are not harmed: daemons use the monotonic one, and the time of day only to name their start.

pub mod client;
pub mod fleet;
pub mod proxy;

use std::collections::HashMap;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command};
use cuminspread_platform::standin::server::Behaviour;
use cuminspread_platform::standin::store::Mode;
use rand::RngExt as _;
use rand_pcg::Pcg32;
use tokio::time::{Instant, sleep};

use crate::path::{flag, number};
use client::{Client, Outcome, Sending};
use fleet::{Fleet, Signal};
use proxy::Fault;

/// Time after the last fault in which the deployment may still recover: lapses, beliefs and restarts
/// take 2 to 3 s each.
const RECOVERY: Duration = Duration::from_secs(6);
/// Time after that in which requests must be served.
const CALM: Duration = Duration::from_secs(4);
/// Time after which a leaving server gets no request any more; the bound of the users' sites.
const DRAIN: Duration = Duration::from_secs(2);
/// Part of the requests of the calm time that must be served.
const SERVED: f64 = 0.95;
/// Longest pause between two faults.
const FAULT_PAUSE_MS: u64 = 400;
/// Pause between two requests of one client.
const THINK: Duration = Duration::from_millis(15);

/// Seeds that failed once, with the cause; `--failed` runs them again.
const FAILED: [(u64, &str); 3] = [
    (
        114,
        "runs of a replaced server were counted before its last one",
    ),
    (
        123,
        "runs of a replaced server were counted before its last one",
    ),
    (
        125,
        "runs of a replaced server were counted before its last one",
    ),
];

/// Settings of a run.
#[derive(Debug, Clone)]
pub struct SoakSettings {
    /// Program of the daemons.
    pub program: PathBuf,
    /// Seed of all choices.
    pub seed: u64,
    /// Time under faults.
    pub span: Duration,
    /// Daemons.
    pub daemons: usize,
    /// Servers.
    pub servers: usize,
    /// Clients.
    pub clients: usize,
}

/// What a run has shown.
#[derive(Debug, Clone, Default)]
pub struct Verdict {
    /// Requests sent.
    pub sent: usize,
    /// Requests served.
    pub served: usize,
    /// Faults injected.
    pub faults: usize,
    /// Broken promises, in words.
    pub broken: Vec<String>,
}

/// Arguments of the subcommand.
pub fn command() -> Command {
    Command::new("fault-soak")
        .about("Injects random faults around real daemon processes and checks the promises")
        .arg(
            Arg::new("program")
                .long("program")
                .value_name("FILE")
                .default_value("target/release/cuminspreadd")
                .help("Program of the daemons"),
        )
        .arg(number("seed", "1", "First seed"))
        .arg(number("seeds", "1", "Seeds, one run each"))
        .arg(flag("failed", "Run the seeds that failed once"))
        .arg(number("seconds", "10", "Seconds under faults"))
        .arg(number("daemons", "4", "Daemons"))
        .arg(number("servers", "8", "Servers"))
        .arg(number("clients", "24", "Clients"))
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if something can't be started or a promise is broken.
pub fn run(args: &ArgMatches) -> anyhow::Result<()> {
    let number = |name| args.get_one(name).copied().unwrap_or(1u64);
    let program: Option<&String> = args.get_one("program");
    let mut broken = 0;
    let seeds = number("seed")..number("seed") + number("seeds");
    let seeds: Vec<u64> = if args.get_flag("failed") {
        FAILED.iter().map(|(seed, _)| *seed).collect()
    } else {
        seeds.collect()
    };
    for seed in seeds {
        let settings = SoakSettings {
            program: PathBuf::from(program.map_or("", String::as_str)),
            seed,
            span: Duration::from_secs(number("seconds")),
            daemons: number("daemons") as usize,
            servers: number("servers") as usize,
            clients: number("clients") as usize,
        };
        let verdict = crate::runtime()?.block_on(soak(&settings))?;
        println!(
            "seed {seed}: {} of {} requests served, {} faults, {} promises broken",
            verdict.served,
            verdict.sent,
            verdict.faults,
            verdict.broken.len()
        );
        for breach in verdict.broken.iter().take(10) {
            println!("  {breach}");
        }
        broken += verdict.broken.len();
    }
    anyhow::ensure!(broken == 0, "promises were broken");
    Ok(())
}

/// Runs one deployment under faults.
///
/// # Errors
///
/// Fails if something can't be started.
pub async fn soak(settings: &SoakSettings) -> anyhow::Result<Verdict> {
    let mut fleet = Fleet::start(settings).await?;
    let mut rng = Pcg32::new(settings.seed, 5);
    let began = Instant::now();
    let calm_from = began + settings.span + RECOVERY;
    let end = calm_from + CALM;
    let clients: Vec<_> = (0..settings.clients)
        .map(|i| {
            let fronts = fleet.fronts();
            let client = Client::new(fronts, settings.seed, i);
            tokio::spawn(client.run(end, THINK))
        })
        .collect();
    let mut faults = 0;
    while began.elapsed() < settings.span {
        inject(&mut fleet, &mut rng).await?;
        faults += 1;
        let pause = rng.random_range(20..FAULT_PAUSE_MS);
        sleep(Duration::from_millis(pause)).await;
        fleet.tend()?;
    }
    fleet.heal();
    tend_until(&mut fleet, calm_from).await?;
    let leaving = rng.random_range(0..fleet.servers());
    fleet.drain(leaving);
    let drained_at = Instant::now();
    tend_until(&mut fleet, end).await?;
    let mut sendings = Vec::new();
    for client in clients {
        sendings.extend(client.await?);
    }
    let served = sendings.iter().filter(|s| s.outcome == Outcome::Served);
    let mut verdict = Verdict {
        sent: sendings.len(),
        served: served.count(),
        faults,
        broken: check(&fleet, &sendings),
    };
    let late = |s: &&Sending| s.at > drained_at + DRAIN && fleet.ran_at(leaving, &s.id);
    for sending in sendings.iter().filter(late) {
        let (id, after) = (&sending.id, sending.at - drained_at);
        let breach = format!("drain: {id} was sent {after:?} after its server said that it leaves");
        verdict.broken.push(breach);
    }
    let calm: Vec<&Sending> = sendings.iter().filter(|s| s.at >= calm_from).collect();
    let served = calm.iter().filter(|s| s.outcome == Outcome::Served).count();
    if (served as f64) < SERVED * calm.len() as f64 {
        let all = calm.len();
        let breach = format!("recovery: {served} of {all} requests served after the faults");
        verdict.broken.push(breach);
    }
    Ok(verdict)
}

/// Ends faults whose time is over, and restarts daemons, until a time.
async fn tend_until(fleet: &mut Fleet, end: Instant) -> anyhow::Result<()> {
    while Instant::now() < end {
        sleep(Duration::from_millis(50)).await;
        fleet.tend()?;
    }
    Ok(())
}

/// Injects one fault; those that last end by themselves or by a later one.
async fn inject(fleet: &mut Fleet, rng: &mut Pcg32) -> anyhow::Result<()> {
    let daemon = rng.random_range(0..fleet.daemons());
    let server = rng.random_range(0..fleet.servers());
    let lasts = Duration::from_millis(rng.random_range(200..1500));
    match rng.random_range(0..12) {
        0 => fleet.signal(daemon, Signal::Kill),
        1 => fleet.signal(daemon, Signal::Terminate),
        2 => fleet.signal(daemon, Signal::Reload),
        3 => fleet.pause(daemon, lasts),
        4 | 5 => {
            const WAYS: [Behaviour; 9] = [
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
            let way = WAYS[rng.random_range(0..WAYS.len())];
            fleet.misbehave(server, way);
        }
        6 => fleet.fault_server(server, any_fault(rng), lasts),
        7 => fleet.fault_store(any_fault(rng), lasts),
        8 => {
            const MODES: [Mode; 4] = [Mode::Up, Mode::Busy, Mode::Silent, Mode::Slow(200)];
            fleet.set_store(MODES[rng.random_range(0..MODES.len())]);
        }
        9 => fleet.compact(),
        10 => fleet.change_config(rng.random_range(0..40)),
        _ => fleet.replace_server(server).await,
    }
    Ok(())
}

fn any_fault(rng: &mut Pcg32) -> Fault {
    const FAULTS: [Fault; 5] = [
        Fault::Delay(Duration::from_millis(120)),
        Fault::Reset,
        Fault::Silent,
        Fault::CutToServer,
        Fault::CutToClient,
    ];
    FAULTS[rng.random_range(0..FAULTS.len())]
}

/// Compares what clients learned with what servers ran.
fn check(fleet: &Fleet, sendings: &[Sending]) -> Vec<String> {
    let mut broken = Vec::new();
    let mut runs: HashMap<String, Vec<(String, Vec<u8>)>> = HashMap::new();
    for run in fleet.runs() {
        runs.entry(run.id)
            .or_default()
            .push((run.request_line, run.body));
    }
    for sending in sendings {
        let ran = runs.remove(&sending.id).unwrap_or_default();
        let (id, outcome) = (&sending.id, sending.outcome);
        let most = if sending.idempotent {
            client::MAX_ATTEMPTS
        } else {
            1
        };
        if ran.len() > most {
            broken.push(format!("{id} ran {} times, {most} allowed", ran.len()));
        }
        if outcome == Outcome::Refused && !ran.is_empty() && !sending.idempotent {
            broken.push(format!("{id} was refused as not run, and ran"));
        }
        if matches!(outcome, Outcome::Wrong | Outcome::NoRoute) {
            broken.push(format!("{id} was answered wrongly: {outcome:?}"));
        }
        if outcome == Outcome::Served && ran.is_empty() {
            broken.push(format!("{id} was served, and no server ran it"));
        }
        let foreign = |(line, body): &&(String, Vec<u8>)| {
            *line != sending.line() || *body != sending.body.as_bytes()
        };
        if let Some((line, _)) = ran.iter().find(foreign) {
            broken.push(format!("{id} ran as another request: {line}"));
        }
    }
    for id in runs.keys() {
        broken.push(format!("{id} ran, and no client sent it"));
    }
    broken
}
