//! Cost of one daemon at several sizes, with a straight line through the points.
//!
//! Each slope starts daemons in processes of their own for each size, and reads the processor time,
//! memory and peer traffic of the first.

use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::Context;
use clap::{Arg, ArgMatches, Command};
use serde::Serialize;

use crate::path::caller::{self, Phase};
use crate::path::{flag, number};
use crate::process;

pub mod fit;
pub mod setup;

use fit::Fit;
use setup::{Reading, Setup, Size};

const CALLERS: usize = 16;

/// What grows along a slope.
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

    fn points(self) -> &'static [u32] {
        match self {
            Self::Servers => &[40, 145, 290, 580],
            Self::Services => &[5, 10, 20, 40],
            Self::Daemons => &[3, 6, 9, 12, 18],
            Self::Calls => &[500, 1000, 2000, 4000],
            Self::Changes => &[1, 2, 4, 8],
        }
    }

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

/// One size and what the daemon used.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize)]
pub struct Point {
    /// What grows.
    pub x: f64,
    /// Share of a core.
    pub cores: f64,
    /// Memory that is resident, in bytes.
    pub resident_bytes: f64,
    /// Bytes exchanged with peers a second.
    pub peer_bytes_per_s: f64,
}

/// Points of one slope and the lines through them.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct SlopeReport {
    /// What grows.
    pub slope: &'static str,
    /// Points.
    pub points: Vec<Point>,
    /// Line through the shares of a core.
    pub cores: Option<Fit>,
    /// Line through the memory.
    pub resident_bytes: Option<Fit>,
    /// Line through the peer traffic.
    pub peer_bytes_per_s: Option<Fit>,
}

/// Arguments of the subcommand.
pub fn command() -> Command {
    Command::new("slopes")
        .about("Measures what a daemon uses at several sizes, and fits lines")
        .arg(number("seconds", "5", "Seconds of each point"))
        .arg(flag("json", "Print JSON"))
        .arg(
            Arg::new("only")
                .long("only")
                .value_name("SLOPE")
                .value_parser(Slope::ALL.map(Slope::label))
                .help("One slope in place of all"),
        )
        .arg(process::program_arg())
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if a daemon can't be started or a connection breaks.
pub fn run(args: &ArgMatches) -> anyhow::Result<()> {
    let program = process::program(args)?;
    let seconds = args.get_one("seconds").copied().unwrap_or(1u64);
    let span = Duration::from_secs(seconds);
    let only = args.get_one::<String>("only");
    let chosen = Slope::ALL
        .into_iter()
        .filter(|s| only.is_none_or(|o| o == s.label()));
    let runtime = crate::runtime()?;
    let mut reports = Vec::new();
    for slope in chosen {
        let report = runtime.block_on(measure(slope, &program, span))?;
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

async fn measure(slope: Slope, program: &Path, span: Duration) -> anyhow::Result<SlopeReport> {
    let mut points = Vec::new();
    for x in slope.points() {
        let place = || format!("{} at {x}", slope.label());
        let point = point(slope, *x, program, span).await;
        points.push(point.with_context(place)?);
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

async fn point(slope: Slope, x: u32, program: &Path, span: Duration) -> anyhow::Result<Point> {
    let setup = Setup::start(program, slope.size(x)).await?;
    let before = setup.read().await?;
    let start = Instant::now();
    match slope {
        Slope::Servers | Slope::Services | Slope::Daemons => tokio::time::sleep(span).await,
        Slope::Calls => call(&setup, f64::from(x), span).await?,
        Slope::Changes => change(&setup, x, span).await,
    }
    let taken = start.elapsed();
    let after = setup.read().await?;
    Ok(used(f64::from(x), &before, &after, taken))
}

fn used(x: f64, before: &Reading, after: &Reading, taken: Duration) -> Point {
    let cpu_time = after.usage.cpu_time.saturating_sub(before.usage.cpu_time);
    Point {
        x,
        cores: cpu_time.as_secs_f64() / taken.as_secs_f64(),
        resident_bytes: after.usage.resident_bytes as f64,
        peer_bytes_per_s: (after.control_bytes - before.control_bytes) / taken.as_secs_f64(),
    }
}

async fn call(setup: &Setup, rate: f64, span: Duration) -> anyhow::Result<()> {
    let daemon = setup.daemons.first().context("no daemon")?;
    let phase = Phase {
        address: daemon.front,
        callers: CALLERS,
        span,
        rate: Some(rate),
        orders: false,
        seed: 1,
    };
    let measured = caller::run(&phase).await?;
    anyhow::ensure!(measured.failed == 0, "{} calls failed", measured.failed);
    Ok(())
}

async fn change(setup: &Setup, per_second: u32, span: Duration) {
    let pause = Duration::from_secs(1) / per_second;
    let changes = (span.as_secs_f64() / pause.as_secs_f64()) as u64;
    for change in 1..=changes {
        setup.publish(change);
        tokio::time::sleep(pause).await;
    }
}
