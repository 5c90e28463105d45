//! Measures how the cost of one daemon grows with the size of its deployment or its load, and fits
//! lines.
//!
//! For each point, daemons are started in separate processes; the CPU time, memory and peer traffic
//! of the first daemon are read.

use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::Context;
use clap::{Arg, ArgMatches, Command};
use serde::Serialize;

use crate::path::caller::{self, Phase};
use crate::path::{flag_arg, number_arg};
use crate::process;

pub mod fit;
pub mod setup;

use fit::Fit;
use setup::{DaemonCost, Setup, Size};

const CALLERS: usize = 16;

/// Quantity that varies between the points of a slope.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Slope {
    Servers,
    Services,
    Daemons,
    Calls,
    Changes,
}

impl Slope {
    const ALL: [Self; 5] = [
        Self::Servers,
        Self::Services,
        Self::Daemons,
        Self::Calls,
        Self::Changes,
    ];

    fn label(self) -> &'static str {
        match self {
            Self::Servers => "servers",
            Self::Services => "services",
            Self::Daemons => "daemons",
            Self::Calls => "calls_per_s",
            Self::Changes => "changes_per_s",
        }
    }

    /// Values of the quantity.
    fn points(self) -> &'static [u32] {
        match self {
            Self::Servers => &[40, 145, 290, 580],
            Self::Services => &[5, 10, 20, 40],
            Self::Daemons => &[3, 6, 9, 12, 18],
            Self::Calls => &[500, 1000, 2000, 4000],
            Self::Changes => &[1, 2, 4, 8],
        }
    }

    /// Size of the deployment at a value of the quantity.
    fn size(self, x: u32) -> Size {
        let x = x as usize;
        match self {
            Self::Servers => Size {
                servers: x,
                ..Size::default()
            },
            Self::Services => Size {
                services: x,
                servers: 80,
                ..Size::default()
            },
            Self::Daemons => Size {
                daemons: x,
                services: 3,
                servers: 37,
            },
            Self::Calls | Self::Changes => Size {
                services: 3,
                servers: 37,
                ..Size::default()
            },
        }
    }
}

/// Cost of the first daemon at one value of the quantity.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize)]
pub struct Point {
    /// Value of the quantity.
    pub x: f64,
    /// CPU time per elapsed time, in cores.
    pub cores: f64,
    /// Resident memory at the end, in bytes.
    pub resident_bytes: f64,
    /// Bytes sent to and received from peers, a second.
    pub peer_bytes_per_s: f64,
}

/// Points of one slope and the lines through them.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct SlopeReport {
    /// Label of the quantity.
    pub slope: &'static str,
    /// Measured points, in the order of their values.
    pub points: Vec<Point>,
    /// Fitted line of the cores.
    pub cores: Option<Fit>,
    /// Fitted line of the resident memory.
    pub resident_bytes: Option<Fit>,
    /// Fitted line of the peer traffic.
    pub peer_bytes_per_s: Option<Fit>,
}

/// Arguments of the subcommand.
pub fn command() -> Command {
    Command::new("slopes")
        .about("Measures a daemon's cost at several sizes and loads, and fits lines")
        .arg(number_arg("seconds", "5", "Seconds of each point"))
        .arg(flag_arg("json", "Print JSON"))
        .arg(
            Arg::new("only")
                .long("only")
                .value_name("SLOPE")
                .value_parser(Slope::ALL.map(Slope::label))
                .help("Measure only this slope"),
        )
        .arg(process::program_arg())
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if a daemon can't be started, a connection breaks or a call fails.
pub fn run(args: &ArgMatches) -> anyhow::Result<()> {
    let program = process::program(args)?;
    let seconds = args.get_one("seconds").copied().unwrap_or(1u64);
    let duration = Duration::from_secs(seconds);
    let only = args.get_one::<String>("only");
    let chosen = Slope::ALL
        .into_iter()
        .filter(|s| only.is_none_or(|o| o == s.label()));
    let runtime = crate::runtime()?;
    let mut reports = Vec::new();
    for slope in chosen {
        let report = runtime.block_on(measure(slope, &program, duration))?;
        if !args.get_flag("json") {
            print(&report);
        }
        reports.push(report);
    }
    if args.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&reports)?);
    }
    Ok(())
}

