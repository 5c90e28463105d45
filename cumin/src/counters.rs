//! Counts of calls, read from a daemon's metrics.

use std::collections::BTreeMap;

/// Calls where routes come from a folder, and where they come from a store.
const CALLS: [&str; 2] = ["cumin_calls_total{", "cumin_requests_total{"];

/// Outcomes of calls that a server answered.
const SERVED: [&str; 3] = ["ran", "served", "passed_on"];

/// Calls of one service that ended in one way.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CallKey {
    /// Council; empty where routes come from a store.
    pub(crate) council: String,
    /// Service.
    pub(crate) service: String,
    /// Outcome that was told.
    pub(crate) outcome: String,
    /// Why, if the outcome isn't `ran`.
    pub(crate) reason: String,
}

/// Calls since the daemon's start.
pub(crate) fn calls(metrics: &str) -> BTreeMap<CallKey, u64> {
    let counted = |l| CALLS.iter().find_map(|name| str::strip_prefix(l, *name));
    let lines = metrics.lines().filter_map(counted);
    lines.filter_map(parse).collect()
}

fn parse(line: &str) -> Option<(CallKey, u64)> {
    let (labels, count) = line.rsplit_once("} ")?;
    let label = |name: &str| {
        let pairs = labels.split(',').filter_map(|pair| pair.split_once('='));
        let value = pairs.filter(|(n, _)| *n == name).map(|(_, v)| v).next();
        value.unwrap_or_default().trim_matches('"').to_owned()
    };
    let key = CallKey {
        council: label("council"),
        service: label("service"),
        outcome: label("outcome"),
        reason: label("reason"),
    };
    Some((key, count.trim().parse().ok()?))
}

/// Sums of the calls that weren't run or whose outcome is unknown, by outcome and reason.
pub(crate) fn refusals(calls: &BTreeMap<CallKey, u64>) -> BTreeMap<String, u64> {
    let mut sums = BTreeMap::new();
    for (key, count) in calls
        .iter()
        .filter(|(k, _)| !SERVED.contains(&k.outcome.as_str()))
    {
        let name = format!("{}/{}", key.outcome, key.reason);
        *sums.entry(name).or_default() += count;
    }
    sums
}
