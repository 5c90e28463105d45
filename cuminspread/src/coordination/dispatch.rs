//! Decides which server a call is sent to and what its caller is told.
//!
//! Every call ends in exactly one [`CallAction::Finish`]. A call that is refused or given up gets
//! it at once, with the time after which the caller may retry. The verdict is `NotRun` only if each
//! attempt is proven not to have started; a non-idempotent call gets another attempt only with the
//! same proof.
//!
//! On [`CallAction::Cancel`] the driver asks the server to cancel the attempt, and reports
//! [`CancelledBeforeStart`](super::event::Ending::CancelledBeforeStart) only if the server confirms
//! it. An attempt that has already started runs to its own end, which is reported as usual.

mod results;
mod send;
mod timers;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use rand_pcg::Pcg32;

use crate::coordination::attempt::ActiveCall;
use crate::coordination::crash::{CrashDetector, CrashSettings};
use crate::coordination::event::{CallAction, CallEvent, CallId, ServerId, Verdict};
use crate::coordination::limits::{CouncilLoad, LimitSettings};
use crate::coordination::policy::ChoiceSettings;
use crate::coordination::pool::Pool;
use crate::coordination::probe::{Place, ProbePacer, ProbeSettings};
use crate::coordination::retry::{RetrySettings, TokenBucket};
use crate::coordination::server::Server;
use crate::invariant::InvariantChecks;
use crate::state::Name;
use crate::state::council::{CouncilConfig, ServerConfig, ServiceConfig};
use crate::state::time::{Mono, Now};

/// Switches of the rules that uphold the invariants.
///
/// All are on by default. Tests switch one off to see that the invariant check fails.
#[derive(Debug, Clone)]
pub struct Guards {
    /// Leaving servers get no new calls.
    pub leaving: bool,
    /// A non-idempotent call is retried only if no earlier attempt can have started.
    pub proof: bool,
    /// A caller is told `NotRun` only if no attempt can have started.
    pub outcome: bool,
    /// Probes stay within the daemon's share of the budget.
    pub probes: bool,
    /// Requests that crash servers are refused.
    pub crashes: bool,
    /// After a pause of the process, load reports and connections from before it are not relied on.
    pub pause: bool,
    /// Retries and hedges stay within the retry budgets.
    pub retries: bool,
    /// Each council is limited to its share of the daemon's capacity.
    pub councils: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            leaving: true,
            proof: true,
            outcome: true,
            probes: true,
            crashes: true,
            pause: true,
            retries: true,
            councils: true,
        }
    }
}

/// Settings of the dispatcher.
#[derive(Debug, Clone)]
pub struct DispatchSettings {
    /// Data centre of this daemon.
    pub data_centre: Name,
    /// Seed of the random choices.
    pub seed: u64,
    /// Largest accepted depth of a call in its chain.
    pub max_depth: u8,
    /// Load balancing policy.
    pub choice: ChoiceSettings,
    /// Limits on accepted calls.
    pub limits: LimitSettings,
    /// Retries, hedges and moves.
    pub retry: RetrySettings,
    /// Share of the probe budget, and when a server is probed.
    pub probe: ProbeSettings,
    /// Requests that crash servers.
    pub crash: CrashSettings,
    /// Longest time between two runs of the periodic work.
    pub tick_interval: Duration,
    /// Time between two events from which on the process is assumed to have been paused.
    pub pause_gap: Duration,
    /// Time for which a server that joins or comes back gets fewer calls.
    pub warm_up: Duration,
    /// Number of consecutive failures after which a server is ejected.
    pub eject_after_failures: u32,
    /// First ejection time of a server; doubles with each further ejection.
    pub base_ejection: Duration,
    /// Largest fraction of a service's servers that are ejected at once; at least one may be.
    pub max_ejected_fraction: f32,
    /// Time after which a report that a server is leaving expires unless it is renewed.
    pub leaving_ttl: Duration,
    /// Time after which a server known to be leaving must get no new calls.
    pub leaving_grace: Duration,
    /// Rules that only tests switch off.
    pub guards: Guards,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            data_centre: Name::default(),
            seed: 1,
            max_depth: 6,
            choice: ChoiceSettings::default(),
            limits: LimitSettings::default(),
            retry: RetrySettings::default(),
            probe: ProbeSettings::default(),
            crash: CrashSettings::default(),
            tick_interval: Duration::from_millis(100),
            pause_gap: Duration::from_millis(400),
            warm_up: Duration::from_secs(2),
            eject_after_failures: 3,
            base_ejection: Duration::from_secs(1),
            max_ejected_fraction: 0.2,
            leaving_ttl: Duration::from_secs(60),
            leaving_grace: Duration::from_secs(2),
            guards: Guards::default(),
        }
    }
}

