//! Which peer gets a request that this daemon can't send to a server itself.
//!
//! A request is forwarded once at most: a peer that gets one serves it or says that it has not run.
//! Peers report which services they reach no server of, and when that ends. Reports get lost, so what
//! a peer says of a request is remembered, too, for a longer time each time. Near peers (in this data centre) come first, unless most of them are of
//! no use: the few others must not take the requests of a whole data centre. Of two random peers,
//! larger ones more often, the one with fewer requests of this daemon is chosen.
//!
//! Load pattern: some daemons of a data centre, most, or all of them are cut off from the servers at
//! the same moment, and their callers stay with them.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use rand::RngExt as _;
use rand_pcg::Pcg32;

use crate::state::Name;
use crate::state::time::Mono;

/// Time for which a peer that took no request is left out after the first time.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest such time.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Time for which a peer with an older configuration is left out.
const OUTDATED_PAUSE: Duration = Duration::from_millis(200);
/// Time for which a report that a peer reaches no server holds without another one.
const REPORT_TTL: Duration = Duration::from_secs(5);
/// Attempts at near peers before far ones are tried as well.
const NEAR_ATTEMPTS: usize = 2;

/// A peer that takes forwarded requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardPeer {
    /// Address for forwarded requests.
    pub address: SocketAddr,
    /// Start of the peer, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// In this daemon's data centre.
    pub near: bool,
    /// Size of its VM relative to others.
    pub capacity: u16,
}

/// How a forwarded request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardEnd {
    /// The peer had a server for it.
    Taken,
    /// The peer reaches no server of the service either.
    NoServer,
    /// The peer's servers had no room for it.
    NoRoom,
    /// The configuration of the peer is older.
    Outdated,
    /// The peer can't be reached, is stopping, or gave no answer.
    Unavailable,
    /// The request itself is refused by all daemons.
    Refused,
    /// The caller left first.
    Cancelled,
}

/// Time for which a peer is left out.
#[derive(Debug, Clone, Copy, Default)]
struct Pause {
    until: Mono,
    times: u32,
}

impl Pause {
    fn extend(&mut self, now: Mono) {
        let pause = FIRST_PAUSE * (1 << self.times.min(6));
        self.times += 1;
        self.until = now + pause.min(MAX_PAUSE);
    }
}

#[derive(Debug, Clone)]
struct PeerState {
    peer: ForwardPeer,
    /// Requests of this daemon that it has now.
    in_flight: u32,
    pause: Pause,
    /// Services of which it reaches no server.
    without: BTreeMap<Name, Pause>,
}

/// Peers that take requests of this daemon.
#[derive(Debug, Default)]
pub struct Forwarding {
    peers: BTreeMap<SocketAddr, PeerState>,
}

impl Forwarding {
    /// Replaces the peers; what is known of those that stay is kept.
    pub fn set_peers(&mut self, peers: Vec<ForwardPeer>) {
        let mut former = std::mem::take(&mut self.peers);
        for peer in peers {
            let known = former.remove(&peer.address);
            let known = known.filter(|k| k.peer.started_ms == peer.started_ms);
            let state = known.unwrap_or_else(|| PeerState {
                peer: peer.clone(),
                in_flight: 0,
                pause: Pause::default(),
                without: BTreeMap::new(),
            });
            self.peers.insert(peer.address, state);
        }
    }

    /// Whether any peer is on this host, so that requests from it may be a peer's.
    pub fn has_host(&self, host: IpAddr) -> bool {
        self.peers.keys().any(|address| address.ip() == host)
    }

    /// Number of peers that take requests.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether no peer takes requests.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Chooses a peer for a request to `service` that none of `tried` took; `None` if none is left.
    pub fn choose(
        &self,
        now: Mono,
        service: &str,
        tried: &[SocketAddr],
        rng: &mut Pcg32,
    ) -> Option<SocketAddr> {
        self.choose_among(now, service, tried, |_| true, rng)
    }

    /// Like [`Self::choose`], among the peers that may have the request.
    pub fn choose_among(
        &self,
        now: Mono,
        service: &str,
        tried: &[SocketAddr],
        may_have: impl Fn(SocketAddr) -> bool,
        rng: &mut Pcg32,
    ) -> Option<SocketAddr> {
        let is_usable = |p: &&PeerState| {
            now >= p.pause.until
                && may_have(p.peer.address)
                && p.without.get(service).is_none_or(|w| now >= w.until)
                && !tried.contains(&p.peer.address)
        };
        let usable: Vec<&PeerState> = self.peers.values().filter(is_usable).collect();
        let near: Vec<&PeerState> = usable.iter().filter(|p| p.peer.near).copied().collect();
        let all_near = self.peers.values().filter(|p| p.peer.near).count();
        let prefers_near =
            tried.len() < NEAR_ATTEMPTS && !near.is_empty() && 2 * near.len() >= all_near;
        let pool = if prefers_near { near } else { usable };
        let first = pick_by_capacity(&pool, rng)?;
        let second = pick_by_capacity(&pool, rng)?;
        // Requests for each unit of capacity, compared without a division.
        let load = |a: &PeerState, b: &PeerState| {
            u64::from(a.in_flight + 1) * u64::from(b.peer.capacity.max(1))
        };
        let chosen = if load(first, second) <= load(second, first) {
            first
        } else {
            second
        };
        Some(chosen.peer.address)
    }

    /// Records a peer's report of whether it reaches the servers of a service.
    pub fn record_reach(&mut self, now: Mono, peer: SocketAddr, service: &Name, lost: bool) {
        let Some(state) = self.peers.get_mut(&peer) else {
            return;
        };
        state.without.retain(|_, pause| now < pause.until);
        if lost {
            let until = now + REPORT_TTL;
            let pause = Pause { until, times: 0 };
            state.without.insert(service.clone(), pause);
        } else {
            state.without.remove(service);
        }
    }

    /// Records that a peer gets a request.
    pub fn record_sent(&mut self, peer: SocketAddr) {
        if let Some(state) = self.peers.get_mut(&peer) {
            state.in_flight += 1;
        }
    }

    /// Records the end of a request at a peer.
    pub fn record_end(&mut self, now: Mono, peer: SocketAddr, service: &Name, end: ForwardEnd) {
        let Some(state) = self.peers.get_mut(&peer) else {
            return;
        };
        state.in_flight = state.in_flight.saturating_sub(1);
        match end {
            ForwardEnd::Taken => {
                state.pause = Pause::default();
                state.without.remove(service);
            }
            ForwardEnd::NoServer => state
                .without
                .entry(service.clone())
                .or_default()
                .extend(now),
            ForwardEnd::NoRoom | ForwardEnd::Refused | ForwardEnd::Cancelled => {}
            ForwardEnd::Outdated => state.pause.until = now + OUTDATED_PAUSE,
            ForwardEnd::Unavailable => state.pause.extend(now),
        }
    }
}

/// Picks a peer at random, with a probability in proportion to its capacity.
fn pick_by_capacity<'a>(pool: &[&'a PeerState], rng: &mut Pcg32) -> Option<&'a PeerState> {
    let weight = |p: &&PeerState| u32::from(p.peer.capacity.max(1));
    let total: u32 = pool.iter().map(weight).sum();
    if total == 0 {
        return None;
    }
    let mut left = rng.random_range(0..total);
    pool.iter()
        .find(|p| {
            let w = weight(p);
            let is_picked = left < w;
            left = left.saturating_sub(w);
            is_picked
        })
        .copied()
}
