//! What the parts of one daemon share: routes in force, servers, and counts.

use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::{BuildHasher as _, DefaultHasher, Hash as _, Hasher as _, RandomState};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, Instant};

use cuminspread::coordination::catalog::ServerEntry;
use cuminspread::coordination::placement::{
    AttemptEnd, LoadSlowdown, PlacementContext, PlacementSettings, ServerLoad, ServerState,
};
use cuminspread::coordination::probe_limiter::{ProbeLimiter, ProbeLimiterSettings};
use cuminspread::coordination::retry::TokenBucket;
use cuminspread::coordination::wait_queue::{QueuedRequest, Ticket, WaitQueue};
use cuminspread::coordination::weighted_round_robin::WeightedRoundRobin;
use cuminspread::state::Name;
use cuminspread::state::routing::{Route, RouteTable, Routing, RoutingDelta};
use cuminspread::state::time::Mono;
use cuminspread::transport::clock::SystemClock;
use cuminspread::transport::upstream::{Upstream, UpstreamSettings};
use rand_pcg::Pcg32;
use tokio::sync::Notify;

use super::crash::CrashTracker;
use super::metrics::EdgeMetrics;
use super::settings::EdgeSettings;
use crate::settings::Settings;

/// WeightedService of the fleet's retry budget that is planned with; the rest covers uneven traffic.
const RETRY_PART: f32 = 0.7;
/// WeightedService of the fleet's retry slack that is planned with.
const SLACK_PART: f32 = 0.6;
/// First guess of a route's work time, as a part of its aim.
const WORK_OF_AIM: f32 = 0.35;
/// Weight of one more sample of a route's work time.
const WORK_WEIGHT: f32 = 0.05;
/// Time for which a server gets nothing after another one answered at its address; the registry has
/// the truth by then.
pub const MOVED_SERVER_PAUSE: Duration = Duration::from_secs(3);
/// Least connections that a daemon may hold to one server.
const MIN_CONNECTIONS: u32 = 4;

/// Earlier versions of the configuration kept, to tell peers only what changed.
const EARLIER: usize = 8;

/// Key of a server within one daemon; never used again.
pub type ServerKey = usize;

/// One server.
#[derive(Debug)]
pub struct Server {
    /// Its registration.
    pub entry: ServerEntry,
    /// What is believed of it.
    pub standing: ServerState,
    /// Connections to it.
    pub upstream: Arc<Upstream>,
    /// Time since which it has been asked for its load.
    pub asked: Option<Mono>,
    /// Another server answers at its address; until then it gets nothing.
    pub moved_until: Mono,
}

/// Servers, and what is known of services and routes.
#[derive(Debug)]
pub struct Fleet {
    servers: HashMap<ServerKey, Server>,
    keys: HashMap<Name, ServerKey>,
    by_service: HashMap<Name, Vec<ServerKey>>,
    next_key: ServerKey,
    next_ticket: u64,
    work: HashMap<Name, f32>,
    tokens: HashMap<Name, TokenBucket>,
    shares: HashMap<Name, WeightedRoundRobin>,
    daemons: usize,
    lines: HashMap<Name, Queue>,
    crowding: HashMap<Name, LoadSlowdown>,
    /// Services whose servers answered without telling their load.
    blind: HashSet<Name>,
    /// Number of this daemon in the choice of its own servers.
    salt: u64,
    looks: ProbeLimiter,
    /// Random choices.
    pub rng: Pcg32,
}

/// Requests that wait for a server of one service, and what wakes them.
#[derive(Debug, Default)]
pub struct Queue {
    /// Their order.
    pub line: WaitQueue,
    /// Earliest time at which the first of them asks servers again.
    pub look_at: Mono,
    waiters: HashMap<Ticket, Arc<Notify>>,
}

impl Queue {
    /// A request begins to wait; it is notified when it may be its turn.
    pub fn join(&mut self, now: Mono, claim: QueuedRequest) -> (Ticket, Arc<Notify>) {
        let ticket = self.line.push(now, claim);
        let waiter = Arc::new(Notify::new());
        self.waiters.insert(ticket, Arc::clone(&waiter));
        (ticket, waiter)
    }

