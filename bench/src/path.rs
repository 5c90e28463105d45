//! Measures the latency and CPU time that a daemon adds to a call. Rounds of calls through the
//! daemon alternate with rounds of calls straight to the server.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use hdrhistogram::Histogram;
use http::Response;
use http_body_util::{BodyExt, Full};
use serde::Serialize;

use cuminspread::protocol::header::LOAD;
use cuminspread::state::Name;
use cuminspread::state::fleet::{FleetList, Vm};

use crate::deployment::wait_ready;
use crate::load::new_histogram;
use crate::process::{self, DaemonProcess};
use crate::standin::listener::{Handler, Listener, ListenerSettings};
use crate::standin::platform::{FolderFile, Platform};

pub mod caller;

use caller::{Measured, Phase};

const RESPONSE_BODY_BYTES: usize = 1024;
const SATURATION_DURATION: Duration = Duration::from_secs(3);
const WARM_UP_DURATION: Duration = Duration::from_secs(1);
/// Default rate of the rounds, as a fraction of the saturation rate.
const LOAD_FRACTION: f64 = 0.5;

/// Arguments of the subcommand.
pub fn command() -> Command {
    Command::new("path")
        .about("Measures the latency and cost that a daemon adds to a call")
        .arg(number_arg(
            "rounds",
            "6",
            "Rounds through the daemon, and as many straight to the server",
        ))
        .arg(number_arg("seconds", "2", "Seconds of each round"))
        .arg(number_arg("callers", "32", "Callers, one connection each"))
        .arg(number_arg("workers", "2", "Threads of the daemon"))
        .arg(number_arg("seed", "1", "Seed of the calls' times"))
        .arg(
            Arg::new("rate")
                .long("rate")
                .value_name("CALLS")
                .value_parser(value_parser!(f64))
                .help("Calls a second; half of the saturation rate if absent"),
        )
        .arg(flag_arg("orders", "Orders in place of status checks"))
        .arg(flag_arg("json", "Print JSON"))
        .arg(process::program_arg())
}

/// Argument `--NAME N` for a whole number.
pub(crate) fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

/// Argument `--NAME` without a value.
pub(crate) fn flag_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::SetTrue)
        .help(help)
}

#[derive(Debug, Clone)]
struct Options {
    rounds: u64,
    duration: Duration,
    callers: usize,
    workers: u64,
    seed: u64,
    rate: Option<f64>,
    orders: bool,
    program: PathBuf,
}

impl Options {
    fn read(args: &ArgMatches) -> anyhow::Result<Self> {
        let number = |name| args.get_one(name).copied().unwrap_or(1u64);
        Ok(Self {
            rounds: number("rounds"),
            duration: Duration::from_secs(number("seconds")),
            callers: number("callers") as usize,
            workers: number("workers"),
            seed: number("seed"),
            rate: args.get_one("rate").copied(),
            orders: args.get_flag("orders"),
            program: process::program(args)?,
        })
    }

    fn phase(&self, address: std::net::SocketAddr, round: u64) -> Phase {
        Phase {
            address,
            callers: self.callers,
            duration: self.duration,
            rate: None,
            orders: self.orders,
            seed: self.seed.wrapping_add(round),
        }
    }
}

/// Latencies in microseconds.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize)]
pub struct Quantiles {
    /// Median (50th percentile).
    pub p50: u64,
    /// 99th percentile.
    pub p99: u64,
    /// 99.9th percentile.
    pub p99_9: u64,
}

impl Quantiles {
    fn of(latency: &Histogram<u64>) -> Self {
        Self {
            p50: latency.value_at_quantile(0.5),
            p99: latency.value_at_quantile(0.99),
            p99_9: latency.value_at_quantile(0.999),
        }
    }

    /// Differences to `other`: p50, p99, p99.9.
    fn minus(self, other: Self) -> [i64; 3] {
        let difference = |a: u64, b: u64| a.cast_signed() - b.cast_signed();
        [
            difference(self.p50, other.p50),
            difference(self.p99, other.p99),
            difference(self.p99_9, other.p99_9),
        ]
    }
}

/// Latencies that the daemon adds, in microseconds: p50, p99, p99.9.
pub type Added = [i64; 3];

