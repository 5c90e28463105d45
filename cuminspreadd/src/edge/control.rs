//! Learns routes and servers, from the store or from peers, and hands them on.
//!
//! Tasks of this module receive notices, answer pulls, and wait for the next thing that is due. What
//! follows from them is decided by the library's [`ReadSchedule`], [`Mesh`] and [`Catalog`], which one
//! mutex guards; it is never held across an await.

mod sync;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::Context as _;
use cuminspread::coordination::catalog::{Catalog, Change, RevisionedChange};
use cuminspread::coordination::mesh::Mesh;
use cuminspread::coordination::reader::{ReadSchedule, Role};
use cuminspread::protocol::gossip::{CrashReport, Daemon, GossipMessage, PullResponse, Versions};
use cuminspread::state::time::Mono;
use cuminspread::transport::gossip::{self, Gossip};
use cuminspread_platform::store::{ReadError, ReadResult, Servers, StoreClient};
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
/// Lines for the servers of one piece of news; more are told by their number.
const MAX_LINES: usize = 24;
/// Pulls that are served at once; each of a large change takes a VM of 10 Mbit/s 0.1 s.
const MAX_SERVED: usize = 3;
/// Time after the store's return in which missing entries may be back, with some slack.
const RETURN_TIME: Duration = Duration::from_millis(2500);
/// Odd number that spreads the bits of a product.
const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;
/// Longest pause of a listener after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct SyncState {
    catalog: Catalog,
    reader: ReadSchedule,
    mesh: Mesh,
    /// Revisions of the last bulletins, newest last.
    published: Vec<u64>,
    /// Version of the last bulletin, and the one that bulletins named before.
    published_version: u64,
    version_before: u64,
    /// Peer that has said lately that it has more.
    holder: Option<SocketAddr>,
    /// Daemon that made the last read that was heard of, and the time of that read.
    last_read: Option<(Daemon, Mono)>,
    /// Until then, missing entries may have lapsed while the store was away.
    lapse_until: Mono,
    tick_due: Mono,
}

/// A supply, as it is sent.
#[derive(Debug)]
struct Encoded {
    /// What its puller had.
    have: Versions,
    /// What it leads to.
    then: Versions,
    bytes: Arc<[u8]>,
}

/// Keeps one daemon up to date, from the store and from peers.
#[derive(Debug)]
pub struct Control {
    edge: Arc<Edge>,
    gossip: Gossip,
    store: StoreClient,
    knowledge: Mutex<SyncState>,
    wake: Notify,
    pulling: AtomicBool,
    /// Pulls that are being served.
    serving: AtomicUsize,
    /// A peer has told that it has more.
    told: Notify,
    /// Last supply.
    encoded: Mutex<Option<Encoded>>,
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
        let store = StoreClient::new(platform.store, CONNECT_TIMEOUT);
        let store = store.with_context(|| format!("step=store peer={}", platform.store))?;
        let address = gossip.local_addr().context("step=bind_peer")?;
        let me = Daemon {
            address,
            data_centre: settings.data_centre.clone(),
            started_ms: edge.started_ms,
            capacity: platform.capacity,
        };
        let is_seed = platform.seeds.contains(&address);
        let first = if is_seed && platform.first_start || platform.seeds.is_empty() {
            Duration::ZERO
        } else {
            FIRST_WAIT + FIRST_SPREAD.mul_f64(unit(edge.started_ms ^ me.rank()))
        };
        let (rank, seed) = (me.rank(), edge.started_ms ^ me.rank());
        let knowledge = SyncState {
            catalog: Catalog::default(),
            reader: ReadSchedule::new(
                platform.reader.clone(),
                rank,
                seed,
                edge.now().since(Mono(0)) + first,
            ),
            mesh: Mesh::new(platform.mesh.clone(), me, platform.seeds.clone(), seed),
            published: Vec::new(),
            published_version: 0,
            version_before: 0,
            holder: None,
            last_read: None,
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
            told: Notify::new(),
            encoded: Mutex::default(),
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
        let notice = GossipMessage::Leaving(k.mesh.me().clone());
        let mut to = k.mesh.near_peers();
        to.extend(k.mesh.relays());
        drop(k);
        self.tell(&to, &notice);
    }

    fn tell(&self, peers: &[SocketAddr], notice: &GossipMessage) {
        for peer in peers {
            if !self.gossip.send(*peer, notice) {
                log::debug!("event=notice_unsent peer={peer}");
            }
        }
    }

