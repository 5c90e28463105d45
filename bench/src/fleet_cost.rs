//! Measures what a fleet without load costs at several numbers of daemons, on a platform with a
//! store.
//!
//! Daemons run in separate processes, spread over nine data centres; servers report to a stand-in
//! for the store all the time. No requests are sent, so that the whole cost is that of the control
//! plane.

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::time::Duration;

use anyhow::Context as _;
use clap::{Arg, ArgMatches, Command, value_parser};
use cuminspread_platform::standin::store::{RouteRow, StandInStore, config_text};
use tokio::time::{Instant, interval, sleep};

use crate::path::number_arg;
use crate::process::{self, DaemonProcess, Usage};
use crate::slopes::fit::Fit;

/// Data centres that the daemons are spread over.
const DATA_CENTRES: usize = 9;
/// Servers that report to the store.
const SERVERS: u32 = 36;
/// Time between two reports of the same server, as on the users' platform.
const REPORT_INTERVAL: Duration = Duration::from_millis(1500);
/// Time for the daemons to find each other; a large fleet needs several rounds of hello messages.
const SETTLE_TIME: Duration = Duration::from_secs(10);
/// Low 16 bits of the first daemon's peer address in 127.0.0.0/16.
const FIRST_PEER_HOST: usize = 10;
/// Starts of the metrics' lines for bytes exchanged with peers.
const PEER_BYTES_PREFIXES: [&str; 2] = ["cumin_peer_sent_bytes ", "cumin_peer_received_bytes "];

/// Arguments of the subcommand.
pub fn command() -> Command {
    Command::new("fleet-cost")
        .about("Measures the cost of an idle fleet at several numbers of daemons, and fits lines")
        .arg(
            Arg::new("daemons")
                .long("daemons")
                .value_name("N,…")
                .value_delimiter(',')
                .value_parser(value_parser!(usize))
                .default_value("18,60,141,300")
                .help("Numbers of daemons, one run each"),
        )
        .arg(number_arg("seconds", "15", "Seconds of each run"))
        .arg(process::program_arg())
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if a daemon can't be started or doesn't respond.
pub fn run(args: &ArgMatches) -> anyhow::Result<()> {
    let program = process::program(args)?;
    let seconds = args.get_one("seconds").copied().unwrap_or(1u64);
    let runtime = crate::runtime()?;
    let mut points = Vec::new();
    for daemons in args.get_many::<usize>("daemons").into_iter().flatten() {
        let duration = Duration::from_secs(seconds);
        let point = runtime.block_on(measure(*daemons, &program, duration));
        let point = point.with_context(|| format!("{daemons} daemons"))?;
        println!("{point}");
        points.push(point);
    }
    let line = |name: &str, y: fn(&Point) -> f64| {
        let pairs: Vec<_> = points.iter().map(|p| (p.daemons as f64, y(p))).collect();
        if let Some(fit) = Fit::of(&pairs) {
            let (base, slope, error) = (fit.base, fit.slope, fit.slope_error);
            println!("{name}: {base:.4} + {slope:.6} x, error of the slope {error:.6}");
        }
    };
    line("bytes/s, mean", |p| p.bytes.mean);
    line("bytes/s, most", |p| p.bytes.max);
    line("% of a core, mean", |p| p.cores.mean * 100.0);
    line("MB resident, mean", |p| p.resident.mean / 1e6);
    line("store calls/s", |p| p.store_calls);
    Ok(())
}

/// Mean and maximum over the daemons.
#[derive(Debug, Clone, Copy, Default)]
struct MeanAndMax {
    mean: f64,
    max: f64,
}

impl MeanAndMax {
    fn of(values: impl Iterator<Item = f64>) -> Self {
        let values: Vec<f64> = values.collect();
        Self {
            mean: values.iter().sum::<f64>() / values.len().max(1) as f64,
            max: values.iter().copied().fold(0.0, f64::max),
        }
    }
}

/// Cost of a fleet with one number of daemons.
#[derive(Debug, Clone, Copy)]
struct Point {
    daemons: usize,
    /// Bytes a second that a daemon sends to and receives from peers, without headers
    /// of IP, UDP and TCP.
    bytes: MeanAndMax,
    /// CPU time of a daemon per elapsed time, in cores.
    cores: MeanAndMax,
    /// Resident memory of a daemon, in bytes.
    resident: MeanAndMax,
    /// Calls a second of the whole fleet to the store.
    store_calls: f64,
}

impl std::fmt::Display for Point {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{:>4} daemons: bytes/s {:.0}, most {:.0}; % of a core {:.3}, most {:.3}; MB {:.2}, most \
             {:.2}; store calls/s {:.2}",
            self.daemons,
            self.bytes.mean,
            self.bytes.max,
            self.cores.mean * 100.0,
            self.cores.max * 100.0,
            self.resident.mean / 1e6,
            self.resident.max / 1e6,
            self.store_calls
        )
    }
}

