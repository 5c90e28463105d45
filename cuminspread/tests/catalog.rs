//! Registered servers: changes from several sources, leaving servers, and lapsed entries.

use std::net::SocketAddr;
use std::time::Duration;

use cuminspread::coordination::catalog::{
    Catalog, Change, LAPSE_GRACE, RESTORED_HOLD, Revision, RevisionedChange, ServerEntry,
};
use cuminspread::state::Name;
use cuminspread::state::time::Mono;

const ID: &str = "i-1";

#[derive(Clone, Copy)]
struct Report {
    revision: u64,
    started_ms: u64,
    sequence: u64,
    draining: bool,
    port: u16,
}

const FIRST: Report = Report {
    revision: 10,
    started_ms: 100,
    sequence: 5,
    draining: false,
    port: 80,
};

fn entry(report: Report) -> ServerEntry {
    ServerEntry {
        id: Name::new(ID),
        service: Name::new("status"),
        address: SocketAddr::from(([10, 0, 0, 1], report.port)),
        data_centre: Name::new("a"),
        slots: 6,
        draining: report.draining,
        warm_up: Duration::ZERO,
        started_ms: report.started_ms,
        sequence: report.sequence,
    }
}

/// Revision of the first era.
fn first_era(number: u64) -> Revision {
    Revision { era: 1, number }
}

fn second_era(number: u64) -> Revision {
    Revision { era: 2, number }
}

fn reported(report: Report) -> RevisionedChange {
    RevisionedChange {
        revision: first_era(report.revision),
        change: Change::Reported(entry(report)),
    }
}

fn removed(revision: u64, lapsed: bool) -> RevisionedChange {
    RevisionedChange {
        revision: first_era(revision),
        change: Change::Removed {
            id: Name::new(ID),
            lapsed,
        },
    }
}

fn at(ms: u64) -> Mono {
    Mono(ms * 1000)
}

/// State of the server according to the catalog.
#[derive(Debug, PartialEq, Eq)]
enum Status {
    Ready { port: u16 },
    Leaving,
    Gone,
}

fn status(catalog: &Catalog) -> Status {
    match catalog.entry(ID) {
        None => Status::Gone,
        Some(e) if e.draining => Status::Leaving,
        Some(e) => Status::Ready {
            port: e.address.port(),
        },
    }
}

struct Case {
    what: &'static str,
    changes: Vec<RevisionedChange>,
    end: Status,
}

#[allow(clippy::too_many_lines, reason = "a table of cases")]
fn cases() -> Vec<Case> {
    let leaving = Report {
        revision: 12,
        sequence: 6,
        draining: true,
        ..FIRST
    };
    let ready = Status::Ready { port: 80 };
    vec![
        Case {
            what: "a report makes the server ready",
            changes: vec![reported(FIRST)],
            end: ready,
        },
        Case {
            what: "an older revision doesn't bring a leaving server back",
            changes: vec![reported(leaving), reported(FIRST)],
            end: Status::Leaving,
        },
        Case {
            what: "a late write of an earlier report doesn't bring it back either",
            changes: vec![
                reported(leaving),
                reported(Report {
                    revision: 14,
                    ..FIRST
                }),
            ],
            end: Status::Leaving,
        },
        Case {
            what: "an incarnation that is leaving never becomes ready again",
            changes: vec![
                reported(leaving),
                reported(Report {
                    revision: 14,
                    sequence: 7,
                    ..FIRST
                }),
            ],
            end: Status::Leaving,
        },
        Case {
            what: "a new incarnation with the same id is ready",
            changes: vec![
                reported(leaving),
                reported(Report {
                    revision: 14,
                    started_ms: 200,
                    sequence: 0,
                    port: 81,
                    ..FIRST
                }),
            ],
            end: Status::Ready { port: 81 },
        },
        Case {
            what: "a late write of the old incarnation doesn't replace the new one",
            changes: vec![
                reported(Report {
                    started_ms: 200,
                    sequence: 0,
                    port: 81,
                    ..FIRST
                }),
                reported(Report {
                    revision: 14,
                    sequence: 9,
                    ..FIRST
                }),
            ],
            end: Status::Ready { port: 81 },
        },
        Case {
            what: "a removed server is gone",
            changes: vec![reported(FIRST), removed(12, false)],
            end: Status::Gone,
        },
        Case {
            what: "an older source doesn't bring a removed server back",
            changes: vec![
                reported(FIRST),
                removed(12, false),
                reported(Report {
                    revision: 11,
                    sequence: 6,
                    ..FIRST
                }),
            ],
            end: Status::Gone,
        },
        Case {
            what: "an older removal doesn't remove a server that is back",
            changes: vec![
                reported(Report {
                    revision: 14,
                    ..FIRST
                }),
                removed(12, false),
            ],
            end: Status::Ready { port: 80 },
        },
        Case {
            what: "a lapsed entry stays in use for a while",
            changes: vec![reported(FIRST), removed(12, true)],
            end: Status::Ready { port: 80 },
        },
        Case {
            what: "an entry of a leaving server is removed instead of lapsing",
            changes: vec![reported(leaving), removed(13, true)],
            end: Status::Gone,
        },
        Case {
            what: "a removal of an unknown server has no effect",
            changes: vec![removed(12, false)],
            end: Status::Gone,
        },
    ]
}

