//! What a cold server bears is kept by fleets of any size, in virtual time.

use std::net::SocketAddr;
use std::time::Duration;

use cuminspread::coordination::cold_server::{ColdNews, MAX_CHECK_AGE, held_part};
use cuminspread::coordination::hold_off::{HoldOff, HoldOffCause, SendPermit};
use cuminspread::coordination::mesh::{Mesh, MeshSettings};
use cuminspread::protocol::gossip::Daemon;
use cuminspread::state::Name;
use cuminspread::state::time::Mono;
use rand::RngExt as _;
use rand_pcg::Pcg32;

const STEP: Duration = Duration::from_millis(10);
/// Time between two ticks of a daemon, in steps.
const TICK_STEPS: usize = 50;
/// Requests a second at each daemon; each may go to the server.
const DEMAND_PER_S: f32 = 5.0;
/// Requests a second that the server gets from all daemons while it is warm.
const WARM_PER_S: f32 = 40.0;
/// Longest time from a check's answer to the arrival of the request that follows it.
const SEND_TIME: Duration = Duration::from_millis(20);
/// Longest time after which a daemon reads a report of the registry.
const REPORT_AGE: Duration = Duration::from_millis(2300);
/// When the fleet knows itself, and the server turns cold.
const START: Mono = Mono(20_000_000);
const COLD_TIME: Duration = Duration::from_secs(12);
const WINDOW: Duration = Duration::from_secs(1);
const DATA_CENTRES: usize = 3;

/// What happens to the fleet while the server is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    /// All daemons start at the moment at which the server turns cold.
    FleetStarts,
    /// The same, while half of all messages between daemons are lost.
    LossyStart,
    /// Half of the daemons are killed at the same moment, and start again with no memory.
    HerdKill,
    /// One daemon after the other is stopped and started again.
    RollingRestart,
    /// The data centres don't hear each other.
    Split,
    /// The same, and all daemons have started since.
    SplitFromStart,
    /// The server is cold for 3 s and warm for 1 s by turns.
    ColdAgain,
}

struct Member {
    mesh: Mesh,
    hold_off: HoldOff,
    /// When it reads the registry's report, and the warm-up time in it.
    report: Option<(Mono, Duration)>,
}

struct Fleet {
    now: Mono,
    rng: Pcg32,
    trouble: Trouble,
    interval: Duration,
    /// Number of daemons.
    daemons: usize,
    members: Vec<Member>,
    cold_until: Mono,
    /// Requests under way, with the times of their arrivals.
    under_way: Vec<Mono>,
    /// Requests that arrived while the server was cold.
    arrivals: Vec<Mono>,
}

impl Fleet {
    fn new(daemons: usize, rate: f32, trouble: Trouble) -> Self {
        let mut fleet = Self {
            now: Mono(0),
            rng: Pcg32::new(daemons as u64, 17),
            trouble,
            interval: Duration::from_secs_f32(1.0 / rate),
            daemons,
            members: Vec::new(),
            cold_until: Mono(0),
            under_way: Vec::new(),
            arrivals: Vec::new(),
        };
        for i in 0..daemons {
            let member = fleet.started(i);
            fleet.members.push(member);
        }
        fleet
    }

