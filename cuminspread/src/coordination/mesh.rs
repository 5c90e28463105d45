//! Peers that find each other without a published list.
//!
//! A daemon starts with a few seeds, any of which may be down. It greets them until one answers, and
//! later greets one random peer at a time, mostly near ones; each answer names a few more peers and
//! says how long ago anybody heard them. Such sightings spread like a rumour, so that a daemon knows
//! who is there though it hears most peers itself only once in minutes. News of the store goes to
//! all peers of the own data centre and to two relays in each other one, so that links between data
//! centres carry a fixed number of copies, whatever the size of the fleet.
//!
//! Load pattern: all daemons start at once and know three addresses; later many of them are killed
//! together, and the relays may be among them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt as _;
use rand_pcg::Pcg32;

use crate::protocol::gossip::{Daemon, KnownPeer};
use crate::state::Name;
use crate::state::time::Mono;

/// Unit of the ages in sightings.
const TENTH: Duration = Duration::from_millis(100);
/// One greeting in this number goes to any peer, the others to near ones.
const FAR_GREETING: u32 = 8;
/// One greeting in this number goes to a seed, so that separated groups meet.
const SEED_GREETING: u32 = 16;

/// Settings of the mesh.
#[derive(Debug, Clone)]
pub struct MeshSettings {
    /// Time between greetings until the first peer is known.
    pub search_interval: Duration,
    /// Time between greetings after that.
    pub hello_interval: Duration,
    /// Time without a sighting after which a peer counts as away; rumours need some seconds to reach
    /// 600 daemons.
    pub expire_after: Duration,
    /// Relays in each other data centre.
    pub relays_per_data_centre: usize,
    /// Peers named in one answer; about 30 bytes each, and all must fit a datagram.
    pub sample_size: usize,
    /// Peers known at most.
    pub capacity: usize,
}

impl Default for MeshSettings {
    fn default() -> Self {
        Self {
            search_interval: Duration::from_millis(200),
            hello_interval: Duration::from_secs(1),
            expire_after: Duration::from_secs(30),
            relays_per_data_centre: 2,
            sample_size: 32,
            capacity: 2048,
        }
    }
}

#[derive(Debug, Clone)]
struct Peer {
    daemon: Daemon,
    /// Last time that anybody heard it.
    seen: Mono,
}

/// Peers of one daemon.
#[derive(Debug)]
pub struct Mesh {
    settings: MeshSettings,
    me: Daemon,
    seeds: Vec<SocketAddr>,
    peers: BTreeMap<SocketAddr, Peer>,
    rng: Pcg32,
    next_greeting: Mono,
}

impl Mesh {
    /// Daemon that knows its seeds only.
    pub fn new(settings: MeshSettings, me: Daemon, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        let mut this = Self {
            settings,
            me,
            seeds: Vec::new(),
            peers: BTreeMap::new(),
            rng: Pcg32::new(seed, 7),
            next_greeting: Mono::default(),
        };
        this.set_seeds(seeds);
        this
    }

    /// This daemon.
    pub fn me(&self) -> &Daemon {
        &self.me
    }