#[derive(Debug)]
struct Council {
    name: Name,
    load: CouncilLoad,
    pacer: ProbePacer,
    pools: Vec<u32>,
    probe_cursor: usize,
}

/// What to do when a timer fires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// Give up the call if it is still in the queue.
    QueueTimeout,
    /// Try to move the attempt with this number.
    Move(u8),
    /// Hedge the attempt with this number.
    Hedge(u8),
}

/// State machine that dispatches the calls of one daemon.
#[derive(Debug)]
pub struct Dispatcher {
    settings: DispatchSettings,
    invariants: InvariantChecks,
    rng: Pcg32,
    place: Option<Place>,
    councils: Vec<Council>,
    pools: Vec<Pool>,
    pool_ids: HashMap<(Name, Name), u32>,
    servers: Vec<Server>,
    configs: Vec<ServerConfig>,
    calls: HashMap<CallId, ActiveCall>,
    accepted: u32,
    crashes: CrashDetector,
    timers: BinaryHeap<Reverse<(Mono, CallId, Timer)>>,
    last_event: Option<Mono>,
    /// End of the last pause: load reports and connections from before it are not relied on.
    distrust_before: Mono,
    /// Time of the last [`CallAction::WakeAt`].
    wake_at: Mono,
    last_tick: Mono,
}

impl Dispatcher {
    /// Dispatcher without services.
    pub fn new(settings: DispatchSettings, invariants: InvariantChecks) -> Self {
        let rng = Pcg32::new(settings.seed, settings.seed ^ 0x9e37_79b9);
        let crashes = CrashDetector::new(settings.crash.clone());
        Self {
            settings,
            invariants,
            rng,
            place: None,
            councils: Vec::new(),
            pools: Vec::new(),
            pool_ids: HashMap::new(),
            servers: Vec::new(),
            configs: Vec::new(),
            calls: HashMap::new(),
            accepted: 0,
            crashes,
            timers: BinaryHeap::new(),
            last_event: None,
            distrust_before: Mono::default(),
            wake_at: Mono::default(),
            last_tick: Mono::default(),
        }
    }

    /// Invariant checks of this dispatcher.
    pub fn invariants(&self) -> &InvariantChecks {
        &self.invariants
    }

    /// Configuration of a server.
    pub fn server(&self, id: ServerId) -> &ServerConfig {
        &self.configs[id.0 as usize]
    }

    /// All servers that were ever configured, including removed ones.
    pub fn known_servers(&self) -> impl Iterator<Item = ServerId> + use<> {
        (0..self.servers.len() as u32).map(ServerId)
    }

    /// State of a server.
    pub fn server_state(&self, id: ServerId) -> &Server {
        &self.servers[id.0 as usize]
    }

    /// Number of calls that are accepted and not finished.
    pub fn accepted(&self) -> u32 {
        self.accepted
    }

    /// Council and service of a server.
    pub fn service_of(&self, id: ServerId) -> (&Name, &Name) {
        let server = &self.servers[id.0 as usize];
        let config = &self.pools[server.pool as usize].config;
        (&config.council, &config.name)
    }

