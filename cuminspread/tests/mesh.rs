//! Peers that find each other from three seeds, and that forget those that are gone.

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

fn daemon(i: usize, places: usize, started_ms: u64) -> Daemon {
    Daemon {
        address: address(i),
        data_centre: Name::new(format!("place-{}", i % places)),
        started_ms,
        // Two large VMs in each place.
        capacity: if i < 2 * places { 50 } else { 10 },
    }
}

struct World {
    now: Mono,
    meshes: Vec<Option<Mesh>>,
    places: usize,
    greetings: usize,
}

impl World {
    fn new(daemons: usize, places: usize) -> Self {
        let mut world = Self {
            now: Mono(0),
            meshes: Vec::new(),
            places,
            greetings: 0,
        };
        for i in 0..daemons {
            world.meshes.push(None);
            world.start(i, 1);
        }
        world
    }

    fn start(&mut self, i: usize, started_ms: u64) {
        let me = daemon(i, self.places, started_ms);
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
                    self.greetings += 1;
                    self.greet(i, &me, to);
                }
            }
        }
    }

    fn greet(&mut self, from: usize, me: &Daemon, to: SocketAddr) {
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
    places: usize,
}

#[test]
fn all_find_all() {
    let cases = [
        Case {
            daemons: 18,
            places: 3,
        },
        Case {
            daemons: 141,
            places: 4,
        },
        Case {
            daemons: 600,
            places: 9,
        },
    ];
    for case in cases {
        let mut world = World::new(case.daemons, case.places);
        // Traffic begins 8 s after the daemons; the largest fleets may take longer.
        world.run(Duration::from_secs(30));
        let near = world
            .meshes
            .iter()
            .flatten()
            .map(|m| m.near_peers().len() + 1);
        let near = near.min().unwrap_or_default();
        let of = case.daemons / case.places;
        assert!(near * 100 >= of * 95, "{near} of {of} near ones");
        let all = world.sizes().first().copied().unwrap_or_default();
        // The share of connections to a server allows for twice the daemons that are known.
        assert!(all * 2 >= case.daemons, "{all} of {}", case.daemons);
        let per_s = world.greetings as f64 / 30.0 / case.daemons as f64;
        assert!(per_s < 3.0, "{per_s} greetings a second");
    }
}

#[test]
fn the_dead_are_forgotten_and_the_living_are_not() {
    let mut world = World::new(141, 4);
    world.run(Duration::from_secs(20));
    for i in (0..141).step_by(2) {
        world.meshes[i] = None;
    }
    world.run(Duration::from_secs(45));
    let sizes = world.sizes();
    assert!(sizes.iter().all(|s| (66..=74).contains(s)), "{sizes:?}");
}

#[test]
fn news_reaches_every_place_by_few_relays() {
    let mut world = World::new(141, 4);
    world.run(Duration::from_secs(20));
    let mesh = world.meshes[5].as_mut().expect("it runs");
    assert!(mesh.near_peers().len() > 30);
    let relays = mesh.relays();
    assert_eq!(relays.len(), 6);
    let again = mesh.relays();
    assert_ne!(relays, again, "other relays each time");
}

#[test]
fn an_earlier_start_is_older_news() {
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
        let sighting = KnownPeer {
            daemon: daemon(1, 3, case.named),
            age: 0,
        };
        let new = mesh.merge_known(Mono(0), &[sighting]);
        assert_eq!(!new.is_empty(), case.new, "{}", case.named);
        // A stop of an earlier start doesn't remove a later one.
        mesh.remove(&daemon(1, 3, case.named.min(case.known) - 1));
        assert_eq!(mesh.size(), 2);
    }
}
