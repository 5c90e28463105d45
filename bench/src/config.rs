//! Measures how configuration spreads in fleets of several sizes, under several faults: the time until
//! a change is active on each daemon, bytes and messages sent, and reads of the platform.

use std::collections::BTreeMap;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde::Serialize;

use crate::config::platform::Change;
use crate::config::simulation::{SimulationSettings, SpreadSimulation};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub mod lookup;
pub mod platform;
pub mod simulation;

const DAEMON_COUNTS: [usize; 4] = [18, 60, 200, 600];
const DAY: Duration = Duration::from_secs(24 * 60 * 60);
const CHANGES_PER_DAY: u32 = 2200;
const WARM_UP: Duration = Duration::from_secs(60);
const QUANTILES: [(&str, f64); 4] = [("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999), ("max", 1.0)];
/// Fleets up to this size are in three data centres, larger ones in nine.
const MAX_DAEMONS_SMALL_FLEET: usize = 18;

/// Arguments of the subcommand.
pub fn command() -> Command {
    Command::new("config")
        .about("Measures how configuration spreads, in virtual time")
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .default_value("1"),
        )
        .arg(
            Arg::new("changes")
                .long("changes")
                .help("Changes in each run, at a rate of 2,200 per day")
                .value_parser(value_parser!(u32))
                .default_value("40"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print one JSON document"),
        )
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if a daemon went back to an older configuration, or a change wasn't active on all daemons in
/// the end.
pub fn run(args: &ArgMatches) -> anyhow::Result<()> {
    let seed = *args.get_one::<u64>("seed").unwrap_or(&1);
    let changes = *args.get_one::<u32>("changes").unwrap_or(&40);
    let mut rows = Vec::new();
    for daemons in DAEMON_COUNTS {
        for condition in Condition::ALL {
            let row = measure(seed, daemons, changes, condition);
            if !args.get_flag("json") {
                println!("{}", row.line());
            }
            rows.push(row);
        }
    }
    let lookups = lookup::measure();
    if args.get_flag("json") {
        let report = serde_json::json!({ "spread": rows, "table": lookups });
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        for row in lookups {
            println!(
                "services={} servers={} lookup={:.0}ns parse={:.0}us",
                row.services, row.servers, row.lookup_ns, row.parse_us
            );
        }
    }
    let violated = rows.iter().any(|r| r.reverts + r.broken > 0);
    anyhow::ensure!(!violated, "a daemon went back to an older configuration");
    let unfinished = rows.iter().any(|r| r.unfinished > 0);
    anyhow::ensure!(!unfinished, "a change is not active on all daemons");
    Ok(())
}

/// Faults of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Condition {
    /// No faults.
    Calm,
    /// A third of the daemons can't reach the platform.
    ThirdCutOff,
    /// 5% of the messages are lost.
    Loss,
    /// Both, and a lagging replica answers a tenth of the reads.
    All,
}

impl Condition {
    const ALL: [Self; 4] = [Self::Calm, Self::ThirdCutOff, Self::Loss, Self::All];

    fn settings(self) -> SimulationSettings {
        let third = 1.0 / 3.0;
        let (cut_off_fraction, loss_fraction, stale_fraction) = match self {
            Self::Calm => (0.0, 0.0, 0.0),
            Self::ThirdCutOff => (third, 0.0, 0.0),
            Self::Loss => (0.0, 0.05, 0.0),
            Self::All => (third, 0.05, 0.1),
        };
        SimulationSettings {
            loss_fraction,
            cut_off_fraction,
            stale_fraction,
            ..SimulationSettings::default()
        }
    }
}

/// Result of one run.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct Row {
    /// Number of daemons.
    pub daemons: usize,
    /// Faults of the run.
    pub condition: Condition,
    /// Number of measured times: changes times daemons.
    pub samples: usize,
    /// Quantiles of the time from a change until it is active on a daemon, in milliseconds.
    pub in_force_ms: BTreeMap<&'static str, f64>,
    /// Bytes per second that a daemon sends, on average over all daemons.
    pub mean_bytes_per_second: f64,
    /// Bytes per second that the daemon with the most traffic sends.
    pub max_bytes_per_second: f64,
    /// Messages per second that a daemon sends, on average over all daemons.
    pub messages_per_second: f64,
    /// Reads of the platform per second by all daemons together; a watch counts once.
    pub reads_per_second: f64,
    /// Number of activated configurations that were older than the one before.
    pub reverts: u64,
    /// Violations of the configuration invariant that the daemons found themselves.
    pub broken: u64,
    /// Number of pairs of a change and a daemon on which the change isn't active in the end.
    pub unfinished: usize,
}

impl Row {
    fn line(&self) -> String {
        let times = self.in_force_ms.iter();
        let times: Vec<_> = times.map(|(q, ms)| format!("{q}={ms:.1}ms")).collect();
        format!(
            "daemons={} condition={:?} samples={} {} bytes/s={:.0} max-bytes/s={:.0} \
             messages/s={:.2} reads/s={:.2} reverts={} unfinished={}",
            self.daemons,
            self.condition,
            self.samples,
            times.join(" "),
            self.mean_bytes_per_second,
            self.max_bytes_per_second,
            self.messages_per_second,
            self.reads_per_second,
            self.reverts,
            self.unfinished
        )
    }
}

/// Runs a fleet under one condition with this number of changes.
pub fn measure(seed: u64, daemons: usize, changes: u32, condition: Condition) -> Row {
    let data_centres = if daemons > MAX_DAEMONS_SMALL_FLEET {
        9
    } else {
        3
    };
    let settings = SimulationSettings {
        seed,
        daemons,
        data_centres,
        ..condition.settings()
    };
    let councils = settings.folder.councils;
    let mut simulation = SpreadSimulation::new(settings);
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ u64::from(changes));
    simulation.advance(WARM_UP);
    let start = simulation.elapsed();
    let reads_before = simulation.reads;
    let sent: Vec<u64> = simulation.daemons.iter().map(|d| d.sent_bytes).collect();
    let messages_before: u64 = simulation.daemons.iter().map(|d| d.messages).sum();
    for _ in 0..changes {
        simulation.change(rng.random_range(0..councils), Change::Edit);
        let mean_interval = DAY / CHANGES_PER_DAY;
        simulation.advance(mean_interval.mul_f64(0.5 + rng.random::<f64>()));
    }
    let elapsed_s = simulation.elapsed().saturating_sub(start).as_secs_f64();
    let sent = simulation
        .daemons
        .iter()
        .zip(sent)
        .map(|(d, before)| d.sent_bytes - before);
    let sent: Vec<f64> = sent.map(|bytes| bytes as f64 / elapsed_s).collect();
    let messages_after: u64 = simulation.daemons.iter().map(|d| d.messages).sum();
    Row {
        daemons,
        condition,
        samples: simulation.delays.len(),
        in_force_ms: quantiles(&mut simulation.delays),
        mean_bytes_per_second: sent.iter().sum::<f64>() / daemons as f64,
        max_bytes_per_second: sent.iter().copied().fold(0.0, f64::max),
        messages_per_second: (messages_after - messages_before) as f64 / elapsed_s / daemons as f64,
        reads_per_second: (simulation.reads - reads_before) as f64 / elapsed_s,
        reverts: simulation.reverts,
        broken: simulation.violations(),
        unfinished: simulation.unfinished(),
    }
}

fn quantiles(delays: &mut [Duration]) -> BTreeMap<&'static str, f64> {
    delays.sort_unstable();
    let rank = |q: f64| (delays.len() as f64 * q).ceil().max(1.0) as usize - 1;
    let value = |q| {
        delays
            .get(rank(q))
            .map_or(f64::NAN, |d| d.as_secs_f64() * 1000.0)
    };
    QUANTILES
        .iter()
        .map(|(name, q)| (*name, value(*q)))
        .collect()
}
