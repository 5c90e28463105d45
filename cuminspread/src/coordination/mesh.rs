//! Peer discovery and relays without a published VM list.
//!
//! A daemon starts with a few seed addresses, any of which may be down. It sends hellos to all
//! seeds until a peer answers, and from then on to one random peer at a time, usually a near one.
//! Each answer names a few more peers and the time since any daemon last heard from them. This
//! information spreads by gossip, so that a daemon knows all peers although it hears from most of
//! them directly only once in minutes. Updates from the store go to all peers of its data centre
//! and to two relays in each other data centre, so that links between data centres carry a fixed
//! number of copies, whatever the size of the fleet.
//!
//! An update reaches only daemons that its sender knows. A daemon therefore introduces itself to each
//! near peer that it learns of and that may not know it yet, and a response to a hello says which
//! versions there are. A daemon that is stopping is no peer any more, but still serves its callers: it gets
//! updates until it would have been forgotten if it had been lost.
//!
//! Load pattern: all daemons start at once and know three addresses; later many of them are killed
//! together, and the relays may be among them.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt as _;
use rand_pcg::Pcg32;

use crate::protocol::gossip::{Daemon, KnownPeer};
use crate::state::Name;
use crate::state::time::Mono;

/// Unit of [`KnownPeer::age`].
const AGE_UNIT: Duration = Duration::from_millis(100);
/// One in this many hellos goes to any peer, the rest to near peers.
const ANY_PEER_HELLO_EVERY: u32 = 8;
/// Time for which a daemon that was lost counts in [`Mesh::known_fraction`].
const FLEET_MEMORY: Duration = Duration::from_secs(600);
/// One in this many hellos goes to a seed, so that separated groups of daemons find each other.
const SEED_HELLO_EVERY: u32 = 16;

/// Error of the time at which a peer was heard, after some daemons have passed it on.
const HEARD_ERROR: Duration = Duration::from_secs(1);
/// Growth of the fleet, as a fraction, from which on the daemon counts as still learning of it.
const NOTABLE_GROWTH: f32 = 0.25;
/// Time without notable growth after which a daemon knows the fleet.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Answers to hellos that have to come in that time, each with a random sample of the fleet; many
/// may be lost.
const SETTLE_ANSWERS: u32 = 3;

/// Settings of the mesh.
#[derive(Debug, Clone)]
pub struct MeshSettings {
    /// Time between hellos to the seeds until the first peer is known.
    pub search_interval: Duration,
    /// Mean time between hellos once a peer is known.
    pub hello_interval: Duration,
    /// Time after which a peer that no daemon has heard from is removed; gossip needs some seconds
    /// to reach 600 daemons.
    pub expire_after: Duration,
    /// Relays in each other data centre.
    pub relays_per_data_centre: usize,
    /// Maximum number of peers named in one answer; each takes about 30 bytes, and all must fit
    /// into a datagram.
    pub sample_size: usize,
    /// Maximum number of peers kept.
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
    /// When any daemon last heard from it.
    last_heard: Mono,
}

/// Peers of one daemon.
#[derive(Debug)]
pub struct Mesh {
    settings: MeshSettings,
    me: Daemon,
    seeds: Vec<SocketAddr>,
    peers: BTreeMap<SocketAddr, Peer>,
    /// Daemons that stop, and when they said so: they still serve open connections.
    leaving: BTreeMap<SocketAddr, Peer>,
    rng: Pcg32,
    next_hello: Mono,
    /// Largest recent number of daemons, without those that have left, and when it was reached.
    largest_size: (usize, Mono),
    /// Number of daemons after the last notable growth, or a smaller one since.
    settled_size: usize,
    /// Time of that growth, and the answers to hellos since.
    grown: (Mono, u32),
    /// Peers have come, changed or gone since [`Mesh::take_changed`].
    changed: bool,
}

