//! Compares load balancing policies on the same seeded runs.
//!
//! The dispatchers of 18 daemons, the same code as in `cuminspreadd`, send to simulated servers in
//! virtual time. A simulated server has slots, a FIFO queue, log-normal processing times, load
//! reports that are up to 10 ms old, and faults. Every policy gets the same arrivals.
//!
//! The lower bound (`limit`) is a single queue per service with full knowledge of all slots, which
//! no set of separate daemons can beat. A call that was refused or whose outcome is unknown counts
//! as slower than any other.

pub mod case;
pub mod limit;
pub mod overrides;
pub mod run;
pub mod server;
pub mod shop;

use std::collections::BTreeMap;

use anyhow::{Context, bail};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use cuminspread::coordination::dispatch::DispatchSettings;
use cuminspread::coordination::policy::{ChoiceSettings, Policy};
use cuminspread::coordination::retry::RetrySettings;
use serde::Serialize;

use self::case::{Arrival, CASES, Case, START_US, WARM_UP_US};
use self::overrides::Overrides;
use self::run::{Outcome, RunResult, Sample};
use self::shop::Shop;

/// Latency recorded for a call without a response, in microseconds; above any real latency.
const NO_RESPONSE_US: u64 = u64::MAX / 2;

/// Configuration of the dispatchers that is compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// Lower bound: a single queue per service with full knowledge of all slots.
    Limit,
    /// Choice of a server by this policy, without hedges and moves.
    ChoiceOnly(Policy),
    /// Default settings, with this percentage of the probe budget.
    Default(u32),
}

impl Variant {
    /// All variants, in the order of the report's lines.
    pub const ALL: [Self; 10] = [
        Self::Limit,
        Self::ChoiceOnly(Policy::Random),
        Self::ChoiceOnly(Policy::RoundRobin),
        Self::ChoiceOnly(Policy::LeastInFlight),
        Self::ChoiceOnly(Policy::PowerOfTwo),
        Self::ChoiceOnly(Policy::HotCold),
        Self::ChoiceOnly(Policy::SlotShares),
        Self::Default(100),
        Self::Default(50),
        Self::Default(0),
    ];

    /// Name in reports and for `--policy`.
    pub fn label(self) -> &'static str {
        match self {
            Self::Limit => "limit",
            Self::ChoiceOnly(policy) => policy.label(),
            Self::Default(100) => "default",
            Self::Default(0) => "default_no_probes",
            Self::Default(_) => "default_half_probes",
        }
    }

    /// Fraction of the probe budget that is available, from 0 to 1.
    pub fn budget_fraction(self) -> f64 {
        match self {
            Self::Default(percent) => f64::from(percent) / 100.0,
            _ => 1.0,
        }
    }

    /// Settings of the dispatchers; `overrides` apply to the default variants only.
    pub fn settings(self, overrides: &Overrides) -> DispatchSettings {
        let default = DispatchSettings::default();
        let Self::ChoiceOnly(policy) = self else {
            return overrides.apply(default);
        };
        DispatchSettings {
            choice: ChoiceSettings {
                policy,
                ..default.choice
            },
            retry: RetrySettings {
                hedge_tail_factor: f32::INFINITY,
                max_moves: 0,
                ..default.retry
            },
            ..default
        }
    }
}

/// Result of one variant on one seed; times in milliseconds.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct Line {
    /// Name of the shop.
    pub shop: &'static str,
    /// Name of the case.
    pub case: &'static str,
    /// Offered load as a fraction of all slots.
    pub load: f64,
    /// Label of the variant.
    pub policy: &'static str,
    /// Seed of arrivals, faults and dispatchers.
    pub seed: u64,
    /// Calls that arrived after the warm-up.
    pub calls: usize,
    /// Median latency.
    pub p50_ms: f64,
    /// 99th percentile of the latency.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency.
    pub p999_ms: f64,
    /// 99th percentile of the latency on top of the call's own processing time: waiting and
    /// network.
    pub added_p99_ms: f64,
    /// `p99_ms` of each service.
    pub p99_ms_by_service: BTreeMap<&'static str, f64>,
    /// Probes per second and server.
    pub probes_per_server: f64,
    /// Probe budget of the fleet, in probes per second.
    pub budget: f64,
    /// Highest number of probes in any window of one second.
    pub largest_window: usize,
    /// Attempts per call, of all calls including the warm-up.
    pub attempts_per_call: f64,
    /// Cancellations requested per call, of all calls including the warm-up.
    pub asks_per_call: f64,
    /// Fraction of the calls that ended as `not_run`.
    pub refused: f64,
    /// Calls that ended as `not_run`.
    pub not_run: usize,
    /// Calls that ended as `unknown`.
    pub unknown: usize,
    /// Violations of invariants that the dispatchers or the simulation found.
    pub violations: u64,
}