    /// Takes other seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        let me = self.me.address;
        self.seeds = seeds.into_iter().filter(|s| *s != me).collect();
    }

    /// Daemons that were seen lately, this one included.
    pub fn size(&self) -> usize {
        1 + self.peers.len()
    }

    /// A daemon spoke; returns whether it is new.
    pub fn record_heard(&mut self, now: Mono, daemon: &Daemon) -> bool {
        self.see(daemon, now)
    }

    /// A peer names others; returns those that are new.
    pub fn merge_known(&mut self, now: Mono, sightings: &[KnownPeer]) -> Vec<Daemon> {
        let mut new = Vec::new();
        for sighting in sightings {
            let age = TENTH * u32::from(sighting.age);
            if age < self.settings.expire_after && self.see(&sighting.daemon, now - age) {
                new.push(sighting.daemon.clone());
            }
        }
        new
    }

    /// A daemon stops.
    pub fn remove(&mut self, daemon: &Daemon) {
        let known = self.peers.get(&daemon.address);
        if known.is_some_and(|p| p.daemon.started_ms <= daemon.started_ms) {
            self.peers.remove(&daemon.address);
        }
    }

    /// Time of the next greeting.
    pub fn next_hello(&self) -> Mono {
        self.next_greeting
    }

    /// Peers to greet now, if a greeting is due.
    pub fn hello_targets(&mut self, now: Mono) -> Vec<SocketAddr> {
        if now < self.next_greeting {
            return Vec::new();
        }
        let away = self.settings.expire_after;
        self.peers.retain(|_, p| now.since(p.seen) < away);
        if self.peers.is_empty() {
            self.next_greeting = now + self.settings.search_interval;
            return self.seeds.clone();
        }
        let spread = self.rng.random_range(0.75..1.25);
        self.next_greeting = now + self.settings.hello_interval.mul_f64(spread);
        let mut pool: Vec<SocketAddr> = self.near_peers();
        if pool.is_empty() || self.rng.random_range(0..FAR_GREETING) == 0 {
            pool = self.peers.keys().copied().collect();
        }
        if !self.seeds.is_empty() && self.rng.random_range(0..SEED_GREETING) == 0 {
            pool.clone_from(&self.seeds);
        }
        vec![pool[self.rng.random_range(0..pool.len())]]
    }

    /// Peers to name to one of a data centre that asked, this daemon first.
    ///
    /// Half are of its own data centre, since it hands news on to all of them.
    pub fn sample_peers(&mut self, now: Mono, place: &Name) -> Vec<KnownPeer> {
        let (mut near, mut far): (Vec<&Peer>, Vec<&Peer>) = self
            .peers
            .values()
            .partition(|p| p.daemon.data_centre == *place);
        let mut named = Vec::new();
        while named.len() < self.settings.sample_size && near.len() + far.len() > 0 {
            let half = named.len() * 2 < self.settings.sample_size;
            let pool = if near.is_empty() || !half && !far.is_empty() {
                &mut far
            } else {
                &mut near
            };
            named.push(pool.swap_remove(self.rng.random_range(0..pool.len())));
        }
        let me = KnownPeer {
            daemon: self.me.clone(),
            age: 0,
        };
        let named = named.into_iter().map(|peer| KnownPeer {
            daemon: peer.daemon.clone(),
            age: (now.since(peer.seen).as_millis() / TENTH.as_millis())
                .try_into()
                .unwrap_or(u16::MAX),
        });
        std::iter::once(me).chain(named).collect()
    }

    /// Peers of the own data centre.
    pub fn near_peers(&self) -> Vec<SocketAddr> {
        let near = &self.me.data_centre;
        let peers = self.peers.values();
        let peers = peers.filter(|p| p.daemon.data_centre == *near);
        peers.map(|p| p.daemon.address).collect()
    }

    /// Peers, and the time since anybody heard them.
    pub fn peers(&self, now: Mono) -> Vec<(Daemon, Duration)> {
        let peers = self.peers.values();
        let peers = peers.map(|p| (p.daemon.clone(), now.since(p.seen)));
        peers.collect()
    }

    /// Any peer of the own data centre.
    pub fn random_near(&mut self) -> Option<SocketAddr> {
        let near = self.near_peers();
        (!near.is_empty()).then(|| near[self.rng.random_range(0..near.len())])
    }

    /// Peer of the own data centre to ask for news: mostly one of the largest, otherwise any.
    pub fn pull_peer(&mut self) -> Option<SocketAddr> {
        let near = &self.me.data_centre;
        let peers = self.peers.values();
        let near = peers.filter(|p| p.daemon.data_centre == *near);
        let mut near: Vec<&Daemon> = near.map(|p| &p.daemon).collect();
        near.sort_by_key(|d| d.rank());
        let largest = near.first()?.capacity;
        let large = near.iter().filter(|d| d.capacity == largest).count();
        let among = if self.rng.random_range(0..3) > 0 {
            large
        } else {
            near.len()
        };
        Some(near[self.rng.random_range(0..among)].address)
    }

    /// Peers in other data centres that pass news on, a few of each, others each time; one of each
    /// is among the largest.
    pub fn relays(&mut self) -> Vec<SocketAddr> {
        let mut by_place: BTreeMap<Name, Vec<&Daemon>> = BTreeMap::new();
        for peer in self.peers.values() {
            let place = &peer.daemon.data_centre;
            if *place != self.me.data_centre {
                let peers = by_place.entry(place.clone()).or_default();
                peers.push(&peer.daemon);
            }
        }
        let mut out = Vec::new();
        for mut peers in by_place.into_values() {
            peers.sort_by_key(|d| d.rank());
            let largest = peers.first().map(|d| d.capacity);
            let large = peers.iter().filter(|d| Some(d.capacity) == largest).count();
            let i = self.rng.random_range(0..large);
            out.push(peers.swap_remove(i).address);
            for _ in 1..self.settings.relays_per_data_centre.min(peers.len() + 1) {
                let i = self.rng.random_range(0..peers.len());
                out.push(peers.swap_remove(i).address);
            }
        }
        out
    }

    /// Notes when a daemon was there; returns whether it is new.
    fn see(&mut self, daemon: &Daemon, at: Mono) -> bool {
        if daemon.address == self.me.address {
            return false;
        }
        if let Some(known) = self.peers.get_mut(&daemon.address) {
            if known.daemon.started_ms == daemon.started_ms {
                known.seen = known.seen.max(at);
                return false;
            }
            if known.daemon.started_ms > daemon.started_ms {
                return false;
            }
        } else if self.peers.len() >= self.settings.capacity {
            return false;
        }
        let peer = Peer {
            daemon: daemon.clone(),
            seen: at,
        };
        self.peers.insert(daemon.address, peer);
        true
    }
}
