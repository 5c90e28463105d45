//! Which daemon reads the store: one of many, and another one soon after the reader fails.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cuminspread::coordination::catalog::ServerEntry;
use cuminspread::coordination::reader::{ReadSchedule, ReaderSettings, Role, sample_suffices};
use cuminspread::state::Name;
use cuminspread::state::routing::{Route, Routing, WeightedService};
use cuminspread::state::time::Mono;

/// Limit on the age of updates of leaving servers and of configurations at the users' sites.
const MAX_UPDATE_AGE: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(5);

/// Daemons, one store and a network without delay, in simulated time.
struct Fleet {
    now: Mono,
    schedules: Vec<ReadSchedule>,
    /// Daemons whose reads the store refuses.
    refused: Vec<bool>,
    /// Daemons that were killed.
    killed: Vec<bool>,
    /// Daemons that exchange no messages with peers.
    partitioned: Vec<bool>,
    store_up: bool,
    calls: usize,
    reads: Vec<(Mono, usize)>,
}

impl Fleet {
    fn new(daemons: usize) -> Self {
        let schedule = |i: usize| {
            let delay = if i < 3 { 0 } else { 500 };
            let delay = Duration::from_millis(delay);
            let settings = ReaderSettings::default();
            let mut schedule = ReadSchedule::new(settings, i as u64, 7 + i as u64, delay);
            schedule.set_daemons(daemons);
            schedule
        };
        Self {
            now: Mono(0),
            schedules: (0..daemons).map(schedule).collect(),
            refused: vec![false; daemons],
            killed: vec![false; daemons],
            partitioned: vec![false; daemons],
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
            for i in 0..self.schedules.len() {
                if self.killed[i] || self.schedules[i].begin(self.now).is_none() {
                    continue;
                }
                self.calls += 1;
                if self.store_up && !self.refused[i] {
                    self.schedules[i].succeeded(self.now);
                    self.reads.push((self.now, i));
                    read.push(i);
                } else {
                    self.schedules[i].failed(self.now);
                }
            }
            for i in read {
                for j in 0..self.schedules.len() {
                    if i != j && !self.partitioned[i] && !self.partitioned[j] {
                        self.schedules[j].record_peer_read(self.now, i as u64, Duration::ZERO);
                    }
                }
            }
        }
    }

    /// Runs until a daemon reads the store; returns how long that took.
    fn until_read(&mut self) -> Duration {
        let (start, reads) = (self.now, self.reads.len());
        while self.reads.len() == reads {
            self.run(STEP);
        }
        self.now.since(start)
    }

    fn readers(&self) -> Vec<usize> {
        let schedules = self.schedules.iter().enumerate();
        let reading = schedules.filter(|(i, r)| !self.killed[*i] && r.role() == Role::Reader);
        reading.map(|(i, _)| i).collect()
    }

    fn since_last_read(&self) -> Duration {
        let last = self.reads.last().map_or(Mono(0), |(at, _)| *at);
        self.now.since(last)
    }
}

struct Case {
    daemons: usize,
    /// Maximum number of calls to the store per second without faults.
    max_calls_per_s: f64,
}