/// Arguments of the subcommand.
pub fn command() -> Command {
    let seed = value_parser!(u64);
    Command::new("policy")
        .about("Compares load balancing policies on the same seeded runs")
        .arg(
            Arg::new("shop")
                .long("shop")
                .required(true)
                .help("vestfjord or cascade"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .default_value("1")
                .value_parser(seed)
                .help("First seed of arrivals, faults and dispatchers"),
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .default_value("1")
                .value_parser(seed)
                .help("Number of consecutive seeds"),
        )
        .arg(Arg::new("case").long("case").help("Only this case"))
        .arg(
            Arg::new("policy")
                .long("policy")
                .action(ArgAction::Append)
                .help("Only this policy; may be repeated"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .default_value("8")
                .value_parser(value_parser!(u64))
                .help("Seconds of traffic in each run"),
        )
        .arg(
            Arg::new("set")
                .long("set")
                .action(ArgAction::Append)
                .help("Overrides a setting of the default, as NAME=VALUE; may be repeated"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print one JSON object per line"),
        )
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails on an unknown shop, case or policy.
pub fn run(args: &ArgMatches) -> anyhow::Result<()> {
    let text = |name: &str| args.get_one::<String>(name).cloned();
    let number = |name: &str| args.get_one::<u64>(name).copied().unwrap_or_default();
    let shop = text("shop").unwrap_or_default();
    let shop = Shop::by_name(&shop)
        .with_context(|| format!("unknown shop {shop}; expected vestfjord or cascade"))?;
    let case = text("case");
    let cases: Vec<Case> = CASES
        .into_iter()
        .filter(|c| case.as_deref().is_none_or(|n| n == c.name))
        .collect();
    let policies: Option<Vec<&String>> = args.get_many("policy").map(Iterator::collect);
    let variants: Vec<Variant> = Variant::ALL
        .into_iter()
        .filter(|v| {
            policies
                .as_ref()
                .is_none_or(|p| p.iter().any(|n| *n == v.label()))
        })
        .collect();
    if cases.is_empty() || variants.is_empty() {
        bail!("unknown name of a case or a policy");
    }
    let overrides = Overrides::parse(args.get_many("set").into_iter().flatten())?;
    let first = number("seed");
    for case in &cases {
        let mut lines = Vec::new();
        for seed in first..first + number("seeds").max(1) {
            lines.extend(run_seed(
                &shop,
                case,
                seed,
                number("seconds"),
                &variants,
                &overrides,
            )?);
        }
        for line in &lines {
            print_line(line, args.get_flag("json"))?;
        }
        if lines.len() > variants.len() {
            print_medians(&lines, &variants, args.get_flag("json"));
        }
    }
    Ok(())
}

/// Runs all variants on one seed, each in its own thread.
fn run_seed(
    shop: &Shop,
    case: &Case,
    seed: u64,
    seconds: u64,
    variants: &[Variant],
    overrides: &Overrides,
) -> anyhow::Result<Vec<Line>> {
    let arrivals = case::arrivals(shop, case, seed, seconds * 1_000_000);
    std::thread::scope(|scope| {
        let start = |variant: &Variant| {
            let (variant, arrivals) = (*variant, &arrivals);
            scope.spawn(move || measure(shop, case, seed, arrivals, variant, overrides))
        };
        let threads: Vec<_> = variants.iter().map(start).collect();
        let join = |t: std::thread::ScopedJoinHandle<'_, Line>| {
            t.join()
                .map_err(|_panic| anyhow::anyhow!("case {}: a run panicked", case.name))
        };
        threads.into_iter().map(join).collect()
    })
}

/// Runs one variant and summarises it.
pub fn measure(
    shop: &Shop,
    case: &Case,
    seed: u64,
    arrivals: &[Arrival],
    variant: Variant,
    overrides: &Overrides,
) -> Line {
    let result = match variant {
        Variant::Limit => RunResult {
            samples: limit::run(shop, case, seed, arrivals),
            attempts: arrivals.len() as u64,
            ..RunResult::default()
        },
        _ => run::run(
            shop,
            case,
            seed,
            arrivals,
            &variant.settings(overrides),
            variant.budget_fraction(),
        ),
    };
    summarise(shop, case, seed, arrivals, variant, result)
}

fn summarise(
    shop: &Shop,
    case: &Case,
    seed: u64,
    arrivals: &[Arrival],
    variant: Variant,
    mut result: RunResult,
) -> Line {
    let from = START_US + WARM_UP_US;
    result.samples.retain(|s| s.arrived_us >= from);
    let samples = &result.samples;
    let count = |outcome: Outcome| samples.iter().filter(|s| s.outcome == outcome).count();
    let all = latencies(samples, None);
    let by_service = shop.services.iter().enumerate();
    let by_service =
        by_service.map(|(i, s)| (s.name, quantile_ms(&latencies(samples, Some(i)), 0.99)));
    let servers: u32 = shop.services.iter().map(|s| s.servers).sum();
    let duration_us = arrivals.last().map_or(1, |a| a.at - START_US);
    let probes = result
        .probes
        .iter()
        .filter(|t| **t >= START_US && **t < START_US + duration_us);
    let probes_per_s = probes.count() as f64 * 1e6 / duration_us as f64;
    Line {
        shop: shop.name,
        case: case.name,
        load: case.load,
        policy: variant.label(),
        seed,
        calls: samples.len(),
        p50_ms: quantile_ms(&all, 0.5),
        p99_ms: quantile_ms(&all, 0.99),
        p999_ms: quantile_ms(&all, 0.999),
        added_p99_ms: quantile_ms(&added_latencies(samples), 0.99),
        p99_ms_by_service: by_service.collect(),
        probes_per_server: probes_per_s / f64::from(servers),
        budget: shop.probe_budget * variant.budget_fraction(),
        largest_window: largest_window(&result.probes),
        attempts_per_call: result.attempts as f64 / arrivals.len().max(1) as f64,
        asks_per_call: result.cancellations as f64 / arrivals.len().max(1) as f64,
        refused: count(Outcome::NotRun) as f64 / samples.len().max(1) as f64,
        not_run: count(Outcome::NotRun),
        unknown: count(Outcome::Unknown),
        violations: result.violations,
    }
}

/// Latencies in ascending order; calls without a response come last.
fn latencies(samples: &[Sample], service: Option<usize>) -> Vec<u64> {
    let wanted = samples
        .iter()
        .filter(|s| service.is_none_or(|i| i == s.service));
    let latency = |s: &Sample| match s.outcome {
        Outcome::Ran => s.latency_us,
        Outcome::NotRun | Outcome::Unknown => NO_RESPONSE_US,
    };
    let mut all: Vec<u64> = wanted.map(latency).collect();
    all.sort_unstable();
    all
}

/// Latencies on top of the processing time, in ascending order.
fn added_latencies(samples: &[Sample]) -> Vec<u64> {
    let added = |s: &Sample| match s.outcome {
        Outcome::Ran => s.latency_us.saturating_sub(s.processing_us),
        Outcome::NotRun | Outcome::Unknown => NO_RESPONSE_US,
    };
    let mut all: Vec<u64> = samples.iter().map(added).collect();
    all.sort_unstable();
    all
}

fn quantile_ms(sorted: &[u64], quantile: f64) -> f64 {
    let rank = (quantile * sorted.len() as f64).ceil() as usize;
    let value = sorted.get(rank.saturating_sub(1)).copied();
    value.map_or(f64::NAN, |v| v as f64 / 1000.0)
}

/// Highest number of probes in any window of one second; times in microseconds.
pub fn largest_window(probes: &[u64]) -> usize {
    let mut sorted = probes.to_vec();
    sorted.sort_unstable();
    let mut first = 0;
    let mut largest = 0;
    for (i, at) in sorted.iter().enumerate() {
        while sorted[first] + 1_000_000 <= *at {
            first += 1;
        }
        largest = largest.max(i + 1 - first);
    }
    largest
}

fn print_line(line: &Line, json: bool) -> anyhow::Result<()> {
    if json {
        println!("{}", serde_json::to_string(line)?);
        return Ok(());
    }
    println!(
        "{:9} {:11} {:20} seed={:<3} p50={:8.2} p99={:9.2} p999={:9.2} probes={:5.2} window={:<3} attempts={:5.3} refused={:6.4} unknown={} violations={} by_service={:.1?}",
        line.shop,
        line.case,
        line.policy,
        line.seed,
        line.p50_ms,
        line.p99_ms,
        line.p999_ms,
        line.probes_per_server,
        line.largest_window,
        line.attempts_per_call,
        line.refused,
        line.unknown,
        line.violations,
        line.p99_ms_by_service.values().collect::<Vec<_>>(),
    );
    Ok(())
}

/// Prints medians over the seeds and the ratios of p99 to reference variants.
fn print_medians(lines: &[Line], variants: &[Variant], json: bool) {
    let lines_of = |variant: Variant| lines.iter().filter(move |l| l.policy == variant.label());
    for variant in variants {
        let p99 = median(lines_of(*variant).map(|l| l.p99_ms));
        let p99_ratio_to = |other: Variant| {
            let pairs = lines_of(*variant).zip(lines_of(other));
            median(pairs.map(|(a, b)| a.p99_ms / b.p99_ms))
        };
        let summary = serde_json::json!({
            "median": true,
            "shop": lines[0].shop,
            "case": lines[0].case,
            "policy": variant.label(),
            "seeds": lines_of(*variant).count(),
            "p50_ms": median(lines_of(*variant).map(|l| l.p50_ms)),
            "p99_ms": p99,
            "p999_ms": median(lines_of(*variant).map(|l| l.p999_ms)),
            "added_p99_ms": median(lines_of(*variant).map(|l| l.added_p99_ms)),
            "p99_to_limit": p99_ratio_to(Variant::Limit),
            "p99_to_power_of_two": p99_ratio_to(Variant::ChoiceOnly(Policy::PowerOfTwo)),
            "p99_to_default": p99_ratio_to(Variant::Default(100)),
            "refused": median(lines_of(*variant).map(|l| l.refused)),
            "attempts_per_call": median(lines_of(*variant).map(|l| l.attempts_per_call)),
            "asks_per_call": median(lines_of(*variant).map(|l| l.asks_per_call)),
            "largest_window": lines_of(*variant).map(|l| l.largest_window).max(),
            "unknown": lines_of(*variant).map(|l| l.unknown).sum::<usize>(),
            "violations": lines_of(*variant).map(|l| l.violations).sum::<u64>(),
        });
        if json {
            println!("{summary}");
        } else {
            println!(
                "median {} {} {:20} p50={:.2} p99={p99:.2} p999={:.2} added={:.2} to_limit={:.3} to_p2={:.3} to_default={:.3} refused={:.4} attempts={:.3} asks={:.3} window={} unknown={} violations={}",
                lines[0].shop,
                lines[0].case,
                variant.label(),
                summary["p50_ms"].as_f64().unwrap_or(f64::NAN),
                summary["p999_ms"].as_f64().unwrap_or(f64::NAN),
                summary["added_p99_ms"].as_f64().unwrap_or(f64::NAN),
                summary["p99_to_limit"].as_f64().unwrap_or(f64::NAN),
                summary["p99_to_power_of_two"].as_f64().unwrap_or(f64::NAN),
                summary["p99_to_default"].as_f64().unwrap_or(f64::NAN),
                summary["refused"].as_f64().unwrap_or(f64::NAN),
                summary["attempts_per_call"].as_f64().unwrap_or(f64::NAN),
                summary["asks_per_call"].as_f64().unwrap_or(f64::NAN),
                summary["largest_window"],
                summary["unknown"],
                summary["violations"]
            );
        }
    }
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut sorted: Vec<f64> = values.collect();
    sorted.sort_by(f64::total_cmp);
    match sorted.len() {
        0 => f64::NAN,
        n if n % 2 == 1 => sorted[n / 2],
        n => f64::midpoint(sorted[n / 2 - 1], sorted[n / 2]),
    }
}
