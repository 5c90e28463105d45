//! `cumin top`: calls a second by service, outcome and reason, refreshed until interrupted.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command, value_parser};
use serde::Serialize;

use crate::admin::{AdminClient, DaemonStatus};
use crate::counters::{self, CallKey};

/// ANSI sequences that clear the terminal and move the cursor to its top left.
const CLEAR: &str = "\x1b[2J\x1b[H";

/// Command-line definition of `cumin top`.
pub(crate) fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .default_value(default)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    Command::new("top")
        .about("Shows calls a second, by service and outcome")
        .arg(number("interval-ms", "1000", "Time between two readings"))
        .arg(number(
            "count",
            "0",
            "Readings; 0 goes on until interrupted",
        ))
}

#[derive(Debug)]
#[derive(Serialize)]
struct Row {
    council: String,
    service: String,
    outcome: String,
    reason: String,
    calls_per_s: f64,
}

type Counts = BTreeMap<CallKey, u64>;

/// Prints call rates each interval until the count is reached.
pub(crate) async fn run(
    daemons: &[AdminClient],
    args: &ArgMatches,
    json: bool,
) -> anyhow::Result<ExitCode> {
    let number = |name: &str| args.get_one(name).copied().unwrap_or(0u64);
    let interval = Duration::from_millis(number("interval-ms"));
    let mut previous = read(daemons).await?;
    let mut read_at = Instant::now();
    let mut shown = 0;
    while shown < number("count") || number("count") == 0 {
        tokio::time::sleep(interval).await;
        let counts = read(daemons).await?;
        let rows = rows(&previous, &counts, read_at.elapsed());
        read_at = Instant::now();
        previous = counts;
        shown += 1;
        if json {
            println!("{}", serde_json::to_string(&rows)?);
        } else {
            print(daemons, &rows).await?;
        }
    }
    Ok(ExitCode::SUCCESS)
}

async fn read(daemons: &[AdminClient]) -> anyhow::Result<Counts> {
    let mut counts = Counts::new();
    for daemon in daemons {
        for (key, count) in counters::calls(&daemon.metrics().await?) {
            *counts.entry(key).or_default() += count;
        }
    }
    Ok(counts)
}

fn rows(previous: &Counts, counts: &Counts, elapsed: Duration) -> Vec<Row> {
    let rows = counts.iter().map(|(key, count)| {
        let before = previous.get(key).copied().unwrap_or(0);
        let calls = count.saturating_sub(before) as f64;
        Row {
            council: key.council.clone(),
            service: key.service.clone(),
            outcome: key.outcome.clone(),
            reason: key.reason.clone(),
            calls_per_s: calls / elapsed.as_secs_f64().max(f64::EPSILON),
        }
    });
    rows.collect()
}

async fn print(daemons: &[AdminClient], rows: &[Row]) -> anyhow::Result<()> {
    print!("{CLEAR}");
    for daemon in daemons {
        let (name, ready, in_flight) = match daemon.status().await? {
            DaemonStatus::Folder(s) => (s.name, s.ready, s.in_flight),
            DaemonStatus::Store(s) => (s.name, s.ready, s.in_flight),
        };
        let state = if ready { "ready" } else { "not ready" };
        println!("{name} {state}, {in_flight} calls in flight");
    }
    println!(
        "{:<24} {:<10} {:<20} {:>10}",
        "service", "outcome", "reason", "calls/s"
    );
    for row in rows {
        let service = format!("{}/{}", row.council, row.service);
        println!(
            "{service:<24} {:<10} {:<20} {:>10.1}",
            row.outcome, row.reason, row.calls_per_s
        );
    }
    Ok(())
}