#[test]
fn changes_from_several_sources() {
    for case in cases() {
        let mut catalog = Catalog::default();
        for change in case.changes {
            catalog.apply(at(0), change);
        }
        assert_eq!(status(&catalog), case.end, "{}", case.what);
    }
}

#[test]
fn lapsed_entries_expire_unless_their_servers_register_again() {
    struct Case {
        registers_again: bool,
        expired: usize,
        end: Status,
    }
    let cases = [
        Case {
            registers_again: false,
            expired: 1,
            end: Status::Gone,
        },
        Case {
            registers_again: true,
            expired: 0,
            end: Status::Ready { port: 80 },
        },
    ];
    for case in cases {
        let mut catalog = Catalog::default();
        catalog.apply(at(0), reported(FIRST));
        catalog.apply(at(0), removed(12, true));
        if case.registers_again {
            catalog.apply(
                at(1000),
                reported(Report {
                    revision: 15,
                    sequence: 6,
                    ..FIRST
                }),
            );
        }
        assert!(catalog.expire(at(1500)).is_empty());
        let expired = catalog.expire(at(0) + LAPSE_GRACE);
        assert_eq!(expired.len(), case.expired);
        assert_eq!(status(&catalog), case.end);
    }
}

#[test]
fn entries_missing_in_a_snapshot_are_removed() {
    let mut catalog = Catalog::default();
    catalog.apply(at(0), reported(FIRST));
    catalog.set_complete_to(first_era(10));
    let new = catalog.reconcile(at(100), first_era(20), Vec::new(), false);
    assert_eq!(new.len(), 1);
    assert_eq!(status(&catalog), Status::Gone);
    assert_eq!(catalog.revision(), first_era(20));
    // A snapshot older than the catalog is ignored.
    let old = vec![(first_era(10), entry(FIRST))];
    assert!(
        catalog
            .reconcile(at(200), first_era(15), old, false)
            .is_empty()
    );
    assert_eq!(status(&catalog), Status::Gone);
}

#[test]
fn peers_get_changes_or_need_a_snapshot() {
    let mut catalog = Catalog::default();
    catalog.apply(at(0), reported(FIRST));
    let only_sequence = Report {
        revision: 11,
        sequence: 6,
        ..FIRST
    };
    assert!(!catalog.apply(at(0), reported(only_sequence)));
    catalog.apply(at(0), removed(12, false));
    catalog.set_complete_to(first_era(12));
    assert_eq!(
        catalog.changes_since(at(0), first_era(10)).map(|c| c.len()),
        Some(1)
    );
    assert_eq!(
        catalog.changes_since(at(0), first_era(12)).map(|c| c.len()),
        Some(0)
    );
    // A daemon without any revision needs a snapshot.
    assert_eq!(catalog.changes_since(at(0), first_era(0)), None);
}