    /// A daemon that has just started.
    fn started(&self, i: usize) -> Member {
        let address =
            |i: usize| SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 7200));
        let me = Daemon {
            address: address(i),
            data_centre: Name::new(format!("dc-{}", i % DATA_CENTRES)),
            started_ms: 1 + self.now.0 / 1000,
            capacity: 10,
            forward_port: 0,
        };
        let seeds = (0..DATA_CENTRES.min(self.daemons)).map(address);
        let mut hold_off = HoldOff::default();
        hold_off.cold.set_interval(Some(self.interval));
        Member {
            mesh: Mesh::new(
                MeshSettings::default(),
                me,
                seeds.collect(),
                self.now.0 + i as u64,
            ),
            hold_off,
            report: None,
        }
    }

    fn is_heard(&mut self, from: usize, to: usize) -> bool {
        if self.trouble == Trouble::LossyStart && self.rng.random_range(0..2) == 0 {
            return false;
        }
        let is_split = match self.trouble {
            Trouble::Split => self.now >= START,
            Trouble::SplitFromStart => true,
            _ => false,
        };
        !is_split || from % DATA_CENTRES == to % DATA_CENTRES
    }

    fn run_until(&mut self, end: Mono) {
        while self.now < end {
            self.now = self.now + STEP;
            let steps = (self.now.0 / STEP.as_micros() as u64) as usize;
            self.disturb(steps);
            for i in 0..self.members.len() {
                self.say_hello(i);
                self.read_report(i);
                if (steps + i).is_multiple_of(TICK_STEPS) {
                    self.tick(i);
                }
            }
            let mean = DEMAND_PER_S * self.members.len() as f32 * STEP.as_secs_f32();
            for _ in 0..(mean + self.rng.random_range(0.0..1.0)) as usize {
                let daemon = self.rng.random_range(0..self.members.len());
                self.request(daemon);
            }
            let (now, is_cold) = (self.now, self.now < self.cold_until);
            let arrived = self.under_way.extract_if(.., |at| *at <= now).count();
            if is_cold {
                self.arrivals.extend(std::iter::repeat_n(now, arrived));
            }
        }
    }

    /// The server turns cold at the moment.
    fn turn_cold(&mut self, time: Duration) {
        self.cold_until = self.now + time;
        for i in 0..self.members.len() {
            let age = REPORT_AGE.mul_f32(self.rng.random_range(0.0..1.0));
            self.members[i].report = Some((self.now + age, time));
        }
    }

    fn disturb(&mut self, steps: usize) {
        let since = self.now.since(START);
        let count = self.daemons;
        match self.trouble {
            Trouble::FleetStarts | Trouble::LossyStart if self.now == START => {
                for i in 0..count {
                    self.members[i] = self.started(i);
                }
            }
            Trouble::HerdKill if since == Duration::from_secs(5) => {
                for i in (0..count).step_by(2) {
                    self.members[i] = self.started(i);
                }
            }
            Trouble::RollingRestart if self.now > START && steps.is_multiple_of(100) => {
                let i = (steps / 100) % count;
                let (now, me) = (self.now, self.members[i].mesh.me().clone());
                for member in &mut self.members {
                    member.mesh.record_leaving(now, &me);
                }
                self.members[i] = self.started(i);
            }
            Trouble::ColdAgain if self.now > START && since.as_millis().is_multiple_of(4000) => {
                self.turn_cold(Duration::from_secs(3));
            }
            _ => {}
        }
    }

    fn say_hello(&mut self, i: usize) {
        let now = self.now;
        let targets = self.members[i].mesh.hello_targets(now);
        let (now, me) = (self.now, self.members[i].mesh.me().clone());
        for target in targets {
            let to = self
                .members
                .iter()
                .position(|m| m.mesh.me().address == target);
            let Some(to) = to.filter(|to| self.is_heard(i, *to)) else {
                continue;
            };
            self.members[to].mesh.record_heard(now, &me);
            let peers = self.members[to].mesh.sample_peers(now, &me.data_centre);
            if self.is_heard(to, i) {
                self.members[i].mesh.merge_known(now, &peers);
            }
        }
    }

    fn read_report(&mut self, i: usize) {
        let now = self.now;
        let member = &mut self.members[i];
        if let Some((_, left)) = member.report.take_if(|(at, _)| now >= *at) {
            member.hold_off.cold.record(now, left, ColdNews::Report);
        }
    }

    fn tick(&mut self, i: usize) {
        let now = self.now;
        let spread = self.rng.random_range(0.0..1.0);
        let Member { mesh, hold_off, .. } = &mut self.members[i];
        mesh.is_settled(now);
        if !hold_off.cold.needs_part(now) {
            return;
        }
        let rate = hold_off.cold.rate().expect("a rate");
        let held = held_part(now, "i-1", "dc-0", rate, mesh);
        hold_off.cold.assign(now, held, spread);
    }

    /// A request arrives at a daemon, which checks the server and sends the request if it may.
    fn request(&mut self, daemon: usize) {
        let now = self.now;
        let left = self.cold_until.since(now);
        let chance = WARM_PER_S / (DEMAND_PER_S * self.daemons as f32);
        let hold_off = &mut self.members[daemon].hold_off;
        if hold_off.permit(now) != SendPermit::Now {
            return;
        }
        let news = ColdNews::Check {
            sent_at: now,
            healthy: true,
        };
        hold_off.cold.record(now, left, news);
        // A warm server is one of many.
        let is_chosen = !left.is_zero() || self.rng.random_range(0.0..1.0) < chance;
        if is_chosen && hold_off.permit(now) == SendPermit::Now {
            hold_off.record_sent(now);
            let delay = SEND_TIME.mul_f32(self.rng.random_range(0.0..1.0));
            self.under_way.push(now + delay);
        }
    }

    fn busiest_window(&self) -> usize {
        let windows = self.arrivals.iter().enumerate().map(|(i, first)| {
            let later = self.arrivals[i..].iter();
            later.take_while(|at| at.since(*first) < WINDOW).count()
        });
        windows.max().unwrap_or_default()
    }
}

