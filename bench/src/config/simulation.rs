//! Simulation in virtual time of how configuration spreads among several daemons.
//!
//! The daemons' state machines are the same code as in `cuminspreadd`; network and platform are
//! simulated. The network loses, duplicates and delays messages. The platform answers late, with an
//! old revision, or not at all. The configurations that each daemon activates are compared with the
//! order of the edits on the platform, independently of the daemon's own checks.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use cuminspread::coordination::event::Action;
use cuminspread::coordination::spread::{Spread, SpreadEvent, SpreadSettings};
use cuminspread::invariant::{Invariant, InvariantChecks};
use cuminspread::protocol::message::Message;
use cuminspread::protocol::spread::SpreadMessage;
use cuminspread::state::Name;
use cuminspread::state::council::CouncilConfig;
use cuminspread::state::fleet::{FleetList, Vm};
use cuminspread::state::folder::Folder;
use cuminspread::state::time::{Mono, Now, Wall};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::config::platform::{Change, PlatformFolder, council_name};

mod daemon;
mod settings;

pub use daemon::Daemon;
pub use settings::SimulationSettings;

/// Bytes that each message adds: UDP and IP headers, envelope head and authentication.
pub const ENVELOPE_BYTES: u64 = 28 + 17 + 45;
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which the platform answers a watch without a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);
const PLATFORM_DELAY: Duration = Duration::from_millis(3);
/// Time until a read fails that doesn't reach the platform.
const READ_TIMEOUT: Duration = Duration::from_secs(7);
/// Fleets up to this size have all daemons as peers; larger ones have about this many peers each.
const MAX_PEERS: usize = 20;

/// Event at one daemon; those of an earlier generation of the daemon are ignored, except messages.
#[derive(Debug)]
enum SimEvent {
    Tick {
        daemon: usize,
        generation: u32,
    },
    Deliver {
        from: Name,
        to: usize,
        message: SpreadMessage,
    },
    ReadCompleted {
        daemon: usize,
        generation: u32,
        result: ReadResult,
    },
    WatchExpired {
        daemon: usize,
        generation: u32,
        after: u64,
    },
}

#[derive(Debug)]
enum ReadResult {
    Read(Folder),
    Unchanged,
    Failed,
}

/// Edit that isn't active on all daemons yet.
#[derive(Debug)]
struct PendingChange {
    council: Name,
    /// Number of edits of the council including this one.
    edits: u32,
    at: Mono,
    /// Whether the edit became active, by index of the daemon.
    activated: Vec<bool>,
}

/// Simulated fleet with its network and platform.
#[derive(Debug)]
pub struct SpreadSimulation {
    settings: SimulationSettings,
    rng: Pcg64Mcg,
    now: Mono,
    sequence: u64,
    queue: BinaryHeap<Reverse<(Mono, u64)>>,
    events: BTreeMap<u64, SimEvent>,
    index_by_name: HashMap<Name, usize>,
    /// Daemons by index; the index stays when a daemon is replaced.
    pub daemons: Vec<Daemon>,
    /// Folder on the platform.
    pub folder: PlatformFolder,
    /// Whether the platform answers reads.
    pub platform_up: bool,
    /// Number of reads of the platform so far, including failed ones; a watch counts once.
    pub reads: u64,
    /// Times from an edit until it became active, one per daemon and edit.
    pub delays: Vec<Duration>,
    /// Number of activated configurations that were older than the one before, by number of edits.
    pub reverts: u64,
    pending: Vec<PendingChange>,
}

impl SpreadSimulation {
    /// Starts all daemons, with the platform available.
    pub fn new(settings: SimulationSettings) -> Self {
        let mut simulation = Self {
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            now: Mono(1),
            sequence: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            index_by_name: HashMap::new(),
            daemons: Vec::new(),
            folder: PlatformFolder::new(settings.folder),
            platform_up: true,
            reads: 0,
            delays: Vec::new(),
            reverts: 0,
            pending: Vec::new(),
            settings,
        };
        for i in 0..simulation.settings.daemons {
            let daemon = simulation.new_daemon(i, 0);
            simulation.daemons.push(daemon);
        }
        simulation.choose_cut_off();
        simulation.choose_peers();
        for i in 0..simulation.settings.daemons {
            simulation.start(i);
        }
        simulation
    }

