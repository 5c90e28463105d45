//! Cost of control of a whole fleet on a platform with a store, at several numbers of daemons.
//!
//! Daemons are processes of their own and stand in nine data centres; a stand-in of the store has
//! servers that report all the time. No requests are sent, so that all cost is that of control.

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::time::Duration;

use anyhow::Context as _;
use clap::{Arg, ArgMatches, Command, value_parser};
use cuminspread_platform::standin::store::{RouteRow, StandInStore, config_text};
use tokio::time::{Instant, interval, sleep};

use crate::path::number;
use crate::process::{self, DaemonProcess, Usage};
use crate::slopes::fit::Fit;

/// Data centres of the target.
const DATA_CENTRES: usize = 9;
/// Servers that report.
const SERVERS: u32 = 36;
/// Time between two reports of one server, as on the users' platform.
const REPORT: Duration = Duration::from_millis(1500);
/// Time in which daemons find each other; a large fleet needs some rounds of greetings.
const SETTLE: Duration = Duration::from_secs(10);
/// Low part of the first daemon's address in 127.0.0.0/16.
const FIRST_PEER: usize = 10;
/// Bytes exchanged with peers, in the metrics of a daemon.
const PEER_BYTES: [&str; 2] = ["cumin_peer_sent_bytes ", "cumin_peer_received_bytes "];

/// Arguments of the subcommand.
pub fn command() -> Command {
    Command::new("fleet-cost")
        .about("Measures the cost of control at several numbers of daemons, and fits lines")
        .arg(
            Arg::new("daemons")
                .long("daemons")
                .value_name("N,…")
                .value_delimiter(',')
                .value_parser(value_parser!(usize))
                .default_value("18,60,141,300")
                .help("Numbers of daemons, one run each"),
        )
        .arg(number("seconds", "15", "Seconds of each run"))
        .arg(process::program_arg())
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if a daemon can't be started or doesn't answer.
pub fn run(args: &ArgMatches) -> anyhow::Result<()> {
    let program = process::program(args)?;
    let seconds = args.get_one("seconds").copied().unwrap_or(1u64);
    let runtime = crate::runtime()?;
    let mut points = Vec::new();
    for daemons in args.get_many::<usize>("daemons").into_iter().flatten() {
        let span = Duration::from_secs(seconds);
        let point = runtime.block_on(measure(*daemons, &program, span));
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
    line("bytes/s, most", |p| p.bytes.most);
    line("% of a core, mean", |p| p.cores.mean * 100.0);
    line("MB resident, mean", |p| p.resident.mean / 1e6);
    line("store calls/s", |p| p.store_calls);
    Ok(())
}

/// Mean and most over the daemons.
#[derive(Debug, Clone, Copy, Default)]
struct Spread {
    mean: f64,
    most: f64,
}

impl Spread {
    fn of(values: impl Iterator<Item = f64>) -> Self {
        let values: Vec<f64> = values.collect();
        Self {
            mean: values.iter().sum::<f64>() / values.len().max(1) as f64,
            most: values.iter().copied().fold(0.0, f64::max),
        }
    }
}

/// What one number of daemons costs.
#[derive(Debug, Clone, Copy)]
struct Point {
    daemons: usize,
    /// Bytes sent and received by a daemon a second, without headers below UDP and TCP.
    bytes: Spread,
    /// Share of a core of a daemon.
    cores: Spread,
    /// Resident bytes of a daemon.
    resident: Spread,
    /// Calls of the whole fleet to the store a second.
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
            self.bytes.most,
            self.cores.mean * 100.0,
            self.cores.most * 100.0,
            self.resident.mean / 1e6,
            self.resident.most / 1e6,
            self.store_calls
        )
    }
}

async fn measure(count: usize, program: &Path, span: Duration) -> anyhow::Result<Point> {
    let store = StandInStore::start().await;
    store.put_config(config_text(3, &[RouteRow::default()], 15.0));
    report(&store, 1);
    let daemons = start(count, program, store.address())?;
    let mut reports = interval(REPORT);
    let mut seq = 1;
    let settled = Instant::now() + SETTLE;
    while Instant::now() < settled {
        reports.tick().await;
        seq += 1;
        report(&store, seq);
    }
    let (before, calls, began) = (read(&daemons).await?, store.calls(), Instant::now());
    while began.elapsed() < span {
        reports.tick().await;
        seq += 1;
        report(&store, seq);
    }
    let (calls, taken) = (store.calls() - calls, began.elapsed().as_secs_f64());
    let after = read(&daemons).await?;
    let pairs = || before.iter().zip(&after);
    let cores = |(b, a): (&Reading, &Reading)| {
        let used = a.usage.cpu_time.saturating_sub(b.usage.cpu_time);
        used.as_secs_f64() / taken
    };
    Ok(Point {
        daemons: count,
        bytes: Spread::of(pairs().map(|(b, a)| (a.bytes - b.bytes) / taken)),
        cores: Spread::of(pairs().map(cores)),
        resident: Spread::of(after.iter().map(|a| a.usage.resident_bytes as f64)),
        store_calls: calls as f64 / taken,
    })
}

/// Lets all servers report; their addresses refuse connections, and nobody asks them.
fn report(store: &StandInStore, seq: u64) {
    for server in 0..SERVERS {
        let address = SocketAddr::from(([127, 1, 0, server as u8 + 1], 9));
        store.put_report(&format!("i-{server:04}"), "status", address, seq);
    }
}

fn start(count: usize, program: &Path, store: SocketAddr) -> anyhow::Result<Vec<DaemonProcess>> {
    // As on the platform, peers differ by their addresses and share one port.
    let port = TcpListener::bind("127.0.0.1:0")?.local_addr()?.port();
    let peer = |i: usize| {
        let [high, low] = ((FIRST_PEER + i) as u16).to_be_bytes();
        SocketAddr::from(([127, 0, high, low], port))
    };
    let seeds: Vec<String> = (0..3).map(|i| peer(i).to_string()).collect();
    let seeds = seeds.join(", ");
    let daemons = (0..count).map(|i| {
        let (centre, peer) = (i % DATA_CENTRES, peer(i));
        let text = format!(
            "[daemon]\nname = vm-{i}\ndata_centre = dc-{centre}\n[listen]\nfront = 127.0.0.1:0\n\
             admin = 127.0.0.1:0\nreadiness = 127.0.0.1:0\npeer = {peer}\n[store]\naddress = \
             {store}\n[peers]\nseeds = {seeds}\n"
        );
        DaemonProcess::start(program, &text)
    });
    daemons.collect()
}

struct Reading {
    usage: Usage,
    bytes: f64,
}

async fn read(daemons: &[DaemonProcess]) -> anyhow::Result<Vec<Reading>> {
    let mut readings = Vec::new();
    for daemon in daemons {
        let url = format!("http://{}/metrics", daemon.admin);
        let metrics = reqwest::get(url).await?.text().await?;
        let counts = metrics.lines().filter_map(|line| {
            let value = PEER_BYTES.iter().find_map(|name| line.strip_prefix(name));
            value?.trim().parse::<f64>().ok()
        });
        readings.push(Reading {
            usage: daemon.usage()?,
            bytes: counts.sum(),
        });
        // Spread over time, so that the reading itself costs little at any moment.
        sleep(Duration::from_millis(1)).await;
    }
    Ok(readings)
}
