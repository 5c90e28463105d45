//! State that the tasks of one daemon share: active routes, servers and counters.

mod cold_servers;
mod location;
mod reach;
mod server_notices;
mod service_queue;
mod shares;
mod slowdowns;
mod streamed;

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::hash::{BuildHasher as _, Hasher as _, RandomState};
use std::pin::pin;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock};
use std::time::{Duration, Instant};

use cuminspread::coordination::catalog::ServerEntry;
use cuminspread::coordination::cold_server::ColdNews;
use cuminspread::coordination::decaying_rate::DecayingRate;
use cuminspread::coordination::hedging::Hedging;
use cuminspread::coordination::hold_off::HoldOff;
use cuminspread::coordination::pause::PauseWatch;
use cuminspread::coordination::placement::{
    AttemptEnd, LoadReporting, LoadSlowdown, PlacementContext, PlacementSettings, RoundTrips,
    ServerLoad, ServerState,
};
use cuminspread::coordination::probe_limiter::{ProbeLimiter, ProbeLimiterSettings};
use cuminspread::coordination::reachability::Reachability;
use cuminspread::coordination::retry::TokenBucket;
use cuminspread::coordination::stop::StopPlan;
use cuminspread::coordination::weighted_round_robin::WeightedRoundRobin;
use cuminspread::protocol::gossip::LimitReport;
use cuminspread::state::Name;
use cuminspread::state::routing::{Route, RouteTable, Routing, RoutingDelta};
use cuminspread::state::time::Mono;
use cuminspread::transport::clock::SystemClock;
use cuminspread::transport::upstream::{Upstream, UpstreamSettings};
use rand_pcg::Pcg32;
use tokio::sync::Notify;
use tokio::time::timeout_at;

pub use self::reach::ReachCheck;
pub use self::server_notices::LimitSource;
pub use self::service_queue::ServiceQueue;
use super::crash::CrashTracker;
use super::forward::ForwardPool;
use super::metrics::EdgeMetrics;
use super::settings::EdgeSettings;
use crate::settings::Settings;

/// Initial estimate of a route's processing time, as a fraction of its latency target.
const INITIAL_TIME_FRACTION: f32 = 0.35;
/// Weight of a new sample in the moving average of a route's processing time.
const PROCESSING_TIME_WEIGHT: f32 = 0.05;
/// Time for which a server gets no requests after another server answered at its address; by then
/// the registry is up to date.
pub const MOVED_SERVER_PAUSE: Duration = Duration::from_secs(3);

/// Previous configurations kept, so that peers can be sent only what changed.
const MAX_PREVIOUS_CONFIGS: usize = 8;

/// Key of a server within one daemon; never reused.
pub type ServerKey = usize;

/// One server.
#[derive(Debug)]
pub struct Server {
    /// Entry in the registry.
    pub entry: ServerEntry,
    /// Estimates of load, latency and failures.
    pub state: ServerState,
    /// Connection pool.
    pub upstream: Arc<Upstream>,
    /// Start of the first probe since the last result; `None` if no probe is open.
    pub probed_since: Option<Mono>,
    /// Time until which the server gets no requests, since another server answered at its address.
    pub moved_until: Mono,
    /// What the server has asked of this daemon.
    pub hold_off: HoldOff,
    /// A response named a limit that can't be read.
    limit_malformed: bool,
    /// When a daemon last reported the limit to its peers.
    limit_reported: Mono,
}

