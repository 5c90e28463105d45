//! Reads of the store: by schedule, and a sample after a restart.

use std::sync::Arc;
use std::time::Duration;

use cuminspread::coordination::catalog::{
    Catalog, Change, Revision, RevisionedChange, ServerEntry,
};
use cuminspread::coordination::reader::{self, ReadAttempt, Role};
use cuminspread::coordination::store_read::{Part, ReadError, ReadResult, Servers};
use cuminspread::state::time::Mono;
use tokio::time::sleep;

use super::Control;

/// Time after a restart in which a peer may send its snapshot, before the daemon reads a sample of
/// the store.
const SAMPLE_DELAY: Duration = Duration::from_millis(40);
/// Timeout of each call that reads the sample.
const SAMPLE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after an outage of the store in which servers may still register again, with some slack.
const LAPSE_WINDOW: Duration = Duration::from_millis(2500);
/// Odd multiplier that spreads the bits of a hash (2^64 divided by the golden ratio).
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;

impl Control {
    /// After a restart, reads enough of the store to serve requests, unless a peer answers first.
    ///
    /// Callers already send requests then, and the seeds may not have started yet.
    pub(super) async fn read_sample(self: Arc<Self>) {
        sleep(SAMPLE_DELAY).await;
        if !self.lock().catalog.revision().is_empty() {
            return;
        }
        if let Err(e) = self.read_sample_parts().await {
            self.edge.metrics.count_read("failed");
            log::info!("event=glimpse_failed cause=\"{e}\"");
        }
    }

    /// Reads the configuration, then some servers, and more of them if these aren't enough.
    async fn read_sample_parts(self: &Arc<Self>) -> Result<(), ReadError> {
        let salt = self.lock().mesh.me().rank().wrapping_mul(GOLDEN_RATIO) ^ self.edge.started_ms;
        let salt = salt.wrapping_mul(GOLDEN_RATIO) >> 32;
        self.handle_read_result(self.store.read_part(Part::Config, SAMPLE_TIMEOUT).await?);
        let group = Part::ServerGroup(salt);
        let mut sample = self.store.read_part(group, SAMPLE_TIMEOUT).await?;
        // Until the servers are known, requests wait instead of being refused for want of one.
        if !self.lock().catalog.revision().is_empty() {
            return Ok(());
        }
        let evacuations = self.lock().evacuations.clone();
        let used = |entry: &&ServerEntry| !evacuations.contains(&entry.data_centre);
        if let Servers::Sample(servers) = &sample.servers
            && !reader::sample_suffices(
                self.edge.table().routing(),
                servers.iter().map(|s| &s.1).filter(used),
            )
        {
            sample = self
                .store
                .read_part(Part::FirstServers, SAMPLE_TIMEOUT)
                .await?;
        }
        self.handle_read_result(sample);
        Ok(())
    }

    /// Reads the changes after a revision, or a snapshot if `after` is empty, its history is gone or
    /// too large for an answer, or it is of an earlier era of the store.
    pub(super) async fn read(self: Arc<Self>, after: Revision, limit: Duration) {
        let mut result = if after.is_empty() {
            self.store.read_snapshot(limit).await
        } else {
            self.store.read_changes(after.number, limit).await
        };
        let needs_snapshot = match &result {
            // In another era, the same number stands for another write.
            Ok(result) if !after.is_empty() && result.revision.era > after.era => Some("era"),
            Err(ReadError::Compacted) => Some("compacted"),
            Err(ReadError::TooLarge) if !after.is_empty() => Some("too_large"),
            Ok(_) | Err(_) => None,
        };
        if let Some(cause) = needs_snapshot {
            log::info!("event=store_history_gone after={after} cause={cause}");
            self.edge.metrics.count_read("compacted");
            result = self.store.read_snapshot(limit).await;
        }
        match result {
            Ok(result) => self.handle_read_result(result),
            Err(e) => self.record_failed_read(&e),
        }
        self.wake.notify_one();
    }

