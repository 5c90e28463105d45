//! Who reads the store: one of many, and another one soon after it falls silent.

use std::time::Duration;

use cuminspread::coordination::reader::{ReadSchedule, ReaderSettings, Role};
use cuminspread::state::time::Mono;

/// Bound on news of leaving servers and of configurations, of the users' sites.
const BOUND: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(5);

/// Daemons, one store and a network without delay, in virtual time.
struct Fleet {
    now: Mono,
    readers: Vec<ReadSchedule>,
    /// Daemons that the store turns away.
    refused: Vec<bool>,
    /// Daemons that have ended.
    dead: Vec<bool>,
    /// Daemons that no peer hears.
    mute: Vec<bool>,
    store_up: bool,
    calls: usize,
    reads: Vec<(Mono, usize)>,
}

impl Fleet {
    fn new(daemons: usize) -> Self {
        let reader = |i: usize| {
            let delay = if i < 3 { 0 } else { 500 };
            let delay = Duration::from_millis(delay);
            let settings = ReaderSettings::default();
            let mut reader = ReadSchedule::new(settings, i as u64, 7 + i as u64, delay);
            reader.set_daemons(daemons);
            reader
        };
        Self {
            now: Mono(0),
            readers: (0..daemons).map(reader).collect(),
            refused: vec![false; daemons],
            dead: vec![false; daemons],
            mute: vec![false; daemons],
            store_up: true,
            calls: 0,
            reads: Vec::new(),
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            let mut read = Vec::new();
            for i in 0..self.readers.len() {
                if self.dead[i] || self.readers[i].begin(self.now).is_none() {
                    continue;
                }
                self.calls += 1;
                if self.store_up && !self.refused[i] {
                    self.readers[i].succeeded(self.now);
                    self.reads.push((self.now, i));
                    read.push(i);
                } else {
                    self.readers[i].failed(self.now);
                }
            }
            for i in read {
                for j in 0..self.readers.len() {
                    if i != j && !self.mute[i] && !self.mute[j] {
                        self.readers[j].record_peer_read(self.now, i as u64, Duration::ZERO);
                    }
                }
            }
        }
    }

    fn readers(&self) -> Vec<usize> {
        let all = self.readers.iter().enumerate();
        let reading = all.filter(|(i, r)| !self.dead[*i] && r.role() == Role::Reader);
        reading.map(|(i, _)| i).collect()
    }

    fn since_last_read(&self) -> Duration {
        let last = self.reads.last().map_or(Mono(0), |(at, _)| *at);
        self.now.since(last)
    }
}

struct Case {
    daemons: usize,
    /// Most calls a second in a quiet time.
    calls_per_s: f64,
}

#[test]
fn one_daemon_reads_for_all() {
    let cases = [
        Case {
            daemons: 18,
            calls_per_s: 2.0,
        },
        Case {
            daemons: 141,
            calls_per_s: 2.0,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::new(case.daemons);
        fleet.run(Duration::from_secs(5));
        assert_eq!(fleet.readers(), [0], "{} daemons", case.daemons);
        let before = fleet.calls;
        fleet.run(Duration::from_secs(60));
        let calls = (fleet.calls - before) as f64 / 60.0;
        assert!(calls <= case.calls_per_s, "{calls} calls a second");
    }
}

#[test]
fn another_daemon_reads_within_the_bound() {
    for daemons in [2, 18, 141] {
        let mut fleet = Fleet::new(daemons);
        fleet.run(Duration::from_secs(5));
        // Right after a read, so that the others wait for as long as they ever do.
        while fleet.since_last_read() > STEP {
            fleet.run(STEP);
        }
        let reader = fleet.readers()[0];
        fleet.dead[reader] = true;
        let before = fleet.reads.len();
        let killed = fleet.now;
        while fleet.reads.len() == before {
            fleet.run(STEP);
        }
        let gap = fleet.now.since(killed);
        assert!(gap < BOUND, "{daemons} daemons: {gap:?}");
        fleet.run(Duration::from_secs(3));
        assert_eq!(fleet.readers().len(), 1, "{daemons} daemons");
    }
}

#[test]
fn a_daemon_that_the_store_refuses_hands_over() {
    let mut fleet = Fleet::new(18);
    fleet.run(Duration::from_secs(5));
    let reader = fleet.readers()[0];
    fleet.refused[reader] = true;
    let before = fleet.reads.len();
    fleet.run(BOUND);
    assert!(fleet.reads.len() > before);
    assert!(!fleet.readers().contains(&reader));
}

#[test]
fn a_daemon_that_hears_nobody_reads_itself() {
    let mut fleet = Fleet::new(18);
    fleet.run(Duration::from_secs(5));
    fleet.mute[17] = true;
    fleet.run(BOUND);
    let own = fleet.reads.iter().filter(|(_, i)| *i == 17);
    assert!(own.count() > 0);
}

#[test]
fn an_outage_costs_few_calls_and_ends_fast() {
    struct Outage {
        daemons: usize,
        /// Calls of the whole fleet in ten seconds.
        most: usize,
    }
    // One try each, and then about ten a second, whatever the size of the fleet.
    let cases = [
        Outage {
            daemons: 18,
            most: 140,
        },
        Outage {
            daemons: 141,
            most: 400,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::new(case.daemons);
        fleet.run(Duration::from_secs(5));
        fleet.store_up = false;
        let before = fleet.calls;
        fleet.run(Duration::from_secs(10));
        let calls = fleet.calls - before;
        assert!(calls <= case.most, "{} daemons: {calls}", case.daemons);
        assert!(fleet.readers[5].is_outage(fleet.now));
        fleet.store_up = true;
        let reads = fleet.reads.len();
        let back = fleet.now;
        while fleet.reads.len() == reads {
            fleet.run(STEP);
        }
        let gap = fleet.now.since(back);
        assert!(
            gap < Duration::from_secs(1),
            "{} daemons: {gap:?}",
            case.daemons
        );
        assert!(!fleet.readers[5].is_outage(fleet.now));
    }
}

#[test]
fn a_store_that_refuses_half_of_the_daemons_is_read_by_the_others() {
    let mut fleet = Fleet::new(141);
    fleet.run(Duration::from_secs(5));
    for i in 0..141 {
        // The reader, and those that would follow it.
        fleet.refused[i] = i < 40 || i % 2 == 0;
    }
    fleet.run(BOUND);
    assert!(fleet.since_last_read() < Duration::from_secs(1));
}

#[test]
fn a_paused_daemon_reads_at_once() {
    let mut reader = ReadSchedule::new(ReaderSettings::default(), 3, 1, Duration::ZERO);
    let now = Mono(1_000_000);
    reader.record_peer_read(now, 1, Duration::ZERO);
    assert_eq!(reader.begin(now), None);
    reader.resumed(now);
    assert!(reader.begin(now).is_some());
}
