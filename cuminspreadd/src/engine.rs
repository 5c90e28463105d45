//! Shared state of one daemon: the dispatcher, the routing table and the open calls.
//!
//! The dispatcher sits behind a mutex rather than in an actor: each call would pass the actor's
//! mailbox three times, while the mutex is held for about a microsecond. Actions are executed while
//! the mutex is held, so that each call gets its commands in the order in which they were decided.

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

use crate::admission::AdmissionCounts;
use crate::commands::{Command, CommandQueue, SendCommand};
use crate::metrics::Metrics;
use crate::peer_handle::PeerHandle;
use crate::probe;
use crate::server_status::ServerStatus;
use crate::settings::Settings;
use crate::spans::SpanExporter;

/// Shared state of one daemon in folder mode.
#[derive(Debug)]
pub struct Engine {
    /// Settings, with the seed chosen if it was 0.
    pub settings: Settings,
    /// Invariant checks.
    pub invariants: InvariantChecks,
    /// Metrics for operators.
    pub metrics: Metrics,
    /// Random number that distinguishes this run of the daemon from all other runs; part of
    /// attempt ids.
    pub run_id: u64,
    /// Wall-clock time of the start, so that a later start has a greater number.
    pub incarnation: u64,
    /// Requests that were accepted and haven't ended.
    pub admissions: Arc<AdmissionCounts>,
    weak_self: Weak<Self>,
    clock: SystemClock,
    started: Instant,
    table: RwLock<Arc<CouncilTable>>,
    refused_configs: Mutex<BTreeMap<Name, RefusedConfig>>,
    dispatch: Mutex<DispatchState>,
    next_call: AtomicU64,
    peers: OnceLock<PeerHandle>,
    spans: OnceLock<SpanExporter>,
    recording: OnceLock<RecordingFile>,
    timer: Notify,
    stopping: AtomicBool,
    ready: AtomicBool,
}

#[derive(Debug)]
struct DispatchState {
    dispatcher: Dispatcher,
    queues: HashMap<CallId, Arc<CommandQueue>>,
    upstreams: HashMap<ServerId, Arc<Upstream>>,
    daemons: u32,
    wake_at: Option<Mono>,
    actions: Vec<CallAction>,
}

/// Newest files of a council, refused for their faults; the last valid ones stay active.
#[derive(Debug, Clone)]
pub struct RefusedConfig {
    /// Version of the files.
    pub version: Version,
    /// Faults of the files, at least one.
    pub faults: Arc<[Fault]>,
}

impl Engine {
    /// Engine without any active configuration.
    pub fn new(settings: Settings, run_id: u64, invariants: InvariantChecks) -> Arc<Self> {
        let clock = SystemClock::new();
        #[allow(clippy::needless_update, reason = "the settings may gain fields")]
        let dispatch_settings = DispatchSettings {
            data_centre: settings.data_centre.clone(),
            seed: settings.seed,
            max_depth: settings.max_depth,
            guards: settings.guards.clone(),
            ..DispatchSettings::default()
        };
        let state = DispatchState {
            dispatcher: Dispatcher::new(dispatch_settings, invariants.clone()),
            queues: HashMap::new(),
            upstreams: HashMap::new(),
            daemons: 1,
            wake_at: None,
            actions: Vec::new(),
        };
        Arc::new_cyclic(|weak_self| Self {
            admissions: Arc::default(),
            weak_self: Weak::clone(weak_self),
            settings,
            invariants,
            metrics: Metrics::new(),
            run_id,
            incarnation: clock.now().wall.0,
            clock,
            started: Instant::now(),
            table: RwLock::new(Arc::default()),
            refused_configs: Mutex::default(),
            dispatch: Mutex::new(state),
            next_call: AtomicU64::new(1),
            peers: OnceLock::new(),
            spans: OnceLock::new(),
            recording: OnceLock::new(),
            timer: Notify::new(),
            stopping: AtomicBool::new(false),
            ready: AtomicBool::new(false),
        })
    }

    /// Current time on the wall clock and the monotonic clock.
    pub fn now(&self) -> Now {
        self.clock.now()
    }

    /// Converts a monotonic time to an instant, for timers.
    pub fn instant(&self, at: Mono) -> Instant {
        self.started + Duration::from_micros(at.0)
    }

    /// Starts a recording of the state machines if the settings name a file; to be called before
    /// the first event.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written; the error names it.
    pub fn start_recording(&self) -> anyhow::Result<()> {
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
        let recording = RecordingFile::create(path, &head, DEFAULT_MAX_BYTES);
        let recording =
            recording.with_context(|| format!("step=record peer={}", path.display()))?;
        let set = self.recording.set(recording);
        debug_assert!(set.is_ok(), "set once");
        Ok(())
    }

    /// Recording in progress; `None` if the settings name no file.
    pub fn recording(&self) -> Option<&RecordingFile> {
        self.recording.get()
    }

