//! The dispatcher and the routing table of one daemon, and the actions that follow from events.
//!
//! Every call would pass an actor's mailbox three times; a mutex that is held for about a
//! microsecond costs less, so the dispatcher lives behind one. Actions are handed out while it is
//! held, so that each call sees its actions in the order in which they were decided.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock, Weak};
use std::time::{Duration, Instant};

use anyhow::Context as _;
use cuminspread::coordination::dispatch::{DispatchSettings, Dispatcher};
use cuminspread::coordination::event::{CallAction, CallEvent, CallId, Event, ServerId};
use cuminspread::invariant::{Invariant, InvariantChecks};
use cuminspread::recording::RecordingHeader;
use cuminspread::state::Name;
use cuminspread::state::council::{CouncilConfig, ServerConfig, ServiceConfig, Stamp, Version};
use cuminspread::state::folder::Fault;
use cuminspread::state::table::{CouncilTable, Match};
use cuminspread::state::time::{Mono, Now};
use cuminspread::transport::clock::SystemClock;
use cuminspread::transport::recording::{DEFAULT_MAX_BYTES, RecordingFile};
use cuminspread::transport::upstream::Upstream;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::admission::Admissions;
use crate::commands::{Order, Orders, SendOrder};
use crate::metrics::Metrics;
use crate::peer_handle::PeerAddress;
use crate::probe;
use crate::server_status::ServerStatus;
use crate::settings::Settings;
use crate::spans::Spans;

/// Shared parts of one daemon.
#[derive(Debug)]
pub struct Engine {
    /// Settings of the daemon.
    pub settings: Settings,
    /// Invariant checks.
    pub invariants: InvariantChecks,
    /// Counts and times.
    pub metrics: Metrics,
    /// Random number that names this start of the daemon.
    pub tag: u64,
    /// Number that grows with each start of this daemon: the time of the start.
    pub incarnation: u64,
    /// Requests that were accepted.
    pub admissions: Arc<Admissions>,
    me: Weak<Self>,
    clock: SystemClock,
    started: Instant,
    table: RwLock<Arc<CouncilTable>>,
    refused: Mutex<BTreeMap<Name, Refusal>>,
    calls: Mutex<Calls>,
    next_call: AtomicU64,
    peers: OnceLock<PeerAddress>,
    spans: OnceLock<Spans>,
    trace: OnceLock<RecordingFile>,
    timer: Notify,
    stopping: AtomicBool,
    ready: AtomicBool,
}

#[derive(Debug)]
struct Calls {
    dispatcher: Dispatcher,
    running: HashMap<CallId, Arc<Orders>>,
    upstreams: HashMap<ServerId, Arc<Upstream>>,
    daemons: u32,
    wake_at: Option<Mono>,
    actions: Vec<CallAction>,
}

/// Files of a council that are refused, while the last good ones are in force.
#[derive(Debug, Clone)]
pub struct Refusal {
    /// Version of the files.
    pub version: Version,
    /// Their faults.
    pub faults: Arc<[Fault]>,
}

impl Engine {
    /// Engine without any council.
    pub fn new(settings: Settings, tag: u64, invariants: InvariantChecks) -> Arc<Self> {
        let clock = SystemClock::new();
        #[allow(clippy::needless_update, reason = "the settings may gain fields")]
        let dispatch = DispatchSettings {
            data_centre: settings.data_centre.clone(),
            seed: settings.seed,
            max_depth: settings.max_depth,
            guards: settings.guards.clone(),
            ..DispatchSettings::default()
        };
        let calls = Calls {
            dispatcher: Dispatcher::new(dispatch, invariants.clone()),
            running: HashMap::new(),
            upstreams: HashMap::new(),
            daemons: 1,
            wake_at: None,
            actions: Vec::new(),
        };
        Arc::new_cyclic(|me| Self {
            admissions: Arc::default(),
            me: Weak::clone(me),
            settings,
            invariants,
            metrics: Metrics::new(),
            tag,
            incarnation: clock.now().wall.0,
            clock,
            started: Instant::now(),
            table: RwLock::new(Arc::default()),
            refused: Mutex::default(),
            calls: Mutex::new(calls),
            next_call: AtomicU64::new(1),
            peers: OnceLock::new(),
            spans: OnceLock::new(),
            trace: OnceLock::new(),
            timer: Notify::new(),
            stopping: AtomicBool::new(false),
            ready: AtomicBool::new(false),
        })
    }

