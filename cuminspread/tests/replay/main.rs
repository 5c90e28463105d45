//! Recordings of failure scenarios, and damaged recordings.
//!
//! Each scenario is simulated, and its recording has to replay with the same actions. Recordings of
//! earlier versions, in `tests/traces`, have to replay with the same outcomes. After an intended
//! change of outcomes, `CUMIN_WRITE_TRACES=1 cargo test -p cuminspread --test replay` writes these
//! files anew.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use cuminspread::coordination::event::{CallAction, CallEvent, Ending, Event, FolderFile, Verdict};
use cuminspread::recording::{Compare, RecordingError, replay};
use cuminspread::state::Name;
use quickcheck::QuickCheck;

use simulation::{Reply, Simulation, example};

mod simulation;

struct Scenario {
    /// Name of the file in `tests/traces`.
    name: &'static str,
    run: fn() -> Simulation,
}

const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "silent-connection",
        run: silent_connection,
    },
    Scenario {
        name: "server-dies-in-answer",
        run: server_dies_in_answer,
    },
    Scenario {
        name: "all-servers-refuse",
        run: all_servers_refuse,
    },
    Scenario {
        name: "leaving-server",
        run: leaving_server,
    },
    Scenario {
        name: "stale-replica",
        run: stale_replica,
    },
    Scenario {
        name: "faulty-file",
        run: faulty_file,
    },
];

fn verdicts(simulation: &Simulation) -> Vec<&'static str> {
    let verdicts = simulation.finished.iter().map(|action| match action {
        CallAction::Finish { verdict, .. } => match verdict {
            Verdict::Deliver(_) => "ran",
            Verdict::NotRun { .. } => "not-run",
            Verdict::Unknown(_) => "unknown",
        },
        _ => "none",
    });
    verdicts.collect()
}

/// A connection stops delivering bytes during a non-idempotent call: the outcome is unknown, and
/// the call isn't retried.
fn silent_connection() -> Simulation {
    let mut simulation = Simulation::with_example("vestfjord");
    simulation.call("orders", false, |_| Reply {
        after: Duration::from_secs(2),
        ..Reply::new(0, Ending::TimedOut)
    });
    simulation.call("orders", false, |_| Reply::new(200, Ending::Whole));
    assert_eq!(verdicts(&simulation), ["unknown", "ran"]);
    assert_eq!(simulation.attempts.len(), 2);
    simulation
}

/// A server dies while it sends its response to a non-idempotent call: the outcome is unknown, and
/// the call isn't retried.
fn server_dies_in_answer() -> Simulation {
    let mut simulation = Simulation::with_example("vestfjord");
    simulation.call("orders", false, |_| Reply::new(200, Ending::Broken));
    assert_eq!(verdicts(&simulation), ["unknown"]);
    assert_eq!(simulation.attempts.len(), 1);
    simulation
}

/// Every server refuses a non-idempotent call before starting it: the outcome is not-run.
fn all_servers_refuse() -> Simulation {
    let mut simulation = Simulation::with_example("vestfjord");
    simulation.call("orders", false, |_| Reply::new(503, Ending::Whole));
    assert_eq!(verdicts(&simulation), ["not-run"]);
    simulation
}

/// A server is reported as leaving: it gets no call afterwards.
fn leaving_server() -> Simulation {
    let mut simulation = Simulation::with_example("vestfjord");
    let name = |text| Name::new(text);
    simulation.call_event(&CallEvent::ServerLeaving {
        council: name("vestfjord"),
        service: name("release"),
        server: name("release-01"),
    });
    for _ in 0..12 {
        simulation.call("release", false, |_| Reply::new(200, Ending::Whole));
    }
    assert!(
        simulation
            .attempts
            .iter()
            .all(|server| server != "release-01")
    );
    assert_eq!(verdicts(&simulation), ["ran"; 12]);
    simulation
}

/// The example with a limit of calls in progress, by which a test tells revisions apart.
fn files(max_in_flight: &str) -> Vec<FolderFile> {
    let mut files = example("cascade");
    files.push(FolderFile {
        name: Name::new("90.cascade.budget.ini"),
        text: Arc::from(format!("[council]\nmax-in-flight = {max_in_flight}\n")),
    });
    files
}

/// Limit of each activated configuration.
fn limits(simulation: &Simulation) -> Vec<u32> {
    simulation
        .activated
        .iter()
        .map(|c| c.max_in_flight)
        .collect()
}

