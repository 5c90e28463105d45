//! Call counters, parsed from a daemon's metrics.

use std::collections::BTreeMap;

/// Prefixes of the counters of calls (routes from a folder) and of requests (routes from a store).
const COUNTERS: [&str; 2] = ["cumin_calls_total{", "cumin_requests_total{"];

/// Outcomes of calls that a server answered, in both modes of daemons.
const SERVED: [&str; 3] = ["ran", "served", "passed_on"];

/// Labels of one counter.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CallKey {
    /// Council; empty where routes come from a store.
    pub(crate) council: String,
    /// Service; empty if no route matched.
    pub(crate) service: String,
    /// Outcome that the daemon reported.
    pub(crate) outcome: String,
    /// Reason of the outcome, as the daemon reported it.
    pub(crate) reason: String,
}

/// Calls since the daemon's start, by their labels.
pub(crate) fn calls(metrics: &str) -> BTreeMap<CallKey, u64> {
    let counted = |l| COUNTERS.iter().find_map(|name| str::strip_prefix(l, *name));
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

/// Sums of the calls that got no response from a server, by `outcome/reason`: those that were not
/// run and those whose outcome is unknown.
pub(crate) fn unserved(calls: &BTreeMap<CallKey, u64>) -> BTreeMap<String, u64> {
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
