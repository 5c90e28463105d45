//! The limit of a server is kept by fleets of any size, in virtual time.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use cuminspread::coordination::server_limit::{ServerLimit, held_rate, is_notable_change};
use cuminspread::protocol::gossip::Daemon;
use cuminspread::state::Name;
use cuminspread::state::time::Mono;
use rand::RngExt as _;
use rand_pcg::Pcg32;

const STEP: Duration = Duration::from_millis(10);
/// Time between two ticks of a daemon, in steps.
const TICK_STEPS: u32 = 50;
/// Time from a request's arrival at the server to the daemon's receipt of the answer.
const ANSWER_TIME: Duration = Duration::from_millis(150);
/// Time after which a limit that the server has named must be kept, and the span that is judged.
const SETTLE_TIME: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);
/// Time after a daemon's first answer with a limit from which on its requests count.
const TOLD_TIME: Duration = Duration::from_millis(500);
/// Time after which a lost peer is removed.
const EXPIRE_AFTER: Duration = Duration::from_secs(30);
const RUN_TIME: Duration = Duration::from_secs(60);

/// What happens to the fleet, 10 s after the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    /// One message in five is lost.
    Loss,
    /// A third of the daemons restarts and knows nothing of the limit.
    Restart,
    /// Two halves don't hear each other, and after a while each takes itself for the fleet.
    Split,
    /// The server names another limit each second, up to 1.5 times as much or as little.
    Moving,
}

struct Fleet {
    now: Mono,
    rng: Pcg32,
    trouble: Trouble,
    daemons: Vec<Daemon>,
    limits: Vec<Option<ServerLimit>>,
    /// Last report of each daemon to its peers.
    reported: Vec<Mono>,
    rate: f32,
    /// Answers under way: time of receipt, daemon, time of the request.
    answers: VecDeque<(Mono, usize, Mono)>,
    /// When each daemon got its first answer with a limit since its start.
    told: Vec<Option<Mono>>,
    arrivals: Vec<Arrival>,
}

/// A request that reached the server.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: Mono,
    /// Limit that the server named then.
    rate: f32,
    /// It came from a daemon that had been told of the limit.
    counts: bool,
}

