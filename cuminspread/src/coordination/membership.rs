//! Membership: the VM list of the platform, and which of its VMs are alive.
//!
//! The VM list says which VMs belong to the fleet; it may be outdated. A peer is alive once any
//! message of it was received, until it is suspect or stops. VMs are pinged in turn, directly and,
//! if that gets no answer, through other peers, as in SWIM (Das et al., 2002). Suspicion is
//! gossiped with the pings, and any later message of the VM ends it. Liveness never decides the
//! outcome of a call; it only selects the peers to send to.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::coordination::event::Action;
use crate::protocol::member::{ListMark, Liveness, MemberMessage, MemberUpdate};
use crate::protocol::message::Message;
use crate::state::Name;
use crate::state::fleet::FleetList;
use crate::state::time::Mono;

/// Settings of membership.
#[derive(Debug, Clone)]
pub struct MemberSettings {
    /// Time between pings.
    pub ping_interval: Duration,
    /// Time without an answer after which other peers are asked to ping the VM; after three times
    /// as long the VM is suspect.
    pub ping_timeout: Duration,
    /// Number of peers that are asked to ping a VM.
    pub indirect_pings: usize,
    /// Time after which a newly listed daemon uses its place in the VM list, and a smaller number
    /// of daemons counts.
    pub place_delay: Duration,
    /// Time after which an unchanged place is returned again, if its list was confirmed meanwhile.
    pub place_repeat_interval: Duration,
    /// Number of peers that configuration is exchanged with.
    pub spread_peers: usize,
    /// Number of daemons that watch the platform's VM list; the rest get its changes from peers and
    /// read it only every `idle_read_interval`.
    pub list_watchers: usize,
    /// Time between reads of the VM list by a daemon that does not watch it.
    pub idle_read_interval: Duration,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            ping_interval: Duration::from_secs(1),
            ping_timeout: Duration::from_millis(400),
            indirect_pings: 2,
            place_delay: Duration::from_secs(20),
            place_repeat_interval: Duration::from_secs(10),
            spread_peers: 8,
            list_watchers: 4,
            idle_read_interval: Duration::from_secs(60),
        }
    }
}

#[derive(Debug, Clone, Default)]
struct Peer {
    incarnation: u64,
    heard: Option<Mono>,
    suspect: bool,
}

/// A ping without an answer so far.
#[derive(Debug)]
struct PendingPing {
    nonce: u32,
    target: Name,
    sent: Mono,
    indirect: bool,
}

/// A ping on behalf of a peer.
#[derive(Debug)]
struct Relay {
    nonce: u32,
    target: Name,
    /// Peer that asked for the ping.
    to: Name,
    /// Nonce of that peer's request.
    their_nonce: u32,
}

/// Number of messages that carry each update.
const MESSAGES_PER_UPDATE: u32 = 8;
const MAX_UPDATES_PER_MESSAGE: usize = 4;
const MAX_UPDATES: usize = 64;
const MAX_RELAYS: usize = 32;
/// Number of peers that a graceful stop is announced to; gossip reaches the rest of the fleet.
const STOP_ANNOUNCEMENTS: usize = 9;
/// Number of pings after the start that follow each other at [`START_PING_INTERVAL`].
const START_PINGS: u32 = 12;
const START_PING_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time between two requests for a peer's VM list.
const WANT_LIST_INTERVAL: Duration = Duration::from_millis(300);
/// Time until a daemon that watches the VM list reads again if no read returned meanwhile.
const WATCH_RETRY: Duration = Duration::from_secs(10);
/// Time between reads while there is no VM list.
const FIRST_READ_INTERVAL: Duration = Duration::from_secs(2);