    fn new_daemon(&mut self, i: usize, generation: u32) -> Daemon {
        let name = Name::new(format!("vm-{i}-{generation}"));
        self.index_by_name.retain(|_, index| *index != i);
        self.index_by_name.insert(name.clone(), i);
        let data_centre = i % self.settings.data_centres;
        let invariants = InvariantChecks::default();
        let settings = SpreadSettings {
            name: name.clone(),
            data_centre: data_centre_name(data_centre),
            seed: self.rng.random(),
            version_check: self.settings.version_check,
            ..SpreadSettings::default()
        };
        Daemon {
            name,
            data_centre,
            generation,
            spread: Spread::new(settings, invariants.clone()),
            invariants,
            peers: Vec::new(),
            cut_off: false,
            partition: 0,
            paused_until: Mono::default(),
            watched_revision: None,
            active_edits: BTreeMap::new(),
            ready: false,
            sent_bytes: 0,
            messages: 0,
        }
    }

    /// Cuts the configured fraction of the daemons off from the platform.
    fn choose_cut_off(&mut self) {
        let mut all: Vec<usize> = (0..self.daemons.len()).collect();
        all.shuffle(&mut self.rng);
        let count = (self.daemons.len() as f64 * self.settings.cut_off_fraction).round() as usize;
        for i in all.into_iter().take(count) {
            self.daemons[i].cut_off = true;
        }
    }

    /// Chooses the peers of each daemon: all others in a small fleet, else random pairs that are each
    /// other's peers.
    fn choose_peers(&mut self) {
        let count = self.daemons.len();
        let all: Vec<usize> = (0..count).collect();
        for i in 0..count {
            let wanted = if count <= MAX_PEERS {
                count
            } else {
                MAX_PEERS / 2
            };
            let chosen: Vec<usize> = all.sample(&mut self.rng, wanted).copied().collect();
            for other in chosen.into_iter().filter(|other| *other != i) {
                for (a, b) in [(i, other), (other, i)] {
                    if !self.daemons[a].peers.contains(&b) {
                        self.daemons[a].peers.push(b);
                    }
                }
            }
        }
    }

    fn start(&mut self, i: usize) {
        let names = self.daemons[i].peers.iter();
        let names = names.map(|p| self.daemons[*p].name.clone()).collect();
        let vm_list = self.vm_list();
        self.handle_event(i, SpreadEvent::Fleet(vm_list));
        self.handle_event(i, SpreadEvent::Peers(names));
        let phase = TICK_INTERVAL.mul_f64(self.rng.random());
        let generation = self.daemons[i].generation;
        self.schedule(
            phase,
            SimEvent::Tick {
                daemon: i,
                generation,
            },
        );
    }

    fn vm_list(&self) -> FleetList {
        let vms = self.daemons.iter().map(|d| Vm {
            name: d.name.clone(),
            data_centre: data_centre_name(d.data_centre),
            peer: SocketAddr::from(([127, 0, 0, 1], 1)),
            leaving: false,
        });
        FleetList {
            revision: 1,
            epoch: 0,
            vms: vms.collect(),
        }
    }

    /// Replaces a daemon by a new one that has no state and another name.
    pub fn replace(&mut self, i: usize) {
        let generation = self.daemons[i].generation + 1;
        let mut daemon = self.new_daemon(i, generation);
        daemon.peers.clone_from(&self.daemons[i].peers);
        daemon.cut_off = self.daemons[i].cut_off;
        daemon.partition = self.daemons[i].partition;
        self.daemons[i] = daemon;
        let vm_list = self.vm_list();
        for other in 0..self.daemons.len() {
            let peers = self.daemons[other].peers.iter();
            let names = peers.map(|p| self.daemons[*p].name.clone()).collect();
            self.handle_event(other, SpreadEvent::Fleet(vm_list.clone()));
            self.handle_event(other, SpreadEvent::Peers(names));
        }
        self.start(i);
    }

    /// Cuts one daemon off from the platform; its open watch fails.
    pub fn cut_off(&mut self, i: usize) {
        self.daemons[i].cut_off = true;
        if self.daemons[i].watched_revision.take().is_some() {
            self.complete_read(i, READ_TIMEOUT, ReadResult::Failed);
        }
    }