    /// Reads the clocks.
    pub fn now(&self) -> Now {
        self.clock.now()
    }

    /// Instant of a monotonic reading, for timers.
    pub fn instant(&self, at: Mono) -> Instant {
        self.started + Duration::from_micros(at.0)
    }

    /// Begins to record a trace, if the settings name a file; before any event.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written; the error names it.
    pub fn record(&self) -> anyhow::Result<()> {
        let Some(path) = &self.settings.log.record else {
            return Ok(());
        };
        let head = RecordingHeader {
            name: self.settings.name.clone(),
            data_centre: self.settings.data_centre.clone(),
            incarnation: self.incarnation,
            dispatch_seed: self.settings.seed,
            node_seed: self.settings.seed,
            max_depth: self.settings.max_depth,
            ..RecordingHeader::default()
        };
        let trace = RecordingFile::create(path, &head, DEFAULT_MAX_BYTES);
        let trace = trace.with_context(|| format!("step=record peer={}", path.display()))?;
        let set = self.trace.set(trace);
        debug_assert!(set.is_ok(), "set once");
        Ok(())
    }

    /// Trace that is being recorded.
    pub fn trace(&self) -> Option<&RecordingFile> {
        self.trace.get()
    }

    /// Writes out what the trace still buffers.
    pub fn flush_trace(&self) {
        if let Some(Err(e)) = self.trace().map(RecordingFile::flush) {
            log::warn!("event=record_ended step=flush cause=\"{e}\"");
        }
    }

    /// Connects the engine with the actor that talks to peers; once.
    pub fn set_peers(&self, peers: PeerAddress) {
        let set = self.peers.set(peers);
        debug_assert!(set.is_ok(), "set once");
    }

    /// Actor that talks to peers.
    pub fn peers(&self) -> Option<&PeerAddress> {
        self.peers.get()
    }

    /// Exports spans from now on; once.
    pub fn set_spans(&self, spans: Spans) {
        let set = self.spans.set(spans);
        debug_assert!(set.is_ok(), "set once");
    }

    /// Exporter of spans, if they are exported.
    pub fn spans(&self) -> Option<&Spans> {
        self.spans.get()
    }

    /// Identifier for a new call.
    pub fn next_call(&self) -> CallId {
        CallId(self.next_call.fetch_add(1, Ordering::Relaxed))
    }

    /// Service and route of a request.
    pub fn lookup(&self, host: &str, method: &str, path: &str) -> Option<Match> {
        self.table().lookup(host, method, path)
    }