    /// Handles one event; appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Now, event: CallEvent, out: &mut Vec<CallAction>) {
        let now = now.mono;
        self.detect_pause(now);
        match event {
            CallEvent::InForce(config) => self.activate_config(now, &config),
            CallEvent::Place { index, daemons } => self.set_place(now, Place { index, daemons }),
            CallEvent::Arrived(call) => self.handle_call(now, call, out),
            CallEvent::Head {
                call,
                attempt,
                status,
                load,
            } => self.handle_head(now, call, attempt, status, load, out),
            CallEvent::Ended {
                call,
                attempt,
                ending,
            } => self.handle_end(now, call, attempt, ending, out),
            CallEvent::Streaming { call, attempt } => {
                self.finish(now, call, Verdict::Deliver(attempt), out);
            }
            CallEvent::CallerGone(call) => self.handle_caller_gone(now, call, out),
            CallEvent::Probed { server, load } => self.handle_probe(now, server, load, out),
            CallEvent::ServerLeaving {
                council,
                service,
                server,
            } => self.handle_leaving(now, &council, &service, &server),
            CallEvent::Crashing(fingerprint) => self.crashes.record_peer_report(now, fingerprint),
            CallEvent::Tick => {}
        }
        self.run_timers(now, out);
        self.run_tick(now, out);
        self.request_wake(now, out);
    }

    fn activate_config(&mut self, now: Mono, config: &Arc<CouncilConfig>) {
        let council = self.council_index(&config.council);
        self.councils[council].load.max_in_flight = config.max_in_flight;
        self.councils[council]
            .pacer
            .set_budget(now, config.probe_budget);
        let old_pools = self.councils[council].pools.clone();
        for pool in &old_pools {
            for id in &self.pools[*pool as usize].members {
                self.servers[*id as usize].present = false;
            }
        }
        for service in &config.services {
            self.set_service(now, council, &config.council, service);
        }
        for pool in self.councils[council].pools.clone() {
            self.rebuild(pool);
        }
    }

    fn council_index(&mut self, name: &Name) -> usize {
        if let Some(i) = self.councils.iter().position(|c| c.name == *name) {
            return i;
        }
        let mut pacer = ProbePacer::new(self.settings.probe.clone());
        if let Some(place) = self.place {
            pacer.set_place(self.last_event.unwrap_or_default(), place);
        }
        self.councils.push(Council {
            name: name.clone(),
            load: CouncilLoad::default(),
            pacer,
            pools: Vec::new(),
            probe_cursor: 0,
        });
        self.councils.len() - 1
    }

    fn set_service(
        &mut self,
        now: Mono,
        council: usize,
        council_name: &Name,
        service: &Arc<ServiceConfig>,
    ) {
        let key = (council_name.clone(), service.name.clone());
        let existing = self.pool_ids.get(&key).copied();
        let pool = existing.unwrap_or_else(|| {
            let retry = &self.settings.retry;
            let retries = TokenBucket::new(retry.ratio, retry.burst);
            let moves = TokenBucket::new(retry.move_ratio, retry.burst);
            let pool = Pool::new(council as u32, Arc::clone(service), retries, moves);
            self.pools.push(pool);
            self.pools.len() as u32 - 1
        });
        if existing.is_none() {
            self.pool_ids.insert(key, pool);
            self.councils[council].pools.push(pool);
        }
        self.pools[pool as usize].config = Arc::clone(service);
        for server in &service.servers {
            self.set_server(now, pool, server, existing.is_some());
        }
        let configs = &self.configs;
        let members = &mut self.pools[pool as usize].members;
        members.sort_by(|a, b| configs[*a as usize].name.cmp(&configs[*b as usize].name));
    }

    fn set_server(&mut self, now: Mono, pool: u32, config: &ServerConfig, pool_existed: bool) {
        let members = &self.pools[pool as usize].members;
        let same_name = |id: &&u32| self.configs[**id as usize].name == config.name;
        let existing = members.iter().find(same_name).copied();
        let id = existing.unwrap_or_else(|| {
            self.servers.push(Server::new(pool));
            self.configs.push(config.clone());
            let id = self.servers.len() as u32 - 1;
            self.pools[pool as usize].members.push(id);
            id
        });
        let server = &mut self.servers[id as usize];
        if existing.is_none() && pool_existed {
            server.set_warm_up_end(now + self.settings.warm_up);
        }
        server.present = true;
        server.slots = config.slots.max(1);
        server.near = config.data_centre == self.settings.data_centre;
        if config.leaving {
            server.mark_leaving(now, None);
        } else {
            server.clear_leaving();
        }
        self.configs[id as usize] = config.clone();
    }

    fn set_place(&mut self, now: Mono, place: Place) {
        for council in &mut self.councils {
            council.pacer.set_place(now, place);
        }
        if self.place == Some(place) {
            return;
        }
        self.place = Some(place);
        for pool in 0..self.pools.len() as u32 {
            self.rebuild(pool);
        }
    }

    /// Updates the candidates, owned slots and per-server limits of a service.
    fn rebuild(&mut self, pool: u32) {
        let daemons = self.place.map_or(1, |p| p.daemons.max(1));
        let pool = &mut self.pools[pool as usize];
        for id in &pool.members {
            let server = &mut self.servers[*id as usize];
            let connections = self.configs[*id as usize].connections / daemons;
            server.max_in_flight = server.slots.min(connections).max(1);
        }
        pool.rebuild(&mut self.servers, self.place, self.settings.guards.leaving);
    }
}
