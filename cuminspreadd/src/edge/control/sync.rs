//! Updates between daemons: sends and receives store updates, and pulls what is missing.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use cuminspread::coordination::catalog::{Revision, RevisionedChange};
use cuminspread::coordination::evacuation::Evacuations;
use cuminspread::coordination::reader::Role;
use cuminspread::protocol::gossip::{
    self as messages, Daemon, GossipMessage, PullRequest, PullResponse, RegistryUpdate,
    RoutingUpdate, StoreUpdate, Versions,
};
use cuminspread::state::routing::{Routing, RoutingDelta};
use cuminspread::state::time::Mono;
use cuminspread::transport::gossip;
use tokio::time::{sleep, timeout};

use super::{Control, EncodedResponse, SyncState, evacuation, random_fraction};

/// Updates that repeat a change, since datagrams can be lost.
const CHANGE_REPEATS: usize = 3;
/// Largest routing delta that is sent in a datagram.
const MAX_DELTA_BYTES: usize = 700;
/// One pull attempt in this number goes to the daemon that read the store, unless another peer is
/// known that can serve the update.
const READER_PULL_PERIOD: usize = 6;
/// Near peers that a daemon notifies after it has pulled an update.
const ANNOUNCE_PEERS: usize = 4;
/// Longest delay between two pull attempts.
const MAX_PULL_DELAY: Duration = Duration::from_millis(300);
/// Time after an update at which its versions are sent again, so that peers that missed it pull it.
const REPEAT_DELAY: Duration = Duration::from_millis(200);
/// Changes in one datagram that names no emptied data centre.
const CHANGES_PER_DATAGRAM: usize = 12;
/// Bytes that a change takes at most if ids have the usual length.
const CHANGE_BYTES: usize = 90;
/// Bytes that an emptied data centre takes at most beside its name: a length and a revision.
const EVACUATION_BYTES: usize = 12;
/// Datagrams of one update; if they can't hold all changes, peers pull them instead.
const MAX_DATAGRAMS: usize = 3;
/// Delay of the first pull attempt while no peer is known that can serve the update.
const FIRST_PULL_DELAY: Duration = Duration::from_millis(80);
/// Expected number of near peers that pull an update from the reader itself.
const DIRECT_PULLS: f64 = 4.0;
/// Attempts to pull the same update.
const MAX_PULL_ATTEMPTS: usize = 20;

impl Control {
    /// Sends what this daemon has just read to its peers.
    pub(super) fn publish(self: &Arc<Self>) {
        let mut state = self.lock();
        let versions = self.versions(&state);
        let base = state
            .published_revisions
            .first()
            .copied()
            .unwrap_or_default();
        let changes = state.catalog.changes_since(self.edge.now(), base);
        state.published_revisions.push(versions.revision);
        if state.published_revisions.len() > CHANGE_REPEATS {
            state.published_revisions.remove(0);
        }
        let near = state.mesh.near_receivers();
        let relays = state.mesh.relays();
        let (base, changes) = match changes {
            Some(changes) => (base, changes),
            None => (versions.revision, Vec::new()),
        };
        let reader = state.mesh.me().clone();
        if state.published_version != versions.version {
            state.previous_version =
                std::mem::replace(&mut state.published_version, versions.version);
        }
        let delta = self.edge.delta_from(state.previous_version);
        let evacuations = state.evacuations.clone();
        let emptied_changed = state.published_evacuations != evacuations.data_centres;
        state
            .published_evacuations
            .clone_from(&evacuations.data_centres);
        drop(state);
        let fits = |d: &RoutingDelta| {
            let len = postcard::to_stdvec(d).map_or(usize::MAX, |b| b.len());
            len.saturating_add(messages::terms_len(d)) <= MAX_DELTA_BYTES
        };
        let delta = delta.filter(fits);
        let has_changes = !changes.is_empty() || delta.is_some() || emptied_changed;
        let mut parts = split_update(&reader, versions, base, &changes, &evacuations);
        if let Some(delta) = delta {
            // The delta has a datagram of its own. It names the base revision, so that a peer
            // doesn't pull the changes that follow in the other datagrams.
            let mut first = parts.remove(0);
            let delta_only = StoreUpdate {
                changes: Vec::new(),
                versions: Versions {
                    revision: first.base,
                    ..versions
                },
                routing: Some(delta),
                ..first.clone()
            };
            first.routing = None;
            parts.insert(0, first);
            parts.insert(0, delta_only);
        }
        for mut update in parts {
            self.send_update(&near, &update);
            update.relay = true;
            self.send_update(&relays, &update);
        }
        if has_changes {
            tokio::spawn(Arc::clone(self).repeat_versions(versions));
        }
    }