fn print(report: &SlopeReport) {
    println!("{}", report.slope);
    for p in &report.points {
        println!(
            "  {:>8} {:>9.5} cores {:>11.0} bytes resident {:>9.1} peer bytes/s",
            p.x, p.cores, p.resident_bytes, p.peer_bytes_per_s
        );
    }
    let lines = [
        ("cores", report.cores),
        ("resident bytes", report.resident_bytes),
        ("peer bytes/s", report.peer_bytes_per_s),
    ];
    for (name, fit) in lines {
        if let Some(fit) = fit {
            println!(
                "  {name}: {:.6} + {:.9} x, error of the slope {:.9}",
                fit.base, fit.slope, fit.slope_error
            );
        }
    }
}

async fn measure(slope: Slope, program: &Path, duration: Duration) -> anyhow::Result<SlopeReport> {
    let mut points = Vec::new();
    for x in slope.points() {
        let context = || format!("{} at {x}", slope.label());
        let point = measure_point(slope, *x, program, duration).await;
        points.push(point.with_context(context)?);
    }
    let line = |y: fn(&Point) -> f64| {
        let pairs: Vec<(f64, f64)> = points.iter().map(|p| (p.x, y(p))).collect();
        Fit::of(&pairs)
    };
    Ok(SlopeReport {
        slope: slope.label(),
        cores: line(|p| p.cores),
        resident_bytes: line(|p| p.resident_bytes),
        peer_bytes_per_s: line(|p| p.peer_bytes_per_s),
        points,
    })
}

async fn measure_point(
    slope: Slope,
    x: u32,
    program: &Path,
    duration: Duration,
) -> anyhow::Result<Point> {
    let setup = Setup::start(program, slope.size(x)).await?;
    let before = setup.read_cost().await?;
    let start = Instant::now();
    match slope {
        Slope::Servers | Slope::Services | Slope::Daemons => tokio::time::sleep(duration).await,
        Slope::Calls => send_calls(&setup, f64::from(x), duration).await?,
        Slope::Changes => publish_changes(&setup, x, duration).await,
    }
    let elapsed = start.elapsed();
    let after = setup.read_cost().await?;
    Ok(cost_between(f64::from(x), &before, &after, elapsed))
}

fn cost_between(x: f64, before: &DaemonCost, after: &DaemonCost, elapsed: Duration) -> Point {
    let cpu_time = after.usage.cpu_time.saturating_sub(before.usage.cpu_time);
    Point {
        x,
        cores: cpu_time.as_secs_f64() / elapsed.as_secs_f64(),
        resident_bytes: after.usage.resident_bytes as f64,
        peer_bytes_per_s: (after.peer_bytes - before.peer_bytes) / elapsed.as_secs_f64(),
    }
}

async fn send_calls(setup: &Setup, rate: f64, duration: Duration) -> anyhow::Result<()> {
    let daemon = setup
        .daemons
        .first()
        .context("expected at least one daemon")?;
    let phase = Phase {
        address: daemon.front,
        callers: CALLERS,
        duration,
        rate: Some(rate),
        orders: false,
        seed: 1,
    };
    let measured = caller::run(&phase).await?;
    anyhow::ensure!(measured.failed == 0, "{} calls failed", measured.failed);
    Ok(())
}

async fn publish_changes(setup: &Setup, per_second: u32, duration: Duration) {
    let interval = Duration::from_secs(1) / per_second;
    let changes = (duration.as_secs_f64() / interval.as_secs_f64()) as u64;
    for change in 1..=changes {
        setup.publish(change);
        tokio::time::sleep(interval).await;
    }
}