    /// Routing table in force.
    pub fn table(&self) -> Arc<CouncilTable> {
        let table = self.table.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&table)
    }

    /// Notes that a council's newest files are refused; without faults, that they no longer are.
    pub fn note_refused(&self, council: Name, version: Version, faults: Arc<[Fault]>) {
        let mut refused = self.refused.lock().unwrap_or_else(PoisonError::into_inner);
        if faults.is_empty() {
            refused.remove(&council);
        } else {
            refused.insert(council, Refusal { version, faults });
        }
    }

    /// Refused files, by council.
    pub fn refused(&self) -> BTreeMap<Name, Refusal> {
        let refused = self.refused.lock().unwrap_or_else(PoisonError::into_inner);
        refused.clone()
    }

    /// Puts a council's configuration in force.
    pub fn activate_config(&self, config: Arc<CouncilConfig>) {
        {
            let mut table = self.table.write().unwrap_or_else(PoisonError::into_inner);
            let before = table.council(&config.council).map(|c| c.stamp);
            let forward = before.is_none_or(|stamp| stamp <= config.stamp);
            self.expect_forward(forward, before, &config);
            if !forward {
                return;
            }
            Arc::make_mut(&mut table).insert(Arc::clone(&config));
        }
        log::info!(
            "event=in_force council={} version={} services={}",
            config.council,
            config.stamp.version.0,
            config.services.len()
        );
        self.tell(CallEvent::InForce(config));
    }

    fn expect_forward(&self, holds: bool, before: Option<Stamp>, config: &CouncilConfig) {
        self.invariants.check(Invariant::ConfigForward, holds, || {
            let version = config.stamp.version.0;
            format!(
                "council={} before={before:?} version={version}",
                config.council
            )
        });
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Begins a planned stop.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// Whether the daemon may take calls.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire) && !self.is_stopping()
    }

    /// The daemon may take calls.
    pub fn set_ready(&self) {
        if !self.ready.swap(true, Ordering::AcqRel) {
            log::info!("event=ready");
        }
    }

    /// Opens a call; its orders come until [`Engine::close_call`].
    pub fn open_call(&self, id: CallId) -> Arc<Orders> {
        let orders = Arc::new(Orders::default());
        self.lock().running.insert(id, Arc::clone(&orders));
        orders
    }

    /// Ends a call.
    pub fn close_call(&self, id: CallId) {
        self.lock().running.remove(&id);
    }

    /// Tells the dispatcher one event and hands out the actions that follow.
    pub fn tell(&self, event: CallEvent) {
        let now = self.now();
        let mut calls = self.lock();
        if let CallEvent::Place { daemons, .. } = &event {
            calls.daemons = (*daemons).max(1);
        }
        let shares_change = matches!(event, CallEvent::Place { .. } | CallEvent::InForce(_));
        let mut actions = std::mem::take(&mut calls.actions);
        let recorded = self.trace().map(|trace| (trace, event.clone()));
        calls.dispatcher.handle(now, event, &mut actions);
        if let Some((trace, event)) = recorded {
            trace.record_call(now, &event, &actions);
        }
        for action in actions.drain(..) {
            self.carry_out(&mut calls, &action);
        }
        calls.actions = actions;
        if shares_change {
            calls.share_connections();
        }
    }

    fn carry_out(&self, calls: &mut Calls, action: &CallAction) {
        match *action {
            CallAction::Send {
                call,
                attempt,
                server,
                connection,
                retry_budget,
            } => {
                let config = calls.dispatcher.server(server);
                self.invariants
                    .check(Invariant::LeavingServer, !config.leaving, || {
                        format!("server={} call={}", config.name, call.0)
                    });
                let order = SendOrder {
                    attempt,
                    upstream: self.upstream(calls, server),
                    connection,
                    retry_budget,
                };
                calls.order(call, Order::Send(order));
            }
            CallAction::Cancel { call, attempt } => calls.order(call, Order::Cancel(attempt)),
            CallAction::Finish { call, verdict } => calls.order(call, Order::Finish(verdict)),
            CallAction::Probe(server) => self.probe(calls, server),
            CallAction::WakeAt(at) => {
                if calls.wake_at.is_none_or(|before| at < before) {
                    calls.wake_at = Some(at);
                    self.timer.notify_one();
                }
            }
            CallAction::TellLeaving(server) => {
                let (council, service) = calls.dispatcher.service_of(server);
                let event = Event::ServerLeaving {
                    council: council.clone(),
                    service: service.clone(),
                    server: calls.dispatcher.server(server).name.clone(),
                };
                self.tell_peers(event);
            }
            CallAction::TellCrashing(fingerprint) => self.tell_peers(Event::Crashing(fingerprint)),
        }
    }

    fn tell_peers(&self, event: Event) {
        if let Some(peers) = self.peers() {
            peers.tell(event);
        }
    }

    fn probe(&self, calls: &mut Calls, server: ServerId) {
        let (council, service) = calls.dispatcher.service_of(server);
        let path = self
            .service(council, service)
            .map(|s| s.probe_path.clone())
            .unwrap_or_default();
        let upstream = self.upstream(calls, server);
        let Some(engine) = self.me.upgrade() else {
            return;
        };
        tokio::spawn(async move {
            let timeout = engine.settings.servers.probe_timeout;
            let load = probe::run(&upstream, &path, timeout).await;
            engine.metrics.count_probe(load.is_some());
            engine.tell(CallEvent::Probed { server, load });
        });
    }

    fn service(&self, council: &str, service: &str) -> Option<Arc<ServiceConfig>> {
        let table = self.table();
        let services = &table.council(council)?.services;
        services.iter().find(|s| s.name == service).cloned()
    }

    fn upstream(&self, calls: &mut Calls, id: ServerId) -> Arc<Upstream> {
        let daemons = calls.daemons;
        let config = calls.dispatcher.server(id);
        if let Some(known) = calls.upstreams.get(&id)
            && known.address() == config.address
        {
            return Arc::clone(known);
        }
        let upstream = Arc::new(Upstream::new(
            config.name.clone(),
            config.address,
            connection_share(config, daemons),
            self.settings.servers.connections.clone(),
        ));
        calls.upstreams.insert(id, Arc::clone(&upstream));
        upstream
    }

    /// State of the servers in force.
    pub fn servers(&self) -> Vec<ServerStatus> {
        let now = self.now().mono;
        let calls = self.lock();
        let ids = calls.dispatcher.known_servers();
        let present = ids.filter(|id| calls.dispatcher.server_state(*id).present);
        let mut all: Vec<_> = present.map(|id| calls.server_status(id, now)).collect();
        drop(calls);
        all.sort_by(|a, b| (&a.council, &a.name).cmp(&(&b.council, &b.name)));
        all
    }

    /// Closes idle connections.
    pub fn sweep(&self) {
        let upstreams: Vec<_> = self.lock().upstreams.values().cloned().collect();
        for upstream in upstreams {
            upstream.close_idle();
        }
    }

    /// Drops every call and connection, as a crash would.
    pub fn drop_all(&self) {
        let mut calls = self.lock();
        for (_, orders) in calls.running.drain() {
            orders.close();
        }
        calls.upstreams.clear();
    }

    /// Sends the dispatcher its ticks, for as long as the task runs.
    pub fn spawn_timer(self: &Arc<Self>) -> JoinHandle<()> {
        let engine = Arc::clone(self);
        tokio::spawn(async move {
            loop {
                engine.wait_for_tick().await;
                engine.tell(CallEvent::Tick);
            }
        })
    }

    async fn wait_for_tick(&self) {
        loop {
            let wake_at = self.lock().wake_at;
            let Some(at) = wake_at else {
                self.timer.notified().await;
                continue;
            };
            let sleep = tokio::time::sleep_until(self.instant(at).into());
            tokio::select! {
                () = sleep => {
                    let mut calls = self.lock();
                    if calls.wake_at.is_some_and(|at| at <= self.now().mono) {
                        calls.wake_at = None;
                        return;
                    }
                }
                () = self.timer.notified() => {}
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Calls> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Calls {
    fn server_status(&self, id: ServerId, now: Mono) -> ServerStatus {
        let (council, service) = self.dispatcher.service_of(id);
        let config = self.dispatcher.server(id);
        let server = self.dispatcher.server_state(id);
        let upstream = self.upstreams.get(&id);
        let state = if server.leaving_since().is_some() {
            "leaving"
        } else if server.is_ejected(now) {
            "ejected"
        } else if server.is_warming_up(now) {
            "cold"
        } else {
            "ready"
        };
        ServerStatus {
            council: council.to_string(),
            service: service.to_string(),
            name: config.name.to_string(),
            address: config.address.to_string(),
            state: state.to_owned(),
            in_flight: server.in_flight,
            mean_us: server.latency.mean() as u64,
            open: upstream.map_or(0, |u| u.open_count()),
            opened: upstream.map_or(0, |u| u.opened_total()),
        }
    }

    fn order(&self, call: CallId, order: Order) {
        if let Some(orders) = self.running.get(&call) {
            orders.push(order);
        }
    }

    fn share_connections(&self) {
        for (id, upstream) in &self.upstreams {
            let config = self.dispatcher.server(*id);
            upstream.set_max_open(connection_share(config, self.daemons));
        }
    }
}

/// Connections that one daemon may open to a server.
fn connection_share(config: &ServerConfig, daemons: u32) -> u32 {
    (config.connections / daemons.max(1)).max(1)
}