#[test]
#[allow(clippy::too_many_lines, reason = "a table of cases")]
fn a_store_that_comes_back_from_a_copy_takes_nothing_back() {
    struct Case {
        what: &'static str,
        /// Changes in the first era; the catalog is complete to revision 20 then.
        before: Vec<RevisionedChange>,
        /// Entries of the copy, as the first snapshot of the second era lists them.
        copy: Vec<(Revision, ServerEntry)>,
        /// Changes in the second era after that snapshot.
        after: Vec<RevisionedChange>,
        /// State right after the snapshot, and after the changes.
        states: (Status, Status),
        /// State once all times for which entries are kept or held are over.
        end: Status,
    }
    let ready = || Status::Ready { port: 80 };
    let leaving = Report {
        revision: 12,
        sequence: 6,
        draining: true,
        ..FIRST
    };
    let again = Report {
        sequence: 9,
        ..FIRST
    };
    let in_second_era = |number, change: RevisionedChange| RevisionedChange {
        revision: second_era(number),
        ..change
    };
    let copy_of = |report| vec![(second_era(10), entry(report))];
    let cases = [
        Case {
            what: "a live server that the copy lacks keeps its work until it reports again",
            before: vec![reported(FIRST)],
            copy: Vec::new(),
            after: vec![in_second_era(13, reported(again))],
            states: (ready(), ready()),
            end: ready(),
        },
        Case {
            what: "a server that the copy lacks and that doesn't report is gone in the end",
            before: vec![reported(FIRST)],
            copy: Vec::new(),
            after: Vec::new(),
            states: (ready(), ready()),
            end: Status::Gone,
        },
        Case {
            what: "a removed server is not brought back by the copy that lists it",
            before: vec![reported(FIRST), removed(12, false)],
            copy: copy_of(FIRST),
            after: vec![in_second_era(14, removed(0, false))],
            states: (Status::Gone, Status::Gone),
            end: Status::Gone,
        },
        Case {
            what: "nor by the same entry in a later snapshot",
            before: vec![reported(FIRST), removed(12, false)],
            copy: copy_of(FIRST),
            after: vec![
                in_second_era(10, reported(FIRST)),
                in_second_era(14, removed(0, false)),
            ],
            states: (Status::Gone, Status::Gone),
            end: Status::Gone,
        },
        Case {
            what: "a removed server that reports in the new era is back",
            before: vec![reported(FIRST), removed(12, false)],
            copy: copy_of(FIRST),
            after: vec![in_second_era(13, reported(again))],
            states: (Status::Gone, ready()),
            end: ready(),
        },
        Case {
            what: "a removed server whose entry outlives the hold is back",
            before: vec![reported(FIRST), removed(12, false)],
            copy: copy_of(FIRST),
            after: Vec::new(),
            states: (Status::Gone, Status::Gone),
            end: ready(),
        },
        Case {
            what: "a new incarnation in the copy is used at once",
            before: vec![reported(FIRST), removed(12, false)],
            copy: copy_of(Report {
                started_ms: 200,
                sequence: 0,
                ..FIRST
            }),
            after: Vec::new(),
            states: (ready(), ready()),
            end: ready(),
        },
        Case {
            what: "a leaving server stays so, though the copy lists it as ready",
            before: vec![reported(FIRST), reported(leaving)],
            copy: copy_of(FIRST),
            after: vec![in_second_era(13, reported(again))],
            states: (Status::Leaving, Status::Leaving),
            end: Status::Leaving,
        },
        Case {
            what: "a lapsed server that the copy lists is present",
            before: vec![reported(FIRST), removed(12, true)],
            copy: copy_of(FIRST),
            after: Vec::new(),
            states: (ready(), ready()),
            end: ready(),
        },
        Case {
            what: "a change of the new era is new although its number is known",
            before: vec![reported(FIRST)],
            copy: copy_of(FIRST),
            after: vec![in_second_era(13, reported(leaving))],
            states: (ready(), Status::Leaving),
            end: Status::Leaving,
        },
        Case {
            what: "a change of the old era is ignored, whatever its number",
            before: vec![reported(FIRST)],
            copy: copy_of(FIRST),
            after: vec![removed(99, false)],
            states: (ready(), ready()),
            end: ready(),
        },
    ];
    for case in cases {
        let mut catalog = Catalog::default();
        for change in case.before {
            catalog.apply(at(0), change);
        }
        catalog.set_complete_to(first_era(20));
        catalog.reconcile(at(1000), second_era(12), case.copy, false);
        assert_eq!(catalog.revision(), second_era(12), "{}", case.what);
        assert_eq!(status(&catalog), case.states.0, "{}", case.what);
        for change in case.after {
            catalog.apply(at(1500), change);
        }
        assert_eq!(status(&catalog), case.states.1, "{}", case.what);
        let end = at(1000) + LAPSE_GRACE + RESTORED_HOLD;
        catalog.expire(end);
        catalog.confirm_restored(end);
        assert_eq!(status(&catalog), case.end, "{}", case.what);
    }
}

