//! Recorded traces: each tells the story of one failure.
//!
//! The traces in `tests/traces` are replayed against their stated outcomes. After a change that is
//! meant to alter outcomes, `CUMIN_WRITE_TRACES=1 cargo test -p cuminspread --test replay` writes
//! them anew from the stories below.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use cuminspread::coordination::event::{CallAction, CallEvent, Ending, Event, FolderFile, Verdict};
use cuminspread::recording::{Compare, RecordingError, replay};
use cuminspread::state::Name;
use quickcheck::QuickCheck;

use teller::{Reply, Teller, example};

mod teller;

struct Story {
    name: &'static str,
    tell: fn() -> Teller,
}

const STORIES: &[Story] = &[
    Story {
        name: "silent-connection",
        tell: silent_connection,
    },
    Story {
        name: "server-dies-in-answer",
        tell: server_dies_in_answer,
    },
    Story {
        name: "all-servers-refuse",
        tell: all_servers_refuse,
    },
    Story {
        name: "leaving-server",
        tell: leaving_server,
    },
    Story {
        name: "stale-replica",
        tell: stale_replica,
    },
    Story {
        name: "faulty-file",
        tell: faulty_file,
    },
];

fn verdicts(teller: &Teller) -> Vec<&'static str> {
    let told = teller.told.iter().map(|action| match action {
        CallAction::Finish { verdict, .. } => match verdict {
            Verdict::Deliver(_) => "ran",
            Verdict::NotRun { .. } => "not-run",
            Verdict::Unknown(_) => "unknown",
        },
        _ => "none",
    });
    told.collect()
}

/// An order's connection goes silent: its outcome is unknown, and it is sent once.
fn silent_connection() -> Teller {
    let mut teller = Teller::with_example("vestfjord");
    teller.call("orders", false, |_| Reply {
        after: Duration::from_secs(2),
        ..Reply::new(0, Ending::TimedOut)
    });
    teller.call("orders", false, |_| Reply::new(200, Ending::Whole));
    assert_eq!(verdicts(&teller), ["unknown", "ran"]);
    assert_eq!(teller.sent.len(), 2);
    teller
}

/// A server dies while it answers an order: the outcome is unknown, and nothing is sent again.
fn server_dies_in_answer() -> Teller {
    let mut teller = Teller::with_example("vestfjord");
    teller.call("orders", false, |_| Reply::new(200, Ending::Broken));
    assert_eq!(verdicts(&teller), ["unknown"]);
    assert_eq!(teller.sent.len(), 1);
    teller
}

/// Every server refuses an order before it starts: that is proof of not-run.
fn all_servers_refuse() -> Teller {
    let mut teller = Teller::with_example("vestfjord");
    teller.call("orders", false, |_| Reply::new(503, Ending::Whole));
    assert_eq!(verdicts(&teller), ["not-run"]);
    teller
}

/// A server leaves: it gets no call from then on.
fn leaving_server() -> Teller {
    let mut teller = Teller::with_example("vestfjord");
    let name = |text| Name::new(text);
    teller.call_event(&CallEvent::ServerLeaving {
        council: name("vestfjord"),
        service: name("release"),
        server: name("release-01"),
    });
    for _ in 0..12 {
        teller.call("release", false, |_| Reply::new(200, Ending::Whole));
    }
    assert!(teller.sent.iter().all(|server| server != "release-01"));
    assert_eq!(verdicts(&teller), ["ran"; 12]);
    teller
}

fn files(budget: &str) -> Vec<FolderFile> {
    let mut files = example("cascade");
    files.push(FolderFile {
        name: Name::new("90.cascade.budget.ini"),
        text: Arc::from(format!("[council]\nmax-in-flight = {budget}\n")),
    });
    files
}

fn limits(teller: &Teller) -> Vec<u32> {
    teller.in_force.iter().map(|c| c.max_in_flight).collect()
}