    /// Writes the buffered end of the recording to its file.
    pub fn flush_recording(&self) {
        if let Some(Err(e)) = self.recording().map(RecordingFile::flush) {
            log::warn!("event=record_ended step=flush cause=\"{e}\"");
        }
    }

    /// Sets the handle of the peer actor; to be called once.
    pub fn set_peers(&self, peers: PeerHandle) {
        let set = self.peers.set(peers);
        debug_assert!(set.is_ok(), "set once");
    }

    /// Handle of the peer actor; `None` until it is set.
    pub fn peers(&self) -> Option<&PeerHandle> {
        self.peers.get()
    }

    /// Sets the exporter of spans; to be called once.
    pub fn set_spans(&self, spans: SpanExporter) {
        let set = self.spans.set(spans);
        debug_assert!(set.is_ok(), "set once");
    }

    /// Exporter of spans; `None` if the settings name no destination.
    pub fn spans(&self) -> Option<&SpanExporter> {
        self.spans.get()
    }

    /// Identifier for a new call, unique within this run.
    pub fn next_call(&self) -> CallId {
        CallId(self.next_call.fetch_add(1, Ordering::Relaxed))
    }

    /// Finds the service of a request, and whether its route is idempotent; `host` without port.
    pub fn lookup(&self, host: &str, method: &str, path: &str) -> Option<Match> {
        self.table().lookup(host, method, path)
    }

