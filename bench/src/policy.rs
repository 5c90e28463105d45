//! Compares dispatch policies on the same seeded runs.
//!
//! Dispatchers of 18 daemons, the code that the daemon runs, face a small model of servers in
//! virtual time: slots, a queue in order of arrival, service times, stale reports and faults. Every
//! policy gets the same arrivals. The limit is a single queue per service with full knowledge of
//! all slots, which no set of separate daemons can beat. A call that was refused or whose outcome
//! is unknown counts as slower than any other.

pub mod case;
pub mod limit;
pub mod run;
pub mod server;
pub mod shop;
pub mod trial;

use std::collections::BTreeMap;

use anyhow::{Context, bail};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use cuminspread::coordination::dispatch::DispatchSettings;
use cuminspread::coordination::policy::{ChoiceSettings, Policy};
use cuminspread::coordination::retry::RetrySettings;
use serde::Serialize;

use self::case::{Arrival, CASES, Case, START_US, WARM_UP_US};
use self::run::{Measured, Outcome, Sample};
use self::shop::Shop;
use self::trial::Trial;

/// Latency that stands for a call without an answer, in microseconds.
const NO_ANSWER_US: u64 = u64::MAX / 2;

/// What is compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// Single queue with full knowledge.
    Limit,
    /// A choice of servers alone, without hedges and moves.
    Plain(Policy),
    /// The default, with a part of the probe budget in percent.
    Default(u32),
}

impl Variant {
    /// All variants, in the order of the report.
    pub const ALL: [Self; 10] = [
        Self::Limit,
        Self::Plain(Policy::Random),
        Self::Plain(Policy::RoundRobin),
        Self::Plain(Policy::LeastInFlight),
        Self::Plain(Policy::PowerOfTwo),
        Self::Plain(Policy::HotCold),
        Self::Plain(Policy::SlotShares),
        Self::Default(100),
        Self::Default(50),
        Self::Default(0),
    ];

    /// Label for reports.
    pub fn label(self) -> &'static str {
        match self {
            Self::Limit => "limit",
            Self::Plain(policy) => policy.label(),
            Self::Default(100) => "default",
            Self::Default(0) => "default_no_probes",
            Self::Default(_) => "default_half_probes",
        }
    }

    /// Part of the probe budget.
    pub fn budget_part(self) -> f64 {
        match self {
            Self::Default(percent) => f64::from(percent) / 100.0,
            _ => 1.0,
        }
    }

    /// Settings of its dispatchers; `trial` changes those of the default.
    pub fn settings(self, trial: &Trial) -> DispatchSettings {
        let default = DispatchSettings::default();
        let Self::Plain(policy) = self else {
            return trial.apply(default);
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

/// One line of the report; times in milliseconds.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct Line {
    /// Shop.
    pub shop: &'static str,
    /// Case.
    pub case: &'static str,
    /// Offered load as a part of all slots.
    pub load: f64,
    /// Policy.
    pub policy: &'static str,
    /// Seed.
    pub seed: u64,
    /// Calls counted.
    pub calls: usize,
    /// Median.
    pub p50_ms: f64,
    /// 99 in 100 are faster.
    pub p99_ms: f64,
    /// 999 in 1000 are faster.
    pub p999_ms: f64,
    /// 99 in 100 calls wait and travel for less, on top of their own work.
    pub added_p99_ms: f64,
    /// `p99_ms` of each service.
    pub p99_ms_by_service: BTreeMap<&'static str, f64>,
    /// Probes a second and server.
    pub probes_per_server: f64,
    /// Probe budget of the fleet, per second.
    pub budget: f64,
    /// Most probes in any window of one second.
    pub largest_window: usize,
    /// Attempts per call.
    pub attempts_per_call: f64,
    /// Requests for calls back, per call.
    pub asks_per_call: f64,
    /// Calls refused, of all.
    pub refused: f64,
    /// Calls told `not_run`.
    pub not_run: usize,
    /// Calls told `unknown`.
    pub unknown: usize,
    /// Invariants broken.
    pub violations: u64,
}

/// Arguments of the subcommand.
pub fn command() -> Command {
    let seed = value_parser!(u64);
    Command::new("policy")
        .about("Compares dispatch policies on the same seeded runs.")
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
                .help("First seed"),
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .default_value("1")
                .value_parser(seed)
                .help("Number of seeds"),
        )
        .arg(
            Arg::new("case")
                .long("case")
                .help("Only the case of this name"),
        )
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
                .help("Time of traffic in each run"),
        )
        .arg(
            Arg::new("set")
                .long("set")
                .action(ArgAction::Append)
                .help("NAME=VALUE of a setting of the default, for trials"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("One JSON object a line"),
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
    let shop = Shop::named(&shop).with_context(|| format!("unknown shop {shop}"))?;
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
        bail!("unknown case or policy");
    }
    let trial = Trial::parse(args.get_many("set").into_iter().flatten())?;
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
                &trial,
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

/// Runs all variants on one seed, one thread each.
fn run_seed(
    shop: &Shop,
    case: &Case,
    seed: u64,
    seconds: u64,
    variants: &[Variant],
    trial: &Trial,
) -> anyhow::Result<Vec<Line>> {
    let arrivals = case::arrivals(shop, case, seed, seconds * 1_000_000);
    std::thread::scope(|scope| {
        let start = |variant: &Variant| {
            let (variant, arrivals) = (*variant, &arrivals);
            scope.spawn(move || measure(shop, case, seed, arrivals, variant, trial))
        };
        let threads: Vec<_> = variants.iter().map(start).collect();
        let join = |t: std::thread::ScopedJoinHandle<'_, Line>| {
            t.join()
                .map_err(|_panic| anyhow::anyhow!("case {}: a run panicked", case.name))
        };
        threads.into_iter().map(join).collect()
    })
}

