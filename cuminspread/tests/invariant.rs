//! Counts of invariant checks, and labels of invariants.

use cuminspread::invariant::{Invariant, InvariantChecks};

struct Case {
    holds: bool,
    checked: u64,
    broken: u64,
}

#[test]
fn counts_passed_and_failed_checks() {
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
        for invariant in Invariant::ALL {
            let invariants = InvariantChecks::default();
            let clone = invariants.clone();
            assert_eq!(clone.check(invariant, case.holds, String::new), case.holds);
            assert_eq!(invariants.checked(invariant), case.checked);
            assert_eq!(invariants.broken(invariant), case.broken);
            assert_eq!(invariants.total_broken(), case.broken);
        }
    }
}

#[test]
fn detail_is_evaluated_only_if_a_check_fails() {
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