/// Servers, and statistics of services and routes.
#[derive(Debug)]
pub struct ServerTable {
    servers: HashMap<ServerKey, Server>,
    keys: HashMap<Name, ServerKey>,
    by_service: HashMap<Name, Vec<ServerKey>>,
    next_key: ServerKey,
    next_attempt: u64,
    processing_times: HashMap<Name, f32>,
    retry_budgets: HashMap<Name, TokenBucket>,
    /// Hedges that this daemon may send; `None` without a limit on them.
    pub hedging: Option<Hedging>,
    round_robins: HashMap<Name, WeightedRoundRobin>,
    daemons: usize,
    queues: HashMap<Name, ServiceQueue>,
    slowdown: HashMap<Name, LoadSlowdown>,
    /// Round-trip times of probes.
    pub round_trips: RoundTrips,
    /// Whether the servers of each service report their load.
    load_reporting: HashMap<Name, LoadReporting>,
    probe_rates: HashMap<Name, DecayingRate>,
    /// Size of this daemon's subset of the servers of each service.
    subset_sizes: HashMap<Name, usize>,
    /// Number hashed with server ids, so that each daemon has its own subset of the servers.
    subset_salt: u64,
    probe_limiter: ProbeLimiter,
    /// Services some of whose servers failed to answer.
    reach: HashMap<Name, Reachability>,
    /// When services that are lost or have been found are reported to peers.
    reach_reports: HashMap<Name, Mono>,
    /// What removed servers had asked of this daemon, with the starts of their incarnations.
    former_hold_offs: HashMap<Name, (u64, HoldOff)>,
    /// Reports of limits that peers don't have yet, and the times of the answers.
    limit_reports: Vec<(Mono, LimitReport)>,
    /// Servers that have said in a response that they are leaving, with the starts of their
    /// incarnations; the control task has not taken them yet.
    leaving: Vec<(Name, u64)>,
    /// Data centres whose servers get nothing.
    emptied: BTreeSet<Name>,
    /// This daemon's own data centre is one of them.
    near_emptied: bool,
    /// Generator for all random choices.
    pub rng: Pcg32,
}

/// Shared state of one daemon in store mode.
#[derive(Debug)]
pub struct Edge {
    /// Settings that daemons have in both modes.
    pub settings: Settings,
    /// Settings that daemons have in store mode only.
    pub edge_settings: EdgeSettings,
    /// Counters and histograms.
    pub metrics: EdgeMetrics,
    /// Start of the daemon, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    clock: SystemClock,
    started: Instant,
    table: RwLock<Arc<RouteTable>>,
    /// Time of the last activation, in microseconds of [`Mono`]; 0 before the first.
    active_since: AtomicU64,
    /// Configurations before the active one, newest last.
    previous: Mutex<VecDeque<Arc<Routing>>>,
    servers: Mutex<ServerTable>,
    crashes: Mutex<CrashTracker>,
    forward_pool: Mutex<ForwardPool>,
    pause_watch: Mutex<PauseWatch>,
    /// Set when a graceful stop begins.
    stop_plan: OnceLock<StopPlan>,
    registry_known: AtomicBool,
    /// Notified when the first configuration or the first servers are known.
    first_known: Notify,
    /// Notified when a response has told something that peers need to know of its server.
    pub server_notice: Notify,
    /// Notified when a server has failed to answer or a check of a service has ended.
    pub reach_notice: Notify,
    in_flight: AtomicUsize,
    buffered: AtomicUsize,
    /// When an answer of a route was last passed on while it arrived.
    streamed: Mutex<HashMap<Name, Mono>>,
}