/// Results, for output.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct PathReport {
    /// Calls a second through the daemon, with callers that don't pause.
    pub saturation_rate: f64,
    /// Calls per second of the daemon's CPU time, at saturation.
    pub calls_per_core_saturated: f64,
    /// Calls a second in the rounds, as set for all callers together.
    pub rate: f64,
    /// Calls per second of the daemon's CPU time, in the rounds.
    pub calls_per_core: f64,
    /// Latencies straight to the server.
    pub straight_us: Quantiles,
    /// Latencies through the daemon.
    pub daemon_us: Quantiles,
    /// Difference of the quantiles over all rounds.
    pub added_us: Added,
    /// Difference of the quantiles in each pair of rounds.
    pub added_us_by_round: Vec<Added>,
    /// Calls whose status isn't 2xx or whose outcome isn't `ran`.
    pub failed: u64,
    /// Highest resident memory of the daemon, in bytes.
    pub peak_bytes: u64,
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the daemon can't be started, a connection breaks or a call fails.
pub fn run(args: &ArgMatches) -> anyhow::Result<()> {
    let options = Options::read(args)?;
    let report = crate::runtime()?.block_on(measure(&options))?;
    if args.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print(&report);
    }
    anyhow::ensure!(report.failed == 0, "{} calls failed", report.failed);
    Ok(())
}

fn print(report: &PathReport) {
    println!(
        "saturation: {:.0} calls/s, {:.0} calls/s per core of the daemon",
        report.saturation_rate, report.calls_per_core_saturated
    );
    println!(
        "rounds: {:.0} calls/s, {:.0} calls/s per core of the daemon",
        report.rate, report.calls_per_core
    );
    println!("straight, us: {:?}", report.straight_us);
    println!("daemon, us: {:?}", report.daemon_us);
    println!("added p50, p99, p99.9, us: {:?}", report.added_us);
    println!("added by round, us: {:?}", report.added_us_by_round);
    println!("peak memory: {} bytes", report.peak_bytes);
}

async fn measure(options: &Options) -> anyhow::Result<PathReport> {
    let server = Listener::start(ListenerSettings::default(), constant_response()).await?;
    let platform = Platform::start().await?;
    platform.publish_folder(folder(server.address()));
    let settings = settings_text("vm-0", &platform.url(), options.workers, options.seed);
    let daemon = DaemonProcess::start(&options.program, &settings)?;
    platform.publish_vm_list(vm_list_of(std::slice::from_ref(&daemon)));
    wait_ready(daemon.admin).await?;
    let direct = options.phase(server.address(), 0);
    let through = options.phase(daemon.front, 0);
    warm_up(&[&direct, &through]).await?;
    let (saturated, per_core_saturated) = measure_saturation(&through, &daemon).await?;
    let rate = options.rate.unwrap_or(saturated.rate * LOAD_FRACTION);
    let mut rounds = Rounds::default();
    for round in 1..=options.rounds {
        let pair = [server.address(), daemon.front].map(|address| Phase {
            rate: Some(rate),
            ..options.phase(address, round)
        });
        rounds.run(&pair, &daemon).await?;
    }
    let usage = daemon.usage()?;
    let straight_us = Quantiles::of(&rounds.direct);
    let daemon_us = Quantiles::of(&rounds.through);
    Ok(PathReport {
        saturation_rate: saturated.rate,
        calls_per_core_saturated: per_core_saturated,
        rate,
        calls_per_core: per_core(rounds.through.len(), rounds.cpu_time),
        straight_us,
        daemon_us,
        added_us: daemon_us.minus(straight_us),
        added_us_by_round: rounds.added,
        failed: saturated.failed + rounds.failed,
        peak_bytes: usage.peak_bytes,
    })
}

async fn warm_up(phases: &[&Phase]) -> anyhow::Result<()> {
    for phase in phases {
        let phase = Phase {
            duration: WARM_UP_DURATION,
            ..(*phase).clone()
        };
        caller::run(&phase).await?;
    }
    Ok(())
}

