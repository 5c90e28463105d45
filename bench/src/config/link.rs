//! Several daemons' configuration spread over a link in memory, in virtual time.
//!
//! Only the state machines are real. The link loses, duplicates and delays messages; the platform
//! answers late, with old revisions, or not at all. What each daemon puts in force is compared with
//! the true order of edits, apart from the daemon's own checks.

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
pub use settings::LinkSettings;

/// Bytes of UDP and IP headers, envelope head and authentication.
pub const ENVELOPE_BYTES: u64 = 28 + 17 + 45;
const TICK: Duration = Duration::from_millis(100);
const WATCH: Duration = Duration::from_secs(5);
const PLATFORM_DELAY: Duration = Duration::from_millis(3);
const READ_TIMEOUT: Duration = Duration::from_secs(7);
const MAX_PEERS: usize = 20;

/// Something that happens at one time.
#[derive(Debug)]
enum Happening {
    Tick {
        daemon: usize,
        life: u32,
    },
    Deliver {
        from: Name,
        to: usize,
        message: SpreadMessage,
    },
    ReadEnds {
        daemon: usize,
        life: u32,
        end: ReadEnd,
    },
    WatchEnds {
        daemon: usize,
        life: u32,
        after: u64,
    },
}

#[derive(Debug)]
enum ReadEnd {
    Read(Folder),
    Unchanged,
    Failed,
}

/// A change, and when it came into force where.
#[derive(Debug)]
struct Pending {
    council: Name,
    edits: u32,
    at: Mono,
    done: Vec<bool>,
}

/// Run of several daemons.
#[derive(Debug)]
pub struct Link {
    settings: LinkSettings,
    rng: Pcg64Mcg,
    now: Mono,
    order: u64,
    queue: BinaryHeap<Reverse<(Mono, u64)>>,
    happenings: BTreeMap<u64, Happening>,
    index: HashMap<Name, usize>,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// The platform's folder.
    pub folder: PlatformFolder,
    /// The platform answers.
    pub platform_up: bool,
    /// Reads of the platform.
    pub reads: u64,
    /// Times from a change to its coming into force at one daemon.
    pub delays: Vec<Duration>,
    /// Configurations put in force that were older than the one before, by the true order.
    pub reverts: u64,
    pending: Vec<Pending>,
}

impl Link {
    /// Starts all daemons, with the platform up.
    pub fn new(settings: LinkSettings) -> Self {
        let mut link = Self {
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            now: Mono(1),
            order: 0,
            queue: BinaryHeap::new(),
            happenings: BTreeMap::new(),
            index: HashMap::new(),
            daemons: Vec::new(),
            folder: PlatformFolder::new(settings.folder),
            platform_up: true,
            reads: 0,
            delays: Vec::new(),
            reverts: 0,
            pending: Vec::new(),
            settings,
        };
        for at in 0..link.settings.daemons {
            let daemon = link.daemon(at, 0);
            link.daemons.push(daemon);
        }
        link.choose_cut();
        link.connect();
        for at in 0..link.settings.daemons {
            link.start(at);
        }
        link
    }

    fn daemon(&mut self, at: usize, life: u32) -> Daemon {
        let name = Name::new(format!("vm-{at}-{life}"));
        self.index.retain(|_, i| *i != at);
        self.index.insert(name.clone(), at);
        let centre = at % self.settings.data_centres;
        let invariants = InvariantChecks::default();
        let settings = SpreadSettings {
            name: name.clone(),
            data_centre: centre_name(centre),
            seed: self.rng.random(),
            version_check: self.settings.version_check,
            ..SpreadSettings::default()
        };
        Daemon {
            name,
            centre,
            life,
            spread: Spread::new(settings, invariants.clone()),
            invariants,
            peers: Vec::new(),
            cut: false,
            part: 0,
            paused_until: Mono::default(),
            watching: None,
            in_force: BTreeMap::new(),
            ready: false,
            sent: 0,
            messages: 0,
        }
    }

    /// Cuts the stated part of the daemons off from the platform.
    fn choose_cut(&mut self) {
        let mut all: Vec<usize> = (0..self.daemons.len()).collect();
        all.shuffle(&mut self.rng);
        let count = (self.daemons.len() as f64 * self.settings.cut).round() as usize;
        for at in all.into_iter().take(count) {
            self.daemons[at].cut = true;
        }
    }

    /// Gives each daemon peers: all others in a small fleet, else links that go both ways.
    fn connect(&mut self) {
        let count = self.daemons.len();
        let all: Vec<usize> = (0..count).collect();
        for at in 0..count {
            let wanted = if count <= MAX_PEERS {
                count
            } else {
                MAX_PEERS / 2
            };
            let chosen: Vec<usize> = all.sample(&mut self.rng, wanted).copied().collect();
            for other in chosen.into_iter().filter(|other| *other != at) {
                for (a, b) in [(at, other), (other, at)] {
                    if !self.daemons[a].peers.contains(&b) {
                        self.daemons[a].peers.push(b);
                    }
                }
            }
        }
    }