#[test]
fn a_cold_server_gets_what_it_bears_from_fleets_of_any_size() {
    let troubles = [
        Trouble::None,
        Trouble::FleetStarts,
        Trouble::LossyStart,
        Trouble::HerdKill,
        Trouble::RollingRestart,
        Trouble::Split,
        Trouble::SplitFromStart,
        Trouble::ColdAgain,
    ];
    for (daemons, rate) in [(1, 2.5), (16, 3.6), (138, 2.5), (312, 3.6)] {
        for trouble in troubles {
            let case = format!("{daemons} daemons, {rate} a second, {trouble:?}");
            let mut fleet = Fleet::new(daemons, rate, trouble);
            fleet.run_until(START - STEP);
            if trouble != Trouble::ColdAgain {
                fleet.turn_cold(COLD_TIME);
            }
            fleet.run_until(START + COLD_TIME);
            // The users allow one and a half times the rate and eight requests in a second.
            let busiest = fleet.busiest_window();
            let most = (rate * 1.5 + 8.0) as usize;
            assert!(busiest <= most, "{case}: {busiest} in a second");
            let used = fleet.arrivals.len() as f32 / (rate * COLD_TIME.as_secs_f32());
            let least = match trouble {
                Trouble::None => 0.5,
                // Daemons that hear little of each other send nothing.
                Trouble::LossyStart => 0.0,
                _ => f32::EPSILON,
            };
            assert!(used >= least, "{case}: {used} of the rate is used");
        }
    }
}

fn at(ms: u64) -> Mono {
    START + Duration::from_millis(ms)
}

fn check(sent_ms: u64, healthy: bool) -> ColdNews {
    let sent_at = Mono(START.0 + sent_ms * 1000);
    ColdNews::Check { sent_at, healthy }
}

