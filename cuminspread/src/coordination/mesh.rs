//! Peers that find each other without a published list.
//!
//! A daemon starts with a few seeds, any of which may be down. It greets them until one answers, and
//! later greets one random peer at a time; each answer names a few more peers. News of the store goes
//! to all peers of the own data centre and to two relays in each other one, so that links between
//! data centres carry a fixed number of copies, whatever the size of the fleet.
//!
//! Load pattern: all daemons start at once and know three addresses; later many of them are killed
//! together, and the relays may be among them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt as _;
use rand_pcg::Pcg32;

use crate::protocol::bulletin::Daemon;
use crate::state::Name;
use crate::state::time::Mono;

/// Settings of the mesh.
#[derive(Debug, Clone)]
pub struct MeshSettings {
    /// Time between greetings until the first peer is known.
    pub search: Duration,
    /// Time between greetings after that.
    pub greet: Duration,
    /// Silence after which a peer is no relay and counts as away.
    pub away: Duration,
    /// Silence after which a peer is forgotten.
    pub forget: Duration,
    /// Relays in each other data centre.
    pub relays: usize,
    /// Peers named in one answer; about 30 bytes each.
    pub sample: usize,
    /// Peers known at most.
    pub capacity: usize,
}

impl Default for MeshSettings {
    fn default() -> Self {
        Self {
            search: Duration::from_millis(200),
            greet: Duration::from_secs(1),
            away: Duration::from_secs(8),
            forget: Duration::from_secs(60),
            relays: 2,
            sample: 24,
            capacity: 1024,
        }
    }
}

#[derive(Debug, Clone)]
struct Peer {
    daemon: Daemon,
    /// Last time that it was heard itself; `None` if others only name it.
    heard: Option<Mono>,
    /// Last time that anybody named it.
    named: Mono,
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
        let seeds = seeds.into_iter().filter(|s| *s != me.address).collect();
        Self {
            settings,
            me,
            seeds,
            peers: BTreeMap::new(),
            rng: Pcg32::new(seed, 7),
            next_greeting: Mono::default(),
        }
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

    /// Daemons that were heard lately, this one included.
    pub fn size(&self, now: Mono) -> usize {
        1 + self.peers.values().filter(|p| self.is_here(now, p)).count()
    }

    /// A daemon spoke; returns whether it is new or was away.
    pub fn heard(&mut self, now: Mono, daemon: &Daemon) -> bool {
        if daemon.address == self.me.address {
            return false;
        }
        let known = self.peers.get(&daemon.address);
        if known.is_some_and(|p| p.daemon.started > daemon.started) {
            return false;
        }
        let new = known.is_none_or(|p| !self.is_here(now, p) || p.daemon.started < daemon.started);
        self.insert(Peer {
            daemon: daemon.clone(),
            heard: Some(now),
            named: now,
        });
        new
    }

    /// A peer names others.
    pub fn named(&mut self, now: Mono, daemons: &[Daemon]) {
        for daemon in daemons {
            if daemon.address == self.me.address {
                continue;
            }
            match self.peers.get_mut(&daemon.address) {
                Some(peer) if peer.daemon.started >= daemon.started => {}
                _ => self.insert(Peer {
                    daemon: daemon.clone(),
                    heard: None,
                    named: now,
                }),
            }
        }
    }

    /// A daemon stops.
    pub fn left(&mut self, daemon: &Daemon) {
        let known = self.peers.get(&daemon.address);
        if known.is_some_and(|p| p.daemon.started <= daemon.started) {
            self.peers.remove(&daemon.address);
        }
    }

    /// Time of the next greeting.
    pub fn next_greeting(&self) -> Mono {
        self.next_greeting
    }

