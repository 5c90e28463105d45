//! Beliefs of a daemon that is cut off from servers or whose servers crash, in virtual time.

use std::time::Duration;

use cuminspread::coordination::reachability::{CheckEnd, ReachChange, Reachability};
use cuminspread::state::time::Mono;
use rand::RngExt as _;
use rand_pcg::Pcg32;

/// Time from the first lost contact to the belief, as the users ask.
const BELIEF_BOUND: Duration = Duration::from_secs(1);
/// Time until a contact without an answer is given up.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time between two contacts at 10 requests a second with two probes each.
const CONTACT_INTERVAL: Duration = Duration::from_millis(50);
/// Fraction of the time for which a service that is reached may count as lost.
const FALSE_LOSS_FRACTION: f64 = 0.01;
const TICK: Duration = Duration::from_millis(1);

/// Paths from a daemon to its servers.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Paths {
    /// All servers answer.
    Up,
    /// No server answers; whether contacts fail at once or after [`PROBE_TIMEOUT`].
    Down { at_once: bool },
    /// Old connections live on, and new ones fail at once.
    OldOnly,
}

struct Simulation {
    reach: Reachability,
    servers: Vec<usize>,
    /// Servers that are down for all daemons.
    crashed: usize,
    paths: Paths,
    rng: Pcg32,
    now: Mono,
    next_contact: Mono,
    /// Contacts and checks that end later: the time, and the server of a contact.
    pending: Vec<(Mono, Option<usize>)>,
    changes: Vec<(Mono, ReachChange)>,
    /// New connections opened by checks.
    checked: usize,
}

impl Simulation {
    fn new(servers: usize, crashed: usize, seed: u64) -> Self {
        Self {
            reach: Reachability::default(),
            servers: (0..servers).collect(),
            crashed,
            paths: Paths::Up,
            rng: Pcg32::new(seed, 1),
            now: Mono(1_000_000),
            next_contact: Mono(1_000_000),
            pending: Vec::new(),
            changes: Vec::new(),
            checked: 0,
        }
    }

    fn run(&mut self, paths: Paths, time: Duration) {
        self.paths = paths;
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + TICK;
            self.end_pending();
            if self.now >= self.next_contact && !self.reach.is_lost() {
                self.next_contact = self.now + CONTACT_INTERVAL;
                self.contact();
            }
            let chosen = self
                .reach
                .begin_check(self.now, &self.servers, &mut self.rng);
            if !chosen.is_empty() {
                self.check(&chosen);
            }
        }
    }

    fn contact(&mut self) {
        let server = self.rng.random_range(0..self.servers.len());
        let is_new = self.rng.random_range(0..4) == 0;
        match self.paths {
            _ if server < self.crashed => self.reach.record_failure(server),
            Paths::Down { at_once: false } => {
                let end = self.now + PROBE_TIMEOUT;
                self.pending.push((end, Some(server)));
            }
            Paths::Up if is_new => {
                let change = self.reach.record_connected(self.now);
                self.changes.extend(change.map(|c| (self.now, c)));
            }
            Paths::OldOnly if !is_new => {}
            Paths::Up => {}
            Paths::Down { .. } | Paths::OldOnly => self.reach.record_failure(server),
        }
    }

    fn check(&mut self, chosen: &[usize]) {
        self.checked += chosen.len();
        let is_answered = self.paths == Paths::Up && chosen.iter().any(|s| *s >= self.crashed);
        if is_answered {
            self.end_check(CheckEnd::Answered);
        } else if self.paths == (Paths::Down { at_once: false }) {
            self.pending.push((self.now + PROBE_TIMEOUT, None));
        } else {
            self.end_check(CheckEnd::Unanswered);
        }
    }

    fn end_check(&mut self, end: CheckEnd) {
        let change = self.reach.record_check(self.now, end);
        self.changes.extend(change.map(|c| (self.now, c)));
    }

    /// Time for which the service counted as lost.
    fn lost_for(&self) -> Duration {
        let ended = self.changes.iter().filter_map(|(_, change)| match change {
            ReachChange::Found { after } => Some(*after),
            ReachChange::Lost => None,
        });
        let open = match self.changes.last() {
            Some((at, ReachChange::Lost)) => self.now.since(*at),
            _ => Duration::ZERO,
        };
        ended.sum::<Duration>() + open
    }

    fn end_pending(&mut self) {
        let now = self.now;
        let ended: Vec<_> = self.pending.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, server) in ended {
            match server {
                Some(server) => self.reach.record_failure(server),
                None => self.end_check(CheckEnd::Unanswered),
            }
        }
    }
}

