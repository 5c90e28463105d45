//! Checks the services whose servers fail to answer.

use std::sync::Arc;

use cuminspread::coordination::reachability::CheckEnd;
use cuminspread::transport::upstream::ConnectionChoice;
use futures_util::StreamExt as _;
use futures_util::future::OptionFuture;
use futures_util::stream::FuturesUnordered;
use tokio::time::sleep_until;

use super::probe::{ProbeResult, probe};
use super::state::{Edge, ReachCheck};

/// Runs the checks that are due, until the task is aborted.
pub async fn watch(edge: Arc<Edge>) {
    loop {
        let now = edge.now();
        let (checks, next) = edge.servers().begin_reach_checks(now, &edge.edge_settings);
        for check in checks {
            tokio::spawn(run_check(Arc::clone(&edge), check));
        }
        let due = OptionFuture::from(next.map(|at| sleep_until(edge.instant(at))));
        tokio::select! {
            () = edge.reach_notice.notified() => {}
            Some(()) = due => {}
        }
    }
}

/// Opens a new connection to each server of a check; ends at the first answer.
async fn run_check(edge: Arc<Edge>, check: ReachCheck) {
    let probes = check.servers.iter().map(|key| {
        let probe = probe(Arc::clone(&edge), *key, ConnectionChoice::New);
        tokio::spawn(probe)
    });
    let mut probes: FuturesUnordered<_> = probes.collect();
    let mut end = CheckEnd::Unanswered;
    while end != CheckEnd::Answered
        && let Some(result) = probes.next().await
    {
        end = match result {
            Ok(ProbeResult::Answered | ProbeResult::Moved) => CheckEnd::Answered,
            Ok(ProbeResult::Failed) => end,
            Ok(ProbeResult::Unsent) | Err(_) => CheckEnd::Incomplete,
        };
    }
    let now = edge.now();
    edge.servers().record_reach_check(now, &check.service, end);
    edge.reach_notice.notify_one();
    // Peers are told of a change.
    edge.server_notice.notify_one();
}