/// Counts one request as in flight until dropped.
#[derive(Debug)]
pub struct InFlightGuard(Arc<Edge>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Edge {
    /// Creates the state of a daemon that knows no routes or servers yet.
    pub fn new(settings: Settings, edge_settings: EdgeSettings) -> Arc<Self> {
        let clock = SystemClock::new();
        let seed = if settings.seed == 0 {
            RandomState::new().build_hasher().finish()
        } else {
            settings.seed
        };
        let hedge_ratio = edge_settings.hedge_ratio;
        Arc::new(Self {
            edge_settings,
            metrics: EdgeMetrics::new(),
            started_ms: clock.now().wall.0,
            clock,
            started: Instant::now(),
            table: RwLock::default(),
            active_since: AtomicU64::new(0),
            previous: Mutex::default(),
            servers: Mutex::new(ServerTable::new(seed, hedge_ratio)),
            crashes: Mutex::default(),
            forward_pool: Mutex::default(),
            pause_watch: Mutex::default(),
            stop_plan: OnceLock::new(),
            registry_known: AtomicBool::new(false),
            first_known: Notify::new(),
            server_notice: Notify::new(),
            reach_notice: Notify::new(),
            in_flight: AtomicUsize::new(0),
            buffered: AtomicUsize::new(0),
            streamed: Mutex::default(),
            settings,
        })
    }

    /// Time since the start.
    pub fn now(&self) -> Mono {
        self.clock.now().mono
    }

    /// Converts a time of this daemon's clock for Tokio's timers.
    pub fn instant(&self, at: Mono) -> tokio::time::Instant {
        (self.started + Duration::from_micros(at.0)).into()
    }

    /// Active routes.
    pub fn table(&self) -> Arc<RouteTable> {
        let table = self.table.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&table)
    }

    /// Version of the active configuration; 0 before the first.
    pub fn version(&self) -> u64 {
        self.table().routing().version
    }

    /// Time since the active configuration was activated; `None` before the first.
    pub fn active_for(&self) -> Option<Duration> {
        let at = self.active_since.load(Ordering::Acquire);
        (at > 0).then(|| self.now().since(Mono(at)))
    }

    /// Activates a configuration if it is newer than the active one or has terms that this one
    /// lacks; returns whether it does.
    pub fn activate(&self, routing: Arc<Routing>, source: &str) -> bool {
        let active = Arc::clone(self.table().routing());
        let before = active.version;
        let adds_terms = routing.version == before && routing.terms_known && !active.terms_known;
        if routing.version <= before && !adds_terms {
            return false;
        }
        let routing = if routing.terms_known {
            routing
        } else {
            Arc::new(routing.with_terms_of(&active))
        };
        let (version, routes) = (routing.version, routing.routes.len());
        let table = Arc::new(RouteTable::new(routing));
        {
            let mut active = self.table.write().unwrap_or_else(PoisonError::into_inner);
            let mut previous = self.previous.lock().unwrap_or_else(PoisonError::into_inner);
            previous.push_back(Arc::clone(active.routing()));
            if previous.len() > MAX_PREVIOUS_CONFIGS {
                previous.pop_front();
            }
            *active = Arc::clone(&table);
        }
        self.active_since.store(self.now().0, Ordering::Release);
        if before == 0 {
            self.first_known.notify_waiters();
        }
        let mut servers = self.servers();
        servers.retain_routes(&table);
        servers.set_cold_intervals(&table);
        drop(servers);
        log::info!(
            "event=in_force version={version} before={before} routes={routes} source={source}"
        );
        true
    }

    /// Changes from `version` to the active configuration; `None` if `version` is no longer kept.
    pub fn delta_from(&self, version: u64) -> Option<RoutingDelta> {
        let previous = self.previous.lock().unwrap_or_else(PoisonError::into_inner);
        let base = previous.iter().find(|r| r.version == version)?;
        Some(self.table().routing().delta_from(base))
    }

    /// Applies a delta to the active configuration and activates the result, if it applies and is
    /// newer; returns whether it did.
    pub fn activate_delta(&self, delta: RoutingDelta, source: &str) -> bool {
        let next = self.table().routing().apply(delta);
        next.is_some_and(|next| self.activate(Arc::new(next), source))
    }

    /// Locks the servers and their statistics.
    pub fn servers(&self) -> MutexGuard<'_, ServerTable> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the tracker of requests that crash servers.
    pub fn crash_tracker(&self) -> MutexGuard<'_, CrashTracker> {
        self.crashes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the record of pauses of the process.
    pub fn pause_watch(&self) -> MutexGuard<'_, PauseWatch> {
        self.pause_watch
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the peers that take forwarded requests; where both are needed, the servers come first.
    pub fn forward_pool(&self) -> MutexGuard<'_, ForwardPool> {
        self.forward_pool
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Marks the registry as known, which readiness requires.
    pub fn set_registry_known(&self) {
        if !self.registry_known.swap(true, Ordering::AcqRel) {
            self.first_known.notify_waiters();
        }
    }

    /// Whether routes and servers are known.
    fn knows_all(&self) -> bool {
        self.version() > 0 && self.registry_known.load(Ordering::Acquire)
    }

    /// Waits until routes and servers are known, or until a time.
    pub async fn wait_known(&self, until: Mono) {
        let until = self.instant(until);
        while !self.knows_all() {
            let mut known = pin!(self.first_known.notified());
            // Registered before the check, so that no notification is missed.
            known.as_mut().enable();
            if self.knows_all() || timeout_at(until, known).await.is_err() {
                return;
            }
        }
    }

    /// Records how a response that was passed on as it arrived has ended.
    pub fn record_body(&self, server: Option<ServerKey>, complete: bool) {
        let (now, settings) = (self.now(), self.placement());
        let mut servers = self.servers();
        if let Some(server) = server.and_then(|key| servers.get_mut(key)) {
            server.state.record_body(now, complete, settings);
        }
    }

    /// Whether routes and servers are known and the daemon isn't stopping.
    pub fn is_ready(&self) -> bool {
        self.knows_all() && !self.is_stopping()
    }

    /// Whether a graceful stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stop_plan.get().is_some()
    }

    /// Begins a graceful stop, if none has begun; returns its times.
    pub fn begin_stop(&self) -> StopPlan {
        let plan = || StopPlan::new(self.now(), self.edge_settings.grace);
        *self.stop_plan.get_or_init(plan)
    }

    /// Whether a request that usually takes `processing` may be sent to a server now.
    pub fn may_send(&self, now: Mono, processing: Duration) -> bool {
        let plan = self.stop_plan.get();
        plan.is_none_or(|p| p.may_send(now, processing))
    }

    /// Deadline of a server that gets a request now; earlier than the request's during a stop.
    pub fn server_deadline(&self, deadline: Mono) -> Mono {
        let plan = self.stop_plan.get();
        plan.map_or(deadline, |p| p.server_deadline(deadline))
    }

    /// Requests that have not ended.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn track_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlightGuard(Arc::clone(self))
    }

    /// Bytes of request bodies in memory.
    pub fn buffered(&self) -> &AtomicUsize {
        &self.buffered
    }

    /// Whether servers and daemons of a data centre may have a route's requests.
    pub fn allows(&self, route: &Route, data_centre: &str) -> bool {
        route.allows(self.edge_settings.regions.get(data_centre))
    }

    /// Settings of server placement.
    pub fn placement(&self) -> &PlacementSettings {
        &self.edge_settings.placement
    }
}

