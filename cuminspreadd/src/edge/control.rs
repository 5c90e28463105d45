//! Learns routes and servers, from the store or from peers, and hands them on.
//!
//! Tasks of this module receive notices, answer pulls, and wait for the next thing that is due. What
//! follows from them is decided by the library's [`Reader`], [`Mesh`] and [`Catalog`], which one
//! mutex guards; it is never held across an await.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::Context as _;
use cuminspread::coordination::catalog::{Catalog, Change, Dated};
use cuminspread::coordination::mesh::Mesh;
use cuminspread::coordination::reader::{Reader, Role};
use cuminspread::protocol::bulletin::{
    Bulletin, Daemon, Extent, NewRouting, Notice, Pull, Registry, Supply,
};
use cuminspread::state::routing::{Routing, RoutingDelta};
use cuminspread::state::time::Mono;
use cuminspread::transport::gossip::Gossip;
use cuminspread_platform::store::{ReadError, Reading, Servers, Store};
use rand::RngExt as _;
use rand_pcg::Pcg32;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, timeout};

use super::state::Edge;

/// Longest time for a connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest pause between two looks at what is due, so that a pause of the process is noticed.
const LONGEST_SLEEP: Duration = Duration::from_millis(500);
/// Delay beyond a timer's time that shows that the process was paused.
const PAUSED: Duration = Duration::from_millis(700);
/// Time that a daemon that isn't a seed waits for peers before it reads the store itself: seeds may
/// start 0.3 s later, and then need some calls.
const FIRST_WAIT: Duration = Duration::from_millis(500);
/// Time after a restart in which a peer may hand over what it knows, before a daemon reads a part of
/// the store itself.
const GLIMPSE_WAIT: Duration = Duration::from_millis(40);
/// Longest time for each call of that read.
const GLIMPSE_TIMEOUT: Duration = Duration::from_millis(400);
/// Random time added to the first wait, so that not all read if no seed is there.
const FIRST_SPREAD: Duration = Duration::from_secs(1);
/// Bulletins that repeat a change, since datagrams get lost.
const REPEATS: usize = 3;
/// Lines for the servers of one piece of news; more are told by their number.
const MAX_LINES: usize = 24;
/// Largest change of the configuration that goes into a datagram, in bytes.
const MAX_DELTA: usize = 700;
/// One pull in this number goes to the one that told the news, the others to near peers.
const ASK_TELLER: usize = 4;
/// Time after news at which its extent is told once more, so that who missed it pulls it.
const ECHO: Duration = Duration::from_millis(200);
/// Pulls that are served at once; each of a large change takes a VM of 10 Mbit/s 0.1 s.
const MAX_SERVED: usize = 3;
/// Changes in one datagram; each is at most 90 bytes with ids of usual length.
const CHANGES_PER_PART: usize = 12;
/// Datagrams for one piece of news; more changes than these hold are pulled.
const MAX_PARTS: usize = 3;
/// Pause before a peer that doesn't have the news yet is asked again.
const PULL_AGAIN: Duration = Duration::from_millis(40);
/// Times that peers are asked for the same news.
const PULL_TRIES: usize = 40;
/// Time after the store's return in which missing entries may be back, with some slack.
const RETURN_TIME: Duration = Duration::from_millis(2500);
/// Odd number that spreads the bits of a product.
const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;
/// Longest pause of a listener after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct Knowledge {
    catalog: Catalog,
    reader: Reader,
    mesh: Mesh,
    /// Revisions of the last bulletins, newest last.
    published: Vec<u64>,
    /// Version of the last bulletin, and the one that bulletins named before.
    published_version: u64,
    version_before: u64,
    /// Until then, missing entries may have lapsed while the store was away.
    lapse_until: Mono,
    tick_due: Mono,
}

/// Knowledge of one daemon and its links.
#[derive(Debug)]
pub struct Control {
    edge: Arc<Edge>,
    gossip: Gossip,
    store: Store,
    knowledge: Mutex<Knowledge>,
    wake: Notify,
    pulling: AtomicBool,
    /// Pulls that are being served.
    serving: AtomicUsize,
}

