//! Choice of servers: leaving and failing servers, pauses of the process, and owned slots.

use std::sync::Arc;
use std::time::Duration;

use cuminspread::coordination::dispatch::{DispatchSettings, Guards};
use cuminspread::coordination::event::{CallAction, CallEvent, Connection, Ending, ServerId};
use cuminspread::coordination::policy::{ChoiceSettings, Policy};
use cuminspread::invariant::Invariant;
use cuminspread::state::Name;
use cuminspread::state::load::LoadReport;
use cuminspread::state::time::Mono;

use crate::support::{Driver, council, sends, server};

/// How the dispatcher learns that a server is leaving.
#[derive(Debug, Clone, Copy, PartialEq)]
enum LeavingSource {
    LoadReport,
    Peer,
    Configuration,
}

#[test]
fn leaving_server_gets_no_calls() {
    for source in [
        LeavingSource::LoadReport,
        LeavingSource::Peer,
        LeavingSource::Configuration,
    ] {
        for leaving in [true, false] {
            let settings = DispatchSettings {
                guards: Guards {
                    leaving,
                    ..Guards::default()
                },
                ..DispatchSettings::default()
            };
            let mut config = council("east", 4, 2);
            let mut driver = Driver::new(settings, &config);
            let call = driver.new_call(true);
            let first = server(&driver.receive(&call)).unwrap();
            let name = Name::new(format!("s{first:04}"));
            let report = LoadReport {
                draining: source == LeavingSource::LoadReport,
                ..LoadReport::default()
            };
            let actions = driver.head_with(&call, 0, 200, Some(report));
            let announced = actions
                .iter()
                .any(|a| matches!(a, CallAction::TellLeaving(_)));
            assert_eq!(announced, source == LeavingSource::LoadReport);
            driver.end(&call, 0, Ending::Whole);
            match source {
                LeavingSource::LoadReport => {}
                LeavingSource::Peer => {
                    driver.handle(CallEvent::ServerLeaving {
                        council: Name::new("east"),
                        service: Name::new("jobs"),
                        server: name,
                    });
                }
                LeavingSource::Configuration => {
                    let mut service = (*config.services[0]).clone();
                    service.servers[first as usize].leaving = true;
                    config.services[0] = Arc::new(service);
                    driver.handle(CallEvent::InForce(Arc::new(config.clone())));
                }
            }
            driver.advance(Duration::from_secs(3));
            let mut used = 0;
            for _ in 0..8 {
                let call = driver.new_call(true);
                used += usize::from(server(&driver.receive(&call)) == Some(first));
            }
            let broken = driver
                .dispatcher
                .invariants()
                .broken(Invariant::LeavingServer);
            assert_eq!((used > 0, broken > 0), (!leaving, !leaving), "{source:?}");
        }
    }
}

/// A failing server gets few calls. Servers are ejected, but never more than a fraction of a
/// service.
#[test]
fn ejection_is_bounded() {
    for failing in [1, 5, 10] {
        let mut driver = Driver::new(DispatchSettings::default(), &council("east", 10, 6));
        let mut failures = 0;
        for _ in 0..400 {
            let call = driver.new_call(false);
            let actions = driver.receive(&call);
            driver.now += 2_000;
            if server(&actions).is_some_and(|id| id < failing) {
                failures += 1;
                driver.end(&call, 0, Ending::Broken);
            } else {
                driver.head(&call, 0, 200);
                driver.end(&call, 0, Ending::Whole);
            }
        }
        let now = Mono(driver.now);
        let ejected = (0..10)
            .map(ServerId)
            .filter(|id| driver.dispatcher.server_state(*id).is_ejected(now));
        let ejected = ejected.count();
        assert!(ejected <= 2, "{failing} fail: {ejected}");
        if failing == 10 {
            assert!(ejected > 0, "all fail");
        }
        if failing == 1 {
            assert!(
                failures <= 4,
                "a tenth of the share of one server is 4 calls: {failures}"
            );
        }
    }
}

/// After a pause of the process a non-idempotent call gets a new connection.
#[test]
fn pause_requires_new_connections() {
    for guarded in [true, false] {
        let settings = DispatchSettings {
            guards: Guards {
                pause: guarded,
                ..Guards::default()
            },
            ..DispatchSettings::default()
        };
        let mut driver = Driver::new(settings, &council("east", 1, 2));
        driver.run_calls(30, Duration::from_millis(5));
        driver.now += 5_000_000;
        let call = driver.new_call(false);
        let actions = driver.receive(&call);
        let new = actions.iter().any(|a| {
            matches!(
                a,
                CallAction::Send {
                    connection: Connection::New,
                    ..
                }
            )
        });
        assert_eq!(new, guarded);
    }
}

/// Every policy finds a server as long as any has a free slot.
#[test]
fn policies_fill_all_slots() {
    for policy in Policy::ALL {
        let settings = DispatchSettings {
            choice: ChoiceSettings {
                policy,
                ..ChoiceSettings::default()
            },
            ..DispatchSettings::default()
        };
        let mut driver = Driver::new(settings, &council("east", 5, 3));
        let sent: usize = (0..15)
            .map(|_| {
                let call = driver.new_call(true);
                sends(&driver.receive(&call))
            })
            .sum();
        assert_eq!(sent, 15, "{}", policy.label());
    }
}

/// The daemons of one VM list own each slot exactly once.
#[test]
fn each_slot_has_one_owner() {
    for (servers, slots, daemons) in [(20, 6, 18), (6, 2, 18), (580, 6, 19), (1, 1, 3)] {
        let mut owned = vec![0; servers as usize];
        for index in 0..daemons {
            let mut driver = Driver::new(
                DispatchSettings::default(),
                &council("east", servers, slots),
            );
            driver.handle(CallEvent::Place { index, daemons });
            for id in 0..servers {
                let id = ServerId(id);
                owned[id.0 as usize] += driver.dispatcher.server_state(id).owned;
            }
        }
        assert!(
            owned.iter().all(|o| *o == slots),
            "{servers} {slots} {daemons}"
        );
    }
}