    fn record_failed_read(&self, e: &ReadError) {
        let now = self.edge.now();
        let mut state = self.lock();
        let first_failure = state.read_schedule.failures() == 0;
        let age = state.read_schedule.age(now);
        state.read_schedule.failed(now);
        self.send_read_attempt(&mut state, ReadAttempt::Failed);
        drop(state);
        self.edge.metrics.count_read("failed");
        if first_failure {
            let store = self.edge.edge_settings.store;
            let age = age.unwrap_or_default().as_millis();
            log::warn!("event=store_lost store={store} last_read_ms={age} cause=\"{e}\"");
        }
    }

    fn handle_read_result(self: &Arc<Self>, result: ReadResult) {
        let now = self.edge.now();
        let mut state = self.lock();
        let known = state.catalog.revision();
        if result.revision.era < known.era {
            // Sent before the store came back from a copy; a peer's update was faster.
            let answered = result.revision;
            state.read_schedule.failed(now);
            drop(state);
            self.edge.metrics.count_read("outdated");
            log::info!("event=store_answer_outdated revision={answered} known={known}");
            return;
        }
        self.edge.metrics.count_read("answered");
        if state.read_schedule.failures() > 0 {
            let age = state.read_schedule.age(now).unwrap_or_default().as_millis();
            log::info!("event=store_regained last_read_ms={age}");
        }
        // Also if the era was unknown, as that of revisions from peers of an older format or of a
        // store that didn't name it.
        let era_changed = !known.is_empty() && result.revision.era > known.era;
        if era_changed {
            state.published_revisions.clear();
        }
        let restored = era_changed && known.era > 0;
        if restored {
            let revision = result.revision;
            log::warn!("event=store_restored revision={revision} before={known}");
        }
        if restored || state.read_schedule.is_outage(now) {
            state.lapse_until = now + LAPSE_WINDOW;
        }
        if state.read_schedule.role() == Role::Follower && !result.revision.is_empty() {
            log::info!("event=reads_store revision={}", result.revision);
        }
        let partial = matches!(result.servers, Servers::Sample(_));
        if !partial {
            state.read_schedule.succeeded(now);
        }
        if result.may_have_more {
            state.read_schedule.read_now(now);
        }
        let lapsed = now < state.lapse_until;
        let evacuations = state.evacuations.apply(result.evacuations, result.revision);
        self.apply_evacuations(&mut state, &evacuations, &"store", Duration::ZERO);
        // Before the revision, so that no peer gets a revision without its configuration.
        if let Some(routing) = result.routing {
            self.edge.activate(routing, "store");
        }
        let new = match result.servers {
            Servers::Sample(sample) => {
                let reported = sample
                    .into_iter()
                    .map(|(revision, entry)| RevisionedChange {
                        revision,
                        change: Change::Reported(entry),
                    });
                apply_to_catalog(&mut state.catalog, now, reported.collect(), lapsed)
            }
            Servers::Snapshot(all) => {
                state.terms_read_for = self.edge.version();
                state.catalog.reconcile(now, result.revision, all, lapsed)
            }
            Servers::Changes(changes) => apply_to_catalog(&mut state.catalog, now, changes, lapsed),
        };
        if !partial {
            state.catalog.set_complete_to(result.revision);
        }
        state.leaving.record_registered(now, &new);
        drop(state);
        if !partial || !new.is_empty() {
            self.apply_changes(&new, "store", Duration::ZERO);
        }
        // Peers would pull each part of a long history by itself.
        if !partial && !result.may_have_more {
            self.publish();
        }
    }
}

/// Applies changes to the catalog; returns those that were new to it.
fn apply_to_catalog(
    catalog: &mut Catalog,
    now: Mono,
    changes: Vec<RevisionedChange>,
    may_have_lapsed: bool,
) -> Vec<RevisionedChange> {
    let mut new = Vec::new();
    for mut revisioned in changes {
        if let Change::Removed { lapsed, .. } = &mut revisioned.change {
            *lapsed = may_have_lapsed;
        }
        if catalog.apply(now, revisioned.clone()) {
            new.push(revisioned);
        }
    }
    new
}
