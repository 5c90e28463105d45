//! Emptied data centres in fleets whose daemons, messages and store fail, in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cuminspread::coordination::catalog::Revision;
use cuminspread::coordination::evacuation::{EvacuationChange, EvacuationRead, Evacuations};
use cuminspread::coordination::reader::{ReadSchedule, ReaderSettings};
use cuminspread::state::Name;
use cuminspread::state::time::Mono;
use rand::RngExt as _;
use rand_pcg::Pcg32;

const STEP: Duration = Duration::from_millis(10);
const READ_TIME: Duration = Duration::from_millis(20);
/// Time until an update is sent once more.
const REPEAT_DELAY: Duration = Duration::from_millis(200);
/// Mean time between two hellos of a daemon, which peers answer.
const HELLO_INTERVAL: Duration = Duration::from_secs(1);
/// Peers that a daemon tells of a change.
const TOLD_PEERS: usize = 4;
/// Time after a change in which it also tells as many with each hello.
const TELL_TIME: Duration = Duration::from_secs(3);
/// Time in which all daemons that run must know of a request or its end; the users allow 5 s.
const BOUND: Duration = Duration::from_secs(4);

/// What happens at a site.
#[derive(Debug, Clone, Copy)]
enum Event {
    Empty(&'static str),
    TakeBack(&'static str),
    /// The store doesn't answer.
    Down,
    Up,
    /// The store forgets its history.
    Compact,
    /// The store comes back from a copy of this moment, and its revisions are given out again.
    Restore,
    /// The daemon that reads the store is lost.
    KillReader,
    /// A third of the daemons starts.
    StartLate,
}

struct Store {
    revision: Revision,
    compacted: u64,
    log: Vec<EvacuationChange>,
    is_up: bool,
}

impl Store {
    fn write(&mut self, data_centre: &str, begins: bool) {
        self.revision.number += 1;
        self.log.push(EvacuationChange {
            data_centre: Name::new(data_centre),
            revision: self.revision,
            begins,
        });
    }

    fn all(&self) -> Evacuations {
        let mut data_centres = BTreeMap::new();
        for change in &self.log {
            if change.begins {
                data_centres.insert(change.data_centre.clone(), change.revision);
            } else {
                data_centres.remove(&change.data_centre);
            }
        }
        Evacuations {
            as_of: self.revision,
            data_centres,
        }
    }

    /// Changes after a revision, or a snapshot if that isn't possible.
    fn read(&self, after: Revision) -> EvacuationRead {
        let has_history = after.era == self.revision.era && after.number >= self.compacted;
        if after.is_empty() || !has_history {
            return EvacuationRead::All(self.all());
        }
        let newer = self.log.iter().filter(|c| c.revision > after);
        EvacuationRead::Changes(newer.cloned().collect())
    }
}

struct Daemon {
    is_old: bool,
    runs: bool,
    started: Mono,
    schedule: ReadSchedule,
    read_ends: Option<(Mono, bool)>,
    known: Evacuations,
    next_hello: Mono,
    tells_until: Mono,
}

#[derive(Debug, Clone)]
enum Message {
    /// A read of the store; old daemons say nothing of evacuations.
    Update(u64, Option<Evacuations>),
    Known(Evacuations),
}

struct Fleet {
    now: Mono,
    store: Store,
    daemons: Vec<Daemon>,
    loss: f64,
    rng: Pcg32,
    messages: Vec<(Mono, usize, Message)>,
    reader: usize,
}

impl Fleet {
    fn new(case: &Case) -> Self {
        let daemon = |i: usize| {
            let rank = i as u64;
            let delay = Duration::from_millis(if i == 0 { 0 } else { 700 });
            let mut schedule = ReadSchedule::new(ReaderSettings::default(), rank, 3, delay);
            schedule.set_daemons(case.daemons);
            Daemon {
                is_old: i % 4 < case.old_of_4,
                runs: !case.has_late() || i % 3 != 2,
                started: Mono(0),
                schedule,
                read_ends: None,
                known: Evacuations::default(),
                next_hello: Mono(i as u64 * 1000),
                tells_until: Mono(0),
            }
        };
        Self {
            now: Mono(0),
            store: Store {
                revision: Revision { era: 1, number: 7 },
                compacted: 0,
                log: Vec::new(),
                is_up: true,
            },
            daemons: (0..case.daemons).map(daemon).collect(),
            loss: case.loss,
            rng: Pcg32::new(case.daemons as u64, 1),
            messages: Vec::new(),
            reader: 0,
        }
    }

    fn send(&mut self, delay: Duration, to: usize, message: Message) {
        if self.rng.random_range(0.0..1.0) >= self.loss {
            self.messages.push((self.now + delay, to, message));
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Empty(data_centre) => self.store.write(data_centre, true),
            Event::TakeBack(data_centre) => self.store.write(data_centre, false),
            Event::Down => self.store.is_up = false,
            Event::Up => self.store.is_up = true,
            Event::Compact => self.store.compacted = self.store.revision.number,
            Event::Restore => {
                self.store.revision.era += 1;
                let revision = &mut self.store.revision;
                revision.number = revision.number.saturating_sub(20).max(7);
                let restored = *revision;
                for change in &mut self.store.log {
                    change.revision = restored;
                }
            }
            Event::KillReader => self.daemons[self.reader].runs = false,
            Event::StartLate => {
                let peers: Vec<usize> = self.running(false).collect();
                for i in (2..self.daemons.len()).step_by(3) {
                    let from = peers[self.rng.random_range(0..peers.len())];
                    let known = self.daemons[from].known.clone();
                    let daemon = &mut self.daemons[i];
                    (daemon.runs, daemon.started) = (true, self.now);
                    let delay = self.now.since(Mono(0)) + Duration::from_millis(700);
                    let settings = ReaderSettings::default();
                    daemon.schedule = ReadSchedule::new(settings, i as u64, 3, delay);
                    // It pulls from a peer when it starts.
                    if !daemon.is_old {
                        daemon.known.adopt(&known);
                    }
                }
            }
        }
    }

    /// Daemons that run; only those of the present format unless `old`.
    fn running(&self, old: bool) -> impl Iterator<Item = usize> + '_ {
        let daemons = self.daemons.iter().enumerate();
        let daemons = daemons.filter(move |(_, d)| d.runs && (old || !d.is_old));
        daemons.map(|(i, _)| i)
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        // Servers report all the time.
        self.store.revision.number += 1;
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.messages = later;
        for (_, to, message) in due {
            let daemon = &mut self.daemons[to];
            match message {
                _ if !daemon.runs => {}
                Message::Update(rank, known) => {
                    if daemon.is_old || known.is_some() {
                        daemon.schedule.record_peer_read(now, rank, STEP);
                    }
                    if let Some(known) = known {
                        self.adopt(to, &known);
                    }
                }
                Message::Known(known) => self.adopt(to, &known),
            }
        }
        for i in 0..self.daemons.len() {
            if self.daemons[i].runs {
                self.run_daemon(i);
            }
        }
    }

    /// A daemon that learns of a change tells a few peers, and again with the next hellos.
    fn adopt(&mut self, i: usize, known: &Evacuations) {
        let daemon = &mut self.daemons[i];
        if !daemon.is_old && !daemon.known.adopt(known).is_empty() {
            daemon.tells_until = self.now + TELL_TIME;
            self.tell(i);
        }
    }

    fn tell(&mut self, i: usize) {
        for _ in 0..TOLD_PEERS {
            let to = self.rng.random_range(0..self.daemons.len());
            let known = self.daemons[i].known.clone();
            self.send(STEP, to, Message::Known(known));
        }
    }

    fn run_daemon(&mut self, i: usize) {
        let (now, is_up) = (self.now, self.store.is_up);
        let daemon = &mut self.daemons[i];
        if let Some((_, succeeds)) = daemon.read_ends.take_if(|(at, _)| now >= *at) {
            if succeeds {
                daemon.schedule.succeeded(now);
                let read = self.store.read(daemon.known.as_of);
                let known = (!daemon.is_old).then(|| {
                    daemon.known.apply(read, self.store.revision);
                    daemon.known.clone()
                });
                self.reader = i;
                for to in 0..self.daemons.len() {
                    for delay in [STEP, REPEAT_DELAY] {
                        if to != i {
                            self.send(delay, to, Message::Update(i as u64, known.clone()));
                        }
                    }
                }
            } else {
                daemon.schedule.failed(now);
            }
        }
        let daemon = &mut self.daemons[i];
        if let Some(timeout) = daemon.schedule.begin(now) {
            let takes = if is_up { READ_TIME } else { timeout };
            daemon.read_ends = Some((now + takes, is_up));
        }
        if now < daemon.next_hello {
            return;
        }
        daemon.next_hello = now + HELLO_INTERVAL;
        if now < daemon.tells_until {
            self.tell(i);
        }
        let to = self.rng.random_range(0..self.daemons.len());
        if !self.daemons[i].is_old && !self.daemons[to].is_old && self.daemons[to].runs {
            for (from, to) in [(i, to), (to, i)] {
                let known = Message::Known(self.daemons[from].known.clone());
                self.send(STEP, to, known);
            }
        }
    }

    /// Daemons of the present format, up for long enough, that know something else than the store
    /// acknowledged.
    fn wrong(&self, acknowledged: &BTreeSet<&str>) -> usize {
        let settled = self.running(false).filter(|i| {
            let up = self.now.since(self.daemons[*i].started);
            up >= BOUND
        });
        let known = settled.map(|i| &self.daemons[i].known.data_centres);
        let is_wrong = |known: &&BTreeMap<Name, Revision>| {
            !known.keys().map(|n| &**n).eq(acknowledged.iter().copied())
        };
        known.filter(is_wrong).count()
    }
}

struct Case {
    name: &'static str,
    daemons: usize,
    loss: f64,
    /// Daemons of an older format among four.
    old_of_4: usize,
    /// Events and their times in milliseconds.
    events: &'static [(u64, Event)],
}

impl Case {
    fn has_late(&self) -> bool {
        let is_late = |(_, e): &(u64, Event)| matches!(e, Event::StartLate);
        self.events.iter().any(is_late)
    }
}

const TWO: &[(u64, Event)] = &[
    (5_000, Event::Empty("b")),
    (5_900, Event::Empty("a")),
    (12_000, Event::TakeBack("a")),
    (12_000, Event::Compact),
    (18_000, Event::TakeBack("b")),
];
const COMES_AND_GOES: &[(u64, Event)] = &[
    (5_000, Event::Empty("a")),
    (5_300, Event::TakeBack("a")),
    (6_100, Event::Empty("b")),
    (6_150, Event::TakeBack("b")),
    (6_200, Event::Empty("b")),
];
const READER_AND_STORE_LOST: &[(u64, Event)] = &[
    (5_000, Event::Empty("a")),
    (5_750, Event::Down),
    (5_750, Event::KillReader),
    (9_000, Event::StartLate),
    (15_000, Event::Up),
    (16_000, Event::TakeBack("a")),
];
const RESTORED: &[(u64, Event)] = &[
    (5_000, Event::Empty("a")),
    (9_500, Event::Restore),
    (9_600, Event::StartLate),
    (10_000, Event::Empty("b")),
    (15_000, Event::TakeBack("a")),
];
const THERE_BEFORE: &[(u64, Event)] = &[
    (10, Event::Empty("a")),
    (20, Event::Compact),
    (6_000, Event::StartLate),
    (6_500, Event::KillReader),
    (12_000, Event::TakeBack("a")),
];

#[test]
fn all_daemons_know_of_emptied_data_centres_in_time() {
    let case = |name, daemons, loss, old_of_4, events| Case {
        name,
        daemons,
        loss,
        old_of_4,
        events,
    };
    let cases = [
        case("a single daemon", 1, 0.0, 0, TWO),
        case("two data centres", 16, 0.1, 0, TWO),
        case("two data centres", 312, 0.5, 0, TWO),
        case("it comes and goes", 1, 0.0, 0, COMES_AND_GOES),
        case("it comes and goes", 138, 0.3, 0, COMES_AND_GOES),
        case("reader and store lost", 16, 0.3, 0, READER_AND_STORE_LOST),
        case("reader and store lost", 138, 0.5, 0, READER_AND_STORE_LOST),
        case("reader and store lost", 312, 0.5, 0, READER_AND_STORE_LOST),
        case("restored", 16, 0.1, 0, RESTORED),
        case("restored", 138, 0.3, 0, RESTORED),
        case("there before", 16, 0.1, 0, THERE_BEFORE),
        case("there before", 312, 0.3, 0, THERE_BEFORE),
        case("older daemons between", 16, 0.1, 2, TWO),
        case("older daemons between", 138, 0.3, 3, TWO),
        case(
            "older daemons, one comes and goes",
            312,
            0.3,
            1,
            COMES_AND_GOES,
        ),
        case("older daemons, there before", 138, 0.1, 2, THERE_BEFORE),
        case("older daemons, restored", 138, 0.1, 2, RESTORED),
    ];
    for case in cases {
        let mut fleet = Fleet::new(&case);
        let mut acknowledged = BTreeSet::new();
        let mut changed = Mono(0);
        let mut events = case.events.iter().peekable();
        while fleet.now < Mono(24_000_000) {
            while let Some((_, event)) = events.next_if(|(ms, _)| fleet.now >= Mono(ms * 1000)) {
                fleet.apply(*event);
                match event {
                    Event::Empty(data_centre) => acknowledged.insert(*data_centre),
                    Event::TakeBack(data_centre) => acknowledged.remove(data_centre),
                    _ => continue,
                };
                changed = fleet.now;
            }
            fleet.step();
            if fleet.now.since(changed) > BOUND {
                let wrong = fleet.wrong(&acknowledged);
                let (what, daemons, now) = (case.name, case.daemons, fleet.now);
                assert_eq!(wrong, 0, "{what}, {daemons} daemons, at {now:?}");
            }
        }
    }
}

#[test]
fn the_set_that_is_complete_to_the_later_revision_holds() {
    struct Case {
        what: &'static str,
        known: ((u64, u64), &'static [&'static str]),
        other: ((u64, u64), &'static [&'static str]),
        begun: &'static [&'static str],
        ended: &'static [&'static str],
    }
    let cases = [
        Case {
            what: "nothing is known yet",
            known: ((0, 0), &[]),
            other: ((1, 9), &["a", "b"]),
            begun: &["a", "b"],
            ended: &[],
        },
        Case {
            what: "one ends while another begins",
            known: ((1, 9), &["a"]),
            other: ((1, 10), &["b"]),
            begun: &["b"],
            ended: &["a"],
        },
        Case {
            what: "the peer knows less",
            known: ((1, 9), &["a"]),
            other: ((1, 8), &[]),
            begun: &[],
            ended: &[],
        },
        Case {
            what: "a later era has lower revisions",
            known: ((1, 900), &["a"]),
            other: ((2, 40), &[]),
            begun: &[],
            ended: &["a"],
        },
        Case {
            what: "the peer's store doesn't name its era",
            known: ((1, 9), &["a"]),
            other: ((0, 900), &[]),
            begun: &[],
            ended: &[],
        },
    ];
    let set = |((era, number), names): ((u64, u64), &[&str])| {
        let revision = Revision { era, number };
        Evacuations {
            as_of: revision,
            data_centres: names.iter().map(|n| (Name::new(n), revision)).collect(),
        }
    };
    for case in cases {
        let mut known = set(case.known);
        let changes = known.adopt(&set(case.other));
        let names = |begins| {
            let changes = changes.iter().filter(move |c| c.begins == begins);
            changes.map(|c| c.data_centre.to_string())
        };
        assert!(names(true).eq(case.begun.iter().copied()), "{}", case.what);
        assert!(names(false).eq(case.ended.iter().copied()), "{}", case.what);
    }
}