/// An old replica answers with an older revision: the newer one stays in force.
fn stale_replica() -> Teller {
    let mut teller = Teller::new();
    for (revision, budget) in [(5, "500"), (6, "600"), (4, "400"), (7, "700")] {
        teller.folder(revision, files(budget));
        teller.wait(Duration::from_millis(100));
    }
    assert_eq!(limits(&teller), [500, 600, 700]);
    teller
}

/// A council's file has a fault: the last good files stay in force until it is mended.
fn faulty_file() -> Teller {
    let mut teller = Teller::new();
    for (revision, budget) in [(5, "500"), (6, "many"), (7, "700")] {
        teller.folder(revision, files(budget));
        teller.wait(Duration::from_millis(100));
        teller.peer_event(&Event::Tick);
    }
    assert_eq!(limits(&teller), [500, 700]);
    teller
}

fn path_of(story: &Story) -> PathBuf {
    let traces = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    traces.join(story.name).with_extension("trace")
}

#[test]
fn stories_replay_exactly() {
    for story in STORIES {
        let trace = (story.tell)().trace;
        if std::env::var_os("CUMIN_WRITE_TRACES").is_some() {
            std::fs::write(path_of(story), &trace).unwrap();
        }
        let outcome = replay(&trace, Compare::Actions).unwrap();
        assert!(outcome.events > 0);
        assert_eq!(outcome.broken, 0, "{}", story.name);
        assert_eq!(outcome.difference, None, "{}", story.name);
        assert_eq!(outcome.damage, None);
    }
}

#[test]
fn kept_traces_have_their_stated_outcomes() {
    for story in STORIES {
        let trace = std::fs::read(path_of(story)).unwrap();
        let outcome = replay(&trace, Compare::Outcomes).unwrap();
        assert!(outcome.events > 0);
        assert_eq!(outcome.difference, None, "{}", story.name);
    }
}

fn frames(trace: &[u8]) -> Vec<&[u8]> {
    let mut frames = Vec::new();
    let mut rest = trace;
    while !rest.is_empty() {
        let length = 4 + u32::from_le_bytes(rest[..4].try_into().unwrap()) as usize;
        frames.push(&rest[..length]);
        rest = &rest[length..];
    }
    frames
}

#[test]
fn a_changed_event_is_reported_at_its_index() {
    // The second reading is replaced by the first one, which changes nothing any more.
    let trace = stale_replica().trace;
    let mut frames = frames(&trace);
    frames[2] = frames[1];
    for compare in [Compare::Actions, Compare::Outcomes] {
        let replayed = replay(&frames.concat(), compare).unwrap();
        let difference = replayed.difference.unwrap();
        assert_eq!((difference.index, replayed.events), (1, 2));
        assert!(difference.recorded.unwrap().contains("InForce"));
        assert!(difference.event.contains("FolderRead"));
    }
}

#[test]
fn damaged_traces_are_refused() {
    let trace = stale_replica().trace;
    let cut = replay(&trace[..trace.len() - 1], Compare::Actions).unwrap();
    assert_eq!((cut.events, cut.difference), (3, None));
    assert_eq!(cut.damage, Some(RecordingError::Truncated(4)));
    let large = replay(&[0xff; 8], Compare::Actions);
    assert!(matches!(large, Err(RecordingError::TooLarge(0))));
    assert!(matches!(
        replay(&[], Compare::Actions),
        Err(RecordingError::Truncated(0))
    ));
}

#[test]
fn mutated_traces_neither_panic_nor_grow() {
    fn check(byte: u8, at: usize, cut: usize) -> bool {
        let mut trace = stale_replica().trace;
        let count = frames(&trace).len() as u64;
        let len = trace.len();
        trace[at % len] = byte;
        trace.truncate(cut % len + 1);
        replay(&trace, Compare::Actions).map_or(true, |r| r.events < count)
    }
    let check: fn(u8, usize, usize) -> bool = check;
    QuickCheck::new().tests(300).quickcheck(check);
    let garbage: fn(Vec<u8>) -> bool = |bytes| replay(&bytes, Compare::Actions).is_err();
    QuickCheck::new().tests(300).quickcheck(garbage);
}