    /// A request no longer waits.
    pub fn leave(&mut self, now: Mono, ticket: Ticket, claim: &QueuedRequest) {
        self.line.remove(ticket, claim);
        self.waiters.remove(&ticket);
        self.wake(now);
    }

    /// Wakes the first request.
    pub fn wake(&mut self, now: Mono) {
        if let Some(waiter) = self.line.head(now).and_then(|t| self.waiters.get(&t)) {
            waiter.notify_one();
        }
    }
}

/// Shared parts of one daemon.
#[derive(Debug)]
pub struct Edge {
    /// Settings of the daemon.
    pub settings: Settings,
    /// Settings for the platform.
    pub platform: EdgeSettings,
    /// Counts and times.
    pub metrics: EdgeMetrics,
    /// Start of the daemon, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    clock: SystemClock,
    started: Instant,
    table: RwLock<Arc<RouteTable>>,
    /// When the version in force came into force, in microseconds; 0 before the first.
    active_since: AtomicU64,
    /// Versions before the one in force, newest last.
    earlier: Mutex<VecDeque<Arc<Routing>>>,
    fleet: Mutex<Fleet>,
    crash_tracker: Mutex<CrashTracker>,
    stopping: AtomicBool,
    rejecting_waiting: AtomicBool,
    registry_known: AtomicBool,
    in_flight: AtomicUsize,
    buffered: AtomicUsize,
}

/// Counts one request until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Arc<Edge>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Edge {
    /// Daemon that knows nothing yet.
    pub fn new(settings: Settings, platform: EdgeSettings) -> Arc<Self> {
        let clock = SystemClock::new();
        let seed = if settings.seed == 0 {
            RandomState::new().build_hasher().finish()
        } else {
            settings.seed
        };
        Arc::new(Self {
            platform,
            metrics: EdgeMetrics::new(),
            started_ms: clock.now().wall.0,
            clock,
            started: Instant::now(),
            table: RwLock::default(),
            active_since: AtomicU64::new(0),
            earlier: Mutex::default(),
            fleet: Mutex::new(Fleet::new(seed)),
            crash_tracker: Mutex::default(),
            stopping: AtomicBool::new(false),
            rejecting_waiting: AtomicBool::new(false),
            registry_known: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            buffered: AtomicUsize::new(0),
            settings,
        })
    }

    /// Time since the start.
    pub fn now(&self) -> Mono {
        self.clock.now().mono
    }

    /// Instant of a reading, for timers.
    pub fn instant(&self, at: Mono) -> tokio::time::Instant {
        (self.started + Duration::from_micros(at.0)).into()
    }

    /// Routes in force.
    pub fn table(&self) -> Arc<RouteTable> {
        let table = self.table.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&table)
    }

    /// Version in force; 0 before the first.
    pub fn version(&self) -> u64 {
        self.table().routing().version
    }

    /// Time since the version in force came into force; `None` before the first.
    pub fn active_for(&self) -> Option<Duration> {
        let at = self.active_since.load(Ordering::Acquire);
        (at > 0).then(|| self.now().since(Mono(at)))
    }

    /// Puts a configuration in force, if it is newer; returns whether it is.
    pub fn activate(&self, routing: Arc<Routing>, source: &str) -> bool {
        let before = self.version();
        if routing.version <= before {
            return false;
        }
        let (version, routes) = (routing.version, routing.routes.len());
        let table = Arc::new(RouteTable::new(routing));
        {
            let mut held = self.table.write().unwrap_or_else(PoisonError::into_inner);
            let mut earlier = self.earlier.lock().unwrap_or_else(PoisonError::into_inner);
            earlier.push_back(Arc::clone(held.routing()));
            if earlier.len() > EARLIER {
                earlier.pop_front();
            }
            *held = Arc::clone(&table);
        }
        self.active_since.store(self.now().0, Ordering::Release);
        self.fleet().retain_routes(&table);
        log::info!(
            "event=in_force version={version} before={before} routes={routes} source={source}"
        );
        true
    }

    /// What the version in force changes in an earlier one, if that is remembered.
    pub fn delta_from(&self, version: u64) -> Option<RoutingDelta> {
        let earlier = self.earlier.lock().unwrap_or_else(PoisonError::into_inner);
        let base = earlier.iter().find(|r| r.version == version)?;
        Some(self.table().routing().delta_from(base))
    }

    /// Puts a version in force that is given by what it changes in the present one.
    pub fn activate_delta(&self, delta: RoutingDelta, source: &str) -> bool {
        let next = self.table().routing().apply(delta);
        next.is_some_and(|next| self.activate(Arc::new(next), source))
    }

    /// Servers and what is known of them.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What is known of requests that crash servers.
    pub fn crash_tracker(&self) -> MutexGuard<'_, CrashTracker> {
        self.crash_tracker
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// A whole copy of the registry was read.
    pub fn set_registry_known(&self) {
        self.registry_known.store(true, Ordering::Release);
    }

    /// It has routes and servers, and isn't stopping.
    pub fn is_ready(&self) -> bool {
        self.version() > 0 && self.registry_known.load(Ordering::Acquire) && !self.is_stopping()
    }

    /// A planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Begins a planned stop.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Requests that no server has yet are handed back to their callers, since the process ends soon.
    pub fn rejects_waiting(&self) -> bool {
        self.rejecting_waiting.load(Ordering::Acquire)
    }

    /// Begins to hand back requests that no server has yet.
    pub fn reject_waiting(&self) {
        self.rejecting_waiting.store(true, Ordering::Release);
    }

    /// Requests that haven't ended.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Counts a request.
    pub fn begin(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlightGuard(Arc::clone(self))
    }

    /// Bytes of request bodies that are held.
    pub fn buffered(&self) -> &AtomicUsize {
        &self.buffered
    }

    /// Settings of the choice of servers.
    pub fn placing(&self) -> &PlacementSettings {
        &self.platform.placing
    }
}

