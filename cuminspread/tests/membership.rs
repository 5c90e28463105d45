//! Which VM lists are accepted, and the places that follow from them.

use std::net::SocketAddr;
use std::sync::Arc;

use cuminspread::coordination::event::Action;
use cuminspread::coordination::membership::{MemberSettings, Members};
use cuminspread::state::Name;
use cuminspread::state::fleet::{FleetList, Vm};
use cuminspread::state::time::Mono;

fn vms(ids: impl Iterator<Item = usize>) -> Arc<[Vm]> {
    let vm = |i: usize| Vm {
        name: format!("vm{i}").into(),
        data_centre: format!("dc{}", i % 3).into(),
        peer: SocketAddr::from(([127, 0, 0, 1], 1)),
        leaving: false,
    };
    ids.map(vm).collect()
}

#[test]
fn lists_move_forward_only() {
    struct Case {
        what: &'static str,
        epoch: u64,
        revision: u64,
        vms: usize,
        accepted: bool,
    }
    let case = |what, epoch, revision, vms, accepted| Case {
        what,
        epoch,
        revision,
        vms,
        accepted,
    };
    let cases = [
        case("first", 1, 5, 9, true),
        case("same", 1, 5, 9, false),
        case("older", 1, 4, 9, false),
        case("newer", 1, 6, 9, true),
        case("lower revision in a new epoch", 2, 1, 9, true),
        case("older epoch", 1, 9, 9, false),
        case("no VMs", 3, 1, 0, false),
    ];
    let name = Name::from("vm0");
    let mut members = Members::new(MemberSettings::default(), name, 1, 1);
    for case in cases {
        let list = FleetList {
            revision: case.revision,
            epoch: case.epoch,
            vms: vms(0..case.vms),
        };
        let accepted = members.handle_list(Mono(1), list, &mut Vec::new());
        assert_eq!(accepted, case.accepted, "{}", case.what);
    }
}

/// A place is returned again while its list is confirmed. If it were returned only once, the probe
/// share that follows from the place would expire.
#[test]
fn a_place_is_repeated_while_its_list_is_confirmed() {
    struct Case {
        what: &'static str,
        confirmed_until_s: u64,
        min_places: usize,
        max_places: usize,
    }
    let cases = [
        Case {
            what: "always",
            confirmed_until_s: 120,
            min_places: 9,
            max_places: 11,
        },
        Case {
            what: "not after the first minute",
            confirmed_until_s: 60,
            min_places: 4,
            max_places: 5,
        },
    ];
    for case in cases {
        let places = places(case.confirmed_until_s);
        assert!(places >= case.min_places, "{}: {places}", case.what);
        assert!(places <= case.max_places, "{}: {places}", case.what);
    }
}

/// Number of places returned within two minutes, if reads of the list succeed for the first
/// `confirmed_until_s` seconds.
fn places(confirmed_until_s: u64) -> usize {
    let settings = MemberSettings::default();
    let mut members = Members::new(settings, "vm0".into(), 1, 1);
    let list = FleetList {
        revision: 1,
        epoch: 1,
        vms: vms(0..9),
    };
    let mut out = Vec::new();
    members.handle_list(Mono(1), list, &mut out);
    for second in 1..=120 {
        let now = Mono(second * 1_000_000);
        if second <= confirmed_until_s {
            members.record_read(now);
        }
        members.tick(now, &mut out);
    }
    let place = |a: &&Action| matches!(a, Action::Place { .. });
    out.iter().filter(place).count()
}