    fn start(&mut self, at: usize) {
        let names = self.daemons[at].peers.iter();
        let names = names.map(|p| self.daemons[*p].name.clone()).collect();
        let fleet = self.fleet();
        self.give(at, SpreadEvent::Fleet(fleet));
        self.give(at, SpreadEvent::Peers(names));
        let phase = TICK.mul_f64(self.rng.random());
        let life = self.daemons[at].life;
        self.later(phase, Happening::Tick { daemon: at, life });
    }

    fn fleet(&self) -> FleetList {
        let vms = self.daemons.iter().map(|d| Vm {
            name: d.name.clone(),
            data_centre: centre_name(d.centre),
            peer: SocketAddr::from(([127, 0, 0, 1], 1)),
            leaving: false,
        });
        FleetList {
            revision: 1,
            epoch: 0,
            vms: vms.collect(),
        }
    }

    /// Replaces a daemon by one with an empty memory and a new name.
    pub fn replace(&mut self, at: usize) {
        let life = self.daemons[at].life + 1;
        let mut daemon = self.daemon(at, life);
        daemon.peers.clone_from(&self.daemons[at].peers);
        daemon.cut = self.daemons[at].cut;
        daemon.part = self.daemons[at].part;
        self.daemons[at] = daemon;
        let fleet = self.fleet();
        for other in 0..self.daemons.len() {
            let peers = self.daemons[other].peers.iter();
            let names = peers.map(|p| self.daemons[*p].name.clone()).collect();
            self.give(other, SpreadEvent::Fleet(fleet.clone()));
            self.give(other, SpreadEvent::Peers(names));
        }
        self.start(at);
    }

    /// Cuts one daemon off from the platform; a watch of it fails.
    pub fn cut(&mut self, at: usize) {
        self.daemons[at].cut = true;
        if self.daemons[at].watching.take().is_some() {
            self.end_read(at, READ_TIMEOUT, ReadEnd::Failed);
        }
    }

    /// Splits the fleet in two parts that hear nothing from each other, or joins them.
    pub fn split(&mut self, split: bool) {
        for daemon in &mut self.daemons {
            daemon.part = u8::from(split && self.rng.random());
        }
    }

    /// Stops a daemon from doing anything for a time; what is sent to it waits.
    pub fn pause(&mut self, at: usize, span: Duration) {
        self.daemons[at].paused_until = self.now + span;
    }

    /// Changes a council's files on the platform.
    pub fn change(&mut self, council: usize, change: Change) {
        self.folder.change(council, change);
        if change == Change::Edit {
            self.pending.push(Pending {
                council: Name::new(council_name(council)),
                edits: self.folder.edits(council),
                at: self.now,
                done: vec![false; self.daemons.len()],
            });
        }
        for at in 0..self.daemons.len() {
            if let Some(after) = self.daemons[at].watching
                && self.reachable(at)
            {
                self.answer(at, after);
            }
        }
    }