/// A stale replica of the platform returns an older revision: the newer one stays active.
fn stale_replica() -> Simulation {
    let mut simulation = Simulation::new();
    for (revision, limit) in [(5, "500"), (6, "600"), (4, "400"), (7, "700")] {
        simulation.read_folder(revision, files(limit));
        simulation.advance(Duration::from_millis(100));
    }
    assert_eq!(limits(&simulation), [500, 600, 700]);
    simulation
}

/// A council's file has a fault: the last accepted files stay active until it is corrected.
fn faulty_file() -> Simulation {
    let mut simulation = Simulation::new();
    for (revision, limit) in [(5, "500"), (6, "many"), (7, "700")] {
        simulation.read_folder(revision, files(limit));
        simulation.advance(Duration::from_millis(100));
        simulation.peer_event(&Event::Tick);
    }
    assert_eq!(limits(&simulation), [500, 700]);
    simulation
}

fn path_of(scenario: &Scenario) -> PathBuf {
    let traces = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    traces.join(scenario.name).with_extension("trace")
}

#[test]
fn scenarios_replay_with_the_same_actions() {
    for scenario in SCENARIOS {
        let recording = (scenario.run)().recording;
        if std::env::var_os("CUMIN_WRITE_TRACES").is_some() {
            std::fs::write(path_of(scenario), &recording).unwrap();
        }
        let replayed = replay(&recording, Compare::Actions).unwrap();
        assert!(replayed.events > 0);
        assert_eq!(replayed.broken_checks, 0, "{}", scenario.name);
        assert_eq!(replayed.difference, None, "{}", scenario.name);
        assert_eq!(replayed.damage, None);
    }
}

#[test]
fn committed_recordings_replay_with_the_same_outcomes() {
    for scenario in SCENARIOS {
        let recording = std::fs::read(path_of(scenario)).unwrap();
        let replayed = replay(&recording, Compare::Outcomes).unwrap();
        assert!(replayed.events > 0);
        assert_eq!(replayed.difference, None, "{}", scenario.name);
    }
}

/// Frames of a recording, each with its length.
fn frames(recording: &[u8]) -> Vec<&[u8]> {
    let mut frames = Vec::new();
    let mut rest = recording;
    while !rest.is_empty() {
        let length = 4 + u32::from_le_bytes(rest[..4].try_into().unwrap()) as usize;
        frames.push(&rest[..length]);
        rest = &rest[length..];
    }
    frames
}

#[test]
fn a_changed_event_is_reported_at_its_index() {
    // Replaces the second read of the folder by the first one, which activates nothing again.
    let recording = stale_replica().recording;
    let mut frames = frames(&recording);
    frames[2] = frames[1];
    for compare in [Compare::Actions, Compare::Outcomes] {
        let replayed = replay(&frames.concat(), compare).unwrap();
        let difference = replayed.difference.unwrap();
        assert_eq!((difference.event_index, replayed.events), (1, 2));
        assert!(difference.recorded.unwrap().contains("InForce"));
        assert!(difference.event.contains("FolderRead"));
    }
}

#[test]
fn damaged_recordings_are_reported() {
    let recording = stale_replica().recording;
    let truncated = replay(&recording[..recording.len() - 1], Compare::Actions).unwrap();
    assert_eq!((truncated.events, truncated.difference), (3, None));
    assert_eq!(truncated.damage, Some(RecordingError::Truncated(4)));
    let too_large = replay(&[0xff; 8], Compare::Actions);
    assert!(matches!(too_large, Err(RecordingError::TooLarge(0))));
    assert!(matches!(
        replay(&[], Compare::Actions),
        Err(RecordingError::Truncated(0))
    ));
}

#[test]
fn mutated_recordings_neither_panic_nor_gain_events() {
    fn check(byte: u8, at: usize, end: usize) -> bool {
        let mut recording = stale_replica().recording;
        let frame_count = frames(&recording).len() as u64;
        let len = recording.len();
        recording[at % len] = byte;
        recording.truncate(end % len + 1);
        replay(&recording, Compare::Actions).map_or(true, |r| r.events < frame_count)
    }
    let check: fn(u8, usize, usize) -> bool = check;
    QuickCheck::new().tests(300).quickcheck(check);
    let garbage: fn(Vec<u8>) -> bool = |bytes| replay(&bytes, Compare::Actions).is_err();
    QuickCheck::new().tests(300).quickcheck(garbage);
}