/// Runs a phase without pauses; also returns the calls per second of the daemon's CPU time.
async fn measure_saturation(
    phase: &Phase,
    daemon: &DaemonProcess,
) -> anyhow::Result<(Measured, f64)> {
    let phase = Phase {
        duration: SATURATION_DURATION,
        ..phase.clone()
    };
    let before = daemon.usage()?.cpu_time;
    let measured = caller::run(&phase).await?;
    let used = daemon.usage()?.cpu_time.saturating_sub(before);
    let per_core = per_core(measured.latency.len(), used);
    Ok((measured, per_core))
}

fn per_core(calls: u64, cpu_time: Duration) -> f64 {
    calls as f64 / cpu_time.as_secs_f64().max(f64::EPSILON)
}

/// Sums over all rounds.
struct Rounds {
    direct: Histogram<u64>,
    through: Histogram<u64>,
    added: Vec<Added>,
    failed: u64,
    cpu_time: Duration,
}

impl Default for Rounds {
    fn default() -> Self {
        Self {
            direct: new_histogram(),
            through: new_histogram(),
            added: Vec::new(),
            failed: 0,
            cpu_time: Duration::ZERO,
        }
    }
}

impl Rounds {
    /// Runs a phase straight to the server, then a phase through the daemon.
    async fn run(&mut self, pair: &[Phase; 2], daemon: &DaemonProcess) -> anyhow::Result<()> {
        let direct = caller::run(&pair[0]).await?;
        let before = daemon.usage()?.cpu_time;
        let through = caller::run(&pair[1]).await?;
        self.cpu_time += daemon.usage()?.cpu_time.saturating_sub(before);
        let added = Quantiles::of(&through.latency).minus(Quantiles::of(&direct.latency));
        self.added.push(added);
        self.failed += direct.failed + through.failed;
        self.direct
            .add(direct.latency)
            .context("adding histograms of different ranges")?;
        self.through
            .add(through.latency)
            .context("adding histograms of different ranges")?;
        Ok(())
    }
}

/// Handler that reads the request and responds with a body of constant size.
pub(crate) fn constant_response() -> Handler {
    let body = Bytes::from(vec![b'a'; RESPONSE_BODY_BYTES]);
    Arc::new(move |req| {
        let body = body.clone();
        Box::pin(async move {
            let read = req.into_body().collect().await;
            let status = if read.is_ok() { 200 } else { 400 };
            let response = Response::builder()
                .status(status)
                .header(LOAD, "in-flight=1;age-ms=0;draining=0");
            let body = Full::new(body).map_err(|e| match e {}).boxed_unsync();
            response.body(body).unwrap_or_else(|_| {
                Response::new(Full::default().map_err(|e| match e {}).boxed_unsync())
            })
        })
    })
}

fn folder(server: std::net::SocketAddr) -> Vec<FolderFile> {
    let text = format!(
        "[council]\nprobe-budget = 1\n\n[service jobs]\ndeadline-ms = 10000\nslots = 512\n\
         connections = 2000\n\n[route jobs status]\nmethods = GET\npath = /jobs/*\n\
         idempotent = yes\n\n[route jobs orders]\nmethods = POST\npath = /orders\n\
         idempotent = no\n\n[server jobs one]\naddress = {server}\ndata-centre = here\n"
    );
    vec![FolderFile {
        name: "10.print.all.ini".to_owned(),
        text,
    }]
}

/// Settings file of a daemon with this name.
pub(crate) fn settings_text(name: &str, platform: &str, workers: u64, seed: u64) -> String {
    format!(
        "[daemon]\nname = {name}\ndata_centre = here\nworkers = {workers}\nseed = {seed}\n\n\
         [listen]\nfront = 127.0.0.1:0\nadmin = 127.0.0.1:0\npeer = 127.0.0.1:0\n\n\
         [platform]\nurl = {platform}\n\n\
         [peers]\nkey = loopback-measurement-peer-key-0123456789\n"
    )
}

/// VM list of these daemons, named `vm-0`, `vm-1` and so on.
pub(crate) fn vm_list_of(daemons: &[DaemonProcess]) -> FleetList {
    let vms = daemons.iter().enumerate().map(|(i, daemon)| Vm {
        name: Name::from(format!("vm-{i}")),
        data_centre: Name::new_static("here"),
        peer: daemon.peer,
        leaving: false,
    });
    FleetList {
        revision: 0,
        epoch: 1,
        vms: vms.collect(),
    }
}
