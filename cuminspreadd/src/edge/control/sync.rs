//! News between daemons: bulletins that are sent and received, and pulls of what is missing.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use cuminspread::coordination::catalog::RevisionedChange;
use cuminspread::coordination::reader::Role;
use cuminspread::protocol::gossip::{
    Daemon, GossipMessage, PullRequest, PullResponse, RegistryUpdate, RoutingUpdate, StoreUpdate,
    Versions,
};
use cuminspread::state::routing::{Routing, RoutingDelta};
use cuminspread::state::time::Mono;
use cuminspread::transport::gossip;
use tokio::time::{sleep, timeout};

use super::{Control, Encoded, SyncState, unit};

/// Bulletins that repeat a change, since datagrams get lost.
const REPEATS: usize = 3;
/// Largest change of the configuration that goes into a datagram, in bytes.
const MAX_DELTA: usize = 700;
/// One pull in this number goes to the daemon that read the store, if nothing else helps.
const ASK_READER: usize = 6;
/// Near peers that a daemon tells of news that it has pulled.
const TOLD: usize = 4;
/// Longest pause between two pulls.
const LONGEST_PULL_PAUSE: Duration = Duration::from_millis(300);
/// Time after news at which its extent is told once more, so that who missed it pulls it.
const ECHO: Duration = Duration::from_millis(200);
/// Changes in one datagram; each is at most 90 bytes with ids of usual length.
const CHANGES_PER_PART: usize = 12;
/// Datagrams for one piece of news; more changes than these hold are pulled.
const MAX_PARTS: usize = 3;
/// First pause of a daemon that nobody has told who has the news.
const PULL_AGAIN: Duration = Duration::from_millis(80);
/// Peers near the reader that ask it.
const FIRST_PULLS: f64 = 4.0;
/// Times that peers are asked for the same news.
const PULL_TRIES: usize = 20;