impl ServerTable {
    fn new(seed: u64, hedge_ratio: Option<f32>) -> Self {
        Self {
            servers: HashMap::new(),
            keys: HashMap::new(),
            by_service: HashMap::new(),
            next_key: 0,
            next_attempt: 0,
            processing_times: HashMap::new(),
            retry_budgets: HashMap::new(),
            hedging: hedge_ratio.map(Hedging::new),
            round_robins: HashMap::new(),
            daemons: 1,
            queues: HashMap::new(),
            slowdown: HashMap::new(),
            round_trips: RoundTrips::default(),
            load_reporting: HashMap::new(),
            probe_rates: HashMap::new(),
            subset_sizes: HashMap::new(),
            subset_salt: seed,
            probe_limiter: ProbeLimiter::new(ProbeLimiterSettings::default()),
            reach: HashMap::new(),
            reach_reports: HashMap::new(),
            former_hold_offs: HashMap::new(),
            limit_reports: Vec::new(),
            leaving: Vec::new(),
            emptied: BTreeSet::new(),
            near_emptied: false,
            rng: Pcg32::new(seed, 3),
        }
    }

    /// Adds a server or updates its entry; a restarted or moved server replaces the old one.
    pub fn put(&mut self, edge: &Edge, entry: &ServerEntry) {
        let key = self.keys.get(&entry.id).copied();
        if let Some(server) = key.and_then(|k| self.servers.get_mut(&k)) {
            let same = server.entry.started_ms == entry.started_ms
                && server.entry.address == entry.address
                && server.entry.service == entry.service;
            if same {
                // A server that has said itself that it is leaving doesn't take that back.
                let draining = entry.draining || server.entry.draining;
                if server.entry.sequence != entry.sequence
                    && server.record_cold(edge.now(), entry.warm_up, ColdNews::Report)
                {
                    edge.server_notice.notify_one();
                }
                server.entry = ServerEntry {
                    draining,
                    ..entry.clone()
                };
                return;
            }
            self.remove(&entry.id);
        }
        let key = self.next_key;
        self.next_key += 1;
        let near = entry.data_centre == edge.settings.data_centre;
        let table = edge.table();
        let spec = table.service(&entry.service);
        let limit = spec.map(|s| s.max_connections);
        let upstream = Upstream::new(
            entry.id.clone(),
            entry.address,
            self.connection_share(limit),
            UpstreamSettings {
                max_idle: 4,
                ..edge.settings.servers.connections.clone()
            },
        );
        let hold_off = self.former_hold_offs.remove(&entry.id);
        let hold_off = hold_off.filter(|(started_ms, _)| *started_ms == entry.started_ms);
        let mut server = Server {
            entry: entry.clone(),
            state: ServerState::new(near, entry.slots, edge.now() + entry.warm_up),
            upstream: Arc::new(upstream),
            probed_since: None,
            moved_until: Mono::default(),
            hold_off: hold_off.map(|(_, hold_off)| hold_off).unwrap_or_default(),
            limit_malformed: false,
            limit_reported: Mono::default(),
        };
        let cold = &mut server.hold_off.cold;
        cold.set_interval(spec.and_then(|s| s.cold_interval));
        if server.record_cold(edge.now(), entry.warm_up, ColdNews::Report) {
            edge.server_notice.notify_one();
        }
        self.servers.insert(key, server);
        self.keys.insert(entry.id.clone(), key);
        let service = self.by_service.entry(entry.service.clone()).or_default();
        service.push(key);
    }