    /// Sends the versions of an update again, through other relays.
    async fn repeat_versions(self: Arc<Self>, versions: Versions) {
        sleep(REPEAT_DELAY).await;
        let mut state = self.lock();
        let (near, relays) = (state.mesh.near_receivers(), state.mesh.relays());
        let me = state.mesh.me().clone();
        let mut update = versions_only(me, REPEAT_DELAY, versions, &state.evacuations);
        drop(state);
        self.send_update(&near, &update);
        update.relay = true;
        self.send_update(&relays, &update);
    }

    fn send_update(&self, to: &[SocketAddr], update: &StoreUpdate) {
        self.send_all(to, &GossipMessage::StoreUpdate(Box::new(update.clone())));
    }

    pub(super) fn handle_message(self: &Arc<Self>, from: SocketAddr, message: GossipMessage) {
        let now = self.edge.now();
        match message {
            GossipMessage::Hello(daemon) => {
                let mut state = self.lock();
                let is_new = record_peer(&mut state, now, &daemon);
                let peers = GossipMessage::Peers(state.mesh.sample_peers(now, &daemon.data_centre));
                let evacuations = evacuation::report(&state);
                let known_versions = self.known_versions(&state, now);
                drop(state);
                self.gossip.send(from, &peers);
                if let Some(update) = known_versions {
                    self.send_update(&[from], &update);
                }
                if let Some(evacuations) = evacuations {
                    self.gossip.send(from, &evacuations);
                }
                self.gossip.send(from, &self.probe_rate_message(now));
                if is_new {
                    self.send_slowdowns(from, now);
                }
            }
            GossipMessage::Peers(peers) => {
                let mut state = self.lock();
                let new = match peers.as_slice() {
                    // An introduction isn't a sample of the fleet.
                    [peer] if peer.daemon.address == from => {
                        let is_new = state.mesh.record_heard(now, &peer.daemon);
                        is_new.then(|| peer.daemon.clone()).into_iter().collect()
                    }
                    sample => state.mesh.merge_known(now, sample),
                };
                let is_empty = state.catalog.revision().is_empty();
                let near = state.mesh.near_peers();
                self.introduce(&state, &new);
                drop(state);
                log_new_peers(&new);
                if is_empty {
                    // A daemon that has just started doesn't wait for an update.
                    let wanted = Versions {
                        revision: Revision { era: 0, number: 1 },
                        version: 1,
                    };
                    let first = near.first().copied().unwrap_or(from);
                    self.lock().newer_peer = Some(first);
                    self.start_pull(wanted);
                }
            }
            GossipMessage::StoreUpdate(update) => self.handle_update(from, &update),
            GossipMessage::Leaving(daemon) => self.handle_stopping_peer(&daemon),
            GossipMessage::Crash(report) => self.handle_crash_report(report),
            GossipMessage::Evacuations(report) => {
                let mut state = self.lock();
                self.adopt_evacuations(&mut state, &report.into(), &from, Duration::ZERO);
            }
            GossipMessage::ReadAttempt(report) => self.handle_read_attempt(report),
            GossipMessage::ServerLimit(report) => self.handle_limit_report(report),
            GossipMessage::ServerLeaving(report) => self.handle_leaving_report(report),
            GossipMessage::Reach(report) => self.handle_reach_report(report),
            GossipMessage::Slowdown(report) => self.handle_slowdown_report(report),
            GossipMessage::ProbeRate(rate) => {
                let mut servers = self.edge.servers();
                servers.record_peer_probes(rate as f32, &self.edge.edge_settings);
            }
        }
    }