#[test]
fn a_cut_daemon_knows_it_within_a_second_and_its_end_sooner() {
    struct Case {
        name: &'static str,
        servers: usize,
        paths: Paths,
        bound: Duration,
    }
    let cases = [
        Case {
            name: "connections are reset",
            servers: 225,
            paths: Paths::Down { at_once: true },
            bound: BELIEF_BOUND,
        },
        Case {
            name: "connections hang",
            servers: 225,
            paths: Paths::Down { at_once: false },
            bound: BELIEF_BOUND,
        },
        Case {
            name: "a single server",
            servers: 1,
            paths: Paths::Down { at_once: false },
            bound: BELIEF_BOUND,
        },
        Case {
            // Old connections serve requests meanwhile; the users' bound on the service is 3 s.
            name: "old connections live on",
            servers: 18,
            paths: Paths::OldOnly,
            bound: Duration::from_secs(3),
        },
    ];
    for case in cases {
        for seed in 0..20 {
            let mut sim = Simulation::new(case.servers, 0, seed);
            sim.run(Paths::Up, Duration::from_secs(5));
            assert!(sim.changes.is_empty(), "{}", case.name);
            let cut_at = sim.now;
            sim.run(case.paths, Duration::from_secs(10));
            let [(lost_at, ReachChange::Lost)] = sim.changes[..] else {
                panic!("{}, seed {seed}: {:?}", case.name, sim.changes);
            };
            let known_after = lost_at.since(cut_at);
            assert!(known_after < case.bound, "{}: {known_after:?}", case.name);
            let healed_at = sim.now;
            sim.run(Paths::Up, Duration::from_secs(5));
            let [_, (found_at, ReachChange::Found { .. })] = sim.changes[..] else {
                panic!("{}, seed {seed}: {:?}", case.name, sim.changes);
            };
            let found_after = found_at.since(healed_at);
            assert!(found_after < BELIEF_BOUND, "{}: {found_after:?}", case.name);
        }
    }
}

#[test]
fn a_third_of_crashed_servers_is_no_cut() {
    struct Case {
        servers: usize,
        crashed: usize,
    }
    let cases = [
        Case {
            servers: 6,
            crashed: 2,
        },
        Case {
            servers: 225,
            crashed: 75,
        },
    ];
    for case in cases {
        let mut lost_for = Duration::ZERO;
        for seed in 0..20 {
            let mut sim = Simulation::new(case.servers, case.crashed, seed);
            sim.run(Paths::Up, Duration::from_secs(5));
            lost_for += sim.lost_for();
            // A service with all of its servers down is checked ten times a second.
            assert!(sim.checked <= 50, "{} new connections in 5 s", sim.checked);
        }
        let most = Duration::from_secs(20 * 5).mul_f64(FALSE_LOSS_FRACTION);
        assert!(lost_for <= most, "lost for {lost_for:?}");
    }
}

#[test]
fn a_service_without_servers_is_not_lost() {
    let mut reach = Reachability::default();
    let mut rng = Pcg32::new(1, 1);
    reach.record_failure(1);
    assert_eq!(reach.begin_check(Mono(5), &[1], &mut rng), [1]);
    assert_eq!(
        reach.record_check(Mono(9), CheckEnd::Unanswered),
        Some(ReachChange::Lost)
    );
    assert!(reach.begin_check(Mono(2_000_000), &[], &mut rng).is_empty());
    assert!(!reach.is_lost());
}

#[test]
fn a_check_without_connections_changes_nothing() {
    let mut reach = Reachability::default();
    let mut rng = Pcg32::new(1, 1);
    reach.record_failure(1);
    assert_eq!(reach.begin_check(Mono(5), &[1], &mut rng), [1]);
    assert_eq!(reach.record_check(Mono(9), CheckEnd::Incomplete), None);
    assert!(!reach.is_lost());
    assert!(reach.next_check(1).is_some());
}
