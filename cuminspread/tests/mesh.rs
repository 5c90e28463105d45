//! Discovery of peers from three seeds, and removal of peers that are down.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use cuminspread::coordination::mesh::{Mesh, MeshSettings};
use cuminspread::protocol::gossip::{Daemon, KnownPeer};
use cuminspread::state::Name;
use cuminspread::state::time::Mono;

const STEP: Duration = Duration::from_millis(50);

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 7200))
}

fn daemon(i: usize, data_centres: usize, started_ms: u64) -> Daemon {
    Daemon {
        address: address(i),
        data_centre: Name::new(format!("place-{}", i % data_centres)),
        started_ms,
        // Two large VMs in each data centre.
        capacity: if i < 2 * data_centres { 50 } else { 10 },
        forward_port: 0,
    }
}

struct Fleet {
    now: Mono,
    meshes: Vec<Option<Mesh>>,
    data_centres: usize,
    hellos: usize,
}

impl Fleet {
    fn new(daemons: usize, data_centres: usize) -> Self {
        let mut fleet = Self {
            now: Mono(0),
            meshes: Vec::new(),
            data_centres,
            hellos: 0,
        };
        for i in 0..daemons {
            fleet.meshes.push(None);
            fleet.start(i, 1);
        }
        fleet
    }

    fn start(&mut self, i: usize, started_ms: u64) {
        let me = daemon(i, self.data_centres, started_ms);
        let seeds = vec![address(0), address(1), address(2)];
        let mesh = Mesh::new(MeshSettings::default(), me, seeds, i as u64);
        self.meshes[i] = Some(mesh);
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            for i in 0..self.meshes.len() {
                let Some(mesh) = &mut self.meshes[i] else {
                    continue;
                };
                let me = mesh.me().clone();
                for to in mesh.hello_targets(self.now) {
                    self.hellos += 1;
                    self.send_hello(i, &me, to);
                }
            }
        }
    }

    fn send_hello(&mut self, from: usize, me: &Daemon, to: SocketAddr) {
        let Some(j) = (0..self.meshes.len()).find(|j| address(*j) == to) else {
            return;
        };
        let Some(peer) = &mut self.meshes[j] else {
            return;
        };
        peer.record_heard(self.now, me);
        let peers = peer.sample_peers(self.now, &me.data_centre);
        if let Some(mesh) = &mut self.meshes[from] {
            mesh.merge_known(self.now, &peers);
        }
    }

    fn sizes(&self) -> BTreeSet<usize> {
        self.meshes.iter().flatten().map(Mesh::size).collect()
    }
}

struct Case {
    daemons: usize,
    data_centres: usize,
}