    fn handle_update(self: &Arc<Self>, from: SocketAddr, update: &StoreUpdate) {
        let now = self.edge.now();
        let reader = update.reader.address;
        let mut state = self.lock();
        if state.mesh.record_named(&update.reader, now - update.age) {
            log_new_peers(std::slice::from_ref(&update.reader));
            self.introduce(&state, std::slice::from_ref(&update.reader));
        }
        let revision = state.catalog.revision();
        let era = update.versions.revision.era;
        if let Some(evacuations) = &update.evacuations {
            self.adopt_evacuations(&mut state, evacuations, &from, update.age);
        }
        // A read of an earlier era tells nothing of what the store holds now.
        let read_at = now - update.age;
        let is_latest = state
            .last_read
            .as_ref()
            .is_none_or(|(_, at)| read_at >= *at);
        if era >= revision.era && is_latest {
            state.last_read = Some((update.reader.clone(), read_at));
        }
        // Nor does one by a daemon that doesn't know of emptied data centres tell of these.
        let is_complete = update.evacuations.as_ref();
        let is_complete = is_complete.is_some_and(|e| e.as_of >= update.versions.revision);
        if era >= revision.era && is_complete {
            let previous_role = state.read_schedule.role();
            state
                .read_schedule
                .record_peer_read(now, update.reader.rank(), update.age);
            if previous_role == Role::Reader && state.read_schedule.role() == Role::Follower {
                log::info!("event=leaves_reading_to reader={reader}");
            }
        }
        let mut new = Vec::new();
        let applied_to = state.applied_to.max(revision);
        let is_contiguous =
            !revision.is_empty() && era == revision.era && update.base <= applied_to;
        if is_contiguous {
            for revisioned in &update.changes {
                if state.catalog.apply(now, revisioned.clone()) {
                    new.push(revisioned.clone());
                }
            }
            state.applied_to = applied_to.max(update.versions.revision);
            state.leaving.record_registered(now, &new);
        }
        if let Some(delta) = update.routing.clone() {
            self.edge.activate_delta(delta, "peer");
        }
        let active = self.edge.version();
        let lacks_routing = update.versions.version > active;
        if update.evacuations.is_some()
            && update.versions.version >= active
            && update.can_serve
            && self.lacks_terms()
        {
            state.wants_terms = true;
        }
        // A revision counts as known only with its configuration: if nobody can serve that, the
        // next read of the store returns it.
        if is_contiguous && !lacks_routing {
            state.catalog.set_complete_to(update.versions.revision);
        }
        let behind = !is_contiguous && update.versions.revision > revision
            || lacks_routing
            || state.wants_terms;
        let near = if update.relay {
            state.mesh.near_receivers()
        } else {
            Vec::new()
        };
        drop(state);
        if !new.is_empty() {
            self.apply_changes(&new, "peer", update.age);
        }
        if !near.is_empty() {
            let forwarded = StoreUpdate {
                can_serve: false,
                relay: false,
                ..update.clone()
            };
            self.send_update(&near, &forwarded);
        }
        if behind {
            if update.can_serve && self.should_pull_from(from, update) {
                self.lock().newer_peer = Some(from);
                self.newer_peer_found.notify_one();
            }
            self.start_pull(update.versions);
        }
    }

    /// Whether this daemon pulls an update from its sender.
    ///
    /// Of the reader's near peers only a few do, at random; these notify the other near peers.
    fn should_pull_from(&self, from: SocketAddr, update: &StoreUpdate) -> bool {
        if update.relay || from != update.reader.address {
            return true;
        }
        let near = self.lock().mesh.near_peers().len();
        random_fraction(self.edge.now().0 ^ self.edge.started_ms) * near as f64 <= DIRECT_PULLS
    }