    /// Lets virtual time pass.
    pub fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while let Some(Reverse((at, order))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(happening) = self.happenings.remove(&order) {
                self.happen(happening);
            }
        }
        self.now = until;
    }

    /// Virtual time since the start.
    pub fn elapsed(&self) -> Duration {
        self.now.since(Mono::default())
    }

    /// Whether all daemons have the newest edit of every council in force.
    pub fn converged(&self) -> bool {
        let councils = 0..self.settings.folder.councils;
        let newest = |d: &Daemon, c| d.edits(c) == Some(self.folder.edits(c));
        self.daemons
            .iter()
            .all(|d| councils.clone().all(|c| newest(d, c)))
    }

    /// Edits that are not yet in force at some daemon, by daemon.
    pub fn unfinished(&self) -> usize {
        let open = self.pending.iter().flat_map(|p| &p.done);
        open.filter(|done| !**done).count()
    }

    /// Violations that the daemons themselves found.
    pub fn broken(&self) -> u64 {
        let broken = self
            .daemons
            .iter()
            .map(|d| d.invariants.broken(Invariant::ConfigForward));
        broken.sum()
    }

    /// Checks that the daemons made.
    pub fn checked(&self) -> u64 {
        let checked = self
            .daemons
            .iter()
            .map(|d| d.invariants.checked(Invariant::ConfigForward));
        checked.sum()
    }

    fn happen(&mut self, happening: Happening) {
        let daemon = match &happening {
            Happening::Deliver { to, .. } => *to,
            Happening::Tick { daemon, .. }
            | Happening::ReadEnds { daemon, .. }
            | Happening::WatchEnds { daemon, .. } => *daemon,
        };
        let paused_until = self.daemons[daemon].paused_until;
        if paused_until > self.now {
            let wait = paused_until.since(self.now);
            self.later(wait, happening);
            return;
        }
        let alive = |life: u32| self.daemons[daemon].life == life;
        match happening {
            Happening::Tick { life, .. } if alive(life) => {
                self.give(daemon, SpreadEvent::Tick);
                self.later(TICK, Happening::Tick { daemon, life });
            }
            Happening::Deliver { from, message, .. } => {
                self.give(daemon, SpreadEvent::Received { from, message });
            }
            Happening::ReadEnds { life, end, .. } if alive(life) => {
                self.daemons[daemon].watching = None;
                let event = match end {
                    ReadEnd::Read(folder) => SpreadEvent::FolderRead(folder),
                    ReadEnd::Unchanged => SpreadEvent::FolderUnchanged,
                    ReadEnd::Failed => SpreadEvent::ReadFailed,
                };
                self.give(daemon, event);
            }
            Happening::WatchEnds { life, after, .. }
                if alive(life) && self.daemons[daemon].watching == Some(after) =>
            {
                self.daemons[daemon].watching = None;
                self.end_read(daemon, Duration::ZERO, ReadEnd::Unchanged);
            }
            _ => {}
        }
    }

    fn give(&mut self, at: usize, event: SpreadEvent) {
        let now = Now {
            mono: self.now,
            wall: Wall(self.now.0 / 1000),
        };
        let mut out = Vec::new();
        self.daemons[at].spread.handle(now, event, &mut out);
        for action in out {
            self.act(at, action);
        }
    }

    fn act(&mut self, at: usize, action: Action) {
        match action {
            Action::Send {
                to,
                message: Message::Spread(message),
            } => self.send(at, &to, &message),
            Action::ReadFolder { after } => self.read(at, after),
            Action::InForce(config) => self.note_in_force(at, &config),
            Action::Ready => self.daemons[at].ready = true,
            _ => {}
        }
    }

    fn send(&mut self, at: usize, to: &Name, message: &SpreadMessage) {
        let bytes = postcard::to_stdvec(message).map_or(0, |b| b.len() as u64);
        let daemon = &mut self.daemons[at];
        daemon.sent += bytes + ENVELOPE_BYTES;
        daemon.messages += 1;
        let from = daemon.name.clone();
        let Some(to) = self.index.get(to).copied() else {
            return;
        };
        let lost = self.daemons[to].part != self.daemons[at].part;
        if lost || self.rng.random_bool(self.settings.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.settings.duplicate));
        for _ in 0..copies {
            let jitter = self.settings.jitter.mul_f64(self.rng.random());
            let deliver = Happening::Deliver {
                from: from.clone(),
                to,
                message: message.clone(),
            };
            self.later(Duration::from_millis(1) + jitter, deliver);
        }
    }

    fn reachable(&self, at: usize) -> bool {
        self.platform_up && !self.daemons[at].cut
    }

    fn read(&mut self, at: usize, after: u64) {
        self.reads += 1;
        if !self.reachable(at) {
            self.end_read(at, READ_TIMEOUT, ReadEnd::Failed);
            return;
        }
        self.daemons[at].watching = Some(after);
        let stale = self.rng.random_bool(self.settings.stale);
        if stale || self.folder.newest().revision > after {
            let lag = if stale {
                self.rng.random_range(0..4)
            } else {
                0
            };
            self.answer_lagging(at, lag);
            return;
        }
        let life = self.daemons[at].life;
        let end = Happening::WatchEnds {
            daemon: at,
            life,
            after,
        };
        self.later(WATCH, end);
    }

    fn answer(&mut self, at: usize, after: u64) {
        if self.folder.newest().revision > after {
            self.answer_lagging(at, 0);
        }
    }

    fn answer_lagging(&mut self, at: usize, lag: usize) {
        self.daemons[at].watching = None;
        let folder = self.folder.replica(lag).clone();
        self.end_read(at, PLATFORM_DELAY, ReadEnd::Read(folder));
    }

    fn end_read(&mut self, at: usize, delay: Duration, end: ReadEnd) {
        let life = self.daemons[at].life;
        let happening = Happening::ReadEnds {
            daemon: at,
            life,
            end,
        };
        self.later(delay, happening);
    }

    fn note_in_force(&mut self, at: usize, config: &CouncilConfig) {
        let edits = config.max_in_flight;
        let daemon = &mut self.daemons[at];
        let before = daemon.in_force.get(&config.council).copied();
        if config.services.is_empty() {
            daemon.in_force.remove(&config.council);
            return;
        }
        daemon.in_force.insert(config.council.clone(), edits);
        self.reverts += u64::from(before.is_some_and(|before| edits < before));
        let now = self.now;
        let reached = self.pending.iter_mut();
        let reached =
            reached.filter(|p| p.council == config.council && p.edits <= edits && !p.done[at]);
        for pending in reached {
            pending.done[at] = true;
            self.delays.push(now.since(pending.at));
        }
        self.pending.retain(|p| p.done.contains(&false));
    }

    fn later(&mut self, delay: Duration, happening: Happening) {
        self.order += 1;
        self.queue.push(Reverse((self.now + delay, self.order)));
        self.happenings.insert(self.order, happening);
    }
}

fn centre_name(centre: usize) -> Name {
    Name::new(format!("centre-{centre}"))
}