impl Fleet {
    fn new(seed: u64) -> Self {
        Self {
            servers: HashMap::new(),
            keys: HashMap::new(),
            by_service: HashMap::new(),
            next_key: 0,
            next_ticket: 0,
            work: HashMap::new(),
            tokens: HashMap::new(),
            shares: HashMap::new(),
            daemons: 1,
            lines: HashMap::new(),
            crowding: HashMap::new(),
            blind: HashSet::new(),
            salt: seed,
            looks: ProbeLimiter::new(ProbeLimiterSettings::default()),
            rng: Pcg32::new(seed, 3),
        }
    }

    /// Takes a server's registration.
    pub fn put(&mut self, edge: &Edge, entry: &ServerEntry) {
        let key = self.keys.get(&entry.id).copied();
        if let Some(known) = key.and_then(|k| self.servers.get_mut(&k)) {
            let same = known.entry.started_ms == entry.started_ms
                && known.entry.address == entry.address
                && known.entry.service == entry.service;
            if same {
                known.entry = entry.clone();
                return;
            }
            self.remove(&entry.id);
        }
        let key = self.next_key;
        self.next_key += 1;
        let near = entry.data_centre == edge.settings.data_centre;
        let table = edge.table();
        let limit = table.service(&entry.service).map(|s| s.max_connections);
        let upstream = Upstream::new(
            entry.id.clone(),
            entry.address,
            self.connection_share(limit),
            UpstreamSettings {
                max_idle: 4,
                ..edge.settings.servers.connections.clone()
            },
        );
        let server = Server {
            entry: entry.clone(),
            standing: ServerState::new(near, entry.slots, edge.now() + entry.warm_up),
            upstream: Arc::new(upstream),
            asked: None,
            moved_until: Mono::default(),
        };
        self.servers.insert(key, server);
        self.keys.insert(entry.id.clone(), key);
        let service = self.by_service.entry(entry.service.clone()).or_default();
        service.push(key);
    }

    /// Drops a server that is gone; requests that it has go on.
    pub fn remove(&mut self, id: &str) {
        let Some(key) = self.keys.remove(id) else {
            return;
        };
        if let Some(server) = self.servers.remove(&key)
            && let Some(keys) = self.by_service.get_mut(&server.entry.service)
        {
            keys.retain(|k| *k != key);
        }
    }

