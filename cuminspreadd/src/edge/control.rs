//! Learns routes and servers from the store or from peers, and forwards them to peers.
//!
//! Its tasks receive gossip messages, answer pulls, and run what is due. The library's
//! [`ReadSchedule`], [`Mesh`] and [`Catalog`] make the decisions; one mutex guards them, which is
//! never held across an await.

mod evacuation;
mod slowdowns;
mod store;
mod sync;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::Context as _;
use cuminspread::coordination::catalog::{Catalog, Change, Revision, RevisionedChange};
use cuminspread::coordination::evacuation::Evacuations;
use cuminspread::coordination::forwarding::ForwardPeer;
use cuminspread::coordination::leaving::{LeavingServers, LeavingSource};
use cuminspread::coordination::mesh::Mesh;
use cuminspread::coordination::reader::{ReadAttempt, ReadSchedule, Role};
use cuminspread::protocol::gossip::{
    CrashReport, Daemon, GossipMessage, LeavingReport, LimitReport, PullResponse, ReachReport,
    ReadAttemptReport, Versions,
};
use cuminspread::state::Name;
use cuminspread::state::time::Mono;
use cuminspread::transport::gossip::{self, Gossip};
use cuminspread_platform::store::StoreClient;
use rand::RngExt as _;
use rand_pcg::Pcg32;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, timeout};

use super::state::Edge;

/// Timeout of connections to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time between two ticks; short enough to notice that the process was paused.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Delay of a tick from which on the process counts as having been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(700);
/// Time that a daemon waits for peers before it reads the store itself: seeds may start 0.3 s later
/// and then need a few calls. Seeds at the first start and daemons without seeds don't wait.
const FIRST_READ_DELAY: Duration = Duration::from_millis(500);
/// Largest random time added to the first delay, so that daemons don't all read if no seed runs.
const FIRST_READ_JITTER: Duration = Duration::from_secs(1);
/// Changes of one update that are logged individually; if there are more, their number is logged
/// too.
const MAX_LOGGED_CHANGES: usize = 24;
/// Pulls that are served at the same time; each takes 0.1 s for a large change at 10 Mbit/s.
const MAX_ACTIVE_PULLS: usize = 3;
/// Pause of the listener for peers after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct SyncState {
    catalog: Catalog,
    read_schedule: ReadSchedule,
    mesh: Mesh,
    leaving: LeavingServers,
    evacuations: Evacuations,
    /// Some data centre has been emptied since the start.
    evacuations_seen: bool,
    /// Time until which peers are told of the last change of emptied data centres.
    tells_evacuations_until: Mono,
    /// The active configuration lacks its terms, and a peer may have them.
    wants_terms: bool,
    /// Active version at the last snapshot of the store, which has its terms unless the store has
    /// lost that version.
    terms_read_for: u64,
    /// Revisions of the last updates that this daemon published, newest last.
    published_revisions: Vec<Revision>,
    /// Version of the last published update, and the version published before that one.
    published_version: u64,
    previous_version: u64,
    /// Emptied data centres of the last published update.
    published_evacuations: BTreeMap<Name, Revision>,
    /// Peer that can serve a newer revision or version than this daemon has.
    newer_peer: Option<SocketAddr>,
    /// Newest versions that any daemon is known to have.
    wanted: Versions,
    /// Revision up to which all changes of servers are applied; later than the catalog's while the
    /// configuration of that revision is missing.
    applied_to: Revision,
    /// Daemon that made the last known read of the store, and the time of that read.
    last_read: Option<(Daemon, Mono)>,
    /// Time until which missing entries may have lapsed during an outage of the store.
    lapse_until: Mono,
    next_tick: Mono,
    /// When this daemon tells its peers next how much nearly full servers slow down.
    next_slowdown_report: Mono,
}

/// The encoded response to a pull.
#[derive(Debug)]
struct EncodedResponse {
    /// Versions in the request.
    have: Versions,
    /// Versions that the peer has after the response.
    versions: Versions,
    /// Revision up to which the emptied data centres in the response are complete.
    evacuations_as_of: Revision,
    bytes: Arc<[u8]>,
}

/// Keeps one daemon up to date, from the store and from peers.
#[derive(Debug)]
pub struct Control {
    edge: Arc<Edge>,
    gossip: Gossip,
    store: StoreClient,
    state: Mutex<SyncState>,
    /// Notified when a read has ended, so that the next tick runs at once.
    wake: Notify,
    pulling: AtomicBool,
    /// Pulls of peers that are being served.
    active_pulls: AtomicUsize,
    /// Notified when `newer_peer` is set.
    newer_peer_found: Notify,
    /// Cache of the last response to a pull.
    last_response: Mutex<Option<EncodedResponse>>,
}

