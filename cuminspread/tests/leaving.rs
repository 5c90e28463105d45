//! Reports of leaving servers in fleets that lose messages, in virtual time.

use std::time::Duration;

use cuminspread::coordination::catalog::{Change, Revision, RevisionedChange, ServerEntry};
use cuminspread::coordination::leaving::{LeavingServers, LeavingSource};
use cuminspread::state::Name;
use cuminspread::state::time::Mono;
use rand::RngExt as _;
use rand_pcg::Pcg32;

const ID: &str = "i-1";
const STARTED_MS: u64 = 100;
const TICK: Duration = Duration::from_millis(500);
/// Longest time between two reports of the same server.
const REPEAT_BOUND: Duration = Duration::from_secs(4);
/// Fraction of the runs in which a daemon may miss all reports of [`hear_bound`].
const MISSED_FRACTION: f64 = 0.001;
/// Size of a report with its headers.
const REPORT_BYTES: f64 = 80.0;
/// Traffic that the users allow for the control of one daemon, in bytes a second.
const MAX_BYTES_PER_S: f64 = 2000.0;
/// Servers of a site that leave at the same time.
const LEAVING: f64 = 10.0;

struct Case {
    name: &'static str,
    daemons: usize,
    /// Fraction of the messages that are lost.
    loss: f64,
    /// Daemons that start later, and know nothing then.
    late: usize,
    /// The daemon that got the answer is lost right after its first report.
    teller_lost: bool,
}

const CASES: [Case; 5] = [
    Case {
        name: "a single daemon",
        daemons: 1,
        loss: 0.0,
        late: 0,
        teller_lost: false,
    },
    Case {
        name: "lost messages",
        daemons: 16,
        loss: 0.5,
        late: 0,
        teller_lost: false,
    },
    Case {
        name: "a third starts later",
        daemons: 123,
        loss: 0.1,
        late: 41,
        teller_lost: false,
    },
    Case {
        name: "only a lost daemon got the answer",
        daemons: 123,
        loss: 0.3,
        late: 41,
        teller_lost: true,
    },
    Case {
        name: "a large fleet",
        daemons: 312,
        loss: 0.3,
        late: 104,
        teller_lost: true,
    },
];

/// Time in which every daemon must have got one of the reports.
fn hear_bound(case: &Case) -> Duration {
    let reports = if case.loss > 0.0 {
        (MISSED_FRACTION / case.daemons as f64).ln() / case.loss.ln()
    } else {
        1.0
    };
    REPEAT_BOUND.mul_f64(reports.ceil()) + TICK
}

#[test]
fn all_daemons_hear_of_a_leaving_server_at_little_cost() {
    for case in CASES {
        let id = Name::new(ID);
        let mut rng = Pcg32::new(case.daemons as u64, 1);
        let mut fleet: Vec<LeavingServers> =
            (0..case.daemons as u64).map(LeavingServers::new).collect();
        let late_from = case.daemons - case.late;
        let late_start = Mono(10_000_000);
        let end = Mono(90_000_000);
        let mut now = Mono(1_000_000);
        let mut reports = 0;
        fleet[0].record(now, &id, STARTED_MS, LeavingSource::Answer);
        while now < end {
            for i in 0..case.daemons {
                let runs = (i < late_from || now >= late_start)
                    && (i > 0 || !case.teller_lost || now < Mono(1_500_000));
                if !runs {
                    continue;
                }
                let due = fleet[i].due_reports(now, |_, started_ms| started_ms == STARTED_MS);
                for (id, started_ms) in due {
                    reports += 1;
                    for (j, peer) in fleet.iter_mut().enumerate() {
                        let starts_later = j >= late_from && now < late_start;
                        if j != i && !starts_later && rng.random_range(0.0..1.0) >= case.loss {
                            peer.record(now, &id, started_ms, LeavingSource::Peer);
                        }
                    }
                }
            }
            now = now + TICK;
            for (since, range) in [
                (Mono(1_000_000), 0..late_from),
                (late_start, late_from..case.daemons),
            ] {
                if now.since(since) >= hear_bound(&case) {
                    let told = fleet[range.clone()].iter();
                    let told = told.filter(|d| d.contains(ID, STARTED_MS)).count();
                    assert_eq!(told, range.len(), "{} at {now:?}", case.name);
                }
            }
        }
        let per_s = f64::from(reports) / end.since(Mono(1_000_000)).as_secs_f64();
        let bytes_per_s = per_s * REPORT_BYTES * LEAVING;
        assert!(
            bytes_per_s < MAX_BYTES_PER_S,
            "{}: {bytes_per_s}",
            case.name
        );
    }
}

fn registered(started_ms: u64, draining: bool) -> RevisionedChange {
    RevisionedChange {
        revision: Revision { era: 1, number: 7 },
        change: Change::Reported(ServerEntry {
            id: Name::new(ID),
            service: Name::new("status"),
            address: "10.0.0.1:80".parse().unwrap(),
            data_centre: Name::new("a"),
            slots: 6,
            draining,
            warm_up: Duration::ZERO,
            started_ms,
            sequence: 1,
        }),
    }
}

#[test]
fn what_the_registry_says_is_not_reported() {
    struct Case {
        what: &'static str,
        registered: RevisionedChange,
        reported_again: bool,
    }
    let cases = [
        Case {
            what: "the registry has it as ready",
            registered: registered(STARTED_MS, false),
            reported_again: true,
        },
        Case {
            what: "the registry has it as leaving",
            registered: registered(STARTED_MS, true),
            reported_again: false,
        },
        Case {
            what: "another incarnation is leaving",
            registered: registered(STARTED_MS + 1, true),
            reported_again: false,
        },
    ];
    for case in cases {
        let id = Name::new(ID);
        let mut servers = LeavingServers::new(1);
        let start = Mono(1_000_000);
        servers.record(start, &id, STARTED_MS, LeavingSource::Answer);
        let everything = |_: &Name, _| true;
        assert_eq!(servers.due_reports(start, everything).len(), 1);
        assert!(servers.due_reports(start + TICK, everything).is_empty());
        servers.record_registered(start + TICK, &[case.registered]);
        // A peer that has not read the registry yet.
        servers.record(start + TICK, &id, STARTED_MS, LeavingSource::Peer);
        let later = start + TICK + REPEAT_BOUND;
        let again = !servers.due_reports(later, everything).is_empty();
        assert_eq!(again, case.reported_again, "{}", case.what);
    }
}