    /// Notes whether the servers of a service tell their load.
    pub fn set_load_unknown(&mut self, service: &Name, blind: bool) {
        if blind {
            self.blind.insert(service.clone());
        } else {
            self.blind.remove(service);
        }
    }

    /// Whether the servers of a service don't tell their load.
    pub fn is_load_unknown(&self, service: &str) -> bool {
        self.blind.contains(service)
    }

    /// Chooses the near servers of a service that this daemon asks first.
    ///
    /// Rendezvous hashing moves few of them when servers come and go, and spreads the daemons.
    pub fn choose_subset(&mut self, service: &Name, subset: usize) {
        let keys = self.by_service.get(service).cloned().unwrap_or_default();
        let mut ranked: Vec<(u64, ServerKey)> = Vec::new();
        for key in keys {
            let Some(server) = self.servers.get_mut(&key) else {
                continue;
            };
            server.standing.in_subset = false;
            if server.standing.near && !server.entry.draining {
                let mut hasher = DefaultHasher::new();
                (self.salt, &server.entry.id).hash(&mut hasher);
                ranked.push((hasher.finish(), key));
            }
        }
        ranked.sort_unstable();
        for (_, key) in ranked.into_iter().take(subset) {
            if let Some(server) = self.servers.get_mut(&key) {
                server.standing.in_subset = true;
            }
        }
    }

    /// Takes the number of daemons, which share the connections to a server.
    pub fn set_daemons(&mut self, daemons: usize, table: &RouteTable) {
        if std::mem::replace(&mut self.daemons, daemons.max(1)) == self.daemons {
            return;
        }
        for server in self.servers.values() {
            let limit = table.service(&server.entry.service);
            let share = self.connection_share(limit.map(|s| s.max_connections));
            server.upstream.set_max_open(share);
        }
    }

    /// Connections that this daemon may hold to a server, of those that it accepts from all.
    fn connection_share(&self, limit: Option<u32>) -> u32 {
        // Half is left for daemons that aren't known and for a connection that is closing.
        let share = limit.unwrap_or(u32::MAX) / (2 * self.daemons as u32).max(1);
        share.max(MIN_CONNECTIONS)
    }

    /// A server.
    pub fn server(&mut self, key: ServerKey) -> Option<&mut Server> {
        self.servers.get_mut(&key)
    }

    /// All servers.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Servers of a service that take new work.
    pub fn available(&self, now: Mono, service: &str) -> Vec<ServerKey> {
        let keys = self.by_service.get(service).into_iter().flatten();
        let usable = |k: &&ServerKey| {
            let server = self.servers.get(k);
            server.is_some_and(|s| !s.entry.draining && now >= s.moved_until)
        };
        keys.filter(usable).copied().collect()
    }

