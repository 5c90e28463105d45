//! Servers that are leaving, and what peers are told of them.
//!
//! Some servers say only in their answers that they are leaving. The daemon that got such an answer
//! tells its peers. Messages get lost, and daemons start later or are partitioned from the others,
//! so the report is repeated until the registry says the same, by a daemon that has not heard it
//! again for some time. An incarnation that is leaving never takes that back.
//!
//! Load pattern: servers are replaced one after the other under load, while daemons restart.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt as _;
use rand_pcg::Pcg32;

use super::catalog::{Change, RevisionedChange};
use crate::state::Name;
use crate::state::time::Mono;

/// Shortest time until a report is repeated.
const REPEAT_AFTER: Duration = Duration::from_secs(2);
/// Longest random time added to [`REPEAT_AFTER`], so that one daemon repeats it for all.
const REPEAT_SPREAD: Duration = Duration::from_secs(2);
/// Time for which a server that isn't registered is kept.
const UNREGISTERED_TTL: Duration = Duration::from_secs(120);

/// Who has said that a server is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeavingSource {
    /// The server, in an answer to this daemon.
    Answer,
    /// A peer.
    Peer,
}

#[derive(Debug, Clone)]
struct LeavingServer {
    started_ms: u64,
    /// When the server was last known to be registered, or was recorded.
    seen: Mono,
    /// When the report is due; `None` if the registry says that the server is leaving.
    next_report: Option<Mono>,
}

/// Leaving servers by id, and when each is reported to peers.
#[derive(Debug, Clone)]
pub struct LeavingServers {
    servers: BTreeMap<Name, LeavingServer>,
    rng: Pcg32,
}

impl LeavingServers {
    /// Knows no server; `seed` is for its random choices.
    pub fn new(seed: u64) -> Self {
        Self {
            servers: BTreeMap::new(),
            rng: Pcg32::new(seed, 13),
        }
    }

    /// Records that an incarnation of a server is leaving; an outdated one has no effect.
    pub fn record(&mut self, now: Mono, id: &Name, started_ms: u64, source: LeavingSource) {
        let next_report = match source {
            LeavingSource::Answer => now,
            LeavingSource::Peer => now + self.repeat_delay(),
        };
        let known = self.servers.get(id);
        let known = known.filter(|s| s.started_ms >= started_ms);
        if known.is_some_and(|s| s.started_ms > started_ms || s.next_report.is_none()) {
            return;
        }
        let server = LeavingServer {
            started_ms,
            seen: now,
            next_report: Some(next_report),
        };
        self.servers.insert(id.clone(), server);
    }

    /// Records what the registry says; leaving servers that it names aren't reported any more.
    pub fn record_registered(&mut self, now: Mono, changes: &[RevisionedChange]) {
        for revisioned in changes {
            if let Change::Reported(entry) = &revisioned.change
                && entry.draining
            {
                let server = LeavingServer {
                    started_ms: entry.started_ms,
                    seen: now,
                    next_report: None,
                };
                self.servers.insert(entry.id.clone(), server);
            }
        }
    }

    /// Whether this incarnation of a server is leaving.
    pub fn contains(&self, id: &str, started_ms: u64) -> bool {
        let server = self.servers.get(id);
        server.is_some_and(|s| s.started_ms == started_ms)
    }

    /// Servers to report to peers now, with the starts of their incarnations.
    ///
    /// `is_registered` tells whether the registry has an incarnation of a server; others are kept
    /// for a while without being reported.
    pub fn due_reports(
        &mut self,
        now: Mono,
        is_registered: impl Fn(&Name, u64) -> bool,
    ) -> Vec<(Name, u64)> {
        let mut due = Vec::new();
        self.servers.retain(|id, server| {
            if !is_registered(id, server.started_ms) {
                return now.since(server.seen) < UNREGISTERED_TTL;
            }
            server.seen = now;
            if server.next_report.is_some_and(|at| now >= at) {
                due.push((id.clone(), server.started_ms));
            }
            true
        });
        for (id, _) in &due {
            let next_report = Some(now + self.repeat_delay());
            if let Some(server) = self.servers.get_mut(id) {
                server.next_report = next_report;
            }
        }
        due
    }

    fn repeat_delay(&mut self) -> Duration {
        REPEAT_AFTER + REPEAT_SPREAD.mul_f64(self.rng.random_range(0.0..1.0))
    }
}