#[test]
fn peers_of_an_older_era_need_a_snapshot() {
    let mut catalog = Catalog::default();
    catalog.apply(at(0), reported(FIRST));
    catalog.set_complete_to(first_era(20));
    // The copy was as old as revision 10; its entry has left since.
    catalog.apply(at(0), removed(21, false));
    catalog.reconcile(
        at(100),
        second_era(12),
        vec![(second_era(10), entry(FIRST))],
        false,
    );
    for known in [first_era(5), first_era(12), first_era(20), second_era(11)] {
        assert_eq!(catalog.changes_since(at(0), known), None, "{known}");
    }
    let since = catalog.changes_since(at(0), second_era(12));
    assert_eq!(since.map(|c| c.len()), Some(0));
    // The end of the listing is a change that peers get, too.
    let again = RevisionedChange {
        revision: second_era(13),
        ..removed(13, false)
    };
    assert!(catalog.clone().apply(at(150), again));
    // A peer without a record of the removal must not use the server.
    let mut peer = Catalog::default();
    peer.reconcile(at(200), second_era(12), catalog.snapshot(at(0)), false);
    assert_eq!(status(&peer), Status::Leaving);
}

#[test]
fn the_first_snapshot_does_not_tell_peers_what_was_removed_before() {
    let mut catalog = Catalog::default();
    let snapshot = vec![(first_era(10), entry(FIRST))];
    catalog.reconcile(at(0), first_era(20), snapshot, false);
    assert_eq!(catalog.changes_since(at(0), first_era(15)), None);
    let since = catalog.changes_since(at(0), first_era(20));
    assert_eq!(since.map(|c| c.len()), Some(0));
}

#[test]
fn the_first_snapshot_removes_sampled_servers_that_have_left() {
    struct Case {
        what: &'static str,
        /// Era of the sample, with the server.
        sample_era: u64,
        /// Revision of the snapshot, which lacks the server.
        snapshot: Revision,
        end: Status,
    }
    let cases = [
        Case {
            what: "of the same era: the server has left since",
            sample_era: 1,
            snapshot: first_era(20),
            end: Status::Gone,
        },
        Case {
            what: "of a newer era: the copy may lack a live server",
            sample_era: 1,
            snapshot: second_era(20),
            end: Status::Ready { port: 80 },
        },
        Case {
            what: "after a peer of an older format told of the server",
            sample_era: 0,
            snapshot: first_era(20),
            end: Status::Gone,
        },
    ];
    for case in cases {
        let mut catalog = Catalog::default();
        // After a restart, a sample comes before the first snapshot.
        let mut sample = reported(FIRST);
        sample.revision.era = case.sample_era;
        catalog.apply(at(0), sample);
        catalog.reconcile(at(900), case.snapshot, Vec::new(), false);
        assert_eq!(status(&catalog), case.end, "{}", case.what);
    }
}

#[test]
fn peers_learn_of_a_server_that_turns_cold_but_not_of_each_countdown() {
    struct Case {
        name: &'static str,
        /// Time of the second report, after a first one with 3 s left, in milliseconds.
        at: u64,
        left_ms: u64,
        is_new: bool,
    }
    let cases = [
        Case {
            name: "the countdown",
            at: 1500,
            left_ms: 1500,
            is_new: false,
        },
        Case {
            name: "the countdown, read late",
            at: 2300,
            left_ms: 1500,
            is_new: false,
        },
        Case {
            name: "warm as expected",
            at: 4000,
            left_ms: 0,
            is_new: false,
        },
        Case {
            name: "the end of the warm-up, read late",
            at: 3700,
            left_ms: 700,
            is_new: false,
        },
        Case {
            name: "cold again",
            at: 8000,
            left_ms: 2500,
            is_new: true,
        },
        Case {
            name: "cold again before it was warm",
            at: 1500,
            left_ms: 10_000,
            is_new: true,
        },
        Case {
            name: "warm long before expected",
            at: 500,
            left_ms: 0,
            is_new: true,
        },
    ];
    let cold = |sequence: u64, left_ms: u64| RevisionedChange {
        revision: first_era(sequence),
        change: Change::Reported(ServerEntry {
            warm_up: Duration::from_millis(left_ms),
            ..entry(Report { sequence, ..FIRST })
        }),
    };
    for case in cases {
        let mut catalog = Catalog::default();
        catalog.set_complete_to(first_era(9));
        assert!(catalog.apply(at(0), cold(10, 3000)));
        let is_new = catalog.apply(at(case.at), cold(11, case.left_ms));
        assert_eq!(is_new, case.is_new, "{}", case.name);
    }
    // What peers are told of the time left takes the age of the report off.
    let mut catalog = Catalog::default();
    catalog.set_complete_to(first_era(9));
    catalog.apply(at(0), cold(10, 3000));
    let left = Duration::from_millis(1800);
    assert_eq!(catalog.snapshot(at(1200))[0].1.warm_up, left);
    let changes = catalog.changes_since(at(1200), first_era(9));
    let expected = RevisionedChange {
        revision: first_era(10),
        ..cold(10, 1800)
    };
    assert_eq!(changes, Some(vec![expected]));
}