    /// What is believed of some servers.
    pub fn states<'a>(
        &'a self,
        keys: &'a [ServerKey],
    ) -> impl Iterator<Item = (ServerKey, &'a ServerState)> + 'a {
        let servers = keys.iter().filter_map(|k| Some((*k, self.servers.get(k)?)));
        servers.map(|(k, s)| (k, &s.standing))
    }

    /// A request goes to a server; gives a ticket for its end.
    pub fn note_sent(
        &mut self,
        key: ServerKey,
        need: &PlacementContext,
        settings: &PlacementSettings,
    ) -> u64 {
        self.next_ticket += 1;
        if let Some(server) = self.servers.get_mut(&key) {
            server
                .standing
                .record_sent(self.next_ticket, need, settings);
        }
        self.next_ticket
    }

    /// A request at a server has ended.
    pub fn note_end(
        &mut self,
        now: Mono,
        key: ServerKey,
        ticket: u64,
        end: AttemptEnd,
        route: &Route,
        settings: &PlacementSettings,
    ) {
        let Some(server) = self.servers.get_mut(&key) else {
            return;
        };
        let crowding = self
            .crowding
            .entry(server.entry.service.clone())
            .or_default();
        let work = server
            .standing
            .record_end(now, ticket, end, crowding, settings);
        if let Some(work) = work {
            let known = self.work(route).as_secs_f32();
            let sample = work.as_secs_f32().clamp(known * 0.2, known * 3.0);
            let work = known + (sample - known) * WORK_WEIGHT;
            self.work.insert(route.name.clone(), work);
        }
    }

    /// A server reported its load; if it has room, the first request that waits for it is woken.
    pub fn note_room(
        &mut self,
        now: Mono,
        key: ServerKey,
        room: ServerLoad,
        healthy: Option<bool>,
    ) {
        let Some(server) = self.servers.get_mut(&key) else {
            return;
        };
        server.standing.record_load(now, room, healthy);
        if room.requests() < room.slots
            && let Some(queue) = self.lines.get_mut(&server.entry.service)
        {
            queue.wake(now);
        }
    }

    /// Requests that wait for a service.
    pub fn queue(&mut self, service: &Name) -> &mut Queue {
        self.lines.entry(service.clone()).or_default()
    }

    /// Takes questions to servers out of this daemon's allowance; gives how many may be asked.
    pub fn take_probes(&mut self, now: Mono, wanted: usize, settings: &EdgeSettings) -> usize {
        let share = self.probe_share(settings);
        self.looks.take(now, wanted, share)
    }

    /// Questions a second that this daemon asks lately.
    pub fn probe_rate(&self, now: Mono) -> f32 {
        self.looks.rate(now)
    }

    /// A peer says how many questions a second it asks.
    pub fn record_peer_probes(&mut self, rate: f32, settings: &EdgeSettings) {
        let share = self.probe_share(settings);
        self.looks.record_peer_rate(rate, share);
    }

    /// Questions a second that servers allow to each of the daemons.
    fn probe_share(&self, settings: &EdgeSettings) -> f32 {
        settings.probes_per_s * self.servers.len() as f32 / self.daemons as f32
    }

    /// How much longer work takes at nearly full servers of a service.
    pub fn crowding(&self, service: &str) -> f32 {
        self.crowding.get(service).map_or(1.0, LoadSlowdown::factor)
    }

    /// Usual time of a route's work.
    pub fn work(&self, route: &Route) -> Duration {
        let known = self.work.get(&route.name).copied();
        let work = known.unwrap_or(route.latency_target.as_secs_f32() * WORK_OF_AIM);
        Duration::from_secs_f32(work.max(0.001))
    }

    /// A request for a service arrived; it earns a part of a repeated send.
    pub fn deposit_retry(&mut self, service: &Name, settings: &EdgeSettings) {
        self.tokens(service, settings).deposit();
    }

    /// Takes one repeated send to a service out of this daemon's budget.
    pub fn withdraw_retry(&mut self, service: &Name, settings: &EdgeSettings) -> bool {
        self.tokens(service, settings).withdraw()
    }

    fn tokens(&mut self, service: &Name, settings: &EdgeSettings) -> &mut TokenBucket {
        let ratio = settings.retry_ratio * RETRY_PART;
        let burst = settings.retry_slack * SLACK_PART / self.daemons.max(8) as f32;
        let tokens = self.tokens.entry(service.clone());
        tokens.or_insert_with(|| TokenBucket::new(ratio, burst.max(1.0)))
    }

    /// Service that takes the next request of a route.
    pub fn pick_service(&mut self, route: &Route) -> Option<Name> {
        if let [only] = route.services.as_slice() {
            return Some(only.service.clone());
        }
        let shares = self.shares.entry(route.name.clone()).or_default();
        let weights: Vec<u32> = route.services.iter().map(|p| p.weight).collect();
        let i = shares.next(&weights, &mut self.rng)?;
        route.services.get(i).map(|p| p.service.clone())
    }

    /// Forgets routes that are no longer in force.
    fn retain_routes(&mut self, table: &RouteTable) {
        let in_force = |name: &Name| table.routing().routes.iter().any(|r| r.name == *name);
        self.shares.retain(|name, _| in_force(name));
        self.work.retain(|name, _| in_force(name));
    }
}