    fn start_pull(self: &Arc<Self>, wanted: Versions) {
        {
            let mut state = self.lock();
            let (active, announced) = (self.edge.version(), wanted.version);
            if announced > active.max(state.wanted.version)
                && let Some((reader, at)) = &state.last_read
            {
                let (reader, age) = (reader.address, self.edge.now().since(*at).as_millis());
                log::info!(
                    "event=version_announced version={announced} active={active} \
                     reader={reader} age_ms={age}"
                );
            }
            state.wanted = state.wanted.max(wanted);
        }
        if !self.pulling.swap(true, Ordering::AcqRel) {
            tokio::spawn(Arc::clone(self).pull());
        }
    }

    /// Pulls from peers until this daemon has the versions that it wants, also those that it hears
    /// of meanwhile.
    ///
    /// Each daemon that has pulled the update notifies a few near peers, which then pull from it,
    /// so that the number of daemons with the update doubles in each round. While no such peer is
    /// known, near peers are tried with growing delays: many pulls at once would keep a small VM
    /// from serving any of them.
    async fn pull(self: Arc<Self>) {
        let mut delay = FIRST_PULL_DELAY;
        let mut unreachable = Vec::new();
        for i in 1..=MAX_PULL_ATTEMPTS {
            if self.lock().newer_peer.is_none() {
                let jitter = random_fraction(self.edge.now().0 ^ self.edge.started_ms);
                let found = self.newer_peer_found.notified();
                // A peer with the update usually notifies soon; after that time the datagram may
                // be lost, and any peer is tried.
                let _ = timeout(delay.mul_f64(0.5 + jitter), found).await;
                delay = (delay * 2).min(MAX_PULL_DELAY);
            }
            let (peer, have, wants_terms) = {
                let mut state = self.lock();
                let have = self.versions(&state);
                let wants_terms = state.wants_terms && self.lacks_terms();
                let reader = state.last_read.as_ref().map(|(reader, _)| reader.address);
                let reader = reader.filter(|r| !unreachable.contains(r));
                let last_resort = reader.filter(|_| i % READER_PULL_PERIOD == 0);
                let peer = state
                    .newer_peer
                    .take()
                    .or(last_resort)
                    .or_else(|| state.mesh.pull_peer(&unreachable));
                (peer.or(reader), have, wants_terms)
            };
            if peer.is_none() {
                unreachable.clear();
            }
            if let Some(peer) = peer {
                // As if it had none, so that it gets all of it with its terms.
                let version = if wants_terms { 0 } else { have.version };
                let request = self.pull_request(Versions { version, ..have });
                match self.gossip.pull(peer, request).await {
                    Ok(response) => self.handle_response(peer, response),
                    Err(e) => {
                        log::info!("event=pull_failed peer={peer} cause=\"{e}\"");
                        self.record_failed_pull(peer);
                        unreachable.push(peer);
                    }
                }
            }
            let reached = self.versions(&self.lock());
            if reached != have {
                self.announce_versions();
            }
            // Under the lock, so that a later wish starts a pull of its own.
            let mut state = self.lock();
            state.wants_terms &= self.lacks_terms();
            let complete = reached.covers(&state.wanted) && !state.wants_terms;
            if complete || i == MAX_PULL_ATTEMPTS {
                if !complete {
                    log::warn!(
                        "event=pull_given_up attempts={i} version={} wanted_version={} \
                         revision={} wanted_revision={}",
                        reached.version,
                        state.wanted.version,
                        reached.revision,
                        state.wanted.revision,
                    );
                }
                state.wanted = reached;
                state.wants_terms = false;
                self.pulling.store(false, Ordering::Release);
                break;
            }
        }
    }

    /// If the peer is the reader, it may be lost with what only it has read.
    fn record_failed_pull(&self, peer: SocketAddr) {
        let now = self.edge.now();
        let mut state = self.lock();
        let is_reader = state
            .last_read
            .as_ref()
            .is_some_and(|(r, _)| r.address == peer);
        if !is_reader || self.versions(&state).covers(&state.wanted) {
            return;
        }
        state.read_schedule.reader_unreachable(now);
        drop(state);
        self.wake.notify_one();
    }