    /// Removes a server; its running requests continue.
    pub fn remove(&mut self, id: &str) {
        let Some(key) = self.keys.remove(id) else {
            return;
        };
        let Some(server) = self.servers.remove(&key) else {
            return;
        };
        if let Some(keys) = self.by_service.get_mut(&server.entry.service) {
            keys.retain(|k| *k != key);
        }
        // The entry may have lapsed, and the server registers again.
        let former = (server.entry.started_ms, server.hold_off);
        self.former_hold_offs.insert(server.entry.id, former);
    }

    /// Records that a server of a service answered a probe without its load.
    pub fn record_no_load(&mut self, now: Mono, service: &Name) {
        let reporting = self.load_reporting.entry(service.clone()).or_default();
        reporting.record_missing(now);
    }

    /// Whether the servers of a service report no load.
    pub fn is_load_unknown(&self, service: &str) -> bool {
        let reporting = self.load_reporting.get(service);
        reporting.is_some_and(LoadReporting::is_unknown)
    }

    /// The server of a key, unless it was removed.
    pub fn get_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        self.servers.get_mut(&key)
    }

    /// All servers.
    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Servers of a service that accept new requests.
    pub fn available(&self, now: Mono, service: &str) -> Vec<ServerKey> {
        let keys = self.by_service.get(service).into_iter().flatten();
        let accepts = |k: &&ServerKey| {
            let server = self.servers.get(k);
            server.is_some_and(|s| {
                !s.entry.draining && now >= s.moved_until && !self.is_emptied(&s.entry.data_centre)
            })
        };
        keys.filter(accepts).copied().collect()
    }

    /// States of the servers that still exist.
    pub fn states<'a>(
        &'a self,
        keys: &'a [ServerKey],
    ) -> impl Iterator<Item = (ServerKey, &'a ServerState)> + 'a {
        let servers = keys.iter().filter_map(|k| Some((*k, self.servers.get(k)?)));
        servers.map(|(k, s)| (k, &s.state))
    }

    /// Records the start of an attempt; returns its number for [`ServerTable::record_end`].
    pub fn record_sent(
        &mut self,
        key: ServerKey,
        cx: &PlacementContext,
        settings: &PlacementSettings,
    ) -> u64 {
        self.next_attempt += 1;
        if let Some(server) = self.servers.get_mut(&key) {
            server.state.record_sent(self.next_attempt, cx, settings);
        }
        self.next_attempt
    }

    /// Records the end of an attempt and updates the route's processing time.
    pub fn record_end(
        &mut self,
        now: Mono,
        key: ServerKey,
        id: u64,
        end: AttemptEnd,
        route: &Route,
        settings: &PlacementSettings,
    ) {
        let Some(server) = self.servers.get_mut(&key) else {
            return;
        };
        let slowdown = self
            .slowdown
            .entry(server.entry.service.clone())
            .or_default();
        let time = server.state.record_end(now, id, end, slowdown, settings);
        if end == AttemptEnd::NoAnswer {
            self.record_unanswered(key);
        }
        if let Some(time) = time {
            let mean = self.processing_time(route).as_secs_f32();
            let sample = time.as_secs_f32().clamp(mean * 0.2, mean * 3.0);
            let time = mean + (sample - mean) * PROCESSING_TIME_WEIGHT;
            self.processing_times.insert(route.name.clone(), time);
        }
    }

    /// Records a server's reported load and health; wakes a waiting request if a slot is free.
    pub fn record_load(&mut self, now: Mono, key: ServerKey, load: ServerLoad, ok: Option<bool>) {
        let Some(server) = self.servers.get_mut(&key) else {
            return;
        };
        server.state.record_load(now, load, ok);
        let service = server.entry.service.clone();
        let reporting = self.load_reporting.entry(service.clone()).or_default();
        reporting.record_report(now);
        if load.has_free_slot()
            && let Some(queue) = self.queues.get_mut(&service)
        {
            queue.wake(now);
        }
    }

    /// Requests that wait for a server of a service.
    pub fn queue(&mut self, service: &Name) -> &mut ServiceQueue {
        self.queues.entry(service.clone()).or_default()
    }

    /// Usual processing time of a route's requests; at least 1 ms.
    pub fn processing_time(&self, route: &Route) -> Duration {
        let mean = self.processing_times.get(&route.name).copied();
        let time = mean.unwrap_or(route.latency_target.as_secs_f32() * INITIAL_TIME_FRACTION);
        Duration::from_secs_f32(time.max(0.001))
    }

    /// Service for the next request of a route, by weight; `None` if none of several has a weight.
    pub fn pick_service(&mut self, route: &Route) -> Option<Name> {
        if let [only] = route.services.as_slice() {
            return Some(only.service.clone());
        }
        let round_robin = self.round_robins.entry(route.name.clone()).or_default();
        let weights: Vec<u32> = route.services.iter().map(|s| s.weight).collect();
        let i = round_robin.next(&weights, &mut self.rng)?;
        route.services.get(i).map(|s| s.service.clone())
    }

    /// Removes the statistics of routes that are no longer active.
    fn retain_routes(&mut self, table: &RouteTable) {
        let active = |name: &Name| table.routing().routes.iter().any(|r| r.name == *name);
        self.round_robins.retain(|name, _| active(name));
        self.processing_times.retain(|name, _| active(name));
    }
}