/// Runs one variant.
pub fn measure(
    shop: &Shop,
    case: &Case,
    seed: u64,
    arrivals: &[Arrival],
    variant: Variant,
    trial: &Trial,
) -> Line {
    let measured = match variant {
        Variant::Limit => Measured {
            samples: limit::run(shop, case, seed, arrivals),
            attempts: arrivals.len() as u64,
            ..Measured::default()
        },
        _ => run::run(
            shop,
            case,
            seed,
            arrivals,
            &variant.settings(trial),
            variant.budget_part(),
        ),
    };
    summarise(shop, case, seed, arrivals, variant, measured)
}

fn summarise(
    shop: &Shop,
    case: &Case,
    seed: u64,
    arrivals: &[Arrival],
    variant: Variant,
    mut measured: Measured,
) -> Line {
    let from = START_US + WARM_UP_US;
    measured.samples.retain(|s| s.arrived >= from);
    let samples = &measured.samples;
    let count = |outcome: Outcome| samples.iter().filter(|s| s.outcome == outcome).count();
    let all = latencies(samples, None);
    let by_service = shop.services.iter().enumerate();
    let by_service =
        by_service.map(|(i, s)| (s.name, quantile_ms(&latencies(samples, Some(i)), 0.99)));
    let servers: u32 = shop.services.iter().map(|s| s.servers).sum();
    let span_us = arrivals.last().map_or(1, |a| a.at - START_US);
    let probes = measured
        .probes
        .iter()
        .filter(|t| **t >= START_US && **t < START_US + span_us);
    let probes_a_second = probes.count() as f64 * 1e6 / span_us as f64;
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
        added_p99_ms: quantile_ms(&added(samples), 0.99),
        p99_ms_by_service: by_service.collect(),
        probes_per_server: probes_a_second / f64::from(servers),
        budget: shop.probe_budget * variant.budget_part(),
        largest_window: largest_window(&measured.probes),
        attempts_per_call: measured.attempts as f64 / arrivals.len().max(1) as f64,
        asks_per_call: measured.asks as f64 / arrivals.len().max(1) as f64,
        refused: count(Outcome::NotRun) as f64 / samples.len().max(1) as f64,
        not_run: count(Outcome::NotRun),
        unknown: count(Outcome::Unknown),
        violations: measured.violations,
    }
}

/// Latencies in order; calls without an answer come last.
fn latencies(samples: &[Sample], service: Option<usize>) -> Vec<u64> {
    let wanted = samples
        .iter()
        .filter(|s| service.is_none_or(|i| i == s.service));
    let latency = |s: &Sample| match s.outcome {
        Outcome::Ran => s.latency,
        Outcome::NotRun | Outcome::Unknown => NO_ANSWER_US,
    };
    let mut all: Vec<u64> = wanted.map(latency).collect();
    all.sort_unstable();
    all
}

/// Times on top of the calls' own work, in order.
fn added(samples: &[Sample]) -> Vec<u64> {
    let beyond = |s: &Sample| match s.outcome {
        Outcome::Ran => s.latency.saturating_sub(s.work),
        Outcome::NotRun | Outcome::Unknown => NO_ANSWER_US,
    };
    let mut all: Vec<u64> = samples.iter().map(beyond).collect();
    all.sort_unstable();
    all
}

fn quantile_ms(sorted: &[u64], quantile: f64) -> f64 {
    let rank = (quantile * sorted.len() as f64).ceil() as usize;
    let value = sorted.get(rank.saturating_sub(1)).copied();
    value.map_or(f64::NAN, |v| v as f64 / 1000.0)
}

/// Most probes in any window of one second.
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

/// Medians over the seeds, and the ratios that the targets are about.
fn print_medians(lines: &[Line], variants: &[Variant], json: bool) {
    let of = |variant: Variant| lines.iter().filter(move |l| l.policy == variant.label());
    for variant in variants {
        let p99 = median(of(*variant).map(|l| l.p99_ms));
        let against = |other: Variant| {
            let pairs = of(*variant).zip(of(other));
            median(pairs.map(|(a, b)| a.p99_ms / b.p99_ms))
        };
        let summary = serde_json::json!({
            "median": true,
            "shop": lines[0].shop,
            "case": lines[0].case,
            "policy": variant.label(),
            "seeds": of(*variant).count(),
            "p50_ms": median(of(*variant).map(|l| l.p50_ms)),
            "p99_ms": p99,
            "p999_ms": median(of(*variant).map(|l| l.p999_ms)),
            "added_p99_ms": median(of(*variant).map(|l| l.added_p99_ms)),
            "p99_to_limit": against(Variant::Limit),
            "p99_to_power_of_two": against(Variant::Plain(Policy::PowerOfTwo)),
            "p99_to_default": against(Variant::Default(100)),
            "refused": median(of(*variant).map(|l| l.refused)),
            "attempts_per_call": median(of(*variant).map(|l| l.attempts_per_call)),
            "asks_per_call": median(of(*variant).map(|l| l.asks_per_call)),
            "largest_window": of(*variant).map(|l| l.largest_window).max(),
            "unknown": of(*variant).map(|l| l.unknown).sum::<usize>(),
            "violations": of(*variant).map(|l| l.violations).sum::<u64>(),
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
