//! Counting of invariant checks.

use cuminspread::invariant::{Invariant, InvariantChecks};

struct Case {
    holds: bool,
    checked: u64,
    broken: u64,
}

#[test]
fn counts_checks_and_breaks() {
    let cases = [
        Case {
            holds: true,
            checked: 1,
            broken: 0,
        },
        Case {
            holds: false,
            checked: 1,
            broken: 1,
        },
    ];
    for case in cases {
        for promise in Invariant::ALL {
            let invariants = InvariantChecks::default();
            let shared = invariants.clone();
            assert_eq!(shared.check(promise, case.holds, String::new), case.holds);
            assert_eq!(invariants.checked(promise), case.checked);
            assert_eq!(invariants.broken(promise), case.broken);
            assert_eq!(invariants.total_broken(), case.broken);
        }
    }
}

#[test]
fn detail_is_built_only_on_a_break() {
    let invariants = InvariantChecks::default();
    invariants.check(Invariant::NotRun, true, || unreachable!("the check holds"));
}

#[test]
fn labels_are_distinct() {
    let mut labels = Invariant::ALL.map(Invariant::label).to_vec();
    labels.sort_unstable();
    labels.dedup();
    assert_eq!(labels.len(), Invariant::ALL.len());
}
