//! Choice of a server when the servers' speeds change many times a second.

use std::time::Duration;

use cuminspread::coordination::decaying_rate::DecayingRate;
use cuminspread::coordination::placement::{
    self, AttemptEnd, LoadReporting, LoadSlowdown, PROBE_RATE_HALF_LIFE, PlacementContext,
    PlacementSettings, Progress, RoundTrips, ServerLoad, ServerState, Step, subset_size,
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

fn context(now: Mono) -> PlacementContext {
    PlacementContext {
        now,
        processing_time: ms(200),
        target_left: ms(500),
        time_left: ms(2000),
        load_unknown: false,
        load_slowdown: 1.0,
        contended: false,
        near_wait: PlacementSettings::default().max_near_wait,
    }
}

fn load(running: u32, slowness: f32) -> ServerLoad {
    ServerLoad {
        running,
        waiting: 0,
        slots: SLOTS,
        slowness,
    }
}

/// What the daemon has observed of one server; `load` is the running requests and the slowness.
#[derive(Clone, Copy)]
struct Observed {
    near: bool,
    load: Option<(u32, f32)>,
    failures: u32,
    cold: bool,
}

const IDLE: Observed = Observed {
    near: true,
    load: Some((0, 1.0)),
    failures: 0,
    cold: false,
};

fn server_state(observed: Observed, now: Mono) -> ServerState {
    let settings = PlacementSettings::default();
    let warm_until = if observed.cold { now + ms(1000) } else { now };
    let mut server = ServerState::new(observed.near, SLOTS, warm_until);
    for _ in 0..observed.failures {
        server.record_failure(now, &settings);
    }
    if let Some((running, slowness)) = observed.load {
        server.record_load(now, load(running, slowness), Some(true));
    }
    server
}

#[test]
fn better_servers_score_higher() {
    struct Case {
        what: &'static str,
        better: Observed,
        worse: Observed,
    }
    let cases = [
        Case {
            what: "a fast server over a slow one",
            better: IDLE,
            worse: Observed {
                load: Some((0, 5.0)),
                ..IDLE
            },
        },
        Case {
            what: "a free server over a full one",
            better: IDLE,
            worse: Observed {
                load: Some((2, 1.0)),
                ..IDLE
            },
        },
        Case {
            what: "an empty server over a half full one",
            better: IDLE,
            worse: Observed {
                load: Some((1, 1.0)),
                ..IDLE
            },
        },
        Case {
            what: "a near server over a far one",
            better: IDLE,
            worse: Observed {
                near: false,
                ..IDLE
            },
        },
        Case {
            what: "a fast far server over a slow near one",
            better: Observed {
                near: false,
                ..IDLE
            },
            worse: Observed {
                load: Some((0, 5.0)),
                ..IDLE
            },
        },
        Case {
            what: "a warm server over a cold one",
            better: IDLE,
            worse: Observed { cold: true, ..IDLE },
        },
        Case {
            what: "a server with a report over one without",
            better: IDLE,
            worse: Observed { load: None, ..IDLE },
        },
        Case {
            what: "a healthy server over a failing one",
            better: IDLE,
            worse: Observed {
                failures: 1,
                ..IDLE
            },
        },
        Case {
            what: "late, a near server over a far one: a late response isn't worth the distance",
            better: Observed {
                load: Some((0, 5.0)),
                ..IDLE
            },
            worse: Observed {
                near: false,
                load: Some((0, 5.0)),
                ..IDLE
            },
        },
    ];
    let now = at(1000);
    let settings = PlacementSettings::default();
    for case in cases {
        let better = server_state(case.better, now).score(&context(now), &settings);
        let worse = server_state(case.worse, now).score(&context(now), &settings);
        assert!(better > worse, "{}: {better} {worse}", case.what);
    }
}

struct StepCase {
    what: &'static str,
    probed: Vec<Observed>,
    progress: Progress,
    target_left_ms: u64,
    step: Step,
}

#[allow(clippy::too_many_lines, reason = "a table of cases")]
fn step_cases() -> Vec<StepCase> {
    let some_unprobed = Progress {
        near_unprobed: 3,
        far_unprobed: 9,
        waited: ms(0),
        ..Progress::default()
    };
    let no_near = Progress {
        near_unprobed: 0,
        ..some_unprobed
    };
    let waited = Progress {
        waited: ms(100),
        ..no_near
    };
    let all_probed = Progress {
        far_unprobed: 0,
        ..waited
    };
    let slow = Observed {
        load: Some((0, 5.0)),
        ..IDLE
    };
    let full = Observed {
        load: Some((2, 1.0)),
        ..IDLE
    };
    vec![
        StepCase {
            what: "no server was probed yet",
            probed: vec![],
            progress: some_unprobed,
            target_left_ms: 600,
            step: Step::ProbeNear,
        },
        StepCase {
            what: "a fast and free server is chosen without further probes",
            probed: vec![slow, IDLE],
            progress: some_unprobed,
            target_left_ms: 600,
            step: Step::Send(1),
        },
        StepCase {
            what: "two slow near servers: further near servers are probed",
            probed: vec![slow, slow],
            progress: some_unprobed,
            target_left_ms: 600,
            step: Step::ProbeNear,
        },
        StepCase {
            what: "all near servers are slow, and time is left for them to get faster",
            probed: vec![slow, slow],
            progress: no_near,
            target_left_ms: 600,
            step: Step::Pause,
        },
        StepCase {
            what: "the near servers stayed slow: far servers are probed",
            probed: vec![slow, slow],
            progress: waited,
            target_left_ms: 600,
            step: Step::ProbeFar,
        },
        StepCase {
            what: "after the near wait a fast far server is taken in spite of its cost",
            probed: vec![
                slow,
                Observed {
                    near: false,
                    load: Some((1, 1.0)),
                    ..IDLE
                },
            ],
            progress: waited,
            target_left_ms: 600,
            step: Step::Send(1),
        },
        StepCase {
            what: "all servers are slow: the request waits while the target can be met",
            probed: vec![slow, slow],
            progress: all_probed,
            target_left_ms: 600,
            step: Step::Pause,
        },
        StepCase {
            what: "the target can't be met any more: a slow server with a free slot is taken",
            probed: vec![full, slow],
            progress: all_probed,
            target_left_ms: 100,
            step: Step::Send(1),
        },
        StepCase {
            what: "no request goes to a full server, even if it is late",
            probed: vec![full, full],
            progress: all_probed,
            target_left_ms: 100,
            step: Step::Pause,
        },
        StepCase {
            what: "no late request goes to a server that hasn't answered its probe",
            probed: vec![Observed { load: None, ..IDLE }, full],
            progress: all_probed,
            target_left_ms: 100,
            step: Step::Pause,
        },
        StepCase {
            what: "a late request doesn't join those that wait at a server",
            probed: vec![Observed {
                load: Some((3, 1.0)),
                ..IDLE
            }],
            progress: all_probed,
            target_left_ms: 100,
            step: Step::Pause,
        },
        StepCase {
            what: "eight near servers have no room: the others aren't probed in this round",
            probed: vec![full; 8],
            progress: some_unprobed,
            target_left_ms: 600,
            step: Step::Pause,
        },
        StepCase {
            what: "eight near servers stay without room: far servers are probed",
            probed: vec![full; 8],
            progress: Progress {
                near_unprobed: 60,
                ..waited
            },
            target_left_ms: 600,
            step: Step::ProbeFar,
        },
        StepCase {
            what: "a request with a close target doesn't wait long for near servers",
            probed: vec![full; 8],
            progress: Progress {
                near_unprobed: 60,
                waited: ms(55),
                ..no_near
            },
            target_left_ms: 200,
            step: Step::ProbeFar,
        },
        StepCase {
            what: "a late request takes a fast server without further probes",
            probed: vec![IDLE],
            progress: some_unprobed,
            target_left_ms: 50,
            step: Step::Send(0),
        },
    ]
}

#[test]
fn next_step_follows_from_probed_servers() {
    let now = at(1000);
    let settings = PlacementSettings::default();
    for case in step_cases() {
        let servers: Vec<ServerState> = case.probed.iter().map(|b| server_state(*b, now)).collect();
        let cx = PlacementContext {
            target_left: ms(case.target_left_ms),
            ..context(now)
        };
        let probed = servers.iter().enumerate();
        let step = placement::decide(probed, &cx, case.progress, &settings);
        assert_eq!(step, case.step, "{}", case.what);
    }
}

#[test]
fn attempt_ends_update_the_server_state() {
    struct Case {
        what: &'static str,
        took_ms: u64,
        end: AttemptEnd,
        /// Usual processing time that the end implies, in milliseconds.
        processing_ms: Option<u64>,
        avoided: bool,
    }
    let cases = [
        Case {
            what: "a response in the usual time",
            took_ms: 200,
            end: AttemptEnd::Answered { failed: false },
            processing_ms: Some(200),
            avoided: false,
        },
        Case {
            what: "a failure implies no processing time",
            took_ms: 20,
            end: AttemptEnd::Answered { failed: true },
            processing_ms: None,
            avoided: false,
        },
        Case {
            what: "a refusal does not count as a failure of the server",
            took_ms: 1,
            end: AttemptEnd::Refused,
            processing_ms: None,
            avoided: false,
        },
        Case {
            what: "no response",
            took_ms: 1000,
            end: AttemptEnd::NoAnswer,
            processing_ms: None,
            avoided: true,
        },
        Case {
            what: "another server answered first",
            took_ms: 400,
            end: AttemptEnd::LostRace,
            processing_ms: None,
            avoided: false,
        },
        Case {
            what: "the caller left",
            took_ms: 100,
            end: AttemptEnd::Cancelled,
            processing_ms: None,
            avoided: false,
        },
    ];
    let settings = PlacementSettings::default();
    for case in cases {
        let mut server = server_state(IDLE, at(1000));
        server.record_sent(1, &context(at(1000)), &settings);
        assert_eq!(server.in_flight(), 1);
        let end = at(1000 + case.took_ms);
        let time = server.record_end(end, 1, case.end, &mut LoadSlowdown::default(), &settings);
        let time = time.map(|t| t.as_millis() as u64);
        assert_eq!(time, case.processing_ms, "{}", case.what);
        assert_eq!(server.is_avoided(end), case.avoided, "{}", case.what);
        assert_eq!(server.in_flight(), 0);
    }
}

/// Guards against servers that look sound at each head, and so draw requests, while their bodies fail.
#[test]
fn only_a_complete_body_ends_the_avoidance_of_a_server() {
    struct Case {
        complete: bool,
        avoided: bool,
        failures: u32,
    }
    let cases = [
        Case {
            complete: false,
            avoided: true,
            failures: 3,
        },
        Case {
            complete: true,
            avoided: false,
            failures: 0,
        },
    ];
    let settings = PlacementSettings::default();
    for case in cases {
        let mut slowdown = LoadSlowdown::default();
        let mut server = ServerState::new(true, 4, Mono::default());
        let now = at(1000);
        server.record_failure(now, &settings);
        server.record_failure(now, &settings);
        server.record_sent(1, &context(now), &settings);
        server.record_end(now, 1, AttemptEnd::Begun, &mut slowdown, &settings);
        assert!(server.is_avoided(now), "the head says nothing of the body");
        server.record_body(now, case.complete, &settings);
        assert_eq!(server.is_avoided(now), case.avoided);
        assert_eq!(server.consecutive_failures(), case.failures);
    }
}

#[test]
fn an_overdue_request_raises_the_latency_ratio_before_it_ends() {
    let settings = PlacementSettings::default();
    let mut server = server_state(IDLE, at(1000));
    server.record_sent(1, &context(at(1000)), &settings);
    assert!(server.latency_ratio(at(1200), &settings) < 1.1);
    assert!(server.latency_ratio(at(2000), &settings) > 3.0);
}

/// Servers that draw a new speed in each period.
struct SimulatedServers {
    rng: Pcg32,
    slow: Vec<(Mono, f32)>,
    slow_fraction: f64,
}

impl SimulatedServers {
    const PERIOD: Duration = Duration::from_millis(150);

    fn new(servers: usize, slow_fraction: f64) -> Self {
        Self {
            rng: Pcg32::new(7, 7),
            slow: vec![(Mono(0), 1.0); servers],
            slow_fraction,
        }
    }

    fn slowness(&mut self, server: usize, now: Mono) -> f32 {
        let (until, slowness) = self.slow[server];
        if now < until {
            return slowness;
        }
        let slowness = if self.rng.random_bool(self.slow_fraction) {
            5.0
        } else {
            1.0
        };
        let left = SimulatedServers::PERIOD.mul_f64(self.rng.random_range(0.1..1.0));
        self.slow[server] = (now + left, slowness);
        slowness
    }
}

/// The load pattern of the module's documentation: a quarter to two fifths of the servers is slow,
/// a different set every 150 ms.
#[test]
fn few_requests_reach_a_slow_server() {
    struct Case {
        servers: usize,
        slow_fraction: f64,
        /// Maximum number of probes per request.
        max_probes: f64,
        /// Maximum fraction of requests that reach a slow server, in percent.
        max_slow_percent: f64,
    }
    let cases = [
        Case {
            servers: 7,
            slow_fraction: 0.25,
            max_probes: 3.0,
            max_slow_percent: 2.0,
        },
        Case {
            servers: 40,
            slow_fraction: 0.42,
            max_probes: 4.0,
            max_slow_percent: 3.0,
        },
    ];
    let settings = PlacementSettings::default();
    for case in cases {
        let mut simulated = SimulatedServers::new(case.servers, case.slow_fraction);
        let mut rng = Pcg32::new(1, 1);
        let mut servers: Vec<ServerState> = (0..case.servers)
            .map(|_| server_state(IDLE, at(0)))
            .collect();
        let (requests, mut sent, mut slow) = (2000_u64, 0, 0);
        for i in 0..requests {
            let now = at(1000 + i * 37);
            let cx = context(now);
            let mut probed: Vec<usize> = Vec::new();
            loop {
                let known = probed.iter().map(|i| (*i, &servers[*i]));
                let progress = Progress {
                    near_unprobed: case.servers - probed.len(),
                    far_unprobed: 0,
                    waited: ms(100),
                    ..Progress::default()
                };
                match placement::decide(known, &cx, progress, &settings) {
                    Step::Send(i) => {
                        // The server starts the request 2 ms later.
                        slow += u64::from(simulated.slowness(i, now + ms(2)) > 1.0);
                        break;
                    }
                    Step::ProbeNear => {
                        let unprobed = servers.iter().enumerate();
                        let unprobed = unprobed.filter(|(i, _)| !probed.contains(i));
                        let count = if probed.is_empty() { 2 } else { 3 };
                        let keys = placement::shortlist(unprobed, &cx, &settings, count, &mut rng);
                        for key in keys {
                            let load = load(0, simulated.slowness(key, now));
                            servers[key].record_load(now, load, Some(true));
                            sent += 1;
                            probed.push(key);
                        }
                    }
                    Step::ProbeFar | Step::Pause => break,
                }
            }
        }
        let (probes, slow) = (
            f64::from(sent) / requests as f64,
            slow as f64 * 100.0 / requests as f64,
        );
        assert!(
            probes <= case.max_probes,
            "{} servers: {probes} probes per request",
            case.servers
        );
        assert!(
            slow <= case.max_slow_percent,
            "{} servers: {slow} % of requests on slow servers",
            case.servers
        );
    }
}

/// Guards against a self-sustaining overload, in which late requests on slow servers hold the slots
/// that requests still in time would need.
#[test]
fn while_requests_wait_late_ones_take_no_slow_slot() {
    struct Case {
        what: &'static str,
        observed: Observed,
        contended: bool,
        target_left_ms: u64,
        taken: bool,
    }
    let slow = Observed {
        load: Some((0, 5.0)),
        ..IDLE
    };
    let unknown = Observed { load: None, ..IDLE };
    let cases = [
        Case {
            what: "late, empty queue: a slow response is better than none",
            observed: slow,
            contended: false,
            target_left_ms: 0,
            taken: true,
        },
        Case {
            what: "late, requests wait: a slow server's slot is left to them",
            observed: slow,
            contended: true,
            target_left_ms: 0,
            taken: false,
        },
        Case {
            what: "late, requests wait: a fast server is taken, since its slot is soon free again",
            observed: IDLE,
            contended: true,
            target_left_ms: 0,
            taken: true,
        },
        Case {
            what: "requests wait: a server without a recent report is not taken",
            observed: unknown,
            contended: true,
            target_left_ms: 400,
            taken: false,
        },
    ];
    let now = at(1000);
    let settings = PlacementSettings::default();
    for case in cases {
        let server = server_state(case.observed, now);
        let cx = PlacementContext {
            contended: case.contended,
            target_left: ms(case.target_left_ms),
            ..context(now)
        };
        let progress = Progress {
            near_unprobed: 0,
            far_unprobed: 0,
            waited: ms(100),
            ..Progress::default()
        };
        let probed = [(0, &server)].into_iter();
        let step = placement::decide(probed, &cx, progress, &settings);
        assert_eq!(step == Step::Send(0), case.taken, "{}", case.what);
    }
}

/// The response times of servers that slow down under load show by how much they do.
#[test]
fn slowdown_of_nearly_full_servers_is_measured() {
    struct Case {
        factor: f32,
        measured: std::ops::Range<f32>,
    }
    let cases = [
        Case {
            factor: 1.0,
            measured: 1.0..1.05,
        },
        Case {
            factor: 1.7,
            measured: 1.5..1.9,
        },
    ];
    let settings = PlacementSettings::default();
    for case in cases {
        let mut slowdown = LoadSlowdown::default();
        let mut now = at(1000);
        for i in 0..400 {
            let running = i % 2;
            let mut server = server_state(IDLE, now);
            server.record_load(now, load(running, 1.0), Some(true));
            server.record_sent(1, &context(now), &settings);
            // With two slots the second request fills the server.
            let factor = if running == 1 { case.factor } else { 1.0 };
            now = now + ms(200).mul_f32(factor);
            let end = AttemptEnd::Answered { failed: false };
            server.record_end(now, 1, end, &mut slowdown, &settings);
        }
        let factor = slowdown.factor(now);
        assert!(case.measured.contains(&factor), "{}: {factor}", case.factor);
    }
}

#[test]
fn subsets_are_as_large_as_the_probes_keep_in_use() {
    struct Case {
        what: &'static str,
        /// Time between two probes of the service by this daemon.
        interval_ms: u64,
        idle_timeout: Duration,
        size: usize,
    }
    let cases = [
        Case {
            what: "one of hundreds of daemons, with less than a probe a second",
            interval_ms: 1200,
            idle_timeout: Duration::from_secs(8),
            size: 3,
        },
        Case {
            what: "two probes a second",
            interval_ms: 500,
            idle_timeout: Duration::from_secs(8),
            size: 5,
        },
        Case {
            what: "one of 16 daemons",
            interval_ms: 25,
            idle_timeout: Duration::from_secs(8),
            size: 8,
        },
        Case {
            what: "connections that are kept for long",
            interval_ms: 1200,
            idle_timeout: Duration::from_secs(30),
            size: 8,
        },
    ];
    let settings = PlacementSettings::default();
    for case in cases {
        let mut rate = DecayingRate::new(PROBE_RATE_HALF_LIFE);
        let mut size = settings.min_subset_size;
        let mut now = Mono(0);
        while now < Mono(60_000_000) {
            now = now + Duration::from_millis(case.interval_ms);
            rate.record(now, 1);
            size = subset_size(rate.read(now), case.idle_timeout, size, &settings);
        }
        assert_eq!(size, case.size, "{}", case.what);
    }
}

#[test]
fn a_subset_shrinks_by_two_or_more() {
    let settings = PlacementSettings::default();
    let idle_timeout = Duration::from_secs(8);
    // 2 probes a second keep 5 servers in use.
    assert_eq!(subset_size(2.0, idle_timeout, 6, &settings), 6);
    assert_eq!(subset_size(2.0, idle_timeout, 7, &settings), 5);
    assert_eq!(subset_size(2.0, idle_timeout, 3, &settings), 5);
}

#[test]
fn single_answers_without_a_load_leave_reports_in_use() {
    #[derive(Clone, Copy)]
    enum Answer {
        Load,
        NoLoad,
    }
    use Answer::{Load, NoLoad};
    struct Case {
        what: &'static str,
        /// Answers of the service's servers, and their times in milliseconds.
        answers: &'static [(u64, Answer)],
        is_unknown: bool,
    }
    let cases = [
        Case {
            what: "no answer yet",
            answers: &[],
            is_unknown: false,
        },
        Case {
            what: "no server has reported a load",
            answers: &[(10, NoLoad), (20, NoLoad)],
            is_unknown: true,
        },
        Case {
            what: "servers that turn probes away leave their load out",
            answers: &[
                (10, Load),
                (20, NoLoad),
                (300, NoLoad),
                (301, Load),
                (2000, NoLoad),
            ],
            is_unknown: false,
        },
        Case {
            what: "the first answer is one without a load",
            answers: &[(10, NoLoad), (11, Load)],
            is_unknown: false,
        },
        Case {
            what: "the servers no longer report their load",
            answers: &[(10, Load), (10_011, NoLoad)],
            is_unknown: true,
        },
    ];
    for case in cases {
        let mut reporting = LoadReporting::default();
        for (time, answer) in case.answers {
            match answer {
                Load => reporting.record_report(at(*time)),
                NoLoad => reporting.record_missing(at(*time)),
            }
        }
        assert_eq!(reporting.is_unknown(), case.is_unknown, "{}", case.what);
    }
}

/// The near servers of one data centre are slow or full for a moment, and others have room.
#[test]
fn the_wait_for_near_servers_follows_the_distance_to_far_ones() {
    struct Case {
        what: &'static str,
        /// Round-trip times of probes in the own data centre and to others, in microseconds.
        near_us: &'static [u64],
        far_us: &'static [u64],
        /// Bounds of the wait in milliseconds.
        wait_ms: (u64, u64),
        /// Next step of a request that has waited for 15 ms.
        step: Step,
    }
    let cases = [
        Case {
            what: "nothing is known of the distance",
            near_us: &[400],
            far_us: &[],
            wait_ms: (60, 60),
            step: Step::Pause,
        },
        Case {
            what: "a data centre in the same region",
            near_us: &[400, 500, 400],
            far_us: &[3000, 3300, 3000],
            wait_ms: (10, 12),
            step: Step::ProbeFar,
        },
        Case {
            what: "one slow answer doesn't change the distance much",
            near_us: &[400],
            far_us: &[3000, 8000, 3000, 3000],
            wait_ms: (10, 13),
            step: Step::ProbeFar,
        },
        Case {
            what: "another region",
            near_us: &[400],
            far_us: &[24_000],
            wait_ms: (60, 60),
            step: Step::Pause,
        },
        Case {
            what: "far servers answer no later than near ones",
            near_us: &[900],
            far_us: &[500],
            wait_ms: (0, 0),
            step: Step::ProbeFar,
        },
    ];
    let now = at(1000);
    let settings = PlacementSettings::default();
    let slow = server_state(
        Observed {
            load: Some((0, 5.0)),
            ..IDLE
        },
        now,
    );
    let progress = Progress {
        near_unprobed: 0,
        far_unprobed: 9,
        waited: ms(15),
        ..Progress::default()
    };
    for case in cases {
        let mut round_trips = RoundTrips::default();
        for (near, times) in [(true, case.near_us), (false, case.far_us)] {
            for time in times {
                round_trips.record(near, Duration::from_micros(*time));
            }
        }
        let near_wait = round_trips.near_wait(&settings);
        let (min, max) = case.wait_ms;
        let name = case.what;
        assert!(
            (ms(min)..=ms(max)).contains(&near_wait),
            "{name}: {near_wait:?}"
        );
        let cx = PlacementContext {
            near_wait,
            ..context(now)
        };
        let step = placement::decide(
            [(0, &slow), (1, &slow)].into_iter(),
            &cx,
            progress,
            &settings,
        );
        assert_eq!(step, case.step, "{name}");
    }
}
