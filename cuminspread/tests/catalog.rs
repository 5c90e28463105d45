//! Registered servers: facts from several sources, leaving, and lapsed entries.

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
    born: u64,
    sequence: u64,
    draining: bool,
    port: u16,
}

const FIRST: Report = Report {
    revision: 10,
    born: 100,
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
        started_ms: report.born,
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

/// What the catalog says of the server.
#[derive(Debug, PartialEq, Eq)]
enum Seen {
    Ready { port: u16 },
    Leaving,
    Gone,
}

fn seen(catalog: &Catalog) -> Seen {
    match catalog.entry(ID) {
        None => Seen::Gone,
        Some(e) if e.draining => Seen::Leaving,
        Some(e) => Seen::Ready {
            port: e.address.port(),
        },
    }
}

struct Case {
    what: &'static str,
    facts: Vec<RevisionedChange>,
    end: Seen,
}

#[allow(clippy::too_many_lines, reason = "a table of cases")]
fn cases() -> Vec<Case> {
    let leaving = Report {
        revision: 12,
        sequence: 6,
        draining: true,
        ..FIRST
    };
    let ready = Seen::Ready { port: 80 };
    vec![
        Case {
            what: "a report is taken",
            facts: vec![reported(FIRST)],
            end: ready,
        },
        Case {
            what: "an older revision doesn't bring a leaving server back",
            facts: vec![reported(leaving), reported(FIRST)],
            end: Seen::Leaving,
        },
        Case {
            what: "a late write of an earlier report doesn't either",
            facts: vec![
                reported(leaving),
                reported(Report {
                    revision: 14,
                    ..FIRST
                }),
            ],
            end: Seen::Leaving,
        },
        Case {
            what: "an incarnation that leaves doesn't change its mind",
            facts: vec![
                reported(leaving),
                reported(Report {
                    revision: 14,
                    sequence: 7,
                    ..FIRST
                }),
            ],
            end: Seen::Leaving,
        },
        Case {
            what: "a new incarnation under the same id starts anew",
            facts: vec![
                reported(leaving),
                reported(Report {
                    revision: 14,
                    born: 200,
                    sequence: 0,
                    port: 81,
                    ..FIRST
                }),
            ],
            end: Seen::Ready { port: 81 },
        },
        Case {
            what: "a late write of the old incarnation doesn't replace the new one",
            facts: vec![
                reported(Report {
                    born: 200,
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
            end: Seen::Ready { port: 81 },
        },
        Case {
            what: "a removed server is gone",
            facts: vec![reported(FIRST), removed(12, false)],
            end: Seen::Gone,
        },
        Case {
            what: "an older source doesn't bring a removed server back",
            facts: vec![
                reported(FIRST),
                removed(12, false),
                reported(Report {
                    revision: 11,
                    sequence: 6,
                    ..FIRST
                }),
            ],
            end: Seen::Gone,
        },
        Case {
            what: "an older removal doesn't remove a server that is back",
            facts: vec![
                reported(Report {
                    revision: 14,
                    ..FIRST
                }),
                removed(12, false),
            ],
            end: Seen::Ready { port: 80 },
        },
        Case {
            what: "a lapsed entry stays in use for a while",
            facts: vec![reported(FIRST), removed(12, true)],
            end: Seen::Ready { port: 80 },
        },
        Case {
            what: "a leaving server doesn't lapse, it is gone",
            facts: vec![reported(leaving), removed(13, true)],
            end: Seen::Gone,
        },
        Case {
            what: "a removal of an unknown server is nothing",
            facts: vec![removed(12, false)],
            end: Seen::Gone,
        },
    ]
}

#[test]
fn facts_from_several_sources() {
    for case in cases() {
        let mut catalog = Catalog::default();
        for fact in case.facts {
            catalog.apply(at(0), fact);
        }
        assert_eq!(seen(&catalog), case.end, "{}", case.what);
    }
}

#[test]
fn lapsed_entries_end_unless_their_servers_return() {
    struct Case {
        returns: bool,
        gone: usize,
        end: Seen,
    }
    let cases = [
        Case {
            returns: false,
            gone: 1,
            end: Seen::Gone,
        },
        Case {
            returns: true,
            gone: 0,
            end: Seen::Ready { port: 80 },
        },
    ];
    for case in cases {
        let mut catalog = Catalog::default();
        catalog.apply(at(0), reported(FIRST));
        catalog.apply(at(0), removed(12, true));
        if case.returns {
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
        let gone = catalog.expire(at(0) + LAPSE_GRACE);
        assert_eq!(gone.len(), case.gone);
        assert_eq!(seen(&catalog), case.end);
    }
}

#[test]
fn a_copy_removes_what_it_lacks() {
    let mut catalog = Catalog::default();
    catalog.apply(at(0), reported(FIRST));
    catalog.set_complete_to(10);
    let new = catalog.reconcile(at(100), 20, Vec::new(), false);
    assert_eq!(new.len(), 1);
    assert_eq!(seen(&catalog), Seen::Gone);
    assert_eq!(catalog.revision(), 20);
    // A copy from before what is known says nothing.
    let old = vec![(10, entry(FIRST))];
    assert!(catalog.reconcile(at(200), 15, old, false).is_empty());
    assert_eq!(seen(&catalog), Seen::Gone);
}

#[test]
fn peers_get_changes_or_a_copy() {
    let mut catalog = Catalog::default();
    catalog.apply(at(0), reported(FIRST));
    let only_number = Report {
        revision: 11,
        sequence: 6,
        ..FIRST
    };
    assert!(!catalog.apply(at(0), reported(only_number)));
    catalog.apply(at(0), removed(12, false));
    catalog.set_complete_to(12);
    assert_eq!(catalog.changes_since(10).map(|c| c.len()), Some(1));
    assert_eq!(catalog.changes_since(12).map(|c| c.len()), Some(0));
    // A daemon that knows nothing needs a copy.
    assert_eq!(catalog.changes_since(0), None);
}