    /// Peers to greet now, if a greeting is due.
    pub fn greet(&mut self, now: Mono) -> Vec<SocketAddr> {
        if now < self.next_greeting {
            return Vec::new();
        }
        self.forget(now);
        let here: Vec<SocketAddr> = self
            .peers
            .values()
            .filter(|p| self.is_here(now, p))
            .map(|p| p.daemon.address)
            .collect();
        if here.is_empty() {
            self.next_greeting = now + self.settings.search;
            let named = self.peers.keys().copied().take(self.settings.relays);
            return self.seeds.iter().copied().chain(named).collect();
        }
        let spread = self.rng.random_range(0.75..1.25);
        self.next_greeting = now + self.settings.greet.mul_f64(spread);
        // Peers that are only known by name are greeted first, mostly near ones.
        let near = &self.me.data_centre;
        let unheard = self.peers.values().filter(|p| p.heard.is_none());
        let mut unheard: Vec<&Peer> = unheard.collect();
        unheard.sort_by_key(|p| p.daemon.data_centre != *near);
        if let Some(peer) = unheard.first() {
            return vec![peer.daemon.address];
        }
        // Now and then a seed is asked again, so that separated groups meet.
        let pool = if self.rng.random_range(0..8) == 0 && !self.seeds.is_empty() {
            &self.seeds
        } else {
            &here
        };
        vec![pool[self.rng.random_range(0..pool.len())]]
    }

    /// Peers to name to one that asked, this daemon first.
    pub fn sample(&mut self, now: Mono) -> Vec<Daemon> {
        let mut here: Vec<Daemon> = self
            .peers
            .values()
            .filter(|p| self.is_here(now, p))
            .map(|p| p.daemon.clone())
            .collect();
        let mut out = vec![self.me.clone()];
        while out.len() < self.settings.sample && !here.is_empty() {
            let i = self.rng.random_range(0..here.len());
            out.push(here.swap_remove(i));
        }
        out
    }

    /// Peers of the own data centre.
    pub fn near(&self, now: Mono) -> Vec<SocketAddr> {
        let near = &self.me.data_centre;
        let peers = self.peers.values();
        let peers = peers.filter(|p| p.daemon.data_centre == *near && self.may_be_here(now, p));
        peers.map(|p| p.daemon.address).collect()
    }

    /// Peers in other data centres that pass news on, a few of each.
    pub fn relays(&mut self, now: Mono) -> Vec<SocketAddr> {
        let mut by_place: BTreeMap<Name, Vec<(bool, SocketAddr)>> = BTreeMap::new();
        for peer in self.peers.values() {
            let place = &peer.daemon.data_centre;
            if *place != self.me.data_centre && self.may_be_here(now, peer) {
                let peers = by_place.entry(place.clone()).or_default();
                peers.push((self.is_here(now, peer), peer.daemon.address));
            }
        }
        let mut out = Vec::new();
        for (_, mut peers) in by_place {
            if peers.iter().any(|(here, _)| *here) {
                peers.retain(|(here, _)| *here);
            }
            for _ in 0..self.settings.relays.min(peers.len()) {
                let i = self.rng.random_range(0..peers.len());
                out.push(peers.swap_remove(i).1);
            }
        }
        out
    }

    fn is_here(&self, now: Mono, peer: &Peer) -> bool {
        peer.heard
            .is_some_and(|t| now.since(t) < self.settings.away)
    }

    /// Heard lately, or named and not yet greeted.
    fn may_be_here(&self, now: Mono, peer: &Peer) -> bool {
        self.is_here(now, peer) || now.since(peer.named) < self.settings.away
    }

    fn insert(&mut self, peer: Peer) {
        let known = self.peers.contains_key(&peer.daemon.address);
        if known || self.peers.len() < self.settings.capacity {
            self.peers.insert(peer.daemon.address, peer);
        }
    }

    fn forget(&mut self, now: Mono) {
        let forget = self.settings.forget;
        let away = self.settings.away;
        self.peers.retain(|_, p| match p.heard {
            Some(heard) => now.since(heard) < forget,
            None => now.since(p.named) < away,
        });
    }
}