impl Control {
    /// Binds the link to peers.
    ///
    /// # Errors
    ///
    /// Fails if the link can't be bound or the store's client can't be set up.
    pub async fn bind(edge: Arc<Edge>) -> anyhow::Result<Arc<Self>> {
        let (settings, platform) = (&edge.settings, &edge.platform);
        let gossip = Gossip::bind(settings.peer).await;
        let gossip = gossip.with_context(|| format!("step=bind_peer peer={}", settings.peer))?;
        let store = Store::new(platform.store, CONNECT_TIMEOUT);
        let store = store.with_context(|| format!("step=store peer={}", platform.store))?;
        let address = gossip.local().context("step=bind_peer")?;
        let me = Daemon {
            address,
            data_centre: settings.data_centre.clone(),
            started: edge.started_ms,
            capacity: platform.capacity,
        };
        let is_seed = platform.seeds.contains(&address);
        let first = if is_seed && platform.first_start || platform.seeds.is_empty() {
            Duration::ZERO
        } else {
            FIRST_WAIT + FIRST_SPREAD.mul_f64(unit(edge.started_ms ^ me.rank()))
        };
        let (rank, seed) = (me.rank(), edge.started_ms ^ me.rank());
        let knowledge = Knowledge {
            catalog: Catalog::default(),
            reader: Reader::new(
                platform.reader.clone(),
                rank,
                seed,
                edge.now().since(Mono(0)) + first,
            ),
            mesh: Mesh::new(platform.mesh.clone(), me, platform.seeds.clone(), seed),
            published: Vec::new(),
            published_version: 0,
            version_before: 0,
            lapse_until: Mono::default(),
            tick_due: edge.now(),
        };
        Ok(Arc::new(Self {
            edge,
            gossip,
            store,
            knowledge: Mutex::new(knowledge),
            wake: Notify::new(),
            pulling: AtomicBool::new(false),
            serving: AtomicUsize::new(0),
        }))
    }

    /// Starts the tasks.
    pub fn start(self: &Arc<Self>) -> Vec<JoinHandle<()>> {
        if !self.edge.platform.first_start {
            tokio::spawn(Arc::clone(self).glimpse());
        }
        vec![
            tokio::spawn(receive(Arc::clone(self))),
            tokio::spawn(accept(Arc::clone(self))),
            tokio::spawn(tick(Arc::clone(self))),
        ]
    }

    /// Address of the link to peers.
    pub fn address(&self) -> SocketAddr {
        self.lock().mesh.me().address
    }

    /// Tells peers that this daemon stops.
    pub fn leave(&self) {
        let mut k = self.lock();
        let notice = Notice::Leaving(k.mesh.me().clone());
        let mut to = k.mesh.near();
        to.extend(k.mesh.relays());
        drop(k);
        for peer in to {
            self.gossip.send(peer, &notice);
        }
    }