    /// Active routing table.
    pub fn table(&self) -> Arc<CouncilTable> {
        let table = self.table.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&table)
    }

    /// Records that a council's newest files are refused; an empty list of faults clears the
    /// record.
    pub fn set_refused_config(&self, council: Name, version: Version, faults: Arc<[Fault]>) {
        let mut refused_configs = self
            .refused_configs
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if faults.is_empty() {
            refused_configs.remove(&council);
        } else {
            refused_configs.insert(council, RefusedConfig { version, faults });
        }
    }

    /// Refused files by council.
    pub fn refused_configs(&self) -> BTreeMap<Name, RefusedConfig> {
        let refused_configs = self
            .refused_configs
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        refused_configs.clone()
    }

    /// Activates a council's configuration, unless a newer one is active.
    pub fn activate_config(&self, config: Arc<CouncilConfig>) {
        {
            let mut table = self.table.write().unwrap_or_else(PoisonError::into_inner);
            let before = table.council(&config.council).map(|c| c.stamp);
            let forward = before.is_none_or(|stamp| stamp <= config.stamp);
            self.check_config_forward(forward, before, &config);
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
        self.handle(CallEvent::InForce(config));
    }

    fn check_config_forward(&self, holds: bool, before: Option<Stamp>, config: &CouncilConfig) {
        self.invariants.check(Invariant::ConfigForward, holds, || {
            let version = config.stamp.version.0;
            format!(
                "council={} before={before:?} version={version}",
                config.council
            )
        });
    }

    /// Whether a graceful stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Begins a graceful stop: from now on new calls are refused.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// Whether the daemon takes calls: it has a configuration and isn't stopping.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire) && !self.is_stopping()
    }

    /// Lets the daemon take calls.
    pub fn set_ready(&self) {
        if !self.ready.swap(true, Ordering::AcqRel) {
            log::info!("event=ready");
        }
    }

    /// Opens a call; the dispatcher's commands arrive in its queue until [`Engine::close_call`].
    pub fn open_call(&self, id: CallId) -> Arc<CommandQueue> {
        let queue = Arc::new(CommandQueue::default());
        self.lock().queues.insert(id, Arc::clone(&queue));
        queue
    }

    /// Closes a call; later commands for it are dropped.
    pub fn close_call(&self, id: CallId) {
        self.lock().queues.remove(&id);
    }

    /// Passes an event to the dispatcher and executes the actions that it returns.
    pub fn handle(&self, event: CallEvent) {
        let now = self.now();
        let mut state = self.lock();
        if let CallEvent::Place { daemons, .. } = &event {
            state.daemons = (*daemons).max(1);
        }
        let shares_change = matches!(event, CallEvent::Place { .. } | CallEvent::InForce(_));
        let mut actions = std::mem::take(&mut state.actions);
        let recorded = self.recording().map(|recording| (recording, event.clone()));
        state.dispatcher.handle(now, event, &mut actions);
        if let Some((recording, event)) = recorded {
            recording.record_call(now, &event, &actions);
        }
        for action in actions.drain(..) {
            self.execute(&mut state, &action);
        }
        state.actions = actions;
        if shares_change {
            state.update_connection_shares();
        }
    }

    fn execute(&self, state: &mut DispatchState, action: &CallAction) {
        match *action {
            CallAction::Send {
                call,
                attempt,
                server,
                connection,
                retry_budget,
            } => {
                let config = state.dispatcher.server(server);
                self.invariants
                    .check(Invariant::LeavingServer, !config.leaving, || {
                        format!("server={} call={}", config.name, call.0)
                    });
                let command = SendCommand {
                    attempt,
                    upstream: self.upstream(state, server),
                    connection,
                    retry_budget,
                };
                state.push(call, Command::Send(command));
            }
            CallAction::Cancel { call, attempt } => state.push(call, Command::Cancel(attempt)),
            CallAction::Finish { call, verdict } => state.push(call, Command::Finish(verdict)),
            CallAction::Probe(server) => self.probe(state, server),
            CallAction::WakeAt(at) => {
                if state.wake_at.is_none_or(|before| at < before) {
                    state.wake_at = Some(at);
                    self.timer.notify_one();
                }
            }
            CallAction::TellLeaving(server) => {
                let (council, service) = state.dispatcher.service_of(server);
                let event = Event::ServerLeaving {
                    council: council.clone(),
                    service: service.clone(),
                    server: state.dispatcher.server(server).name.clone(),
                };
                self.send_event(event);
            }
            CallAction::TellCrashing(fingerprint) => self.send_event(Event::Crashing(fingerprint)),
        }
    }

    fn send_event(&self, event: Event) {
        if let Some(peers) = self.peers() {
            peers.send(event);
        }
    }

    fn probe(&self, state: &mut DispatchState, server: ServerId) {
        let (council, service) = state.dispatcher.service_of(server);
        let path = self
            .service(council, service)
            .map(|s| s.probe_path.clone())
            .unwrap_or_default();
        let upstream = self.upstream(state, server);
        let Some(engine) = self.weak_self.upgrade() else {
            return;
        };
        tokio::spawn(async move {
            let timeout = engine.settings.servers.probe_timeout;
            let load = probe::run(&upstream, &path, timeout).await;
            engine.metrics.count_probe(load.is_some());
            engine.handle(CallEvent::Probed { server, load });
        });
    }

    fn service(&self, council: &str, service: &str) -> Option<Arc<ServiceConfig>> {
        let table = self.table();
        let services = &table.council(council)?.services;
        services.iter().find(|s| s.name == service).cloned()
    }

    fn upstream(&self, state: &mut DispatchState, id: ServerId) -> Arc<Upstream> {
        let daemons = state.daemons;
        let config = state.dispatcher.server(id);
        if let Some(upstream) = state.upstreams.get(&id)
            && upstream.address() == config.address
        {
            return Arc::clone(upstream);
        }
        let upstream = Arc::new(Upstream::new(
            config.name.clone(),
            config.address,
            connection_share(config, daemons),
            self.settings.servers.connections.clone(),
        ));
        state.upstreams.insert(id, Arc::clone(&upstream));
        upstream
    }

    /// State of the servers of the active configuration, sorted by council and name.
    pub fn servers(&self) -> Vec<ServerStatus> {
        let now = self.now().mono;
        let state = self.lock();
        let ids = state.dispatcher.known_servers();
        let present = ids.filter(|id| state.dispatcher.server_state(*id).present);
        let mut all: Vec<_> = present.map(|id| state.server_status(id, now)).collect();
        drop(state);
        all.sort_by(|a, b| (&a.council, &a.name).cmp(&(&b.council, &b.name)));
        all
    }

    /// Closes connections to servers that have been idle too long.
    pub fn close_idle_connections(&self) {
        let upstreams: Vec<_> = self.lock().upstreams.values().cloned().collect();
        for upstream in upstreams {
            upstream.close_idle();
        }
    }

    /// Drops all calls and all connections to servers at once, as a crash would.
    pub fn close_all(&self) {
        let mut state = self.lock();
        for (_, queue) in state.queues.drain() {
            queue.close();
        }
        state.upstreams.clear();
    }

    /// Spawns a task that sends the dispatcher a tick whenever it asked to be woken.
    pub fn spawn_timer(self: &Arc<Self>) -> JoinHandle<()> {
        let engine = Arc::clone(self);
        tokio::spawn(async move {
            loop {
                engine.wait_for_tick().await;
                engine.handle(CallEvent::Tick);
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
                    let mut state = self.lock();
                    if state.wake_at.is_some_and(|at| at <= self.now().mono) {
                        state.wake_at = None;
                        return;
                    }
                }
                () = self.timer.notified() => {}
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, DispatchState> {
        self.dispatch.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl DispatchState {
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

    fn push(&self, call: CallId, command: Command) {
        if let Some(queue) = self.queues.get(&call) {
            queue.push(command);
        }
    }

    fn update_connection_shares(&self) {
        for (id, upstream) in &self.upstreams {
            let config = self.dispatcher.server(*id);
            upstream.set_max_open(connection_share(config, self.daemons));
        }
    }
}

/// Connections that one daemon may open to a server: an equal share of the server's limit, at least
/// 1.
fn connection_share(config: &ServerConfig, daemons: u32) -> u32 {
    (config.connections / daemons.max(1)).max(1)
}