impl Control {
    /// Binds the sockets for peers and sets up the store's client.
    ///
    /// Peers are told to forward requests to `forward_port`; 0 for none.
    ///
    /// # Errors
    ///
    /// Fails if a socket can't be bound or the store's client can't be set up.
    pub async fn bind(edge: Arc<Edge>, forward_port: u16) -> anyhow::Result<Arc<Self>> {
        let (settings, edge_settings) = (&edge.settings, &edge.edge_settings);
        let gossip = Gossip::bind(settings.peer).await;
        let gossip = gossip.with_context(|| format!("step=bind_peer peer={}", settings.peer))?;
        let store = StoreClient::new(edge_settings.store, CONNECT_TIMEOUT);
        let store = store.with_context(|| format!("step=store peer={}", edge_settings.store))?;
        let address = gossip.local_addr().context("step=bind_peer")?;
        let me = Daemon {
            address,
            data_centre: settings.data_centre.clone(),
            started_ms: edge.started_ms,
            capacity: edge_settings.capacity,
            forward_port,
        };
        let is_seed = edge_settings.seeds.contains(&address);
        let first = if is_seed && edge_settings.first_start || edge_settings.seeds.is_empty() {
            Duration::ZERO
        } else {
            FIRST_READ_DELAY
                + FIRST_READ_JITTER.mul_f64(random_fraction(edge.started_ms ^ me.rank()))
        };
        let (rank, seed) = (me.rank(), edge.started_ms ^ me.rank());
        let state = SyncState {
            catalog: Catalog::default(),
            read_schedule: ReadSchedule::new(
                edge_settings.reader.clone(),
                rank,
                seed,
                edge.now().since(Mono(0)) + first,
            ),
            mesh: Mesh::new(
                edge_settings.mesh.clone(),
                me,
                edge_settings.seeds.clone(),
                seed,
            ),
            leaving: LeavingServers::new(seed),
            evacuations: Evacuations::default(),
            evacuations_seen: false,
            tells_evacuations_until: Mono::default(),
            wants_terms: false,
            terms_read_for: 0,
            published_revisions: Vec::new(),
            published_version: 0,
            previous_version: 0,
            published_evacuations: BTreeMap::new(),
            newer_peer: None,
            wanted: Versions::default(),
            applied_to: Revision::default(),
            last_read: None,
            lapse_until: Mono::default(),
            next_tick: edge.now(),
            next_slowdown_report: edge.now(),
        };
        Ok(Arc::new(Self {
            edge,
            gossip,
            store,
            state: Mutex::new(state),
            wake: Notify::new(),
            pulling: AtomicBool::new(false),
            active_pulls: AtomicUsize::new(0),
            newer_peer_found: Notify::new(),
            last_response: Mutex::default(),
        }))
    }

    /// Starts the tasks; a sample of the store is read unless this is the system's first start.
    pub fn start(self: &Arc<Self>) -> Vec<JoinHandle<()>> {
        if !self.edge.edge_settings.first_start {
            tokio::spawn(Arc::clone(self).read_sample());
        }
        vec![
            tokio::spawn(receive(Arc::clone(self))),
            tokio::spawn(accept(Arc::clone(self))),
            tokio::spawn(tick(Arc::clone(self))),
        ]
    }

    /// Bound address for peers.
    pub fn address(&self) -> SocketAddr {
        self.lock().mesh.me().address
    }

    /// Notifies peers that this daemon stops.
    pub fn leave(&self) {
        let mut state = self.lock();
        let me = state.mesh.me().clone();
        self.send_to_fleet(&mut state, |_| GossipMessage::Leaving(me.clone()));
    }

    fn send_all(&self, peers: &[SocketAddr], message: &GossipMessage) {
        for peer in peers {
            if !self.gossip.send(*peer, message) {
                log::debug!("event=notice_unsent peer={peer}");
            }
        }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.lock().mesh.set_seeds(seeds);
    }

