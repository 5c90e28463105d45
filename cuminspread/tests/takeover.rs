//! Reads that take time: few daemons read at once when the reader is lost or the store is away.

use std::time::Duration;

use cuminspread::coordination::reader::{ReadAttempt, ReadSchedule, ReaderSettings};
use cuminspread::state::time::Mono;

const STEP: Duration = Duration::from_millis(5);
/// Limit on the age of updates at the users' sites.
const MAX_UPDATE_AGE: Duration = Duration::from_secs(2);

/// How the store answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Store {
    /// After this many milliseconds.
    Up(u64),
    /// Not at all; reads end by their timeouts.
    Silent,
    /// It refuses every second daemon at once, and answers the others.
    RefusesHalf,
}

/// A read in progress.
#[derive(Debug, Clone, Copy)]
struct Read {
    ends: Mono,
    succeeds: bool,
}

#[derive(Debug, Clone, Copy)]
enum Message {
    Attempt(ReadAttempt),
    Success,
}

/// Daemons and a store in virtual time; messages arrive a step later.
struct Fleet {
    now: Mono,
    schedules: Vec<ReadSchedule>,
    reads: Vec<Option<Read>>,
    killed: Vec<bool>,
    store: Store,
    calls: usize,
    last_success: Mono,
    messages: Vec<(usize, Message)>,
}

impl Fleet {
    fn new(daemons: usize) -> Self {
        let schedule = |i: usize| {
            let delay = Duration::from_millis(if i < 3 { 0 } else { 700 });
            let settings = ReaderSettings::default();
            let mut schedule = ReadSchedule::new(settings, i as u64, 7 + i as u64, delay);
            schedule.set_daemons(daemons);
            schedule
        };
        let mut fleet = Self {
            now: Mono(0),
            schedules: (0..daemons).map(schedule).collect(),
            reads: vec![None; daemons],
            killed: vec![false; daemons],
            store: Store::Up(20),
            calls: 0,
            last_success: Mono(0),
            messages: Vec::new(),
        };
        fleet.run(Duration::from_secs(4));
        fleet
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for (from, message) in std::mem::take(&mut self.messages) {
            for (i, schedule) in self.schedules.iter_mut().enumerate() {
                match message {
                    _ if i == from => {}
                    Message::Attempt(attempt) => {
                        schedule.record_peer_attempt(self.now, from as u64, attempt);
                    }
                    Message::Success => schedule.record_peer_read(self.now, from as u64, STEP),
                }
            }
        }
        for i in 0..self.schedules.len() {
            if self.killed[i] {
                continue;
            }
            if let Some(read) = self.reads[i].take_if(|read| self.now >= read.ends) {
                let message = if read.succeeds {
                    self.schedules[i].succeeded(self.now);
                    self.last_success = self.now;
                    Message::Success
                } else {
                    self.schedules[i].failed(self.now);
                    Message::Attempt(ReadAttempt::Failed)
                };
                self.messages.push((i, message));
            }
            if let Some(timeout) = self.schedules[i].begin(self.now) {
                self.calls += 1;
                let (duration, succeeds) = match self.store {
                    Store::Up(ms) => (Duration::from_millis(ms), true),
                    Store::Silent => (timeout, false),
                    Store::RefusesHalf => (Duration::from_millis(10), i % 2 == 1),
                };
                let ends = self.now + duration;
                self.reads[i] = Some(Read { ends, succeeds });
                let message = Message::Attempt(ReadAttempt::Begun);
                self.messages.push((i, message));
            }
        }
    }

    /// Runs until a read succeeds; returns how long that took.
    fn until_success(&mut self) -> Duration {
        let (start, before) = (self.now, self.last_success);
        while self.last_success == before {
            self.step();
        }
        self.now.since(start)
    }
}