impl Control {
    /// Hands on what this daemon has just read.
    pub(super) fn publish(self: &Arc<Self>) {
        let mut k = self.lock();
        let versions = self.versions(&k);
        let base = k.published.first().copied().unwrap_or_default();
        let changes = k.catalog.changes_since(base);
        k.published.push(versions.revision);
        if k.published.len() > REPEATS {
            k.published.remove(0);
        }
        let near = k.mesh.near_peers();
        let relays = k.mesh.relays();
        let (base, changes) = match changes {
            Some(changes) => (base, changes),
            None => (versions.revision, Vec::new()),
        };
        let reader = k.mesh.me().clone();
        if k.published_version != versions.version {
            k.version_before = std::mem::replace(&mut k.published_version, versions.version);
        }
        let delta = self.edge.delta_from(k.version_before);
        drop(k);
        let fits = |d: &RoutingDelta| postcard::to_stdvec(d).is_ok_and(|b| b.len() <= MAX_DELTA);
        let delta = delta.filter(fits);
        let is_news = !changes.is_empty() || delta.is_some();
        let mut parts = bulletins(&reader, versions, base, &changes);
        if let Some(delta) = delta {
            // In a datagram of its own, which makes no one pull what the others bring.
            let mut first = parts.remove(0);
            let only = StoreUpdate {
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
            parts.insert(0, only);
        }
        for mut bulletin in parts {
            self.send_bulletin(&near, &bulletin);
            bulletin.relay = true;
            self.send_bulletin(&relays, &bulletin);
        }
        if is_news {
            tokio::spawn(Arc::clone(self).echo(versions));
        }
    }

    /// Tells once more how far the news goes, through other relays.
    async fn echo(self: Arc<Self>, versions: Versions) {
        sleep(ECHO).await;
        let mut k = self.lock();
        let (near, relays) = (k.mesh.near_peers(), k.mesh.relays());
        let mut bulletin = versions_only(k.mesh.me().clone(), ECHO, versions);
        drop(k);
        self.send_bulletin(&near, &bulletin);
        bulletin.relay = true;
        self.send_bulletin(&relays, &bulletin);
    }

    fn send_bulletin(&self, to: &[SocketAddr], bulletin: &StoreUpdate) {
        self.tell(to, &GossipMessage::StoreUpdate(Box::new(bulletin.clone())));
    }

    pub(super) fn take_notice(self: &Arc<Self>, from: SocketAddr, notice: GossipMessage) {
        let now = self.edge.now();
        match notice {
            GossipMessage::Hello(daemon) => {
                let mut k = self.lock();
                meet(&mut k, now, &daemon);
                let peers = GossipMessage::Peers(k.mesh.sample_peers(now, &daemon.data_centre));
                drop(k);
                self.gossip.send(from, &peers);
                self.gossip.send(from, &self.questions(now));
            }
            GossipMessage::Peers(sightings) => {
                let mut k = self.lock();
                let new = k.mesh.merge_known(now, &sightings);
                let knows_nothing = k.catalog.revision() == 0;
                let near = k.mesh.near_peers();
                drop(k);
                for daemon in &new {
                    note_peer(daemon);
                }
                if knows_nothing {
                    // A daemon that has just started doesn't wait for the next bulletin.
                    let wanted = Versions {
                        revision: 1,
                        version: 1,
                    };
                    let first = near.first().copied().unwrap_or(from);
                    self.lock().holder = Some(first);
                    self.start_pull(wanted);
                }
            }
            GossipMessage::StoreUpdate(bulletin) => self.take_bulletin(from, &bulletin),
            GossipMessage::Leaving(daemon) => self.lock().mesh.remove(&daemon),
            GossipMessage::Crash(report) => self.take_crash(report),
            GossipMessage::ProbeRate(rate) => {
                let mut fleet = self.edge.fleet();
                fleet.record_peer_probes(rate as f32, &self.edge.platform);
            }
        }
    }

    fn take_bulletin(self: &Arc<Self>, from: SocketAddr, bulletin: &StoreUpdate) {
        let now = self.edge.now();
        let reader = bulletin.reader.address;
        let mut k = self.lock();
        meet(&mut k, now, &bulletin.reader);
        k.last_read = Some((bulletin.reader.clone(), now - bulletin.age));
        let was = k.reader.role();
        k.reader
            .record_peer_read(now, bulletin.reader.rank(), bulletin.age);
        if was == Role::Reader && k.reader.role() == Role::Follower {
            log::info!("event=leaves_reading_to reader={reader}");
        }
        let mut new = Vec::new();
        let known = k.catalog.revision();
        let follows = known > 0 && bulletin.base <= known;
        if follows {
            for dated in &bulletin.changes {
                if k.catalog.apply(now, dated.clone()) {
                    new.push(dated.clone());
                }
            }
            k.catalog.set_complete_to(bulletin.versions.revision);
        }
        if let Some(delta) = bulletin.routing.clone() {
            self.edge.activate_delta(delta, "peer");
        }
        let behind = !follows && bulletin.versions.revision > known
            || bulletin.versions.version > self.edge.version();
        let near = if bulletin.relay {
            k.mesh.near_peers()
        } else {
            Vec::new()
        };
        drop(k);
        if !new.is_empty() {
            self.apply(&new, "peer", bulletin.age);
        }
        if !near.is_empty() {
            let own = StoreUpdate {
                can_serve: false,
                relay: false,
                ..bulletin.clone()
            };
            self.send_bulletin(&near, &own);
        }
        if behind {
            if bulletin.can_serve && self.asks(from, bulletin) {
                self.lock().holder = Some(from);
                self.told.notify_one();
            }
            self.start_pull(bulletin.versions);
        }
    }

    /// Whether this daemon asks the one that told it.
    ///
    /// Of the peers near the reader only some do; they tell the others.
    fn asks(&self, from: SocketAddr, bulletin: &StoreUpdate) -> bool {
        if bulletin.relay || from != bulletin.reader.address {
            return true;
        }
        let near = self.lock().mesh.near_peers().len();
        unit(self.edge.now().0 ^ self.edge.started_ms) * near as f64 <= FIRST_PULLS
    }

    fn start_pull(self: &Arc<Self>, wanted: Versions) {
        if !self.pulling.swap(true, Ordering::AcqRel) {
            tokio::spawn(Arc::clone(self).pull(wanted));
        }
    }

    /// Asks peers until this daemon knows as much as one of them said.
    ///
    /// Each daemon that has got the news tells a few near peers, which then ask it, so that the
    /// number of those that have it doubles in each round. Without such word any near peer is asked,
    /// less and less often: many that ask one small VM would keep it from serving anybody.
    async fn pull(self: Arc<Self>, wanted: Versions) {
        let mut pause = PULL_AGAIN;
        for i in 1..=PULL_TRIES {
            if self.lock().holder.is_none() {
                let spread = unit(self.edge.now().0 ^ self.edge.started_ms);
                let told = self.told.notified();
                // Whoever has the news tells soon; asking at random is for lost datagrams.
                let _ = timeout(pause.mul_f64(0.5 + spread), told).await;
                pause = (pause * 2).min(LONGEST_PULL_PAUSE);
            }
            let (peer, have) = {
                let mut k = self.lock();
                let have = self.versions(&k);
                let reader = k.last_read.as_ref().map(|(reader, _)| reader.address);
                let last_resort = reader.filter(|_| i % ASK_READER == 0);
                let peer = k
                    .holder
                    .take()
                    .or(last_resort)
                    .or_else(|| k.mesh.pull_peer());
                (peer.or(reader), have)
            };
            if let Some(peer) = peer {
                match self.gossip.pull(peer, self.want(have)).await {
                    Ok(supply) => self.take_supply(peer, supply),
                    Err(e) => log::info!("event=pull_failed peer={peer} cause=\"{e}\""),
                }
            }
            let known = self.versions(&self.lock());
            if known != have {
                self.tell_near();
            }
            if known.revision >= wanted.revision && known.version >= wanted.version {
                break;
            }
        }
        self.pulling.store(false, Ordering::Release);
    }

    /// Tells a few near peers what this daemon has now.
    fn tell_near(&self) {
        let now = self.edge.now();
        let mut k = self.lock();
        let versions = self.versions(&k);
        let Some((reader, at)) = k.last_read.clone() else {
            return;
        };
        let peers: Vec<SocketAddr> = (0..TOLD).filter_map(|_| k.mesh.random_near()).collect();
        drop(k);
        let bulletin = versions_only(reader, now.since(at), versions);
        self.send_bulletin(&peers, &bulletin);
    }

    fn want(&self, have: Versions) -> PullRequest {
        PullRequest {
            have,
            data_centre: self.edge.settings.data_centre.clone(),
        }
    }

    fn take_supply(&self, peer: SocketAddr, supply: PullResponse) {
        let now = self.edge.now();
        if supply.busy {
            return;
        }
        match supply.routing {
            Some(RoutingUpdate::Full(routing)) => {
                self.edge.activate(routing, "peer");
            }
            Some(RoutingUpdate::Delta(delta)) => {
                self.edge.activate_delta(delta, "peer");
            }
            None => {}
        }
        let mut k = self.lock();
        k.mesh.merge_known(now, &supply.peers);
        let mut new = Vec::new();
        match supply.registry {
            Some(RegistryUpdate::Snapshot(copy)) => {
                let lapsed = k.reader.is_outage(now);
                new = k.catalog.reconcile(now, supply.revision, copy, lapsed);
            }
            Some(RegistryUpdate::Changes(changes)) => {
                let changes = changes.into_iter();
                new.extend(changes.filter(|d| k.catalog.apply(now, d.clone())));
                k.catalog.set_complete_to(supply.revision);
            }
            None => {}
        }
        drop(k);
        if new.is_empty() {
            return;
        }
        log::info!("event=pulled peer={peer} changes={}", new.len());
        self.apply(&new, "peer", Duration::ZERO);
    }

    /// Answer to a pull; many pulls of the same news are encoded once.
    pub(super) fn encoded_supply(&self, pull: &PullRequest) -> io::Result<Arc<[u8]>> {
        let now = self.versions(&self.lock());
        {
            let encoded = self.encoded.lock().unwrap_or_else(PoisonError::into_inner);
            let same = |e: &&Encoded| e.have == pull.have && e.then == now;
            if let Some(known) = encoded.as_ref().filter(same) {
                return Ok(Arc::clone(&known.bytes));
            }
        }
        let bytes = gossip::encode(&self.supply(pull))?;
        let mut encoded = self.encoded.lock().unwrap_or_else(PoisonError::into_inner);
        *encoded = Some(Encoded {
            have: pull.have,
            then: now,
            bytes: Arc::clone(&bytes),
        });
        Ok(bytes)
    }

    fn supply(&self, pull: &PullRequest) -> PullResponse {
        let now = self.edge.now();
        let mut k = self.lock();
        let routing: &Arc<Routing> = &Arc::clone(self.edge.table().routing());
        let newer = routing.version > pull.have.version;
        let revision = k.catalog.revision();
        let registry = (revision > pull.have.revision).then(|| {
            let changes = k.catalog.changes_since(pull.have.revision);
            let copy = || RegistryUpdate::Snapshot(k.catalog.snapshot());
            changes.map_or_else(copy, RegistryUpdate::Changes)
        });
        PullResponse {
            routing: newer.then(|| {
                let delta = self.edge.delta_from(pull.have.version);
                let whole = || RoutingUpdate::Full(Arc::clone(routing));
                delta.map_or_else(whole, RoutingUpdate::Delta)
            }),
            registry,
            revision,
            busy: false,
            peers: k.mesh.sample_peers(now, &pull.data_centre),
        }
    }
}

fn meet(k: &mut SyncState, now: Mono, daemon: &Daemon) {
    if k.mesh.record_heard(now, daemon) {
        note_peer(daemon);
    }
}

fn note_peer(daemon: &Daemon) {
    let (address, place) = (daemon.address, &daemon.data_centre);
    log::info!("event=peer_known peer={address} data_centre={place}");
}

/// Update that says how far news goes, without any change.
fn versions_only(reader: Daemon, age: Duration, versions: Versions) -> StoreUpdate {
    StoreUpdate {
        reader,
        age,
        versions,
        base: versions.revision,
        changes: Vec::new(),
        routing: None,
        can_serve: true,
        relay: false,
    }
}

/// Splits news into parts that fit datagrams; of too many changes none is sent, and peers pull them.
fn bulletins(
    reader: &Daemon,
    versions: Versions,
    base: u64,
    changes: &[RevisionedChange],
) -> Vec<StoreUpdate> {
    let none = versions_only(reader.clone(), Duration::ZERO, versions);
    let whole = |base, changes| StoreUpdate {
        base,
        changes,
        ..none.clone()
    };
    if changes.len() > CHANGES_PER_PART * MAX_PARTS {
        return vec![none];
    }
    let mut parts = Vec::new();
    let mut base = base;
    let mut rest = changes;
    while rest.len() > CHANGES_PER_PART {
        let (part, later) = rest.split_at(CHANGES_PER_PART);
        let last = part.last().map_or(base, |d| d.revision);
        let mut bulletin = whole(base, part.to_vec());
        bulletin.versions.revision = last;
        parts.push(bulletin);
        (base, rest) = (last, later);
    }
    parts.push(whole(base, rest.to_vec()));
    parts
}
