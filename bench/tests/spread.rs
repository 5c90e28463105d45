//! Spread of configuration among several daemons over a faulty network, in virtual time: no daemon
//! may go back to an older configuration, and all daemons must converge.

use std::sync::Arc;
use std::time::Duration;

use cuminspread::coordination::event::{Action, Folder, FolderFile};
use cuminspread::coordination::spread::{Spread, SpreadEvent, SpreadSettings};
use cuminspread::invariant::InvariantChecks;
use cuminspread::protocol::message::Message;
use cuminspread::protocol::spread::SpreadMessage;
use cuminspread::state::Name;
use cuminspread::state::time::{Mono, Now, Wall};
use cuminspread_bench::config::platform::{Change, FolderSize};
use cuminspread_bench::config::simulation::{SimulationSettings, SpreadSimulation};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const CONVERGENCE_TIME: Duration = Duration::from_secs(40);
const SMALL_FOLDER: FolderSize = FolderSize {
    councils: 3,
    services: 2,
    servers: 2,
};

/// Fleet with a small folder whose daemons all have the newest configuration.
fn converged_fleet(settings: &SimulationSettings) -> SpreadSimulation {
    let mut simulation = SpreadSimulation::new(SimulationSettings {
        folder: SMALL_FOLDER,
        ..settings.clone()
    });
    simulation.advance(CONVERGENCE_TIME);
    assert!(simulation.converged());
    assert!(simulation.daemons.iter().all(|d| d.ready));
    simulation
}

struct Case {
    seeds: u64,
    settings: SimulationSettings,
}

/// Runs random changes, platform outages, network partitions, pauses and replacements, then repairs
/// all but the settings' faults and lets the fleet converge.
fn run_random_faults(settings: &SimulationSettings) -> SpreadSimulation {
    let seed = settings.seed;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let daemons = settings.daemons;
    let mut simulation = converged_fleet(settings);
    for _ in 0..30 {
        let council = rng.random_range(0..SMALL_FOLDER.councils);
        let daemon = rng.random_range(0..daemons);
        match rng.random_range(0..12) {
            0..4 => simulation.change(council, Change::Edit),
            4 => simulation.change(council, Change::Break),
            5 => simulation.change(council, Change::Delete),
            6 => simulation.pause(daemon, Duration::from_secs(rng.random_range(1..20))),
            7 => simulation.replace(daemon),
            8 => simulation.platform_up = false,
            9 => simulation.partition(true),
            10 => simulation.partition(false),
            _ => simulation.platform_up = true,
        }
        simulation.advance(Duration::from_millis(rng.random_range(1..4000)));
    }
    simulation.platform_up = true;
    simulation.partition(false);
    for council in 0..SMALL_FOLDER.councils {
        simulation.change(council, Change::Edit);
    }
    simulation.advance(CONVERGENCE_TIME * 2);
    simulation
}

#[test]
fn random_faults_never_revert_and_all_converge() {
    let faults = SimulationSettings {
        loss_fraction: 0.1,
        duplicate_fraction: 0.1,
        max_jitter: Duration::from_millis(500),
        cut_off_fraction: 1.0 / 3.0,
        stale_fraction: 0.3,
        ..SimulationSettings::default()
    };
    let cases = [
        Case {
            seeds: 40,
            settings: SimulationSettings {
                daemons: 5,
                ..faults.clone()
            },
        },
        Case {
            seeds: 10,
            settings: SimulationSettings {
                daemons: 30,
                ..faults.clone()
            },
        },
    ];
    for case in cases {
        for seed in 1..=case.seeds {
            let simulation = run_random_faults(&SimulationSettings {
                seed,
                ..case.settings.clone()
            });
            let daemons = case.settings.daemons;
            assert_eq!(simulation.reverts, 0, "daemons={daemons} seed={seed}");
            assert_eq!(simulation.violations(), 0, "daemons={daemons} seed={seed}");
            assert!(simulation.checks() > 0);
            assert!(simulation.converged(), "daemons={daemons} seed={seed}");
        }
    }
}