impl Mesh {
    /// Mesh that knows only the seed addresses; `seed` is for its random choices.
    pub fn new(settings: MeshSettings, me: Daemon, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        let mut this = Self {
            settings,
            me,
            seeds: Vec::new(),
            peers: BTreeMap::new(),
            leaving: BTreeMap::new(),
            rng: Pcg32::new(seed, 7),
            next_hello: Mono::default(),
            largest_size: (1, Mono::default()),
            settled_size: 1,
            grown: (Mono::default(), 0),
            changed: false,
        };
        this.set_seeds(seeds);
        this
    }

    /// This daemon, as it names itself to peers.
    pub fn me(&self) -> &Daemon {
        &self.me
    }

    /// Replaces the seed addresses; the daemon's own address is left out.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        let me = self.me.address;
        self.seeds = seeds.into_iter().filter(|s| *s != me).collect();
    }

    /// Number of known daemons, this one included.
    pub fn size(&self) -> usize {
        1 + self.peers.len()
    }

    /// All known peers.
    pub fn daemons(&self) -> impl Iterator<Item = &Daemon> {
        self.peers.values().map(|p| &p.daemon)
    }

    /// Whether peers have come, changed or gone since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Address at which a daemon takes forwarded requests; `None` if it isn't known or has started
    /// again.
    pub fn forward_address(&self, daemon: SocketAddr, started_ms: u64) -> Option<SocketAddr> {
        let peer = self.peers.get(&daemon)?;
        let is_same = peer.daemon.started_ms == started_ms;
        is_same.then(|| peer.daemon.forward_address())?
    }

    /// Known part of the fleet, above 0 and up to 1: daemons that were lost without notice in the
    /// last ten minutes may run on in another partition.
    pub fn known_fraction(&mut self, now: Mono) -> f32 {
        let size = self.size();
        let (largest, at) = self.largest_size;
        if size >= largest || now.since(at) >= FLEET_MEMORY {
            self.largest_size = (size, now);
            return 1.0;
        }
        size as f32 / largest as f32
    }

    /// Whether this daemon knows most of the fleet; to be called at each tick.
    ///
    /// A daemon that has seeds and hears from nobody may be cut off from a fleet of any size.
    pub fn is_settled(&mut self, now: Mono) -> bool {
        let size = self.size();
        if size as f32 > self.settled_size as f32 * (1.0 + NOTABLE_GROWTH) {
            self.settled_size = size;
            self.grown = (now, 0);
        }
        self.settled_size = self.settled_size.min(size);
        if self.peers.is_empty() {
            return self.seeds.is_empty();
        }
        let (grown, answers) = self.grown;
        now.since(grown) >= SETTLE_TIME && answers >= SETTLE_ANSWERS
    }

    /// Records a message from a daemon; returns whether the daemon is new or has started again.
    pub fn record_heard(&mut self, now: Mono, daemon: &Daemon) -> bool {
        // Whatever its time of day, the daemon itself tells of its last start.
        for known in [&mut self.peers, &mut self.leaving] {
            let start = known.get(&daemon.address).map(|p| p.daemon.started_ms);
            if start.is_some_and(|s| s != daemon.started_ms) {
                known.remove(&daemon.address);
            }
        }
        self.record_named(daemon, now)
    }

    /// Merges the peers that another daemon named; returns those that are new.
    pub fn merge_known(&mut self, now: Mono, named: &[KnownPeer]) -> Vec<Daemon> {
        let mut new = Vec::new();
        self.grown.1 = self.grown.1.saturating_add(1);
        for peer in named {
            let age = AGE_UNIT * u32::from(peer.age);
            if age < self.settings.expire_after && self.record_named(&peer.daemon, now - age) {
                new.push(peer.daemon.clone());
            }
        }
        new
    }

    /// How this daemon introduces itself to peers that it has just learned of.
    pub fn introduction(&self) -> KnownPeer {
        KnownPeer {
            daemon: self.me.clone(),
            age: 0,
        }
    }

    /// Those of some daemons that are in this daemon's data centre.
    pub fn near_among(&self, daemons: &[Daemon]) -> Vec<SocketAddr> {
        let near = daemons
            .iter()
            .filter(|d| d.data_centre == self.me.data_centre);
        near.map(|d| d.address).collect()
    }

    /// Records that a daemon stops, unless it has started again since.
    ///
    /// It is no peer any more, whatever it or others send later, but still gets updates. Returns whether
    /// it was a peer.
    pub fn record_leaving(&mut self, now: Mono, daemon: &Daemon) -> bool {
        let known = self.peers.get(&daemon.address);
        if known.is_none_or(|p| p.daemon.started_ms > daemon.started_ms) {
            return false;
        }
        self.peers.remove(&daemon.address);
        let peer = Peer {
            daemon: daemon.clone(),
            last_heard: now,
        };
        self.leaving.insert(daemon.address, peer);
        self.changed = true;
        self.largest_size.0 = self.largest_size.0.saturating_sub(1).max(1);
        true
    }

    /// Time of the next hello.
    pub fn next_hello(&self) -> Mono {
        self.next_hello
    }

    /// Peers to send a hello to now; empty if none is due.
    pub fn hello_targets(&mut self, now: Mono) -> Vec<SocketAddr> {
        if now < self.next_hello {
            return Vec::new();
        }
        let expire_after = self.settings.expire_after;
        let before = self.peers.len();
        self.peers
            .retain(|_, p| now.since(p.last_heard) < expire_after);
        self.changed |= self.peers.len() != before;
        self.leaving
            .retain(|_, p| now.since(p.last_heard) < expire_after);
        if self.peers.is_empty() {
            self.next_hello = now + self.settings.search_interval;
            return self.seeds.clone();
        }
        let spread = self.rng.random_range(0.75..1.25);
        self.next_hello = now + self.settings.hello_interval.mul_f64(spread);
        let mut pool: Vec<SocketAddr> = self.near_peers();
        if pool.is_empty() || self.rng.random_range(0..ANY_PEER_HELLO_EVERY) == 0 {
            pool = self.peers.keys().copied().collect();
        }
        if !self.seeds.is_empty() && self.rng.random_range(0..SEED_HELLO_EVERY) == 0 {
            pool.clone_from(&self.seeds);
        }
        vec![pool[self.rng.random_range(0..pool.len())]]
    }

    /// Random peers to name to a peer of the given data centre, this daemon first.
    ///
    /// Half are of that data centre, since the receiver forwards updates to all of them.
    pub fn sample_peers(&mut self, now: Mono, data_centre: &Name) -> Vec<KnownPeer> {
        let (mut near, mut far): (Vec<&Peer>, Vec<&Peer>) = self
            .peers
            .values()
            .partition(|p| p.daemon.data_centre == *data_centre);
        let mut sample = Vec::new();
        while sample.len() < self.settings.sample_size && near.len() + far.len() > 0 {
            let below_half = sample.len() * 2 < self.settings.sample_size;
            let pool = if near.is_empty() || !below_half && !far.is_empty() {
                &mut far
            } else {
                &mut near
            };
            sample.push(pool.swap_remove(self.rng.random_range(0..pool.len())));
        }
        let me = self.introduction();
        let sample = sample.into_iter().map(|peer| KnownPeer {
            daemon: peer.daemon.clone(),
            age: (now.since(peer.last_heard).as_millis() / AGE_UNIT.as_millis())
                .try_into()
                .unwrap_or(u16::MAX),
        });
        std::iter::once(me).chain(sample).collect()
    }

    /// Addresses of all near peers, which are in this daemon's data centre.
    pub fn near_peers(&self) -> Vec<SocketAddr> {
        self.near_of(self.peers.values())
    }

    /// Addresses of all near daemons that get updates: the near peers, and those that are leaving.
    ///
    /// Load pattern: the configuration changes during a rolling restart, while daemons that stop
    /// still have callers.
    pub fn near_receivers(&self) -> Vec<SocketAddr> {
        self.near_of(self.peers.values().chain(self.leaving.values()))
    }

    fn near_of<'a>(&self, peers: impl Iterator<Item = &'a Peer>) -> Vec<SocketAddr> {
        let near = peers.filter(|p| p.daemon.data_centre == self.me.data_centre);
        near.map(|p| p.daemon.address).collect()
    }

    /// All known peers, each with the time since any daemon heard from it.
    pub fn peers(&self, now: Mono) -> Vec<(Daemon, Duration)> {
        let peers = self.peers.values();
        let peers = peers.map(|p| (p.daemon.clone(), now.since(p.last_heard)));
        peers.collect()
    }

    /// A random near peer.
    pub fn random_near(&mut self) -> Option<SocketAddr> {
        let near = self.near_peers();
        (!near.is_empty()).then(|| near[self.rng.random_range(0..near.len())])
    }

    /// Random near peer to pull updates from, but none of `unreachable`; two times in three it is
    /// one of the largest.
    pub fn pull_peer(&mut self, unreachable: &[SocketAddr]) -> Option<SocketAddr> {
        let near = &self.me.data_centre;
        let peers = self.peers.values();
        let near = peers.filter(|p| p.daemon.data_centre == *near);
        let near = near.filter(|p| !unreachable.contains(&p.daemon.address));
        let mut near: Vec<&Daemon> = near.map(|p| &p.daemon).collect();
        near.sort_by_key(|d| d.rank());
        let largest = near.first()?.capacity;
        let large = near.iter().filter(|d| d.capacity == largest).count();
        let candidates = if self.rng.random_range(0..3) > 0 {
            large
        } else {
            near.len()
        };
        Some(near[self.rng.random_range(0..candidates)].address)
    }

    /// Random peers of other data centres that forward updates there.
    ///
    /// Each call picks anew; the first of each data centre is one of its largest.
    pub fn relays(&mut self) -> Vec<SocketAddr> {
        let mut by_data_centre: BTreeMap<Name, Vec<&Daemon>> = BTreeMap::new();
        for peer in self.peers.values() {
            let data_centre = &peer.daemon.data_centre;
            if *data_centre != self.me.data_centre {
                let peers = by_data_centre.entry(data_centre.clone()).or_default();
                peers.push(&peer.daemon);
            }
        }
        let mut out = Vec::new();
        for mut peers in by_data_centre.into_values() {
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

    /// Records a daemon that another one has heard at a time; returns whether it is new or has started
    /// again.
    pub fn record_named(&mut self, daemon: &Daemon, at: Mono) -> bool {
        if daemon.address == self.me.address {
            return false;
        }
        let leaving = self.leaving.get(&daemon.address);
        if leaving.is_some_and(|p| !replaces(p, daemon, at)) {
            return false;
        }
        if let Some(known) = self.peers.get_mut(&daemon.address) {
            if known.daemon.started_ms == daemon.started_ms {
                known.last_heard = known.last_heard.max(at);
                // Daemons of older formats that name a peer leave its port out.
                if daemon.forward_port != 0 && known.daemon.forward_port != daemon.forward_port {
                    known.daemon.forward_port = daemon.forward_port;
                    self.changed = true;
                }
                return false;
            }
            if !replaces(known, daemon, at) {
                return false;
            }
        } else if self.peers.len() >= self.settings.capacity {
            return false;
        }
        let peer = Peer {
            daemon: daemon.clone(),
            last_heard: at,
        };
        self.peers.insert(daemon.address, peer);
        self.leaving.remove(&daemon.address);
        self.changed = true;
        if self.size() >= self.largest_size.0 {
            self.largest_size = (self.size(), at);
        }
        true
    }
}

/// Whether a daemon that was heard at a time is a later start of a known one.
fn replaces(known: &Peer, daemon: &Daemon, at: Mono) -> bool {
    // The time of day may have been set back between two starts.
    match daemon.started_ms.cmp(&known.daemon.started_ms) {
        Ordering::Equal => false,
        Ordering::Greater => at + HEARD_ERROR >= known.last_heard,
        Ordering::Less => at > known.last_heard + HEARD_ERROR,
    }
}
