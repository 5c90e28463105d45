//! Choice of servers whose speed changes many times a second.

use std::time::Duration;

use cuminspread::coordination::placement::{
    self, AttemptEnd, LoadSlowdown, PlacementContext, PlacementSettings, Progress, ServerLoad,
    ServerState, Step,
};
use cuminspread::state::time::Mono;
use rand::RngExt as _;
use rand_pcg::Pcg32;

const SLOTS: u32 = 2;

fn at(ms: u64) -> Mono {
    Mono(ms * 1000)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn need(now: Mono) -> PlacementContext {
    PlacementContext {
        now,
        processing_time: ms(200),
        target_left: ms(500),
        time_left: ms(2000),
        load_unknown: false,
        load_slowdown: 1.0,
        contended: false,
    }
}

fn room(running: u32, slowness: f32) -> ServerLoad {
    ServerLoad {
        running,
        waiting: 0,
        slots: SLOTS,
        slowness,
    }
}

/// What is believed of one server.
#[derive(Clone, Copy)]
struct Belief {
    near: bool,
    room: Option<(u32, f32)>,
    failures: u32,
    cold: bool,
}

const GOOD: Belief = Belief {
    near: true,
    room: Some((0, 1.0)),
    failures: 0,
    cold: false,
};

fn standing(belief: Belief, now: Mono) -> ServerState {
    let settings = PlacementSettings::default();
    let warm_until = if belief.cold { now + ms(1000) } else { now };
    let mut standing = ServerState::new(belief.near, SLOTS, warm_until);
    for _ in 0..belief.failures {
        standing.record_failure(now, &settings);
    }
    if let Some((running, slowness)) = belief.room {
        standing.record_load(now, room(running, slowness), Some(true));
    }
    standing
}

#[test]
fn better_servers_score_higher() {
    struct Case {
        what: &'static str,
        better: Belief,
        worse: Belief,
    }
    let cases = [
        Case {
            what: "fast before slow",
            better: GOOD,
            worse: Belief {
                room: Some((0, 5.0)),
                ..GOOD
            },
        },
        Case {
            what: "free before full",
            better: GOOD,
            worse: Belief {
                room: Some((2, 1.0)),
                ..GOOD
            },
        },
        Case {
            what: "empty before half full",
            better: GOOD,
            worse: Belief {
                room: Some((1, 1.0)),
                ..GOOD
            },
        },
        Case {
            what: "near before far",
            better: GOOD,
            worse: Belief {
                near: false,
                ..GOOD
            },
        },
        Case {
            what: "far and fast before near and slow",
            better: Belief {
                near: false,
                ..GOOD
            },
            worse: Belief {
                room: Some((0, 5.0)),
                ..GOOD
            },
        },
        Case {
            what: "warm before cold",
            better: GOOD,
            worse: Belief { cold: true, ..GOOD },
        },
        Case {
            what: "known before unknown",
            better: GOOD,
            worse: Belief { room: None, ..GOOD },
        },
        Case {
            what: "sound before failing",
            better: GOOD,
            worse: Belief {
                failures: 1,
                ..GOOD
            },
        },
        Case {
            what: "near and late before far and late: late answers aren't worth a long way",
            better: Belief {
                room: Some((0, 5.0)),
                ..GOOD
            },
            worse: Belief {
                near: false,
                room: Some((0, 5.0)),
                ..GOOD
            },
        },
    ];
    let now = at(1000);
    let settings = PlacementSettings::default();
    for case in cases {
        let better = standing(case.better, now).score(&need(now), &settings);
        let worse = standing(case.worse, now).score(&need(now), &settings);
        assert!(better > worse, "{}: {better} {worse}", case.what);
    }
}

struct StepCase {
    what: &'static str,
    asked: Vec<Belief>,
    progress: Progress,
    aim_left: u64,
    step: Step,
}

#[allow(clippy::too_many_lines, reason = "a table of cases")]
fn step_cases() -> Vec<StepCase> {
    let more = Progress {
        near_unprobed: 3,
        far_unprobed: 9,
        waited: ms(0),
    };
    let no_near = Progress {
        near_unprobed: 0,
        ..more
    };
    let waited = Progress {
        waited: ms(100),
        ..no_near
    };
    let all = Progress {
        far_unprobed: 0,
        ..waited
    };
    let slow = Belief {
        room: Some((0, 5.0)),
        ..GOOD
    };
    let full = Belief {
        room: Some((2, 1.0)),
        ..GOOD
    };
    vec![
        StepCase {
            what: "nobody was asked yet",
            asked: vec![],
            progress: more,
            aim_left: 600,
            step: Step::ProbeNear,
        },
        StepCase {
            what: "a good server is taken at once",
            asked: vec![slow, GOOD],
            progress: more,
            aim_left: 600,
            step: Step::Send(1),
        },
        StepCase {
            what: "two slow ones: more near ones are asked",
            asked: vec![slow, slow],
            progress: more,
            aim_left: 600,
            step: Step::ProbeNear,
        },
        StepCase {
            what: "all near ones are slow and there is time: they may get faster",
            asked: vec![slow, slow],
            progress: no_near,
            aim_left: 600,
            step: Step::Pause,
        },
        StepCase {
            what: "they didn't: far ones are asked",
            asked: vec![slow, slow],
            progress: waited,
            aim_left: 600,
            step: Step::ProbeFar,
        },
        StepCase {
            what: "a fast far one with a free slot is taken then, though it costs more",
            asked: vec![
                slow,
                Belief {
                    near: false,
                    room: Some((1, 1.0)),
                    ..GOOD
                },
            ],
            progress: waited,
            aim_left: 600,
            step: Step::Send(1),
        },
        StepCase {
            what: "all are slow: the request waits on while it can be in time",
            asked: vec![slow, slow],
            progress: all,
            aim_left: 600,
            step: Step::Pause,
        },
        StepCase {
            what: "it can't be in time any more: a slow one with room is taken",
            asked: vec![full, slow],
            progress: all,
            aim_left: 100,
            step: Step::Send(1),
        },
        StepCase {
            what: "a full server isn't run into, also when it is late",
            asked: vec![full, full],
            progress: all,
            aim_left: 100,
            step: Step::Pause,
        },
        StepCase {
            what: "late: a fast one is taken without looking for better ones",
            asked: vec![GOOD],
            progress: more,
            aim_left: 50,
            step: Step::Send(0),
        },
    ]
}

#[test]
fn steps() {
    let now = at(1000);
    let settings = PlacementSettings::default();
    for case in step_cases() {
        let standings: Vec<ServerState> = case.asked.iter().map(|b| standing(*b, now)).collect();
        let need = PlacementContext {
            target_left: ms(case.aim_left),
            ..need(now)
        };
        let asked = standings.iter().enumerate();
        let step = placement::decide(asked, &need, case.progress, &settings);
        assert_eq!(step, case.step, "{}", case.what);
    }
}

#[test]
fn ends_teach() {
    struct Case {
        what: &'static str,
        took: u64,
        end: AttemptEnd,
        /// Usual work time that is learned, in milliseconds.
        work: Option<u64>,
        avoided: bool,
    }
    let cases = [
        Case {
            what: "an answer in the usual time",
            took: 200,
            end: AttemptEnd::Answered { failed: false },
            work: Some(200),
            avoided: false,
        },
        Case {
            what: "a failure says nothing of the work",
            took: 20,
            end: AttemptEnd::Answered { failed: true },
            work: None,
            avoided: false,
        },
        Case {
            what: "a refusal is no failure of the server",
            took: 1,
            end: AttemptEnd::Refused,
            work: None,
            avoided: false,
        },
        Case {
            what: "silence",
            took: 1000,
            end: AttemptEnd::NoAnswer,
            work: None,
            avoided: true,
        },
        Case {
            what: "another server was faster",
            took: 400,
            end: AttemptEnd::LostRace,
            work: None,
            avoided: false,
        },
        Case {
            what: "the caller left",
            took: 100,
            end: AttemptEnd::Cancelled,
            work: None,
            avoided: false,
        },
    ];
    let settings = PlacementSettings::default();
    for case in cases {
        let mut server = standing(GOOD, at(1000));
        server.record_sent(1, &need(at(1000)), &settings);
        assert_eq!(server.in_flight(), 1);
        let end = at(1000 + case.took);
        let work = server.record_end(end, 1, case.end, &mut LoadSlowdown::default(), &settings);
        let work = work.map(|w| w.as_millis() as u64);
        assert_eq!(work, case.work, "{}", case.what);
        assert_eq!(server.is_avoided(end), case.avoided, "{}", case.what);
        assert_eq!(server.in_flight(), 0);
    }
}

#[test]
fn a_silent_request_makes_its_server_slow_before_it_ends() {
    let settings = PlacementSettings::default();
    let mut server = standing(GOOD, at(1000));
    server.record_sent(1, &need(at(1000)), &settings);
    assert!(server.latency_ratio(at(1200), &settings) < 1.1);
    assert!(server.latency_ratio(at(2000), &settings) > 3.0);
}

/// Servers that draw a new speed at every period.
struct World {
    rng: Pcg32,
    slow: Vec<(Mono, f32)>,
    share: f64,
}

impl World {
    const PERIOD: Duration = Duration::from_millis(150);

    fn new(servers: usize, share: f64) -> Self {
        Self {
            rng: Pcg32::new(7, 7),
            slow: vec![(Mono(0), 1.0); servers],
            share,
        }
    }

    fn slowness(&mut self, server: usize, now: Mono) -> f32 {
        let (until, slowness) = self.slow[server];
        if now < until {
            return slowness;
        }
        let slowness = if self.rng.random_bool(self.share) {
            5.0
        } else {
            1.0
        };
        let left = World::PERIOD.mul_f64(self.rng.random_range(0.1..1.0));
        self.slow[server] = (now + left, slowness);
        slowness
    }
}

/// The load pattern of the module's head: a quarter to two fifths of the servers is slow, others
/// every 150 ms.
#[test]
fn few_requests_meet_a_slow_server() {
    struct Case {
        servers: usize,
        share: f64,
        /// Most questions a request.
        looks: f64,
        /// Most requests that meet a slow server, of a hundred.
        slow: f64,
    }
    let cases = [
        Case {
            servers: 7,
            share: 0.25,
            looks: 3.0,
            slow: 2.0,
        },
        Case {
            servers: 40,
            share: 0.42,
            looks: 4.0,
            slow: 3.0,
        },
    ];
    let settings = PlacementSettings::default();
    for case in cases {
        let mut world = World::new(case.servers, case.share);
        let mut rng = Pcg32::new(1, 1);
        let mut standings: Vec<ServerState> =
            (0..case.servers).map(|_| standing(GOOD, at(0))).collect();
        let (requests, mut looks, mut slow) = (2000_u64, 0, 0);
        for i in 0..requests {
            let now = at(1000 + i * 37);
            let need = need(now);
            let mut asked: Vec<usize> = Vec::new();
            loop {
                let known = asked.iter().map(|i| (*i, &standings[*i]));
                let progress = Progress {
                    near_unprobed: case.servers - asked.len(),
                    far_unprobed: 0,
                    waited: ms(100),
                };
                match placement::decide(known, &need, progress, &settings) {
                    Step::Send(i) => {
                        // 2 ms pass until the work begins.
                        slow += u64::from(world.slowness(i, now + ms(2)) > 1.0);
                        break;
                    }
                    Step::ProbeNear => {
                        let rest = standings.iter().enumerate();
                        let rest = rest.filter(|(i, _)| !asked.contains(i));
                        let count = if asked.is_empty() { 2 } else { 3 };
                        let keys = placement::shortlist(rest, &need, &settings, count, &mut rng);
                        for key in keys {
                            let room = room(0, world.slowness(key, now));
                            standings[key].record_load(now, room, Some(true));
                            looks += 1;
                            asked.push(key);
                        }
                    }
                    Step::ProbeFar | Step::Pause => break,
                }
            }
        }
        let (looks, slow) = (
            f64::from(looks) / requests as f64,
            slow as f64 * 100.0 / requests as f64,
        );
        assert!(
            looks <= case.looks,
            "{} servers: {looks} looks",
            case.servers
        );
        assert!(
            slow <= case.slow,
            "{} servers: {slow} of 100 slow",
            case.servers
        );
    }
}

/// The load pattern of an overload that feeds itself: late requests on slow servers hold the slots
/// that those in time would need.
#[test]
fn while_others_wait_no_slot_is_spent_on_late_answers() {
    struct Case {
        what: &'static str,
        belief: Belief,
        contended: bool,
        aim_left: u64,
        taken: bool,
    }
    let slow = Belief {
        room: Some((0, 5.0)),
        ..GOOD
    };
    let unknown = Belief { room: None, ..GOOD };
    let cases = [
        Case {
            what: "late and nobody waits: a slow answer is better than none",
            belief: slow,
            contended: false,
            aim_left: 0,
            taken: true,
        },
        Case {
            what: "late and others wait: a slow server's slot is left to them",
            belief: slow,
            contended: true,
            aim_left: 0,
            taken: false,
        },
        Case {
            what: "late and others wait: a fast one's is taken, it is free again soon",
            belief: GOOD,
            contended: true,
            aim_left: 0,
            taken: true,
        },
        Case {
            what: "others wait: a server that said nothing lately isn't run into",
            belief: unknown,
            contended: true,
            aim_left: 400,
            taken: false,
        },
    ];
    let now = at(1000);
    let settings = PlacementSettings::default();
    for case in cases {
        let server = standing(case.belief, now);
        let need = PlacementContext {
            contended: case.contended,
            target_left: ms(case.aim_left),
            ..need(now)
        };
        let progress = Progress {
            near_unprobed: 0,
            far_unprobed: 0,
            waited: ms(100),
        };
        let asked = [(0, &server)].into_iter();
        let step = placement::decide(asked, &need, progress, &settings);
        assert_eq!(step == Step::Send(0), case.taken, "{}", case.what);
    }
}

/// Servers whose work takes longer from a certain load on are recognized by their answers.
#[test]
fn nearly_full_servers_that_slow_down_are_recognized() {
    struct Case {
        factor: f32,
        learned: std::ops::Range<f32>,
    }
    let cases = [
        Case {
            factor: 1.0,
            learned: 1.0..1.05,
        },
        Case {
            factor: 1.7,
            learned: 1.5..1.9,
        },
    ];
    let settings = PlacementSettings::default();
    for case in cases {
        let mut crowding = LoadSlowdown::default();
        let mut now = at(1000);
        for i in 0..400 {
            let running = i % 2;
            let mut server = standing(GOOD, now);
            server.record_load(now, room(running, 1.0), Some(true));
            server.record_sent(1, &need(now), &settings);
            // With two slots the second request fills the server.
            let factor = if running == 1 { case.factor } else { 1.0 };
            now = now + ms(200).mul_f32(factor);
            let end = AttemptEnd::Answered { failed: false };
            server.record_end(now, 1, end, &mut crowding, &settings);
        }
        let factor = crowding.factor();
        assert!(case.learned.contains(&factor), "{}: {factor}", case.factor);
    }
}