/// Shows that the checks of the other tests can fail: replicas that lag cause reverts.
#[test]
fn reverts_are_detected_without_the_version_check() {
    let mut runs_with_violation = 0;
    for seed in 1..=5 {
        let settings = SimulationSettings {
            seed,
            folder: SMALL_FOLDER,
            stale_fraction: 0.3,
            version_check: false,
            ..SimulationSettings::default()
        };
        let mut simulation = SpreadSimulation::new(settings);
        simulation.advance(CONVERGENCE_TIME);
        for _ in 0..10 {
            simulation.change(0, Change::Edit);
            simulation.advance(Duration::from_secs(5));
        }
        runs_with_violation += u64::from(simulation.violations() > 0 && simulation.reverts > 0);
    }
    assert!(runs_with_violation > 0);
}

#[test]
fn a_new_daemon_starts_from_its_peers_while_the_platform_is_down() {
    let mut simulation = converged_fleet(&SimulationSettings::default());
    simulation.change(1, Change::Edit);
    simulation.advance(Duration::from_secs(5));
    simulation.platform_up = false;
    simulation.replace(4);
    simulation.advance(Duration::from_secs(3));
    assert!(simulation.daemons[4].ready);
    assert_eq!(simulation.daemons[4].edits(1), Some(2));
}

#[test]
fn a_daemon_without_peers_and_platform_is_not_ready() {
    let mut simulation = SpreadSimulation::new(SimulationSettings {
        daemons: 1,
        cut_off_fraction: 1.0,
        ..SimulationSettings::default()
    });
    simulation.advance(CONVERGENCE_TIME);
    assert!(!simulation.daemons[0].ready);
}

#[test]
fn refused_contents_keep_the_last_valid_ones_active_on_all_daemons() {
    let mut simulation = converged_fleet(&SimulationSettings::default());
    simulation.change(0, Change::Edit);
    simulation.advance(Duration::from_secs(5));
    simulation.change(0, Change::Break);
    simulation.advance(Duration::from_secs(5));
    simulation.replace(3);
    simulation.advance(Duration::from_secs(60));
    for daemon in &simulation.daemons {
        assert_eq!(daemon.edits(0), Some(2));
        let status = daemon.spread().status().next().unwrap();
        assert_ne!(Some(status.latest), status.active);
        let fault = status.faults[0].to_string();
        assert!(fault.starts_with("99.council-0.broken.ini:2: [council] probe-budget"));
        assert_eq!(daemon.spread().counts().contents.refused, 1);
    }
    simulation.change(0, Change::Edit);
    simulation.advance(Duration::from_secs(5));
    assert!(simulation.converged());
}

#[test]
fn a_deleted_council_is_removed_and_can_be_created_again() {
    let mut simulation = converged_fleet(&SimulationSettings::default());
    simulation.change(0, Change::Delete);
    simulation.advance(Duration::from_secs(5));
    assert!(simulation.daemons.iter().all(|d| d.edits(0).is_none()));
    simulation.change(0, Change::Edit);
    simulation.advance(Duration::from_secs(5));
    assert!(simulation.converged());
    assert_eq!((simulation.violations(), simulation.reverts), (0, 0));
}

#[test]
fn other_daemons_take_over_when_all_readers_are_cut_off() {
    let mut simulation = converged_fleet(&SimulationSettings {
        daemons: 60,
        ..SimulationSettings::default()
    });
    let readers: Vec<usize> = (0..60)
        .filter(|i| simulation.daemons[*i].spread().is_reader())
        .collect();
    assert_eq!(readers.len(), 9);
    for reader in readers {
        simulation.cut_off(reader);
    }
    simulation.advance(CONVERGENCE_TIME);
    simulation.change(2, Change::Edit);
    simulation.advance(CONVERGENCE_TIME);
    assert!(simulation.converged());
}

