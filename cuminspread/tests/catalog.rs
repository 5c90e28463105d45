//! Registered servers: changes from several sources, leaving servers, and lapsed entries.

use std::net::SocketAddr;
use std::time::Duration;

use cuminspread::coordination::catalog::{
    Catalog, Change, LAPSE_GRACE, RevisionedChange, ServerEntry,
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

fn reported(report: Report) -> RevisionedChange {
    RevisionedChange {
        revision: report.revision,
        change: Change::Reported(entry(report)),
    }
}

fn removed(revision: u64, lapsed: bool) -> RevisionedChange {
    RevisionedChange {
        revision,
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
    catalog.set_complete_to(10);
    let new = catalog.reconcile(at(100), 20, Vec::new(), false);
    assert_eq!(new.len(), 1);
    assert_eq!(status(&catalog), Status::Gone);
    assert_eq!(catalog.revision(), 20);
    // A snapshot older than the catalog is ignored.
    let old = vec![(10, entry(FIRST))];
    assert!(catalog.reconcile(at(200), 15, old, false).is_empty());
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
    catalog.set_complete_to(12);
    assert_eq!(catalog.changes_since(10).map(|c| c.len()), Some(1));
    assert_eq!(catalog.changes_since(12).map(|c| c.len()), Some(0));
    // A daemon without any revision needs a snapshot.
    assert_eq!(catalog.changes_since(0), None);
}