    /// Notifies a few near peers of the versions that this daemon has now.
    fn announce_versions(&self) {
        let mut state = self.lock();
        let Some(update) = self.known_versions(&state, self.edge.now()) else {
            return;
        };
        let peers: Vec<SocketAddr> = (0..ANNOUNCE_PEERS)
            .filter_map(|_| state.mesh.random_near())
            .collect();
        drop(state);
        self.send_update(&peers, &update);
    }

    /// Update with the versions that this daemon has and the last known read; `None` if no read is known.
    fn known_versions(&self, state: &SyncState, now: Mono) -> Option<StoreUpdate> {
        let (reader, age) = if state.read_schedule.role() == Role::Reader {
            (state.mesh.me().clone(), state.read_schedule.age(now)?)
        } else {
            let (reader, at) = state.last_read.as_ref()?;
            (reader.clone(), now.since(*at))
        };
        let mut update = versions_only(reader, age, self.versions(state), &state.evacuations);
        // A reader of an older format doesn't know of emptied data centres.
        let reads_all = state.read_schedule.age(now).is_some_and(|a| a <= age);
        if self.lacks_terms() || !reads_all {
            // Peers would pull the terms from here, or take the read for a complete one.
            update.evacuations = None;
        }
        Some(update)
    }

    /// Makes this daemon known to near peers that it has just learned of: the reader and those that
    /// forward its updates may be among them.
    fn introduce(&self, state: &SyncState, new: &[Daemon]) {
        let near = state.mesh.near_among(new);
        if !near.is_empty() {
            let me = state.mesh.introduction();
            self.send_all(&near, &GossipMessage::Peers(vec![me]));
        }
    }

    fn pull_request(&self, have: Versions) -> PullRequest {
        PullRequest {
            have,
            data_centre: self.edge.settings.data_centre.clone(),
        }
    }

    fn handle_response(&self, peer: SocketAddr, response: PullResponse) {
        let now = self.edge.now();
        if response.busy {
            return;
        }
        let version = match response.routing {
            Some(RoutingUpdate::Full(routing)) => {
                let version = routing.version;
                self.edge.activate(routing, "peer");
                version
            }
            Some(RoutingUpdate::Delta(delta)) => {
                let version = delta.version;
                self.edge.activate_delta(delta, "peer");
                version
            }
            None => 0,
        };
        let mut state = self.lock();
        let new = state.mesh.merge_known(now, &response.peers);
        self.introduce(&state, &new);
        if let Some(evacuations) = &response.evacuations {
            self.adopt_evacuations(&mut state, evacuations, &peer, Duration::ZERO);
        }
        if version > self.edge.version() {
            // Another version was activated during the pull, so the delta didn't apply.
            return;
        }
        let mut new = Vec::new();
        match response.registry {
            Some(RegistryUpdate::Snapshot(entries)) => {
                let lapsed = state.read_schedule.is_outage(now);
                new = state
                    .catalog
                    .reconcile(now, response.revision, entries, lapsed);
            }
            Some(RegistryUpdate::Changes(changes)) => {
                let changes = changes.into_iter();
                new.extend(changes.filter(|d| state.catalog.apply(now, d.clone())));
                state.catalog.set_complete_to(response.revision);
            }
            None => {}
        }
        state.leaving.record_registered(now, &new);
        drop(state);
        if new.is_empty() {
            return;
        }
        log::info!("event=pulled peer={peer} changes={}", new.len());
        self.apply_changes(&new, "peer", Duration::ZERO);
    }

    /// Encoded response to a pull; equal pulls in a row are encoded once.
    pub(super) fn encoded_response(&self, pull: &PullRequest) -> io::Result<Arc<[u8]>> {
        let (current, evacuations_as_of) = {
            let state = self.lock();
            (self.versions(&state), state.evacuations.as_of)
        };
        {
            let encoded = self
                .last_response
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let same = |e: &&EncodedResponse| {
                e.have == pull.have
                    && e.versions == current
                    && e.evacuations_as_of == evacuations_as_of
            };
            if let Some(cached) = encoded.as_ref().filter(same) {
                return Ok(Arc::clone(&cached.bytes));
            }
        }
        let bytes = gossip::encode(&self.response(pull))?;
        let mut encoded = self
            .last_response
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *encoded = Some(EncodedResponse {
            have: pull.have,
            versions: current,
            evacuations_as_of,
            bytes: Arc::clone(&bytes),
        });
        Ok(bytes)
    }