#[test]
fn read_rate_stays_bounded_at_start_and_while_the_platform_is_down() {
    let mut simulation = SpreadSimulation::new(SimulationSettings {
        daemons: 400,
        data_centres: 9,
        folder: SMALL_FOLDER,
        ..SimulationSettings::default()
    });
    let mut reads = [0; 160];
    for (second, count) in reads.iter_mut().enumerate() {
        simulation.platform_up = second < 40;
        let before = simulation.reads;
        simulation.advance(Duration::from_secs(1));
        *count = simulation.reads - before;
    }
    assert!(reads.iter().all(|count| *count <= 200), "{reads:?}");
    assert!(reads[100..].iter().any(|count| *count > 0));
}

/// State machine of one daemon, without a simulated network.
struct SingleDaemon {
    spread: Spread,
    now: u64,
}

impl SingleDaemon {
    fn new(name: &str, peer: &str) -> Self {
        let settings = SpreadSettings {
            name: Name::new(name),
            ..SpreadSettings::default()
        };
        let mut daemon = Self {
            spread: Spread::new(settings, InvariantChecks::default()),
            now: 0,
        };
        daemon.messages_after(SpreadEvent::Peers(vec![Name::new(peer)]));
        daemon
    }

    /// Actions that an event leads to, 200 ms after the event before.
    fn handle(&mut self, event: SpreadEvent) -> Vec<Action> {
        self.now += 200_000;
        let now = Now {
            mono: Mono(self.now),
            wall: Wall(0),
        };
        let mut out = Vec::new();
        self.spread.handle(now, event, &mut out);
        out
    }

    /// Messages that an event leads to.
    fn messages_after(&mut self, event: SpreadEvent) -> Vec<SpreadMessage> {
        let messages = self
            .handle(event)
            .into_iter()
            .filter_map(|action| match action {
                Action::Send {
                    message: Message::Spread(message),
                    ..
                } => Some(message),
                _ => None,
            });
        messages.collect()
    }
}

/// Two daemons read different contents under the same revision of the folder.
#[test]
fn conflicting_contents_of_one_version_are_counted_and_resolved_to_the_same() {
    let mut daemons = [SingleDaemon::new("a", "b"), SingleDaemon::new("b", "a")];
    for (i, daemon) in daemons.iter_mut().enumerate() {
        let text = format!("[council]\nmax-in-flight = {}\n", i + 1);
        let files = vec![FolderFile {
            name: Name::new("10.north.a.ini"),
            text: Arc::from(text),
        }];
        daemon.messages_after(SpreadEvent::FolderRead(Folder { revision: 7, files }));
    }
    for _ in 0..20 {
        for i in 0..2 {
            let mut messages = daemons[i].messages_after(SpreadEvent::Tick);
            let mut to = 1 - i;
            while !messages.is_empty() {
                let from = Name::new(["a", "b"][1 - to]);
                let received = |message| SpreadEvent::Received {
                    from: from.clone(),
                    message,
                };
                let events = messages.into_iter().map(received);
                messages = events.flat_map(|e| daemons[to].messages_after(e)).collect();
                to = 1 - to;
            }
        }
    }
    let stamps = daemons
        .each_ref()
        .map(|d| d.spread.status().next().unwrap().active);
    assert_eq!(stamps[0], stamps[1]);
    assert!(stamps[0].is_some());
    let conflicts = daemons.iter().map(|d| d.spread.counts().contents.conflicts);
    assert!(conflicts.sum::<u64>() > 0);
}

#[test]
fn refusals_are_reported_once_and_cleared_once() {
    let mut daemon = SingleDaemon::new("a", "b");
    let mut reports = Vec::new();
    for (revision, budget) in [(1, "1"), (2, "many"), (3, "many"), (4, "2"), (5, "2")] {
        let files = vec![FolderFile {
            name: Name::new("10.north.a.ini"),
            text: Arc::from(format!("[council]\nprobe-budget = {budget}\n")),
        }];
        for action in daemon.handle(SpreadEvent::FolderRead(Folder { revision, files })) {
            if let Action::Refused {
                version, faults, ..
            } = action
            {
                reports.push((version.0, faults.len()));
            }
        }
    }
    assert_eq!(reports, [(2, 1), (4, 0)]);
}