impl Fleet {
    fn new(daemons: usize, rate: f32, trouble: Trouble) -> Self {
        let daemon = |i: usize| Daemon {
            address: SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 7200)),
            data_centre: Name::new(format!("dc-{}", i % 3)),
            started_ms: 1,
            capacity: 10,
            forward_port: 0,
        };
        Self {
            now: Mono(0),
            rng: Pcg32::new(daemons as u64, 17),
            trouble,
            daemons: (0..daemons).map(daemon).collect(),
            limits: vec![None; daemons],
            reported: vec![Mono(0); daemons],
            rate,
            answers: VecDeque::new(),
            told: vec![None; daemons],
            arrivals: Vec::new(),
        }
    }

    fn is_split(&self, since: Duration) -> bool {
        self.trouble == Trouble::Split && self.now.since(Mono(0)) >= Duration::from_secs(10) + since
    }

    /// Whether a message of one daemon reaches another.
    fn is_heard(&mut self, from: usize, to: usize) -> bool {
        let lost = self.trouble == Trouble::Loss && self.rng.random_range(0..5) == 0;
        !lost && (from % 2 == to % 2 || !self.is_split(Duration::ZERO))
    }

    /// Runs for a time with this many requests a second at each daemon.
    fn run(&mut self, span: Duration, demand_per_s: f32) {
        let end = self.now + span;
        let mut steps = 0_u32;
        while self.now < end {
            self.now = self.now + STEP;
            steps += 1;
            if steps.is_multiple_of(TICK_STEPS) {
                self.tick();
            }
            while let Some((at, daemon, sent_at)) = self.answers.front().copied()
                && self.now >= at
            {
                self.answers.pop_front();
                self.receive(daemon, sent_at);
            }
            let mean = demand_per_s * self.daemons.len() as f32 * STEP.as_secs_f32();
            let requests = (mean + self.rng.random_range(0.0..1.0)) as usize;
            for _ in 0..requests {
                let daemon = self.rng.random_range(0..self.daemons.len());
                self.request(daemon);
            }
        }
    }

    /// Computes the parts of daemons that know a limit.
    fn tick(&mut self) {
        let second = self.now.0 / 1_000_000;
        if second == 10 && self.trouble == Trouble::Restart {
            for limit in self.limits.iter_mut().step_by(3) {
                *limit = None;
            }
            for told in self.told.iter_mut().step_by(3) {
                *told = None;
            }
        }
        if self.trouble == Trouble::Moving && self.now.0.is_multiple_of(1_000_000) {
            self.rate = 3.2 * self.rng.random_range(0.67..1.5);
        }
        let partitioned = self.is_split(EXPIRE_AFTER);
        for i in 0..self.daemons.len() {
            let Some(limit) = &mut self.limits[i] else {
                continue;
            };
            if !limit.needs_part(self.now) {
                continue;
            }
            let known = self.daemons.iter().enumerate();
            let known = known.filter(|(j, _)| !partitioned || i % 2 == j % 2);
            let count = known.clone().count();
            let fraction = count as f32 / self.daemons.len() as f32;
            let peers = known.filter(|(j, _)| *j != i).map(|(_, d)| d);
            let me = &self.daemons[i];
            let rate = held_rate("i-1", "dc-0", limit.rate(), me, peers, fraction);
            limit.assign(self.now, rate, count, self.rng.random_range(0.0..1.0));
        }
    }

    /// A request arrives at a daemon, which sends it to the server if it may.
    fn request(&mut self, daemon: usize) {
        let now = self.now;
        if let Some(limit) = &mut self.limits[daemon] {
            if limit.next_send().is_none_or(|at| now < at) {
                return;
            }
            limit.record_sent(now);
        }
        self.arrivals.push(Arrival {
            at: now,
            rate: self.rate,
            counts: self.told[daemon].is_some_and(|told| now >= told + TOLD_TIME),
        });
        self.answers.push_back((now + ANSWER_TIME, daemon, now));
    }

    /// A daemon gets an answer; a limit of 0 stands for an answer that names none.
    fn receive(&mut self, daemon: usize, sent_at: Mono) {
        let (now, rate) = (self.now, self.rate);
        let before = self.limits[daemon].as_ref().map(ServerLimit::rate);
        let named = rate > 0.0;
        if named {
            self.told[daemon].get_or_insert(now);
        }
        match &mut self.limits[daemon] {
            Some(limit) if named => limit.confirm(now, rate),
            Some(limit) if limit.is_ended_by(sent_at) => self.limits[daemon] = None,
            None if named => self.limits[daemon] = Some(ServerLimit::new(now, rate)),
            _ => return,
        }
        let is_old = now.since(self.reported[daemon]) >= Duration::from_secs(5);
        if named && !is_old && before.is_some_and(|b| !is_notable_change(b, rate)) {
            return;
        }
        self.reported[daemon] = now;
        for peer in 0..self.daemons.len() {
            if peer == daemon || !self.is_heard(daemon, peer) {
                continue;
            }
            match &mut self.limits[peer] {
                Some(limit) if named => limit.confirm(now, rate),
                limit if named => *limit = Some(ServerLimit::new(now, rate)),
                limit => *limit = None,
            }
        }
    }

    /// Largest number of requests in any window less the number that is allowed in it; the users
    /// allow one and a half times the limit and five requests.
    fn worst_excess(&self) -> f32 {
        let settled = self.arrivals.iter();
        let settled = settled.filter(|a| a.counts && a.at >= Mono(0) + SETTLE_TIME);
        let settled: Vec<_> = settled.copied().collect();
        let excess = settled.iter().enumerate().map(|(i, first)| {
            let window = settled[i..].iter();
            let window = window.take_while(|a| a.at.since(first.at) < WINDOW);
            let (count, highest) =
                window.fold((0, 0.0_f32), |(n, most), a| (n + 1, most.max(a.rate)));
            count as f32 - (1.5 * highest * WINDOW.as_secs_f32() + 5.0)
        });
        excess.fold(f32::MIN, f32::max)
    }

    /// Requests since a time, as a fraction of what the limit allows.
    fn used(&self, from: Duration) -> f32 {
        let from = Mono(0) + from;
        let sent = self.arrivals.iter().filter(|a| a.at >= from).count();
        sent as f32 / (self.rate * self.now.since(from).as_secs_f32())
    }
}