    /// Starts a network partition of the fleet into two random sides, or ends it.
    pub fn partition(&mut self, partitioned: bool) {
        for daemon in &mut self.daemons {
            daemon.partition = u8::from(partitioned && self.rng.random());
        }
    }

    /// Pauses a daemon; its events wait until the end of the pause.
    pub fn pause(&mut self, i: usize, duration: Duration) {
        self.daemons[i].paused_until = self.now + duration;
    }

    /// Changes the files of a council on the platform.
    pub fn change(&mut self, council: usize, change: Change) {
        self.folder.change(council, change);
        if change == Change::Edit {
            self.pending.push(PendingChange {
                council: Name::new(council_name(council)),
                edits: self.folder.edits(council),
                at: self.now,
                activated: vec![false; self.daemons.len()],
            });
        }
        for i in 0..self.daemons.len() {
            if let Some(after) = self.daemons[i].watched_revision
                && self.platform_reachable(i)
            {
                self.respond_if_newer(i, after);
            }
        }
    }

    /// Advances virtual time and processes all events until then.
    pub fn advance(&mut self, duration: Duration) {
        let until = self.now + duration;
        while let Some(Reverse((at, sequence))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&sequence) {
                self.process_event(event);
            }
        }
        self.now = until;
    }

    /// Virtual time since the start of the simulation.
    pub fn elapsed(&self) -> Duration {
        self.now.since(Mono::default())
    }

    /// Whether the newest edit of every council is active on all daemons.
    pub fn converged(&self) -> bool {
        let councils = 0..self.settings.folder.councils;
        let newest = |d: &Daemon, c| d.edits(c) == Some(self.folder.edits(c));
        self.daemons
            .iter()
            .all(|d| councils.clone().all(|c| newest(d, c)))
    }

    /// Number of pairs of an edit and a daemon on which the edit isn't active yet.
    pub fn unfinished(&self) -> usize {
        let flags = self.pending.iter().flat_map(|p| &p.activated);
        flags.filter(|activated| !**activated).count()
    }

    /// Violations of [`Invariant::ConfigForward`] that the daemons' own checks found.
    pub fn violations(&self) -> u64 {
        let violations = self
            .daemons
            .iter()
            .map(|d| d.invariants.broken(Invariant::ConfigForward));
        violations.sum()
    }

    /// Number of the daemons' own checks of [`Invariant::ConfigForward`].
    pub fn checks(&self) -> u64 {
        let checks = self
            .daemons
            .iter()
            .map(|d| d.invariants.checked(Invariant::ConfigForward));
        checks.sum()
    }

    fn process_event(&mut self, event: SimEvent) {
        let daemon = match &event {
            SimEvent::Deliver { to, .. } => *to,
            SimEvent::Tick { daemon, .. }
            | SimEvent::ReadCompleted { daemon, .. }
            | SimEvent::WatchExpired { daemon, .. } => *daemon,
        };
        let paused_until = self.daemons[daemon].paused_until;
        if paused_until > self.now {
            let wait = paused_until.since(self.now);
            self.schedule(wait, event);
            return;
        }
        let alive = |generation: u32| self.daemons[daemon].generation == generation;
        match event {
            SimEvent::Tick { generation, .. } if alive(generation) => {
                self.handle_event(daemon, SpreadEvent::Tick);
                self.schedule(TICK_INTERVAL, SimEvent::Tick { daemon, generation });
            }
            SimEvent::Deliver { from, message, .. } => {
                self.handle_event(daemon, SpreadEvent::Received { from, message });
            }
            SimEvent::ReadCompleted {
                generation, result, ..
            } if alive(generation) => {
                self.daemons[daemon].watched_revision = None;
                let event = match result {
                    ReadResult::Read(folder) => SpreadEvent::FolderRead(folder),
                    ReadResult::Unchanged => SpreadEvent::FolderUnchanged,
                    ReadResult::Failed => SpreadEvent::ReadFailed,
                };
                self.handle_event(daemon, event);
            }
            SimEvent::WatchExpired {
                generation, after, ..
            } if alive(generation) && self.daemons[daemon].watched_revision == Some(after) => {
                self.daemons[daemon].watched_revision = None;
                self.complete_read(daemon, Duration::ZERO, ReadResult::Unchanged);
            }
            _ => {}
        }
    }

    fn handle_event(&mut self, i: usize, event: SpreadEvent) {
        let now = Now {
            mono: self.now,
            wall: Wall(self.now.0 / 1000),
        };
        let mut out = Vec::new();
        self.daemons[i].spread.handle(now, event, &mut out);
        for action in out {
            self.handle_action(i, action);
        }
    }

    fn handle_action(&mut self, i: usize, action: Action) {
        match action {
            Action::Send {
                to,
                message: Message::Spread(message),
            } => self.send(i, &to, &message),
            Action::ReadFolder { after } => self.read(i, after),
            Action::InForce(config) => self.record_active(i, &config),
            Action::Ready => self.daemons[i].ready = true,
            _ => {}
        }
    }

    fn send(&mut self, i: usize, to: &Name, message: &SpreadMessage) {
        let bytes = postcard::to_stdvec(message).map_or(0, |b| b.len() as u64);
        let daemon = &mut self.daemons[i];
        daemon.sent_bytes += bytes + ENVELOPE_BYTES;
        daemon.messages += 1;
        let from = daemon.name.clone();
        let Some(to) = self.index_by_name.get(to).copied() else {
            return;
        };
        let separated = self.daemons[to].partition != self.daemons[i].partition;
        if separated || self.rng.random_bool(self.settings.loss_fraction) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.settings.duplicate_fraction));
        for _ in 0..copies {
            let jitter = self.settings.max_jitter.mul_f64(self.rng.random());
            let deliver = SimEvent::Deliver {
                from: from.clone(),
                to,
                message: message.clone(),
            };
            self.schedule(Duration::from_millis(1) + jitter, deliver);
        }
    }

    fn platform_reachable(&self, i: usize) -> bool {
        self.platform_up && !self.daemons[i].cut_off
    }

    fn read(&mut self, i: usize, after: u64) {
        self.reads += 1;
        if !self.platform_reachable(i) {
            self.complete_read(i, READ_TIMEOUT, ReadResult::Failed);
            return;
        }
        self.daemons[i].watched_revision = Some(after);
        let stale = self.rng.random_bool(self.settings.stale_fraction);
        if stale || self.folder.newest().revision > after {
            let lag = if stale {
                self.rng.random_range(0..4)
            } else {
                0
            };
            self.respond_from_replica(i, lag);
            return;
        }
        let generation = self.daemons[i].generation;
        let event = SimEvent::WatchExpired {
            daemon: i,
            generation,
            after,
        };
        self.schedule(WATCH_TIMEOUT, event);
    }

    fn respond_if_newer(&mut self, i: usize, after: u64) {
        if self.folder.newest().revision > after {
            self.respond_from_replica(i, 0);
        }
    }

    fn respond_from_replica(&mut self, i: usize, lag: usize) {
        self.daemons[i].watched_revision = None;
        let folder = self.folder.replica(lag).clone();
        self.complete_read(i, PLATFORM_DELAY, ReadResult::Read(folder));
    }

    fn complete_read(&mut self, i: usize, delay: Duration, result: ReadResult) {
        let generation = self.daemons[i].generation;
        let event = SimEvent::ReadCompleted {
            daemon: i,
            generation,
            result,
        };
        self.schedule(delay, event);
    }

    fn record_active(&mut self, i: usize, config: &CouncilConfig) {
        let edits = config.max_in_flight;
        let daemon = &mut self.daemons[i];
        let before = daemon.active_edits.get(&config.council).copied();
        if config.services.is_empty() {
            daemon.active_edits.remove(&config.council);
            return;
        }
        daemon.active_edits.insert(config.council.clone(), edits);
        self.reverts += u64::from(before.is_some_and(|before| edits < before));
        let now = self.now;
        let reached = self.pending.iter_mut();
        let reached =
            reached.filter(|p| p.council == config.council && p.edits <= edits && !p.activated[i]);
        for pending in reached {
            pending.activated[i] = true;
            self.delays.push(now.since(pending.at));
        }
        self.pending.retain(|p| p.activated.contains(&false));
    }

    fn schedule(&mut self, delay: Duration, event: SimEvent) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + delay, self.sequence)));
        self.events.insert(self.sequence, event);
    }
}

fn data_centre_name(data_centre: usize) -> Name {
    Name::new(format!("centre-{data_centre}"))
}