/// Membership as one daemon knows it.
#[derive(Debug)]
pub struct Members {
    settings: MemberSettings,
    name: Name,
    incarnation: u64,
    list: FleetList,
    /// VMs that stopped gracefully.
    stopped: BTreeSet<Name>,
    peers: BTreeMap<Name, Peer>,
    /// VMs that are still to be pinged in this round.
    ping_order: Vec<Name>,
    pending_pings: Vec<PendingPing>,
    relays: VecDeque<Relay>,
    /// Updates to gossip, each with the number of messages that are still to carry it.
    updates: VecDeque<(MemberUpdate, u32)>,
    next_ping: Mono,
    pings: u32,
    last_nonce: u32,
    next_want_list: Mono,
    next_read: Mono,
    /// Lengths of recent VM lists, and when each was received.
    sizes: VecDeque<(Mono, u32)>,
    listed_since: Option<Mono>,
    /// Last returned position in the VM list, and number of daemons.
    place: Option<(u32, u32)>,
    /// When the place was last returned as an action.
    placed: Mono,
    /// When the platform or a peer last confirmed the current list.
    confirmed: Mono,
    /// Last result of [`Members::spread_peers`].
    spread_peers: Vec<Name>,
    rng: Pcg64Mcg,
}

impl Members {
    /// Membership without a VM list, for the daemon on the VM `name`.
    pub fn new(settings: MemberSettings, name: Name, incarnation: u64, seed: u64) -> Self {
        // Daemons with the same seed must not make the same random choices.
        let name_hash = rank(0, &name);
        Self {
            settings,
            name,
            incarnation,
            list: FleetList::default(),
            stopped: BTreeSet::new(),
            peers: BTreeMap::new(),
            ping_order: Vec::new(),
            pending_pings: Vec::new(),
            relays: VecDeque::new(),
            updates: VecDeque::new(),
            next_ping: Mono(0),
            pings: 0,
            last_nonce: 0,
            next_want_list: Mono(0),
            next_read: Mono(0),
            sizes: VecDeque::new(),
            listed_since: None,
            place: None,
            placed: Mono(0),
            confirmed: Mono(0),
            spread_peers: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed ^ mix(name_hash)),
        }
    }

    /// Version of the current VM list.
    pub fn mark(&self) -> ListMark {
        ListMark {
            epoch: self.list.epoch,
            revision: self.list.revision,
        }
    }

    /// VMs of the current list.
    pub fn listed(&self) -> impl Iterator<Item = &Name> {
        self.list.vms.iter().map(|vm| &vm.name)
    }

    /// Whether the VM is in the current list.
    pub fn is_listed(&self, name: &Name) -> bool {
        self.listed().any(|n| n == name)
    }

    /// Peers that are alive.
    pub fn live(&self) -> impl Iterator<Item = &Name> {
        let live = |(name, peer): &(&Name, &Peer)| {
            peer.heard.is_some() && !peer.suspect && !self.stopped.contains(*name)
        };
        self.peers.iter().filter(live).map(|(name, _)| name)
    }

    /// Replaces the VM list; returns false if `list` is empty or not newer.
    pub fn handle_list(&mut self, now: Mono, list: FleetList, out: &mut Vec<Action>) -> bool {
        let mark = ListMark {
            epoch: list.epoch,
            revision: list.revision,
        };
        if mark <= self.mark() || list.vms.is_empty() {
            return false;
        }
        self.list = list;
        let listed: BTreeSet<_> = self.listed().cloned().collect();
        self.peers.retain(|name, _| listed.contains(name));
        self.stopped.retain(|name| listed.contains(name));
        self.sizes.push_back((now, self.list.vms.len() as u32));
        if !self.is_listed(&self.name) {
            self.listed_since = None;
        } else if self.listed_since.is_none() {
            self.listed_since = Some(now);
        }
        self.ping_order.clear();
        out.push(Action::Peers(self.list.clone()));
        true
    }

    /// Records a message of a peer.
    pub fn record_alive(&mut self, now: Mono, from: &Name, incarnation: u64) {
        let peer = self.peers.entry(from.clone()).or_default();
        let revived = peer.suspect || peer.incarnation != incarnation;
        peer.incarnation = incarnation;
        peer.heard = Some(now);
        peer.suspect = false;
        if revived {
            self.stopped.remove(from);
            self.gossip(from.clone(), incarnation, Liveness::Alive);
        }
    }

    /// Records that a peer, or this daemon, stopped gracefully.
    fn record_stopped(&mut self, name: &Name, incarnation: u64) {
        let known_incarnation = self.peers.get(name).map_or(0, |p| p.incarnation);
        if incarnation < known_incarnation || !self.stopped.insert(name.clone()) {
            return;
        }
        self.gossip(name.clone(), incarnation, Liveness::Left);
    }

    /// Announces the graceful stop of this daemon to some peers at once.
    pub fn announce_stop(&mut self, now: Mono, out: &mut Vec<Action>) {
        let name = self.name.clone();
        self.record_stopped(&name, self.incarnation);
        let peers: Vec<_> = self.live().take(STOP_ANNOUNCEMENTS).cloned().collect();
        for to in peers {
            self.ping(now, to, out);
        }
    }

    /// Compares the version of a peer's VM list with the current one; requests a newer list.
    pub fn compare_mark(&mut self, now: Mono, from: &Name, mark: ListMark, out: &mut Vec<Action>) {
        if mark == self.mark() {
            self.confirmed = now;
        }
        if mark > self.mark() && now >= self.next_want_list {
            self.next_want_list = now + WANT_LIST_INTERVAL;
            send(from.clone(), MemberMessage::WantList, out);
        }
    }

    /// Handles a message about liveness or VM lists.
    pub fn handle_message(
        &mut self,
        now: Mono,
        from: &Name,
        message: MemberMessage,
        out: &mut Vec<Action>,
    ) {
        match message {
            MemberMessage::Ping {
                nonce,
                mark,
                updates,
            } => {
                self.handle_updates(now, updates);
                self.compare_mark(now, from, mark, out);
                let alive = self.name.clone();
                self.ack(from.clone(), nonce, alive, self.incarnation, out);
            }
            MemberMessage::PingFor { nonce, target } => self.relay(from, nonce, target, out),
            MemberMessage::Ack {
                nonce,
                alive,
                incarnation,
                mark,
                updates,
            } => {
                self.handle_updates(now, updates);
                self.compare_mark(now, from, mark, out);
                self.handle_ack(now, nonce, &alive, incarnation, out);
            }
            MemberMessage::WantList if !self.list.vms.is_empty() => {
                send(from.clone(), MemberMessage::List(self.list.clone()), out);
            }
            MemberMessage::List(list) => {
                self.handle_list(now, list, out);
            }
            // There is no list to send yet.
            MemberMessage::WantList => {}
        }
    }

    fn ack(&mut self, to: Name, nonce: u32, alive: Name, incarnation: u64, out: &mut Vec<Action>) {
        let message = MemberMessage::Ack {
            nonce,
            alive,
            incarnation,
            mark: self.mark(),
            updates: self.next_updates(),
        };
        send(to, message, out);
    }

    fn relay(&mut self, from: &Name, their_nonce: u32, target: Name, out: &mut Vec<Action>) {
        let nonce = self.send_ping(target.clone(), out);
        self.relays.push_back(Relay {
            nonce,
            target,
            to: from.clone(),
            their_nonce,
        });
        if self.relays.len() > MAX_RELAYS {
            self.relays.pop_front();
        }
    }

    fn handle_ack(
        &mut self,
        now: Mono,
        nonce: u32,
        alive: &Name,
        incarnation: u64,
        out: &mut Vec<Action>,
    ) {
        if let Some(i) = self
            .pending_pings
            .iter()
            .position(|p| p.nonce == nonce && p.target == *alive)
        {
            self.pending_pings.swap_remove(i);
            self.record_alive(now, alive, incarnation);
        }
        let relay = self
            .relays
            .iter()
            .position(|r| r.nonce == nonce && r.target == *alive);
        if let Some(relay) = relay.and_then(|i| self.relays.remove(i)) {
            self.ack(relay.to, relay.their_nonce, relay.target, incarnation, out);
        }
    }

    fn handle_updates(&mut self, now: Mono, updates: Vec<MemberUpdate>) {
        for update in updates {
            self.handle_update(now, update);
        }
    }

    fn handle_update(&mut self, now: Mono, update: MemberUpdate) {
        let MemberUpdate {
            name,
            incarnation,
            liveness,
        } = update;
        if name == self.name {
            if liveness == Liveness::Suspect && incarnation == self.incarnation {
                self.gossip(name, incarnation, Liveness::Alive);
            }
            return;
        }
        let Some(peer) = self.peers.get_mut(&name) else {
            if liveness == Liveness::Left {
                self.record_stopped(&name, incarnation);
            }
            return;
        };
        if incarnation < peer.incarnation {
            return;
        }
        match liveness {
            Liveness::Left => self.record_stopped(&name, incarnation),
            Liveness::Suspect => {
                let recent = peer
                    .heard
                    .is_some_and(|at| now.since(at) < self.settings.ping_interval);
                if !peer.suspect && !recent {
                    peer.suspect = true;
                    self.gossip(name, incarnation, Liveness::Suspect);
                }
            }
            Liveness::Alive if peer.suspect => {
                peer.suspect = false;
                self.gossip(name, incarnation, Liveness::Alive);
            }
            Liveness::Alive => {}
        }
    }

    fn gossip(&mut self, name: Name, incarnation: u64, liveness: Liveness) {
        self.updates.retain(|(update, _)| update.name != name);
        let update = MemberUpdate {
            name,
            incarnation,
            liveness,
        };
        self.updates.push_front((update, MESSAGES_PER_UPDATE));
        self.updates.truncate(MAX_UPDATES);
    }

    fn next_updates(&mut self) -> Vec<MemberUpdate> {
        let mut selected = Vec::new();
        for _ in 0..MAX_UPDATES_PER_MESSAGE.min(self.updates.len()) {
            let Some((update, messages_left)) = self.updates.pop_front() else {
                break;
            };
            selected.push(update.clone());
            if messages_left > 1 {
                self.updates.push_back((update, messages_left - 1));
            }
        }
        selected
    }

    fn ping(&mut self, now: Mono, target: Name, out: &mut Vec<Action>) {
        let nonce = self.send_ping(target.clone(), out);
        self.pending_pings.push(PendingPing {
            nonce,
            target,
            sent: now,
            indirect: false,
        });
    }

    fn send_ping(&mut self, target: Name, out: &mut Vec<Action>) -> u32 {
        self.last_nonce = self.last_nonce.wrapping_add(1);
        let nonce = self.last_nonce;
        let message = MemberMessage::Ping {
            nonce,
            mark: self.mark(),
            updates: self.next_updates(),
        };
        send(target, message, out);
        nonce
    }

    /// Reads the list, pings and updates the place, as far as each is due.
    pub fn tick(&mut self, now: Mono, out: &mut Vec<Action>) {
        self.read_list(now, out);
        if self.list.vms.is_empty() {
            return;
        }
        self.check_pings(now, out);
        if now >= self.next_ping {
            self.ping_next(now, out);
        }
        self.update_place(now, out);
    }

    fn read_list(&mut self, now: Mono, out: &mut Vec<Action>) {
        if now < self.next_read {
            return;
        }
        let jitter = self.rng.random_range(0.8..1.2);
        let pause = if self.list.vms.is_empty() {
            FIRST_READ_INTERVAL
        } else if self.watches_list() {
            WATCH_RETRY
        } else {
            self.settings.idle_read_interval
        };
        self.next_read = now + pause.mul_f64(jitter);
        out.push(Action::ReadFleet {
            after: self.list.revision,
        });
    }

    /// Whether this daemon is one of those that watch the platform's VM list.
    fn watches_list(&self) -> bool {
        let own_rank = rank(0, &self.name);
        let before = self.live().filter(|n| rank(0, n) < own_rank).count();
        before < self.settings.list_watchers
    }

    /// Records that a read of the VM list succeeded.
    pub fn record_read(&mut self, now: Mono) {
        self.confirmed = now;
        if self.watches_list() {
            self.next_read = self.next_read.min(now + MIN_READ_INTERVAL);
        }
    }

    fn check_pings(&mut self, now: Mono, out: &mut Vec<Action>) {
        let timeout = self.settings.ping_timeout;
        let late: Vec<_> = self
            .pending_pings
            .iter_mut()
            .filter(|p| !p.indirect && now.since(p.sent) >= timeout)
            .map(|p| {
                p.indirect = true;
                (p.nonce, p.target.clone())
            })
            .collect();
        for (nonce, target) in late {
            let mut helpers: Vec<_> = self.live().filter(|n| **n != target).cloned().collect();
            helpers.shuffle(&mut self.rng);
            for helper in helpers.into_iter().take(self.settings.indirect_pings) {
                let target = target.clone();
                send(helper, MemberMessage::PingFor { nonce, target }, out);
            }
        }
        let limit = timeout * 3;
        let (expired, pending) = std::mem::take(&mut self.pending_pings)
            .into_iter()
            .partition(|p| now.since(p.sent) >= limit);
        self.pending_pings = pending;
        let expired: Vec<PendingPing> = expired;
        for ping in expired {
            self.mark_suspect(&ping);
        }
    }

    fn mark_suspect(&mut self, ping: &PendingPing) {
        let Some(peer) = self.peers.get_mut(&ping.target) else {
            return;
        };
        let answered = peer.heard.is_some_and(|at| at > ping.sent);
        if answered || peer.suspect {
            return;
        }
        peer.suspect = true;
        let incarnation = peer.incarnation;
        log::info!("event=peer_suspect peer={}", ping.target);
        self.gossip(ping.target.clone(), incarnation, Liveness::Suspect);
    }

    fn ping_next(&mut self, now: Mono, out: &mut Vec<Action>) {
        let starting = self.pings < START_PINGS;
        self.pings += 1;
        let pause = if starting {
            START_PING_INTERVAL
        } else {
            self.settings.ping_interval
        };
        self.next_ping = now + pause;
        if self.ping_order.is_empty() {
            self.ping_order = self
                .listed()
                .filter(|n| **n != self.name)
                .cloned()
                .collect();
            self.ping_order.shuffle(&mut self.rng);
        }
        while let Some(target) = self.ping_order.pop() {
            if !self.stopped.contains(&target) {
                self.peers.entry(target.clone()).or_default();
                self.ping(now, target, out);
                return;
            }
        }
    }

    fn update_place(&mut self, now: Mono, out: &mut Vec<Action>) {
        let delay = self.settings.place_delay;
        while self.sizes.len() > 1 && now.since(self.sizes[1].0) >= delay {
            self.sizes.pop_front();
        }
        let settled = self.listed_since.is_some_and(|at| now.since(at) >= delay);
        let daemons = self.sizes.iter().map(|(_, n)| *n).max().unwrap_or(0);
        let name = self.name.clone();
        let index = self.listed().filter(|n| **n < name).count() as u32;
        let repeat = now.since(self.placed) >= self.settings.place_repeat_interval
            && self.confirmed > self.placed;
        if settled && (repeat || self.place != Some((index, daemons))) {
            self.place = Some((index, daemons));
            self.placed = now;
            out.push(Action::Place { index, daemons });
        }
    }

    /// Peers to exchange configuration with; `None` if they have not changed since the last call.
    pub fn spread_peers(&mut self) -> Option<Vec<Name>> {
        let salt = rank(0, &self.name);
        let mut peers: Vec<_> = self.live().cloned().collect();
        peers.sort_by_key(|n| mix(rank(1, n) ^ salt));
        peers.truncate(self.settings.spread_peers);
        peers.sort();
        if peers == self.spread_peers {
            return None;
        }
        self.spread_peers.clone_from(&peers);
        Some(peers)
    }

    /// Up to `count` random live peers.
    pub fn sample(&mut self, count: usize) -> Vec<Name> {
        let mut peers: Vec<_> = self.live().cloned().collect();
        peers.shuffle(&mut self.rng);
        peers.truncate(count);
        peers
    }
}

/// Shortest time between two reads of a daemon that watches the VM list.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(200);

fn send(to: Name, message: MemberMessage, out: &mut Vec<Action>) {
    let message = Message::Member(message);
    out.push(Action::Send { to, message });
}

/// Sort key of a VM, the same on every daemon; each salt gives another order.
fn rank(salt: u16, name: &str) -> u64 {
    const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let bytes = name.bytes().chain(salt.to_le_bytes());
    let hash = bytes.fold(BASIS, |hash, b| (hash ^ u64::from(b)).wrapping_mul(PRIME));
    mix(hash)
}

fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