async fn measure(count: usize, program: &Path, duration: Duration) -> anyhow::Result<Point> {
    let store = StandInStore::start().await;
    store.put_config(config_text(3, &[RouteRow::default()], 15.0));
    report_all(&store, 1);
    let daemons = start_daemons(count, program, store.address())?;
    let mut reports = interval(REPORT_INTERVAL);
    let mut seq = 1;
    let settle_end = Instant::now() + SETTLE_TIME;
    while Instant::now() < settle_end {
        reports.tick().await;
        seq += 1;
        report_all(&store, seq);
    }
    let (before, calls, start) = (read_costs(&daemons).await?, store.calls(), Instant::now());
    while start.elapsed() < duration {
        reports.tick().await;
        seq += 1;
        report_all(&store, seq);
    }
    let (calls, elapsed) = (store.calls() - calls, start.elapsed().as_secs_f64());
    let after = read_costs(&daemons).await?;
    let pairs = || before.iter().zip(&after);
    let cores = |(b, a): (&DaemonCost, &DaemonCost)| {
        let used = a.usage.cpu_time.saturating_sub(b.usage.cpu_time);
        used.as_secs_f64() / elapsed
    };
    Ok(Point {
        daemons: count,
        bytes: MeanAndMax::of(pairs().map(|(b, a)| (a.bytes - b.bytes) / elapsed)),
        cores: MeanAndMax::of(pairs().map(cores)),
        resident: MeanAndMax::of(after.iter().map(|a| a.usage.resident_bytes as f64)),
        store_calls: calls as f64 / elapsed,
    })
}

/// Writes a report of each server to the store. No process listens on the servers' addresses;
/// without requests, no daemon connects to them.
fn report_all(store: &StandInStore, seq: u64) {
    for server in 0..SERVERS {
        let address = SocketAddr::from(([127, 1, 0, server as u8 + 1], 9));
        store.put_report(&format!("i-{server:04}"), "status", address, seq);
    }
}

fn start_daemons(
    count: usize,
    program: &Path,
    store: SocketAddr,
) -> anyhow::Result<Vec<DaemonProcess>> {
    // As on the platform, peers differ by their addresses and share one port.
    let port = TcpListener::bind("127.0.0.1:0")?.local_addr()?.port();
    let peer = |i: usize| {
        let [high, low] = ((FIRST_PEER_HOST + i) as u16).to_be_bytes();
        SocketAddr::from(([127, 0, high, low], port))
    };
    let seeds: Vec<String> = (0..3).map(|i| peer(i).to_string()).collect();
    let seeds = seeds.join(", ");
    let daemons = (0..count).map(|i| {
        let (dc, peer) = (i % DATA_CENTRES, peer(i));
        let text = format!(
            "[daemon]\nname = vm-{i}\ndata_centre = dc-{dc}\n[listen]\nfront = 127.0.0.1:0\n\
             admin = 127.0.0.1:0\nreadiness = 127.0.0.1:0\npeer = {peer}\n[store]\naddress = \
             {store}\n[peers]\nseeds = {seeds}\n"
        );
        DaemonProcess::start(program, &text)
    });
    daemons.collect()
}

struct DaemonCost {
    usage: Usage,
    bytes: f64,
}

async fn read_costs(daemons: &[DaemonProcess]) -> anyhow::Result<Vec<DaemonCost>> {
    let mut costs = Vec::new();
    for daemon in daemons {
        let url = format!("http://{}/metrics", daemon.admin);
        let metrics = reqwest::get(url).await?.text().await?;
        let values = metrics.lines().filter_map(|line| {
            let value = PEER_BYTES_PREFIXES
                .iter()
                .find_map(|name| line.strip_prefix(name));
            value?.trim().parse::<f64>().ok()
        });
        costs.push(DaemonCost {
            usage: daemon.usage()?,
            bytes: values.sum(),
        });
        // Spreads the reads over time, so that they add little load at any moment.
        sleep(Duration::from_millis(1)).await;
    }
    Ok(costs)
}