    /// Takes changed settings.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.lock().mesh.set_seeds(seeds);
    }

    /// What this daemon knows, for operators.
    pub fn status(&self) -> ControlStatus {
        let now = self.edge.now();
        let k = self.lock();
        ControlStatus {
            peers: k.mesh.peers(now),
            reader: k.last_read.as_ref().map(|(reader, _)| reader.address),
            daemons: k.mesh.size(),
            revision: k.catalog.revision(),
            reads_store: k.reader.role() == Role::Reader,
            store_age: k.reader.age(now),
            failed_reads: k.reader.failures(),
            sent_bytes: self.gossip.counts().sent_bytes.load(Ordering::Relaxed),
            received_bytes: self.gossip.counts().received_bytes.load(Ordering::Relaxed),
        }
    }

    fn lock(&self) -> MutexGuard<'_, SyncState> {
        self.knowledge
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn versions(&self, k: &SyncState) -> Versions {
        Versions {
            revision: k.catalog.revision(),
            version: self.edge.version(),
        }
    }

    fn questions(&self, now: Mono) -> GossipMessage {
        GossipMessage::ProbeRate(self.edge.fleet().probe_rate(now).round() as u32)
    }

    /// Tells peers that a request crashed a server; relays pass it on in their data centres.
    fn send_crash(&self, k: &mut SyncState, report: CrashReport) {
        for (peers, relay) in [(k.mesh.near_peers(), false), (k.mesh.relays(), true)] {
            self.tell(
                &peers,
                &GossipMessage::Crash(CrashReport { relay, ..report }),
            );
        }
    }

    fn take_crash(&self, report: CrashReport) {
        if !self.edge.crash_tracker().record(self.edge.now(), &report) || !report.relay {
            return;
        }
        let near = self.lock().mesh.near_peers();
        let notice = GossipMessage::Crash(CrashReport {
            relay: false,
            ..report
        });
        self.tell(&near, &notice);
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
        let crashes = self.edge.crash_tracker().take_unsent(now);
        for report in crashes {
            self.send_crash(&mut k, report);
        }
        let greet = k.mesh.hello_targets(now);
        if !greet.is_empty() {
            let hello = GossipMessage::Hello(k.mesh.me().clone());
            let questions = self.questions(now);
            self.tell(&greet, &hello);
            self.tell(&greet, &questions);
        }
        let gone = k.catalog.expire(now);
        let daemons = k.mesh.size();
        k.reader.set_daemons(daemons);
        if let Some(limit) = k.reader.begin(now) {
            let after = k.catalog.revision();
            tokio::spawn(Arc::clone(self).read(after, limit));
        }
        let next = k.reader.next_read().unwrap_or(now + LONGEST_SLEEP);
        let next = next.min(k.mesh.next_hello()).min(now + LONGEST_SLEEP);
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
        match self.store.read_sample(salt, GLIMPSE_TIMEOUT).await {
            Ok(reading) => self.take_reading(reading),
            Err(e) => {
                self.edge.metrics.count_read("failed");
                log::info!("event=glimpse_failed cause=\"{e}\"");
            }
        }
    }

    async fn read(self: Arc<Self>, after: u64, limit: Duration) {
        let mut result = if after == 0 {
            self.store.read_snapshot(limit).await
        } else {
            self.store.read_changes(after, limit).await
        };
        if let Err(ReadError::Compacted) = result {
            log::info!("event=store_history_gone after={after}");
            self.edge.metrics.count_read("compacted");
            result = self.store.read_snapshot(limit).await;
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

    fn take_reading(self: &Arc<Self>, reading: ReadResult) {
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
        if k.reader.role() == Role::Follower && reading.revision > 0 {
            log::info!("event=reads_store revision={}", reading.revision);
        }
        let partial = matches!(reading.servers, Servers::Sample(_));
        if !partial {
            k.reader.succeeded(now);
        }
        let lapsed = now < k.lapse_until;
        let new = match reading.servers {
            Servers::Sample(some) => {
                let reported = some.into_iter().map(|(revision, entry)| RevisionedChange {
                    revision,
                    change: Change::Reported(entry),
                });
                take_changes(&mut k.catalog, now, reported.collect(), lapsed)
            }
            Servers::Snapshot(copy) => k.catalog.reconcile(now, reading.revision, copy, lapsed),
            Servers::Changes(changes) => take_changes(&mut k.catalog, now, changes, lapsed),
        };
        k.catalog.set_complete_to(reading.revision);
        drop(k);
        if let Some(routing) = reading.routing {
            self.edge.activate(routing, "store");
        }
        self.apply(&new, "store", Duration::ZERO);
        if !partial {
            self.publish();
        }
    }

    /// Brings servers up to date with changes of the catalog.
    fn apply(&self, changes: &[RevisionedChange], source: &str, age: Duration) {
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
                        entry.started_ms
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
            fleet.choose_subset(&service, self.edge.placement().subset_size);
        }
    }
}

/// What a daemon knows of its surroundings.
#[derive(Debug, Clone)]
pub struct ControlStatus {
    /// Peers, and the time since anybody heard them.
    pub peers: Vec<(Daemon, Duration)>,
    /// Daemon that made the last read that was heard of.
    pub reader: Option<SocketAddr>,
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

/// Number from 0 to 1 that looks random.
fn unit(seed: u64) -> f64 {
    Pcg32::new(seed, 11).random_range(0.0..1.0)
}

fn take_changes(
    catalog: &mut Catalog,
    now: Mono,
    changes: Vec<RevisionedChange>,
    may_have_lapsed: bool,
) -> Vec<RevisionedChange> {
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
                            return control.encoded_supply(&pull);
                        }
                        gossip::encode(&PullResponse {
                            busy: true,
                            ..PullResponse::default()
                        })
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
