//! Report of outcomes, latencies and violated invariants.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::load::LoadStats;
use crate::operation::Violation;

const QUANTILES: [(&str, f64); 3] = [("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)];
const MAX_DETAILS_PER_INVARIANT: u64 = 10;

/// Outcomes and latencies of one kind of call.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct KindReport {
    /// Number of attempts by label of their outcome.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// Quantiles of the latency of attempts with outcome `ran`, in microseconds.
    pub latency_us: BTreeMap<&'static str, u64>,
}

/// Result of a run.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct Report {
    /// Number of calls; a call counts once, whatever the number of its attempts.
    pub calls: u64,
    /// Attempts beyond the first of each call.
    pub resends: u64,
    /// Outcomes and latencies by name of the kind of call.
    pub kinds: BTreeMap<&'static str, KindReport>,
    /// Number of injected faults by label.
    pub faults: BTreeMap<&'static str, u64>,
    /// Number of the daemons' own checks by label of the invariant.
    pub checks: BTreeMap<&'static str, u64>,
    /// Number of violations by label of the invariant.
    pub broken: BTreeMap<&'static str, u64>,
    /// Details of the first violations of each invariant.
    pub details: Vec<String>,
}

impl Report {
    /// Report without faults and checks, which are filled in later. `violations` are those of the whole
    /// run, including those of `stats`.
    pub fn new(stats: &LoadStats, violations: &[Violation]) -> Self {
        let kinds = stats.kinds.iter().map(|(name, kind)| {
            let latency_us = QUANTILES
                .iter()
                .map(|(label, q)| (*label, kind.latency.value_at_quantile(*q)))
                .collect();
            let report = KindReport {
                outcomes: kind.outcomes.clone(),
                latency_us,
            };
            (*name, report)
        });
        let mut broken: BTreeMap<&'static str, u64> = BTreeMap::new();
        let mut details = Vec::new();
        for violation in violations {
            let count = broken.entry(violation.invariant.label()).or_default();
            *count += 1;
            if *count <= MAX_DETAILS_PER_INVARIANT {
                details.push(violation.to_string());
            }
        }
        Self {
            calls: stats.calls,
            resends: stats.retries,
            kinds: kinds.collect(),
            faults: BTreeMap::new(),
            checks: BTreeMap::new(),
            broken,
            details,
        }
    }

    /// Whether no invariant was violated.
    pub fn passed(&self) -> bool {
        self.broken.is_empty()
    }

    /// Prints the report as text.
    pub fn print(&self) {
        println!(
            "{:<10} {:>8} {:>8} {:>8} {:>8} {:>8} {:>10} {:>10} {:>10}",
            "kind", "ran", "not-run", "unknown", "failed", "other", "p50 us", "p99 us", "p99.9 us"
        );
        for (name, kind) in &self.kinds {
            println!("{}", kind.line(name));
        }
        println!("calls: {}, sent again: {}", self.calls, self.resends);
        print_counts("faults injected", &self.faults);
        print_counts("checks by the daemons", &self.checks);
        if self.passed() {
            println!("promises broken: none");
            return;
        }
        print_counts("PROMISES BROKEN", &self.broken);
        for detail in &self.details {
            println!("  {detail}");
        }
    }
}

impl KindReport {
    fn line(&self, name: &str) -> String {
        let count = |word: &str| self.outcomes.get(word).copied().unwrap_or_default();
        let counts = ["ran", "not-run", "unknown", "failed"].map(count);
        let total: u64 = self.outcomes.values().sum();
        let other = total - counts.iter().sum::<u64>();
        let latency = QUANTILES.map(|(label, _)| self.latency_us[label]);
        format!(
            "{name:<10} {:>8} {:>8} {:>8} {:>8} {other:>8} {:>10} {:>10} {:>10}",
            counts[0], counts[1], counts[2], counts[3], latency[0], latency[1], latency[2]
        )
    }
}

fn print_counts(title: &str, counts: &BTreeMap<&'static str, u64>) {
    let pairs: Vec<String> = counts.iter().map(|(k, n)| format!("{k}={n}")).collect();
    println!("{title}: {}", pairs.join(" "));
}