#[test]
fn all_daemons_find_each_other() {
    let cases = [
        Case {
            daemons: 18,
            data_centres: 3,
        },
        Case {
            daemons: 141,
            data_centres: 4,
        },
        Case {
            daemons: 600,
            data_centres: 9,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::new(case.daemons, case.data_centres);
        // Traffic begins 8 s after the daemons start; the largest fleets may take longer.
        fleet.run(Duration::from_secs(30));
        let near = fleet
            .meshes
            .iter()
            .flatten()
            .map(|m| m.near_peers().len() + 1);
        let near = near.min().unwrap_or_default();
        let near_total = case.daemons / case.data_centres;
        assert!(
            near * 100 >= near_total * 95,
            "{near} of {near_total} near daemons"
        );
        let known = fleet.sizes().first().copied().unwrap_or_default();
        // The connection limits per server allow for twice the daemons that are known.
        assert!(
            known * 2 >= case.daemons,
            "{known} of {} daemons known",
            case.daemons
        );
        let per_s = fleet.hellos as f64 / 30.0 / case.daemons as f64;
        assert!(per_s < 3.0, "{per_s} hellos per second");
    }
}

#[test]
fn only_peers_that_are_down_are_removed() {
    let mut fleet = Fleet::new(141, 4);
    fleet.run(Duration::from_secs(20));
    for i in (0..141).step_by(2) {
        fleet.meshes[i] = None;
    }
    fleet.run(Duration::from_secs(45));
    let sizes = fleet.sizes();
    assert!(sizes.iter().all(|s| (66..=74).contains(s)), "{sizes:?}");
}

#[test]
fn two_random_relays_serve_each_data_centre() {
    let mut fleet = Fleet::new(141, 4);
    fleet.run(Duration::from_secs(20));
    let mesh = fleet.meshes[5].as_mut().expect("it runs");
    assert!(mesh.near_peers().len() > 30);
    let relays = mesh.relays();
    assert_eq!(relays.len(), 6);
    let again = mesh.relays();
    assert_ne!(relays, again, "each call picks anew");
}

#[test]
fn an_earlier_start_never_replaces_a_later_one() {
    struct Case {
        known: u64,
        named: u64,
        new: bool,
    }
    let cases = [
        Case {
            known: 5,
            named: 4,
            new: false,
        },
        Case {
            known: 5,
            named: 5,
            new: false,
        },
        Case {
            known: 5,
            named: 6,
            new: true,
        },
    ];
    for case in cases {
        let me = daemon(0, 3, 1);
        let mut mesh = Mesh::new(MeshSettings::default(), me, Vec::new(), 1);
        mesh.record_heard(Mono(0), &daemon(1, 3, case.known));
        let peer = KnownPeer {
            daemon: daemon(1, 3, case.named),
            age: 0,
        };
        let new = mesh.merge_known(Mono(0), &[peer]);
        assert_eq!(!new.is_empty(), case.new, "{}", case.named);
        // The stop of an earlier start doesn't remove the peer.
        mesh.record_leaving(Mono(0), &daemon(1, 3, case.named.min(case.known) - 1));
        assert_eq!(mesh.size(), 2);
    }
}

/// Guards against daemons that their peers lose sight of since the time of day was set back before they
/// started again (issue 49).
#[test]
fn a_daemon_is_known_again_after_a_start_at_an_earlier_time_of_day() {
    const STARTED_MS: u64 = 60_000;
    let mut fleet = Fleet::new(36, 1);
    fleet.start(7, STARTED_MS);
    fleet.run(Duration::from_secs(20));
    fleet.meshes[7] = None;
    fleet.run(Duration::from_secs(1));
    // The second start is reported as 30 s before the first.
    fleet.start(7, STARTED_MS / 2);
    for second in 1..=45 {
        fleet.run(Duration::from_secs(1));
        for (i, mesh) in fleet.meshes.iter().flatten().enumerate() {
            let known = mesh.daemons().find(|d| d.address == address(7));
            let started_ms = known.map(|d| d.started_ms);
            assert!(i == 7 || known.is_some(), "daemon {i}, {second} s");
            // Gossip takes some seconds.
            let is_current = started_ms == Some(STARTED_MS / 2);
            assert!(
                i == 7 || second < 15 || is_current,
                "daemon {i}, {second} s: {started_ms:?}"
            );
        }
    }
}

/// Guards against a daemon that doesn't answer an introduction, since it takes the peer's start for an
/// earlier one.
#[test]
fn a_message_of_a_daemon_tells_of_its_last_start() {
    let me = daemon(0, 3, 1);
    let mut mesh = Mesh::new(MeshSettings::default(), me, Vec::new(), 1);
    assert!(mesh.record_heard(Mono(0), &daemon(1, 3, 60_000)));
    assert!(mesh.record_heard(Mono(0) + STEP, &daemon(1, 3, 30_000)));
    assert!(!mesh.record_heard(Mono(0) + 2 * STEP, &daemon(1, 3, 30_000)));
    let forward_port = 7215;
    let named = Daemon {
        forward_port,
        ..daemon(1, 3, 30_000)
    };
    assert!(!mesh.record_named(&named, Mono(0)));
    assert!(mesh.forward_address(address(1), 30_000).is_some());
    assert_eq!(mesh.size(), 2);
}

#[test]
fn lost_daemons_count_as_part_of_the_fleet_and_stopped_ones_do_not() {
    struct Case {
        /// Daemons that stop with a message, and that are lost without one.
        stopped: usize,
        lost: usize,
        /// Time after the loss.
        after_s: u64,
        fraction: f32,
    }
    let cases = [
        Case {
            stopped: 0,
            lost: 6,
            after_s: 60,
            fraction: 0.5,
        },
        Case {
            stopped: 6,
            lost: 0,
            after_s: 60,
            fraction: 1.0,
        },
        Case {
            stopped: 3,
            lost: 3,
            after_s: 60,
            fraction: 6.0 / 9.0,
        },
        Case {
            stopped: 0,
            lost: 6,
            after_s: 700,
            fraction: 1.0,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::new(12, 1);
        fleet.run(Duration::from_secs(30));
        for i in 0..case.stopped + case.lost {
            fleet.meshes[11 - i] = None;
            if i < case.stopped {
                for mesh in fleet.meshes.iter_mut().flatten() {
                    mesh.record_leaving(fleet.now, &daemon(11 - i, 1, 1));
                }
            }
        }
        fleet.run(Duration::from_secs(case.after_s));
        let now = fleet.now;
        let mesh = fleet.meshes[0].as_mut().expect("the first daemon runs");
        let fraction = mesh.known_fraction(now);
        let (stopped, lost) = (case.stopped, case.lost);
        assert!(
            (fraction - case.fraction).abs() < 0.01,
            "{stopped} stopped, {lost} lost: {fraction}"
        );
    }
}

/// Guards against daemons that get no updates while they stop, and against ones that a late message makes
/// a peer again (issue 49).
#[test]
fn a_daemon_that_is_stopping_gets_updates_and_is_no_peer() {
    #[derive(Clone, Copy)]
    enum Then {
        Nothing,
        /// A message of a start of the daemon arrives.
        Heard(u64),
        /// Another daemon names a start that it heard this long after the notice.
        Named(u64, Duration),
    }
    struct Case {
        then: Then,
        after: Duration,
        is_peer: bool,
        gets_updates: bool,
    }
    const STARTED_MS: u64 = 60_000;
    let soon = Duration::from_secs(2);
    let cases = [
        Case {
            then: Then::Nothing,
            after: soon,
            is_peer: false,
            gets_updates: true,
        },
        Case {
            then: Then::Heard(STARTED_MS),
            after: soon,
            is_peer: false,
            gets_updates: true,
        },
        Case {
            then: Then::Named(STARTED_MS, soon),
            after: soon,
            is_peer: false,
            gets_updates: true,
        },
        Case {
            then: Then::Named(STARTED_MS - 1, Duration::ZERO),
            after: soon,
            is_peer: false,
            gets_updates: true,
        },
        Case {
            then: Then::Heard(STARTED_MS + 1),
            after: soon,
            is_peer: true,
            gets_updates: true,
        },
        // The time of day was set back before the next start.
        Case {
            then: Then::Heard(STARTED_MS - 1),
            after: soon,
            is_peer: true,
            gets_updates: true,
        },
        Case {
            then: Then::Named(STARTED_MS + 1, soon),
            after: soon,
            is_peer: true,
            gets_updates: true,
        },
        Case {
            then: Then::Nothing,
            after: MeshSettings::default().expire_after,
            is_peer: false,
            gets_updates: false,
        },
    ];
    for (i, case) in cases.iter().enumerate() {
        let mut mesh = Mesh::new(MeshSettings::default(), daemon(0, 1, 1), Vec::new(), 1);
        let notice = Mono(0) + Duration::from_secs(5);
        mesh.record_heard(notice, &daemon(1, 1, STARTED_MS));
        mesh.record_heard(notice, &daemon(2, 1, 1));
        assert!(mesh.record_leaving(notice, &daemon(1, 1, STARTED_MS)));
        let now = notice + case.after;
        mesh.record_heard(now, &daemon(2, 1, 1));
        match case.then {
            Then::Nothing => {}
            Then::Heard(started_ms) => {
                mesh.record_heard(now, &daemon(1, 1, started_ms));
            }
            Then::Named(started_ms, heard) => {
                mesh.record_named(&daemon(1, 1, started_ms), notice + heard);
            }
        }
        mesh.hello_targets(now);
        let is_peer = mesh.near_peers().contains(&address(1));
        assert_eq!(is_peer, case.is_peer, "case {i}");
        let gets_updates = mesh.near_receivers().contains(&address(1));
        assert_eq!(gets_updates, case.gets_updates, "case {i}");
        assert!(mesh.near_receivers().contains(&address(2)), "case {i}");
    }
}