    /// State of gossip and of reads of the store.
    pub fn status(&self) -> ControlStatus {
        let now = self.edge.now();
        let state = self.lock();
        ControlStatus {
            peers: state.mesh.peers(now),
            reader: state.last_read.as_ref().map(|(reader, _)| reader.address),
            daemons: state.mesh.size(),
            known_version: state.wanted.version.max(self.edge.version()),
            revision: state.catalog.revision(),
            reads_store: state.read_schedule.role() == Role::Reader,
            store_age: state.read_schedule.age(now),
            failed_reads: state.read_schedule.failures(),
            evacuations: state.evacuations.clone(),
            sent_bytes: self.gossip.counts().sent_bytes.load(Ordering::Relaxed),
            received_bytes: self.gossip.counts().received_bytes.load(Ordering::Relaxed),
        }
    }

    fn lock(&self) -> MutexGuard<'_, SyncState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn versions(&self, state: &SyncState) -> Versions {
        Versions {
            revision: state.catalog.revision(),
            version: self.edge.version(),
        }
    }

    fn probe_rate_message(&self, now: Mono) -> GossipMessage {
        GossipMessage::ProbeRate(self.edge.servers().probe_rate(now).round() as u32)
    }

    /// Sends a message to all near daemons and to relays, which forward it in their data centres.
    fn send_to_fleet(&self, state: &mut SyncState, message: impl Fn(bool) -> GossipMessage) {
        for (peers, relay) in [
            (state.mesh.near_receivers(), false),
            (state.mesh.relays(), true),
        ] {
            self.send_all(&peers, &message(relay));
        }
    }

    /// Sends a message that a relay gets to the daemons of its data centre.
    fn forward(&self, message: &GossipMessage) {
        let near = self.lock().mesh.near_receivers();
        self.send_all(&near, message);
    }

    /// Notifies peers of a read by this daemon that has not succeeded, or not yet.
    fn send_read_attempt(&self, state: &mut SyncState, attempt: ReadAttempt) {
        let rank = state.mesh.me().rank();
        self.send_to_fleet(state, |relay| {
            GossipMessage::ReadAttempt(ReadAttemptReport {
                rank,
                attempt,
                relay,
            })
        });
    }

    fn handle_read_attempt(&self, report: ReadAttemptReport) {
        let mut state = self.lock();
        let now = self.edge.now();
        state
            .read_schedule
            .record_peer_attempt(now, report.rank, report.attempt);
        drop(state);
        if report.relay {
            let relay = false;
            self.forward(&GossipMessage::ReadAttempt(ReadAttemptReport {
                relay,
                ..report
            }));
        }
    }

    fn handle_stopping_peer(&self, daemon: &Daemon) {
        let now = self.edge.now();
        if self.lock().mesh.record_leaving(now, daemon) {
            let (address, data_centre) = (daemon.address, &daemon.data_centre);
            log::info!("event=peer_leaving peer={address} data_centre={data_centre}");
        }
    }

    fn handle_crash_report(&self, report: CrashReport) {
        if !self.edge.crash_tracker().record(self.edge.now(), &report) || !report.relay {
            return;
        }
        let relay = false;
        self.forward(&GossipMessage::Crash(CrashReport { relay, ..report }));
    }

    fn handle_limit_report(&self, report: LimitReport) {
        self.edge
            .servers()
            .record_peer_limit(self.edge.now(), &report);
        if report.relay {
            let relay = false;
            self.forward(&GossipMessage::ServerLimit(LimitReport { relay, ..report }));
        }
    }

    fn handle_leaving_report(&self, report: LeavingReport) {
        let (id, started_ms) = (&report.server, report.started_ms);
        let mut state = self.lock();
        state
            .leaving
            .record(self.edge.now(), id, started_ms, LeavingSource::Peer);
        let change = state.catalog.record_leaving(id, started_ms);
        drop(state);
        if let Some(change) = change {
            self.apply_changes(&[change], "peer", Duration::ZERO);
        }
        if report.relay {
            let relay = false;
            self.forward(&GossipMessage::ServerLeaving(LeavingReport {
                relay,
                ..report
            }));
        }
    }

    /// Records servers that have said that they are leaving, and reports them to peers; returns
    /// the changes.
    fn update_leaving(&self, state: &mut SyncState, now: Mono) -> Vec<RevisionedChange> {
        let answers = self.edge.servers().take_leaving();
        let mut changes = Vec::new();
        for (id, started_ms) in answers {
            state
                .leaving
                .record(now, &id, started_ms, LeavingSource::Answer);
            changes.extend(state.catalog.record_leaving(&id, started_ms));
        }
        let catalog = &state.catalog;
        let due = state.leaving.due_reports(now, |id, started_ms| {
            catalog
                .entry(id)
                .is_some_and(|e| e.started_ms == started_ms)
        });
        for (server, started_ms) in due {
            self.send_to_fleet(state, |relay| {
                GossipMessage::ServerLeaving(LeavingReport {
                    server: server.clone(),
                    started_ms,
                    relay,
                })
            });
        }
        changes
    }

    /// Reports to peers which services this daemon has lost or found.
    fn report_reach(&self, state: &mut SyncState, now: Mono) {
        let reports = self.edge.servers().take_reach_reports(now);
        for (service, lost) in reports {
            let (daemon, started_ms) = (state.mesh.me().address, state.mesh.me().started_ms);
            self.send_to_fleet(state, |relay| {
                GossipMessage::Reach(ReachReport {
                    daemon,
                    started_ms,
                    service: service.clone(),
                    lost,
                    relay,
                })
            });
        }
    }

    fn handle_reach_report(&self, report: ReachReport) {
        let state = self.lock();
        let peer = state.mesh.forward_address(report.daemon, report.started_ms);
        drop(state);
        if let Some(peer) = peer {
            let now = self.edge.now();
            let mut pool = self.edge.forward_pool();
            pool.peers
                .record_reach(now, peer, &report.service, report.lost);
        }
        if report.relay {
            let relay = false;
            self.forward(&GossipMessage::Reach(ReachReport { relay, ..report }));
        }
    }

    /// Computes this daemon's parts of servers' limits, and reports what it has learned of them.
    fn update_limits(&self, state: &mut SyncState, now: Mono) {
        let reports = {
            let mut servers = self.edge.servers();
            servers.assign_limits(now, &mut state.mesh);
            servers.take_limit_reports(now)
        };
        for report in reports {
            self.send_to_fleet(state, |relay| {
                GossipMessage::ServerLimit(LimitReport {
                    relay,
                    ..report.clone()
                })
            });
        }
    }

    /// Runs what is due; returns the time of the next tick.
    fn run_due(self: &Arc<Self>) -> Mono {
        let now = self.edge.now();
        self.edge.pause_watch().record_activity(now);
        let mut state = self.lock();
        let late = now.since(state.next_tick);
        if late > PAUSE_THRESHOLD {
            log::warn!("event=paused for_ms={}", late.as_millis());
            state.read_schedule.read_now(now);
        }
        let crashes = self.edge.crash_tracker().take_unsent(now);
        for report in crashes {
            self.send_to_fleet(&mut state, |relay| {
                GossipMessage::Crash(CrashReport { relay, ..report })
            });
        }
        self.update_limits(&mut state, now);
        self.report_reach(&mut state, now);
        self.report_slowdowns(&mut state, now);
        let leaving = self.update_leaving(&mut state, now);
        let targets = state.mesh.hello_targets(now);
        if !targets.is_empty() {
            let hello = GossipMessage::Hello(state.mesh.me().clone());
            let probe_rate = self.probe_rate_message(now);
            self.send_all(&targets, &hello);
            self.send_all(&targets, &probe_rate);
            if let Some(report) = evacuation::report(&state) {
                self.send_all(&targets, &report);
            }
            self.tell_evacuations(&mut state);
        }
        let expired = state.catalog.expire(now);
        let confirmed = state.catalog.confirm_restored(now);
        let daemons = state.mesh.size();
        if state.mesh.take_changed() {
            let peers = forward_peers(&state.mesh);
            self.edge.forward_pool().set_peers(peers);
        }
        state.read_schedule.set_daemons(daemons);
        if let Some(limit) = state.read_schedule.begin(now) {
            if state.read_schedule.role() == Role::Follower {
                self.send_read_attempt(&mut state, ReadAttempt::Begun);
            }
            let after = self.read_after(&state);
            tokio::spawn(Arc::clone(self).read(after, limit));
        }
        let next = state
            .read_schedule
            .next_read()
            .unwrap_or(now + MAX_TICK_INTERVAL);
        let next = next
            .min(state.mesh.next_hello())
            .min(now + MAX_TICK_INTERVAL);
        state.next_tick = next;
        drop(state);
        let table = self.edge.table();
        let mut servers = self.edge.servers();
        servers.set_daemons(daemons, &table);
        let idle_timeout = self.edge.settings.servers.connections.idle_timeout;
        servers.resize_subsets(now, idle_timeout, self.edge.placement());
        for id in expired {
            log::info!("event=server_gone server={id} cause=lapsed");
            servers.remove(&id);
        }
        drop(servers);
        for (changes, source) in [(confirmed, "hold"), (leaving, "response")] {
            if !changes.is_empty() {
                self.apply_changes(&changes, source, Duration::ZERO);
            }
        }
        next
    }

    /// Updates the servers after changes of the catalog, and logs the changes.
    fn apply_changes(&self, changes: &[RevisionedChange], source: &str, age: Duration) {
        self.edge.set_registry_known();
        let age = age.as_millis();
        if changes.len() > MAX_LOGGED_CHANGES {
            let count = changes.len();
            log::info!("event=servers_changed count={count} source={source} age_ms={age}");
        }
        for revisioned in changes.iter().take(MAX_LOGGED_CHANGES) {
            let revision = revisioned.revision;
            match &revisioned.change {
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
        // The catalog ignores outdated changes, so the servers are updated from its entries.
        let mut state = self.lock();
        let mut servers = self.edge.servers();
        let mut services = BTreeSet::new();
        for revisioned in changes {
            let id = revisioned.change.id();
            if let Change::Reported(entry) = &revisioned.change
                && state.leaving.contains(id, entry.started_ms)
            {
                state.catalog.record_leaving(id, entry.started_ms);
            }
            match state.catalog.entry(id) {
                Some(entry) => {
                    services.insert(entry.service.clone());
                    servers.put(&self.edge, entry);
                }
                None => servers.remove(id),
            }
        }
        for service in services {
            servers.choose_subset(&service, self.edge.placement());
        }
    }
}

/// Peers that take forwarded requests, and their data centres.
fn forward_peers(mesh: &Mesh) -> Vec<(ForwardPeer, Name)> {
    let near = &mesh.me().data_centre;
    let peers = mesh.daemons().filter_map(|daemon| {
        let peer = ForwardPeer {
            address: daemon.forward_address()?,
            started_ms: daemon.started_ms,
            near: daemon.data_centre == *near,
            capacity: daemon.capacity,
        };
        Some((peer, daemon.data_centre.clone()))
    });
    peers.collect()
}

/// State of gossip and of reads of the store, for operators.
#[derive(Debug, Clone)]
pub struct ControlStatus {
    /// Peers, and the time since any daemon heard them.
    pub peers: Vec<(Daemon, Duration)>,
    /// Daemon that made the last known read of the store.
    pub reader: Option<SocketAddr>,
    /// Daemons heard recently, this one included.
    pub daemons: usize,
    /// Newest version of the configuration that any daemon is known to have.
    pub known_version: u64,
    /// Revision of the registry.
    pub revision: Revision,
    /// Whether this daemon reads the store and sends the changes to its peers.
    pub reads_store: bool,
    /// Time since the last known successful read of any daemon; `None` if there was none.
    pub store_age: Option<Duration>,
    /// Consecutive reads of this daemon that failed.
    pub failed_reads: u32,
    /// Emptied data centres.
    pub evacuations: Evacuations,
    /// Bytes sent to peers since the start.
    pub sent_bytes: u64,
    /// Bytes received from peers since the start.
    pub received_bytes: u64,
}

/// Pseudo-random number from 0 to 1, excluding 1.
fn random_fraction(seed: u64) -> f64 {
    Pcg32::new(seed, 11).random_range(0.0..1.0)
}

async fn receive(control: Arc<Control>) {
    let mut buf = vec![0; 2048];
    loop {
        let (from, message) = control.gossip.receive(&mut buf).await;
        control.handle_message(from, message);
    }
}

async fn accept(control: Arc<Control>) {
    loop {
        match control.gossip.accept().await {
            Ok(stream) => {
                let control = Arc::clone(&control);
                tokio::spawn(async move {
                    let active = control.active_pulls.fetch_add(1, Ordering::AcqRel);
                    let served = control.gossip.serve(stream, |pull| {
                        if active < MAX_ACTIVE_PULLS {
                            return control.encoded_response(&pull);
                        }
                        gossip::encode(&PullResponse {
                            busy: true,
                            ..PullResponse::default()
                        })
                    });
                    if let Err(e) = served.await {
                        log::debug!("event=pull_unserved cause=\"{e}\"");
                    }
                    control.active_pulls.fetch_sub(1, Ordering::AcqRel);
                });
            }
            Err(e) => {
                log::warn!("event=accept_failed listener=peer cause={e:?}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn tick(control: Arc<Control>) {
    loop {
        let next = control.run_due();
        let until = control.edge.instant(next);
        let _ = timeout(MAX_TICK_INTERVAL, async {
            tokio::select! {
                () = sleep_until(until) => {}
                () = control.wake.notified() => {}
                () = control.edge.server_notice.notified() => {}
            }
        })
        .await;
    }
}