    fn response(&self, pull: &PullRequest) -> PullResponse {
        let now = self.edge.now();
        let mut state = self.lock();
        let routing: &Arc<Routing> = &Arc::clone(self.edge.table().routing());
        let newer = routing.version > pull.have.version;
        let revision = state.catalog.revision();
        let registry = (revision > pull.have.revision).then(|| {
            let changes = state.catalog.changes_since(now, pull.have.revision);
            let snapshot = || RegistryUpdate::Snapshot(state.catalog.snapshot(now));
            changes.map_or_else(snapshot, RegistryUpdate::Changes)
        });
        PullResponse {
            routing: newer.then(|| {
                // A peer that names no version may have one without its terms, to which no delta
                // applies.
                let base = Some(pull.have.version).filter(|v| *v > 0);
                let delta = base.and_then(|v| self.edge.delta_from(v));
                let full = || RoutingUpdate::Full(Arc::clone(routing));
                delta.map_or_else(full, RoutingUpdate::Delta)
            }),
            registry,
            revision,
            busy: false,
            peers: state.mesh.sample_peers(now, &pull.data_centre),
            evacuations: Some(state.evacuations.clone()),
        }
    }
}

/// Returns whether the daemon is new or has started again.
fn record_peer(state: &mut SyncState, now: Mono, daemon: &Daemon) -> bool {
    let is_new = state.mesh.record_heard(now, daemon);
    if is_new {
        log_new_peers(std::slice::from_ref(daemon));
    }
    is_new
}

/// Logs peers in one line, so that a daemon that learns of hundreds at its start doesn't use up its
/// limit of lines.
fn log_new_peers(new: &[Daemon]) {
    if let [daemon] = new {
        let (address, data_centre) = (daemon.address, &daemon.data_centre);
        log::info!("event=peer_known peer={address} data_centre={data_centre}");
    } else if !new.is_empty() {
        let peers = new
            .iter()
            .map(|d| format!("{}@{}", d.address, d.data_centre));
        let peers: Vec<String> = peers.collect();
        log::info!(
            "event=peers_known count={} peers={}",
            new.len(),
            peers.join(",")
        );
    }
}

/// Update that carries only the versions that its sender can serve.
fn versions_only(
    reader: Daemon,
    age: Duration,
    versions: Versions,
    evacuations: &Evacuations,
) -> StoreUpdate {
    StoreUpdate {
        reader,
        age,
        versions,
        base: versions.revision,
        changes: Vec::new(),
        routing: None,
        can_serve: true,
        relay: false,
        evacuations: Some(evacuations.clone()),
    }
}

/// Splits an update into datagrams; too many changes are left out, and peers pull them.
fn split_update(
    reader: &Daemon,
    versions: Versions,
    base: Revision,
    changes: &[RevisionedChange],
    evacuations: &Evacuations,
) -> Vec<StoreUpdate> {
    let without_changes = versions_only(reader.clone(), Duration::ZERO, versions, evacuations);
    let names = evacuations.data_centres.keys();
    let reserved = names.map(|d| d.len() + EVACUATION_BYTES).sum::<usize>();
    let max_changes = CHANGES_PER_DATAGRAM.saturating_sub(reserved.div_ceil(CHANGE_BYTES));
    let max_changes = max_changes.max(1);
    let with_changes = |base, changes| StoreUpdate {
        base,
        changes,
        ..without_changes.clone()
    };
    if changes.len() > max_changes * MAX_DATAGRAMS {
        return vec![without_changes];
    }
    let mut parts = Vec::new();
    let mut base = base;
    let mut rest = changes;
    while rest.len() > max_changes {
        let (part, later) = rest.split_at(max_changes);
        let last = part.last().map_or(base, |d| d.revision);
        let mut update = with_changes(base, part.to_vec());
        update.versions.revision = last;
        parts.push(update);
        (base, rest) = (last, later);
    }
    parts.push(with_changes(base, rest.to_vec()));
    parts
}