#[test]
fn the_latest_news_of_a_warm_up_counts() {
    struct Case {
        name: &'static str,
        /// Times of receipt, times left and sources, in milliseconds.
        news: Vec<(u64, u64, ColdNews)>,
        /// When the server counts as warm; `None` if it never was cold.
        warm_at: Option<u64>,
    }
    let cases = [
        Case {
            name: "a report",
            news: vec![(0, 3000, ColdNews::Report)],
            warm_at: Some(3000),
        },
        Case {
            name: "a report of a warm server",
            news: vec![(0, 0, ColdNews::Report)],
            warm_at: None,
        },
        Case {
            name: "a late report that says warm doesn't end it",
            news: vec![(0, 3000, check(0, true)), (500, 0, ColdNews::Report)],
            warm_at: Some(3000),
        },
        Case {
            name: "a later check ends it",
            news: vec![(0, 3000, ColdNews::Report), (1000, 0, check(990, true))],
            warm_at: Some(1000),
        },
        Case {
            name: "a check that was sent before the news doesn't end it",
            news: vec![(2, 3000, check(0, true)), (5, 0, check(1, true))],
            warm_at: Some(3002),
        },
        Case {
            name: "a check that was sent before and answered after another",
            news: vec![(10, 3000, check(5, true)), (12, 0, check(4, true))],
            warm_at: Some(3010),
        },
        Case {
            name: "a check that was turned away doesn't end it",
            news: vec![(0, 3000, ColdNews::Report), (1000, 0, check(990, false))],
            warm_at: Some(3000),
        },
        Case {
            name: "it turns cold again",
            news: vec![(0, 3000, ColdNews::Report), (2000, 3000, check(1990, true))],
            warm_at: Some(5000),
        },
        Case {
            name: "no server is cold for more than an hour",
            news: vec![(0, u64::MAX / 1000, ColdNews::Report)],
            warm_at: Some(3_600_000),
        },
    ];
    for case in cases {
        let mut hold_off = HoldOff::default();
        hold_off.cold.set_interval(Some(Duration::from_millis(400)));
        for (received, left, news) in case.news {
            let left = Duration::from_millis(left);
            hold_off.cold.record(at(received), left, news);
        }
        match case.warm_at {
            Some(warm_at) => {
                assert_eq!(hold_off.cold.until(), at(warm_at), "{}", case.name);
            }
            None => assert_eq!(hold_off.permit(at(0)), SendPermit::Now, "{}", case.name),
        }
    }
}

#[test]
fn turns_are_one_decision_with_pauses() {
    let mut hold_off = HoldOff::default();
    let cold = |at: Option<Mono>| SendPermit::From(at, HoldOffCause::Cold);
    hold_off
        .cold
        .record(at(0), Duration::from_secs(3), ColdNews::Report);
    assert_eq!(hold_off.permit(at(0)), SendPermit::Now, "it bears any rate");
    hold_off.cold.set_interval(Some(Duration::from_millis(400)));
    assert_eq!(hold_off.permit(at(0)), cold(None));
    hold_off.cold.assign(at(0), Some(0.5), 0.5);
    assert_eq!(hold_off.permit(at(0)), cold(Some(at(1000))));
    assert_eq!(hold_off.permit(at(1000)), SendPermit::Now);
    hold_off.record_sent(at(1400));
    // The next turn would come after the warm-up.
    assert_eq!(hold_off.permit(at(1400)), cold(Some(at(3000))));
    hold_off.pause(at(1400), Duration::from_secs(4), 0.0);
    let paused = SendPermit::From(Some(at(5400)), HoldOffCause::Pause);
    assert_eq!(hold_off.permit(at(1400)), paused);
    hold_off.cold.assign(at(2000), None, 0.5);
    assert_eq!(hold_off.cold.next_send(at(2000)), Some(at(3000)));
    // The age of a check counts from its sending, however late its answer is read.
    assert!(!hold_off.cold.is_checked(at(3000), MAX_CHECK_AGE));
    hold_off
        .cold
        .record(at(3000), Duration::ZERO, check(2950, true));
    assert!(hold_off.cold.is_checked(at(3100), MAX_CHECK_AGE));
    assert!(!hold_off.cold.is_checked(at(3101), MAX_CHECK_AGE));
    hold_off
        .cold
        .record(at(3500), Duration::ZERO, check(3000, true));
    assert!(!hold_off.cold.is_checked(at(3500), MAX_CHECK_AGE));
}