#[test]
fn a_lost_reader_is_replaced_by_few() {
    struct Case {
        daemons: usize,
        /// Time of one read; snapshots and small VMs are slow.
        read_ms: u64,
        max_calls: usize,
    }
    let cases = [
        Case {
            daemons: 18,
            read_ms: 20,
            max_calls: 6,
        },
        Case {
            daemons: 123,
            read_ms: 200,
            max_calls: 12,
        },
        Case {
            daemons: 312,
            read_ms: 200,
            max_calls: 12,
        },
        Case {
            daemons: 600,
            read_ms: 250,
            max_calls: 12,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::new(case.daemons);
        fleet.until_success();
        fleet.killed[0] = true;
        fleet.store = Store::Up(case.read_ms);
        let before = fleet.calls;
        let gap = fleet.until_success();
        assert!(gap < MAX_UPDATE_AGE, "{} daemons: {gap:?}", case.daemons);
        fleet.run(Duration::from_millis(case.read_ms));
        let calls = fleet.calls - before;
        assert!(
            calls <= case.max_calls,
            "{} daemons: {calls} calls",
            case.daemons
        );
    }
}

#[test]
fn a_reader_that_cannot_be_reached_is_replaced_soon() {
    struct Case {
        daemons: usize,
        /// Daemons that pull from the reader itself.
        pulling: usize,
        max_calls: usize,
    }
    let cases = [
        Case {
            daemons: 18,
            pulling: 5,
            max_calls: 5,
        },
        Case {
            daemons: 312,
            pulling: 12,
            max_calls: 6,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::new(case.daemons);
        fleet.until_success();
        fleet.killed[0] = true;
        fleet.run(Duration::from_millis(300));
        let before = fleet.calls;
        for schedule in fleet.schedules.iter_mut().rev().take(case.pulling) {
            schedule.reader_unreachable(fleet.now);
        }
        let gap = fleet.until_success();
        let bound = Duration::from_millis(300);
        assert!(gap < bound, "{} daemons: {gap:?}", case.daemons);
        fleet.run(Duration::from_secs(1));
        // The new reader reads once more in this second.
        let calls = fleet.calls - before - 1;
        assert!(
            calls <= case.max_calls,
            "{} daemons: {calls} calls",
            case.daemons
        );
    }
}

#[test]
fn an_outage_costs_a_large_fleet_as_little_as_a_small_one() {
    struct Case {
        daemons: usize,
        outage_ms: u64,
        max_calls: usize,
    }
    // Ten calls a second, and the first ones of daemons that haven't heard of the failures yet.
    let cases = [
        Case {
            daemons: 18,
            outage_ms: 5000,
            max_calls: 100,
        },
        Case {
            daemons: 123,
            outage_ms: 5000,
            max_calls: 100,
        },
        Case {
            daemons: 312,
            outage_ms: 5000,
            max_calls: 100,
        },
        Case {
            daemons: 600,
            outage_ms: 5000,
            max_calls: 100,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::new(case.daemons);
        fleet.until_success();
        fleet.store = Store::Silent;
        let before = fleet.calls;
        fleet.run(Duration::from_millis(case.outage_ms));
        let calls = fleet.calls - before;
        assert!(
            calls <= case.max_calls,
            "{} daemons: {calls} calls",
            case.daemons
        );
        fleet.store = Store::Up(20);
        let gap = fleet.until_success();
        assert!(
            gap < Duration::from_secs(1),
            "{} daemons: {gap:?}",
            case.daemons
        );
    }
}

#[test]
fn a_store_that_refuses_half_of_the_daemons_is_read_in_time() {
    for daemons in [18, 123, 312] {
        let mut fleet = Fleet::new(daemons);
        fleet.until_success();
        fleet.store = Store::RefusesHalf;
        let gap = fleet.until_success();
        assert!(gap < MAX_UPDATE_AGE, "{daemons} daemons: {gap:?}");
    }
}

#[test]
fn a_daemon_waits_for_another_ones_read_once() {
    let mut schedule = ReadSchedule::new(ReaderSettings::default(), 3, 1, Duration::ZERO);
    let hold = ReaderSettings::default().attempt_hold;
    let now = Mono(1_000_000);
    schedule.record_peer_attempt(now, 1, ReadAttempt::Begun);
    let first = schedule.next_read();
    assert!(first >= Some(now + hold));
    schedule.record_peer_attempt(now + hold, 1, ReadAttempt::Begun);
    assert_eq!(schedule.next_read(), first);
    // After a success, a later read is waited for again.
    schedule.record_peer_read(now + hold, 1, Duration::ZERO);
    schedule.record_peer_attempt(now + hold * 9, 1, ReadAttempt::Begun);
    assert!(schedule.next_read() >= Some(now + hold * 10));
}
