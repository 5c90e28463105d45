//! Contents that peers have and that this daemon still has to fetch.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::state::Name;
use crate::state::council::{Digest, Stamp};
use crate::state::time::Mono;

/// Time after which an unanswered request is sent to another peer.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum number of peers that are kept as sources of the same contents.
const MAX_SOURCES: usize = 4;
/// Number of requests after which a fetch is dropped, until a peer offers the contents again.
const MAX_REQUESTS: u32 = 12;
/// Maximum number of fetches at once.
const MAX_FETCHES: usize = 256;

#[derive(Debug)]
struct Fetch {
    stamp: Stamp,
    sources: Vec<Name>,
    last_request: Option<Mono>,
    requests: u32,
}

/// A request to send now.
#[derive(Debug)]
pub(super) struct DueFetch {
    pub(super) council: Name,
    pub(super) digest: Digest,
    pub(super) source: Name,
    /// Request all files, because responses that left out known files did not complete the fetch.
    pub(super) all_files: bool,
}

#[derive(Debug, Default)]
pub(super) struct Fetches(BTreeMap<(Name, Digest), Fetch>);

impl Fetches {
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds a fetch of contents, or `source` to its sources.
    pub(super) fn add(&mut self, council: &Name, stamp: Stamp, source: &Name) {
        let full = self.0.len() >= MAX_FETCHES;
        let key = (council.clone(), stamp.digest);
        if full && !self.0.contains_key(&key) {
            return;
        }
        let fetch = self.0.entry(key).or_insert_with(|| Fetch {
            stamp,
            sources: Vec::new(),
            last_request: None,
            requests: 0,
        });
        fetch.stamp = fetch.stamp.max(stamp);
        if fetch.sources.len() < MAX_SOURCES && !fetch.sources.contains(source) {
            fetch.sources.push(source.clone());
        }
    }

    /// Ends the fetch of contents that were received; returns their stamp, `None` without a fetch.
    pub(super) fn finish(&mut self, council: &Name, digest: Digest) -> Option<Stamp> {
        let fetch = self.0.remove(&(council.clone(), digest))?;
        Some(fetch.stamp)
    }

    /// Drops fetches that are not needed, or whose last request has had its time for an answer.
    pub(super) fn retain(&mut self, now: Mono, needed: impl Fn(&Name, Stamp) -> bool) {
        self.0.retain(|(council, _), f| {
            let awaited = f
                .last_request
                .is_some_and(|at| now.since(at) < RETRY_INTERVAL);
            (f.requests < MAX_REQUESTS || awaited) && needed(council, f.stamp)
        });
    }

    /// Requests to send now.
    pub(super) fn due(&mut self, now: Mono) -> Vec<DueFetch> {
        let mut due = Vec::new();
        for ((council, digest), fetch) in &mut self.0 {
            if fetch
                .last_request
                .is_some_and(|at| now.since(at) < RETRY_INTERVAL)
            {
                continue;
            }
            let at = fetch.requests as usize % fetch.sources.len();
            due.push(DueFetch {
                council: council.clone(),
                digest: *digest,
                source: fetch.sources[at].clone(),
                all_files: fetch.requests > 1,
            });
            fetch.last_request = Some(now);
            fetch.requests += 1;
        }
        due
    }
}