#[test]
fn one_daemon_reads_for_all() {
    let cases = [
        Case {
            daemons: 18,
            max_calls_per_s: 2.0,
        },
        Case {
            daemons: 141,
            max_calls_per_s: 2.0,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::new(case.daemons);
        fleet.run(Duration::from_secs(5));
        assert_eq!(fleet.readers(), [0], "{} daemons", case.daemons);
        let before = fleet.calls;
        fleet.run(Duration::from_secs(60));
        let calls = (fleet.calls - before) as f64 / 60.0;
        assert!(calls <= case.max_calls_per_s, "{calls} calls per second");
    }
}

#[test]
fn another_daemon_takes_over_in_time() {
    for daemons in [2, 18, 141] {
        let mut fleet = Fleet::new(daemons);
        fleet.run(Duration::from_secs(5));
        // Killed right after a read, so that the followers wait for the longest time.
        while fleet.since_last_read() > STEP {
            fleet.run(STEP);
        }
        let reader = fleet.readers()[0];
        fleet.killed[reader] = true;
        let gap = fleet.until_read();
        assert!(gap < MAX_UPDATE_AGE, "{daemons} daemons: {gap:?}");
        fleet.run(Duration::from_secs(3));
        assert_eq!(fleet.readers().len(), 1, "{daemons} daemons");
    }
}

#[test]
fn a_reader_that_the_store_refuses_is_replaced() {
    let mut fleet = Fleet::new(18);
    fleet.run(Duration::from_secs(5));
    let reader = fleet.readers()[0];
    fleet.refused[reader] = true;
    let before = fleet.reads.len();
    fleet.run(MAX_UPDATE_AGE);
    assert!(fleet.reads.len() > before);
    assert!(!fleet.readers().contains(&reader));
}

#[test]
fn a_partitioned_daemon_reads_itself() {
    let mut fleet = Fleet::new(18);
    fleet.run(Duration::from_secs(5));
    fleet.partitioned[17] = true;
    fleet.run(MAX_UPDATE_AGE);
    let own_reads = fleet.reads.iter().filter(|(_, i)| *i == 17);
    assert!(own_reads.count() > 0);
}

#[test]
fn a_daemon_partitioned_after_an_outage_reads_itself() {
    for daemons in [18, 124, 312] {
        let mut fleet = Fleet::new(daemons);
        fleet.run(Duration::from_secs(5));
        fleet.store_up = false;
        fleet.run(Duration::from_secs(8));
        fleet.store_up = true;
        fleet.until_read();
        fleet.run(STEP);
        fleet.partitioned.fill(true);
        let start = fleet.now;
        fleet.run(MAX_UPDATE_AGE);
        for i in 0..daemons {
            let reads = fleet.reads.iter();
            let own_reads = reads.filter(|(at, daemon)| *at >= start && *daemon == i);
            assert!(own_reads.count() > 0, "daemon {i} of {daemons}");
        }
    }
}

#[test]
fn an_outage_costs_few_calls_and_its_end_is_found_fast() {
    struct Outage {
        daemons: usize,
        /// Maximum number of calls of the whole fleet to the store in 10 s.
        max_calls: usize,
    }
    // One read per daemon, and then about ten per second, whatever the size of the fleet.
    let cases = [
        Outage {
            daemons: 18,
            max_calls: 140,
        },
        Outage {
            daemons: 141,
            max_calls: 400,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::new(case.daemons);
        fleet.run(Duration::from_secs(5));
        fleet.store_up = false;
        let before = fleet.calls;
        fleet.run(Duration::from_secs(10));
        let calls = fleet.calls - before;
        assert!(
            calls <= case.max_calls,
            "{} daemons: {calls} calls",
            case.daemons
        );
        assert!(fleet.schedules[5].is_outage(fleet.now));
        fleet.store_up = true;
        let gap = fleet.until_read();
        assert!(
            gap < Duration::from_secs(1),
            "{} daemons: {gap:?}",
            case.daemons
        );
        assert!(!fleet.schedules[5].is_outage(fleet.now));
    }
}

#[test]
fn the_end_of_an_outage_is_found_fast_whenever_it_comes() {
    for daemons in [18, 123, 312, 600] {
        for lasted_ms in [1500, 2000, 3000, 4000, 6000, 9000, 15_000, 30_000] {
            let mut fleet = Fleet::new(daemons);
            fleet.run(Duration::from_secs(3));
            fleet.store_up = false;
            fleet.run(Duration::from_millis(lasted_ms));
            fleet.store_up = true;
            let gap = fleet.until_read();
            assert!(
                gap < Duration::from_secs(1),
                "{daemons} daemons, outage of {lasted_ms} ms: {gap:?}"
            );
        }
    }
}

#[test]
fn a_reader_that_hears_of_its_own_read_goes_on_reading() {
    let rank = 3;
    let settings = ReaderSettings::default();
    let interval = settings.interval;
    let mut schedule = ReadSchedule::new(settings, rank, 1, Duration::ZERO);
    let now = Mono(1_000_000);
    assert!(schedule.begin(now).is_some());
    schedule.succeeded(now);
    schedule.record_peer_read(
        now + Duration::from_millis(20),
        rank,
        Duration::from_millis(20),
    );
    assert_eq!(schedule.role(), Role::Reader);
    assert_eq!(schedule.next_read(), Some(now + interval));
}

#[test]
fn a_store_that_refuses_half_of_the_daemons_is_read_by_the_rest() {
    let mut fleet = Fleet::new(141);
    fleet.run(Duration::from_secs(5));
    for i in 0..141 {
        // The reader, its likely successors, and every second daemon.
        fleet.refused[i] = i < 40 || i % 2 == 0;
    }
    fleet.run(MAX_UPDATE_AGE);
    assert!(fleet.since_last_read() < Duration::from_secs(1));
}

#[test]
fn a_resumed_daemon_reads_at_once() {
    let mut schedule = ReadSchedule::new(ReaderSettings::default(), 3, 1, Duration::ZERO);
    let now = Mono(1_000_000);
    schedule.record_peer_read(now, 1, Duration::ZERO);
    assert_eq!(schedule.begin(now), None);
    schedule.read_now(now);
    assert!(schedule.begin(now).is_some());
}

#[test]
fn a_sample_suffices_if_each_routed_service_has_servers() {
    struct Case {
        what: &'static str,
        /// Sampled servers: service, number, and whether they are leaving.
        servers: &'static [(&'static str, usize, bool)],
        suffices: bool,
    }
    let cases = [
        Case {
            what: "a few servers of both services",
            servers: &[("status", 3, false), ("orders", 4, false)],
            suffices: true,
        },
        Case {
            what: "a service without servers",
            servers: &[("status", 30, false)],
            suffices: false,
        },
        Case {
            what: "a service with leaving servers only",
            servers: &[("status", 3, false), ("orders", 4, true)],
            suffices: false,
        },
        Case {
            what: "a service that no route uses doesn't matter",
            servers: &[
                ("status", 3, false),
                ("orders", 4, false),
                ("old", 0, false),
            ],
            suffices: true,
        },
    ];
    let route = |service: &str| {
        Arc::new(Route {
            name: Name::new(service),
            services: vec![WeightedService {
                service: Name::new(service),
                weight: 1,
            }],
            host: Name::new("shop.example"),
            prefix: Name::new("/"),
            idempotent: true,
            timeout: Duration::from_secs(2),
            latency_target: Duration::from_secs(1),
            priority: 1,
            max_attempts: 2,
            regions: Vec::new(),
        })
    };
    let routing = Routing {
        routes: vec![route("status"), route("orders")],
        ..Routing::default()
    };
    for case in cases {
        let servers = case.servers.iter().flat_map(|&(service, count, draining)| {
            (0..count).map(move |i| ServerEntry {
                id: Name::new(format!("i-{i}")),
                service: Name::new(service),
                address: SocketAddr::from(([10, 0, 0, 1], 80)),
                data_centre: Name::new("a"),
                slots: 4,
                draining,
                warm_up: Duration::ZERO,
                started_ms: 1,
                sequence: 1,
            })
        });
        let servers: Vec<ServerEntry> = servers.collect();
        let suffices = sample_suffices(&routing, servers.iter());
        assert_eq!(suffices, case.suffices, "{}", case.what);
    }
}