    /// Takes changed settings.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.lock().mesh.set_seeds(seeds);
    }

    /// What this daemon knows, for operators.
    pub fn beliefs(&self) -> Beliefs {
        let now = self.edge.now();
        let k = self.lock();
        Beliefs {
            daemons: k.mesh.size(),
            revision: k.catalog.revision(),
            reads_store: k.reader.role() == Role::Reader,
            store_age: k.reader.age(now),
            failed_reads: k.reader.failures(),
            sent_bytes: self.gossip.counts().sent_bytes.load(Ordering::Relaxed),
            received_bytes: self.gossip.counts().received_bytes.load(Ordering::Relaxed),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Knowledge> {
        self.knowledge
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn extent(&self, k: &Knowledge) -> Extent {
        Extent {
            revision: k.catalog.revision(),
            version: self.edge.version(),
        }
    }

    /// Does what is due; gives the time of the next thing.
    fn run_due(self: &Arc<Self>) -> Mono {
        let now = self.edge.now();
        let mut k = self.lock();
        let late = now.since(k.tick_due);
        if late > PAUSED {
            log::warn!("event=paused for_ms={}", late.as_millis());
            k.reader.resumed(now);
        }
        let greet = k.mesh.greet(now);
        if !greet.is_empty() {
            let hello = Notice::Hello(k.mesh.me().clone());
            for peer in greet {
                self.gossip.send(peer, &hello);
            }
        }
        let gone = k.catalog.sweep(now);
        let daemons = k.mesh.size();
        k.reader.set_fleet(daemons);
        if let Some(limit) = k.reader.begin(now) {
            let after = k.catalog.revision();
            tokio::spawn(Arc::clone(self).read(after, limit));
        }
        let next = k.reader.next().unwrap_or(now + LONGEST_SLEEP);
        let next = next.min(k.mesh.next_greeting()).min(now + LONGEST_SLEEP);
        k.tick_due = next;
        drop(k);
        let table = self.edge.table();
        let mut fleet = self.edge.fleet();
        fleet.set_daemons(daemons, &table);
        for id in gone {
            log::info!("event=server_gone server={id} cause=lapsed");
            fleet.remove(&id);
        }
        next
    }

    /// After a restart, reads enough of the store to serve, unless a peer answers first.
    ///
    /// Seeds may start later than others, and callers are already there.
    async fn glimpse(self: Arc<Self>) {
        sleep(GLIMPSE_WAIT).await;
        if self.lock().catalog.revision() > 0 {
            return;
        }
        let salt = self.lock().mesh.me().rank().wrapping_mul(GOLDEN) ^ self.edge.started_ms;
        let salt = salt.wrapping_mul(GOLDEN);
        match self.store.glimpse(salt, GLIMPSE_TIMEOUT).await {
            Ok(reading) => self.take_reading(reading),
            Err(e) => {
                self.edge.metrics.count_read("failed");
                log::info!("event=glimpse_failed cause=\"{e}\"");
            }
        }
    }

    async fn read(self: Arc<Self>, after: u64, limit: Duration) {
        let mut result = if after == 0 {
            self.store.copy(limit).await
        } else {
            self.store.changes(after, limit).await
        };
        if let Err(ReadError::Compacted) = result {
            log::info!("event=store_history_gone after={after}");
            self.edge.metrics.count_read("compacted");
            result = self.store.copy(limit).await;
        }
        match result {
            Ok(reading) => self.take_reading(reading),
            Err(e) => self.note_failed_read(&e),
        }
        self.wake.notify_one();
    }

    fn note_failed_read(&self, e: &ReadError) {
        let now = self.edge.now();
        let mut k = self.lock();
        let first = k.reader.failures() == 0;
        let age = k.reader.age(now);
        k.reader.failed(now);
        drop(k);
        self.edge.metrics.count_read("failed");
        if first {
            let store = self.edge.platform.store;
            let age = age.unwrap_or_default().as_millis();
            log::warn!("event=store_lost store={store} last_read_ms={age} cause=\"{e}\"");
        }
    }

    fn take_reading(self: &Arc<Self>, reading: Reading) {
        let now = self.edge.now();
        self.edge.metrics.count_read("answered");
        let mut k = self.lock();
        if k.reader.failures() > 0 {
            let age = k.reader.age(now).unwrap_or_default().as_millis();
            log::info!("event=store_regained last_read_ms={age}");
        }
        if k.reader.is_outage(now) {
            k.lapse_until = now + RETURN_TIME;
        }
        if k.reader.role() == Role::Follower && reading.at > 0 {
            log::info!("event=reads_store revision={}", reading.at);
        }
        let partial = matches!(reading.servers, Servers::Some(_));
        if !partial {
            k.reader.succeeded(now);
        }
        let lapsed = now < k.lapse_until;
        let new = match reading.servers {
            Servers::Some(some) => {
                let reported = some.into_iter().map(|(revision, entry)| Dated {
                    revision,
                    change: Change::Reported(entry),
                });
                take_changes(&mut k.catalog, now, reported.collect(), lapsed)
            }
            Servers::Copy(copy) => k.catalog.reconcile(now, reading.at, copy, lapsed),
            Servers::Changes(changes) => take_changes(&mut k.catalog, now, changes, lapsed),
        };
        k.catalog.complete(reading.at);
        drop(k);
        if let Some(routing) = reading.routing {
            self.edge.put_in_force(routing, "store");
        }
        self.apply(&new, "store", Duration::ZERO);
        if !partial {
            self.publish();
        }
    }

    /// Brings servers up to date with changes of the catalog.
    fn apply(&self, changes: &[Dated], source: &str, age: Duration) {
        self.edge.set_registry_known();
        let age = age.as_millis();
        if changes.len() > MAX_LINES {
            let count = changes.len();
            log::info!("event=servers_changed count={count} source={source} age_ms={age}");
        }
        for dated in changes.iter().take(MAX_LINES) {
            let revision = dated.revision;
            match &dated.change {
                Change::Reported(entry) => {
                    log::info!(
                        "event=server_known server={} service={} address={} draining={} born={} \
                         revision={revision} source={source} age_ms={age}",
                        entry.id,
                        entry.service,
                        entry.address,
                        entry.draining,
                        entry.born
                    );
                }
                Change::Removed { id, lapsed } => log::info!(
                    "event=server_removed server={id} lapsed={lapsed} revision={revision} \
                     source={source} age_ms={age}"
                ),
            }
        }
        // The catalog decides which reports hold, so its entries are taken, not the reports.
        let k = self.lock();
        let mut fleet = self.edge.fleet();
        let mut services = BTreeSet::new();
        for dated in changes {
            let id = dated.change.id();
            match k.catalog.entry(id) {
                Some(entry) => {
                    services.insert(entry.service.clone());
                    fleet.put(&self.edge, entry);
                }
                None => fleet.remove(id),
            }
        }
        for service in services {
            fleet.choose_own(&service, self.edge.placing().subset);
        }
    }

    /// Hands on what this daemon has just read.
    fn publish(self: &Arc<Self>) {
        let mut k = self.lock();
        let extent = self.extent(&k);
        let base = k.published.first().copied().unwrap_or_default();
        let changes = k.catalog.since(base);
        k.published.push(extent.revision);
        if k.published.len() > REPEATS {
            k.published.remove(0);
        }
        let near = k.mesh.near();
        let relays = k.mesh.relays();
        let (base, changes) = match changes {
            Some(changes) => (base, changes),
            None => (extent.revision, Vec::new()),
        };
        let reader = k.mesh.me().clone();
        if k.published_version != extent.version {
            k.version_before = std::mem::replace(&mut k.published_version, extent.version);
        }
        let delta = self.edge.delta_from(k.version_before);
        drop(k);
        let fits = |d: &RoutingDelta| postcard::to_stdvec(d).is_ok_and(|b| b.len() <= MAX_DELTA);
        let delta = delta.filter(fits);
        let is_news = !changes.is_empty() || delta.is_some();
        let mut parts = bulletins(&reader, extent, base, &changes);
        if let Some(delta) = delta {
            // In a datagram of its own, which makes no one pull what the others bring.
            let mut first = parts.remove(0);
            let only = Bulletin {
                changes: Vec::new(),
                extent: Extent {
                    revision: first.base,
                    ..extent
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
            tokio::spawn(Arc::clone(self).echo(extent));
        }
    }

    /// Tells once more how far the news goes, through other relays.
    async fn echo(self: Arc<Self>, extent: Extent) {
        sleep(ECHO).await;
        let mut k = self.lock();
        let (near, relays) = (k.mesh.near(), k.mesh.relays());
        let mut bulletin = Bulletin {
            reader: k.mesh.me().clone(),
            age: ECHO,
            extent,
            base: extent.revision,
            changes: Vec::new(),
            routing: None,
            relay: false,
        };
        drop(k);
        self.send_bulletin(&near, &bulletin);
        bulletin.relay = true;
        self.send_bulletin(&relays, &bulletin);
    }

    fn send_bulletin(&self, to: &[SocketAddr], bulletin: &Bulletin) {
        let notice = Notice::Bulletin(Box::new(bulletin.clone()));
        for peer in to {
            if !self.gossip.send(*peer, &notice) {
                log::debug!("event=bulletin_unsent peer={peer}");
            }
        }
    }

    fn take_notice(self: &Arc<Self>, from: SocketAddr, notice: Notice) {
        let now = self.edge.now();
        match notice {
            Notice::Hello(daemon) => {
                let mut k = self.lock();
                meet(&mut k, now, &daemon);
                let peers = Notice::Peers(k.mesh.sample(now, &daemon.data_centre));
                drop(k);
                self.gossip.send(from, &peers);
            }
            Notice::Peers(sightings) => {
                let mut k = self.lock();
                let new = k.mesh.named(now, &sightings);
                let knows_nothing = k.catalog.revision() == 0;
                let near = k.mesh.near();
                drop(k);
                for daemon in &new {
                    note_peer(daemon);
                }
                if knows_nothing {
                    // A daemon that has just started doesn't wait for the next bulletin.
                    let wanted = Extent {
                        revision: 1,
                        version: 1,
                    };
                    let first = near.first().copied().unwrap_or(from);
                    self.start_pull(vec![first, from], wanted);
                }
            }
            Notice::Bulletin(bulletin) => self.take_bulletin(from, &bulletin),
            Notice::Leaving(daemon) => self.lock().mesh.left(&daemon),
            Notice::Crashes(crashes) => {
                let mut fleet = self.edge.fleet();
                for crash in crashes {
                    fleet.crashes.learn(now, crash.fingerprint);
                }
            }
        }
    }

    fn take_bulletin(self: &Arc<Self>, from: SocketAddr, bulletin: &Bulletin) {
        let now = self.edge.now();
        let reader = bulletin.reader.address;
        let mut k = self.lock();
        meet(&mut k, now, &bulletin.reader);
        let was = k.reader.role();
        k.reader.heard(now, bulletin.reader.rank(), bulletin.age);
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
            k.catalog.complete(bulletin.extent.revision);
        }
        if let Some(delta) = bulletin.routing.clone() {
            self.edge.put_delta_in_force(delta, "peer");
        }
        let behind = !follows && bulletin.extent.revision > known
            || bulletin.extent.version > self.edge.version();
        let near = if bulletin.relay {
            k.mesh.near()
        } else {
            Vec::new()
        };
        drop(k);
        if !new.is_empty() {
            self.apply(&new, "peer", bulletin.age);
        }
        if !near.is_empty() {
            let own = Bulletin {
                relay: false,
                ..bulletin.clone()
            };
            self.send_bulletin(&near, &own);
        }
        if behind {
            self.start_pull(vec![from, reader], bulletin.extent);
        }
    }

    fn start_pull(self: &Arc<Self>, peers: Vec<SocketAddr>, wanted: Extent) {
        if !self.pulling.swap(true, Ordering::AcqRel) {
            tokio::spawn(Arc::clone(self).pull(peers, wanted));
        }
    }

    /// Asks peers until this daemon knows as much as they said.
    ///
    /// The one that told the news could not serve a whole data centre at once, so mostly near peers
    /// are asked, which have the news soon.
    async fn pull(self: Arc<Self>, told_by: Vec<SocketAddr>, wanted: Extent) {
        for i in 0..PULL_TRIES {
            let have = self.extent(&self.lock());
            if have.revision >= wanted.revision && have.version >= wanted.version {
                break;
            }
            let helper = self.lock().mesh.helper();
            let teller = told_by[i / ASK_TELLER % told_by.len()];
            let peer = if i % ASK_TELLER == 0 {
                teller
            } else {
                helper.unwrap_or(teller)
            };
            match self.gossip.pull(peer, self.want(have)).await {
                Ok(supply) => self.take_supply(peer, supply),
                Err(e) => log::info!("event=pull_failed peer={peer} cause=\"{e}\""),
            }
            let have = self.extent(&self.lock());
            if have.revision < wanted.revision || have.version < wanted.version {
                let spread = unit(self.edge.now().0 ^ self.edge.started_ms);
                sleep(PULL_AGAIN.mul_f64(0.5 + spread)).await;
            }
        }
        self.pulling.store(false, Ordering::Release);
    }

    fn want(&self, have: Extent) -> Pull {
        Pull {
            have,
            data_centre: self.edge.settings.data_centre.clone(),
        }
    }

    fn take_supply(&self, peer: SocketAddr, supply: Supply) {
        let now = self.edge.now();
        if supply.busy {
            return;
        }
        match supply.routing {
            Some(NewRouting::Whole(routing)) => {
                self.edge.put_in_force(routing, "peer");
            }
            Some(NewRouting::Delta(delta)) => {
                self.edge.put_delta_in_force(delta, "peer");
            }
            None => {}
        }
        let mut k = self.lock();
        k.mesh.named(now, &supply.peers);
        let mut new = Vec::new();
        match supply.registry {
            Some(Registry::Copy(copy)) => {
                let lapsed = k.reader.is_outage(now);
                new = k.catalog.reconcile(now, supply.revision, copy, lapsed);
            }
            Some(Registry::Changes(changes)) => {
                let changes = changes.into_iter();
                new.extend(changes.filter(|d| k.catalog.apply(now, d.clone())));
                k.catalog.complete(supply.revision);
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

    fn supply(&self, pull: &Pull) -> Supply {
        let now = self.edge.now();
        let mut k = self.lock();
        let routing: &Arc<Routing> = &Arc::clone(self.edge.table().routing());
        let newer = routing.version > pull.have.version;
        let revision = k.catalog.revision();
        let registry = (revision > pull.have.revision).then(|| {
            let changes = k.catalog.since(pull.have.revision);
            let copy = || Registry::Copy(k.catalog.copy());
            changes.map_or_else(copy, Registry::Changes)
        });
        Supply {
            routing: newer.then(|| {
                let delta = self.edge.delta_from(pull.have.version);
                let whole = || NewRouting::Whole(Arc::clone(routing));
                delta.map_or_else(whole, NewRouting::Delta)
            }),
            registry,
            revision,
            busy: false,
            peers: k.mesh.sample(now, &pull.data_centre),
        }
    }
}

/// What a daemon knows of its surroundings.
#[derive(Debug, Clone)]
pub struct Beliefs {
    /// Daemons heard lately, this one included.
    pub daemons: usize,
    /// Revision of the registry.
    pub revision: u64,
    /// It reads the store for others.
    pub reads_store: bool,
    /// Time since the last successful read of any daemon.
    pub store_age: Option<Duration>,
    /// Own reads that failed in a row.
    pub failed_reads: u32,
    /// Bytes sent to peers.
    pub sent_bytes: u64,
    /// Bytes received from peers.
    pub received_bytes: u64,
}

fn meet(k: &mut Knowledge, now: Mono, daemon: &Daemon) {
    if k.mesh.heard(now, daemon) {
        note_peer(daemon);
    }
}

fn note_peer(daemon: &Daemon) {
    let (address, place) = (daemon.address, &daemon.data_centre);
    log::info!("event=peer_known peer={address} data_centre={place}");
}

/// Splits news into parts that fit datagrams; of too many changes none is sent, and peers pull them.
fn bulletins(reader: &Daemon, extent: Extent, base: u64, changes: &[Dated]) -> Vec<Bulletin> {
    let whole = |base, changes| Bulletin {
        reader: reader.clone(),
        age: Duration::ZERO,
        extent,
        base,
        changes,
        routing: None,
        relay: false,
    };
    if changes.len() > CHANGES_PER_PART * MAX_PARTS {
        return vec![whole(extent.revision, Vec::new())];
    }
    let mut parts = Vec::new();
    let mut base = base;
    let mut rest = changes;
    while rest.len() > CHANGES_PER_PART {
        let (part, later) = rest.split_at(CHANGES_PER_PART);
        let last = part.last().map_or(base, |d| d.revision);
        let mut bulletin = whole(base, part.to_vec());
        bulletin.extent.revision = last;
        parts.push(bulletin);
        (base, rest) = (last, later);
    }
    parts.push(whole(base, rest.to_vec()));
    parts
}

/// Number from 0 to 1 that looks random.
fn unit(seed: u64) -> f64 {
    Pcg32::new(seed, 11).random_range(0.0..1.0)
}

fn take_changes(
    catalog: &mut Catalog,
    now: Mono,
    changes: Vec<Dated>,
    may_have_lapsed: bool,
) -> Vec<Dated> {
    let mut new = Vec::new();
    for mut dated in changes {
        if let Change::Removed { lapsed, .. } = &mut dated.change {
            *lapsed = may_have_lapsed;
        }
        if catalog.apply(now, dated.clone()) {
            new.push(dated);
        }
    }
    new
}

async fn receive(control: Arc<Control>) {
    let mut buf = vec![0; 2048];
    loop {
        let (from, notice) = control.gossip.receive(&mut buf).await;
        control.take_notice(from, notice);
    }
}

async fn accept(control: Arc<Control>) {
    loop {
        match control.gossip.accept().await {
            Ok(stream) => {
                let control = Arc::clone(&control);
                tokio::spawn(async move {
                    let before = control.serving.fetch_add(1, Ordering::AcqRel);
                    let served = control.gossip.serve(stream, |pull| {
                        if before < MAX_SERVED {
                            return control.supply(&pull);
                        }
                        Supply {
                            busy: true,
                            ..Supply::default()
                        }
                    });
                    if let Err(e) = served.await {
                        log::debug!("event=pull_unserved cause=\"{e}\"");
                    }
                    control.serving.fetch_sub(1, Ordering::AcqRel);
                });
            }
            Err(e) => {
                log::warn!("event=accept_failed listener=peer cause={e:?}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn tick(control: Arc<Control>) {
    loop {
        let next = control.run_due();
        let until = control.edge.instant(next);
        // Woken early when a read has ended.
        let _ = timeout(LONGEST_SLEEP, async {
            tokio::select! {
                () = sleep_until(until) => {}
                () = control.wake.notified() => {}
            }
        })
        .await;
    }
}