#[test]
fn a_limit_is_kept_by_fleets_of_any_size() {
    let troubles = [
        Trouble::None,
        Trouble::Loss,
        Trouble::Restart,
        Trouble::Split,
        Trouble::Moving,
    ];
    for daemons in [1, 16, 123, 312] {
        for rate in [0.5, 3.2, 40.0] {
            for trouble in troubles {
                let case = format!("{daemons} daemons, {rate} a second, {trouble:?}");
                let mut fleet = Fleet::new(daemons, rate, trouble);
                // Four times the limit in all, and at least some at each daemon.
                let demand = (4.0 * rate / daemons as f32).max(2.0);
                fleet.run(RUN_TIME, demand);
                let excess = fleet.worst_excess();
                assert!(excess <= 0.0, "{case}: {excess} too many");
                if matches!(trouble, Trouble::None | Trouble::Loss) {
                    let used = fleet.used(Duration::from_secs(10));
                    assert!(used >= 0.8, "{case}: {used} of the limit is used");
                }
            }
        }
    }
}

#[test]
fn a_limit_that_has_ended_is_forgotten() {
    for daemons in [1, 16, 312] {
        let mut fleet = Fleet::new(daemons, 3.2, Trouble::None);
        fleet.run(Duration::from_secs(10), 2.0);
        fleet.rate = 0.0;
        fleet.run(Duration::from_secs(5), 2.0);
        let known = fleet.limits.iter().flatten().count();
        assert_eq!(known, 0, "{daemons} daemons");
    }
}

#[test]
fn a_server_that_takes_nothing_is_asked_again() {
    let mut fleet = Fleet::new(16, 0.0, Trouble::None);
    for limit in &mut fleet.limits {
        *limit = Some(ServerLimit::new(Mono(0), 0.0));
    }
    fleet.run(RUN_TIME, 2.0);
    let first = fleet.arrivals.first().expect("a request").at;
    let tests = fleet
        .arrivals
        .iter()
        .take_while(|a| a.at < first + ANSWER_TIME);
    assert!(tests.count() <= 2);
    assert_eq!(fleet.limits.iter().flatten().count(), 0);
}

#[test]
fn holders_are_few_and_near() {
    struct Case {
        daemons: usize,
        rate: f32,
        holders: std::ops::RangeInclusive<usize>,
    }
    let cases = [
        Case {
            daemons: 1,
            rate: 3.2,
            holders: 1..=1,
        },
        Case {
            daemons: 18,
            rate: 3.2,
            holders: 5..=5,
        },
        Case {
            daemons: 312,
            rate: 3.2,
            holders: 5..=5,
        },
        Case {
            daemons: 312,
            rate: 1e30,
            holders: 312..=312,
        },
    ];
    for case in cases {
        let fleet = Fleet::new(case.daemons, case.rate, Trouble::None);
        let all = &fleet.daemons;
        let holders = all.iter().filter(|me| {
            let peers = all.iter().filter(|d| d.address != me.address);
            held_rate("i-1", "dc-0", case.rate, me, peers, 1.0).is_some()
        });
        let holders: Vec<&Daemon> = holders.collect();
        let count = holders.len();
        assert!(case.holders.contains(&count), "{}: {count}", case.daemons);
        if count == 5 {
            assert!(holders.iter().all(|d| d.data_centre == "dc-0"));
        }
    }
}
