//! The fleet as this daemon sees it: the published list, and which VMs answer.
//!
//! The published list says who takes part; it lags. Liveness comes from any message of a peer, and
//! from pings: one VM after the other is pinged, directly and, without an answer, through others.
//! Suspicion spreads by gossip on pings, and any later sign of life ends it. Liveness never decides
//! about an outcome; it only chooses whom to talk to.

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
    /// Time without an answer after which others are asked to ping.
    pub ping_timeout: Duration,
    /// VMs asked to ping for this one.
    pub indirect_pings: usize,
    /// Time after which a newcomer takes its place, and a smaller list counts.
    pub place_delay: Duration,
    /// Time between two repetitions of a place whose list was confirmed meanwhile.
    pub place_repeat_interval: Duration,
    /// Peers that configuration is exchanged with.
    pub spread_peers: usize,
    /// Daemons that watch the published list for the others.
    pub list_watchers: usize,
    /// Time between reads of the list by the other daemons.
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

#[derive(Debug)]
struct PendingPing {
    nonce: u32,
    target: Name,
    sent: Mono,
    indirect: bool,
}

#[derive(Debug)]
struct Relay {
    nonce: u32,
    target: Name,
    to: Name,
    theirs: u32,
}

/// Gossip is repeated in this many messages.
const UPDATE_SENDS: u32 = 8;
const UPDATES_PER_MESSAGE: usize = 4;
const MAX_UPDATES: usize = 64;
const MAX_RELAYS: usize = 32;
/// Peers that are told of a planned stop at once; gossip reaches the others.
const TOLD_OF_STOP: usize = 9;
const START_PINGS: u32 = 12;
const START_PING: Duration = Duration::from_millis(100);
const WANT_LIST_PAUSE: Duration = Duration::from_millis(300);
const FAST_READ: Duration = Duration::from_secs(10);
const FIRST_READ: Duration = Duration::from_secs(2);

/// Fleet as one daemon sees it.
#[derive(Debug)]
pub struct Members {
    settings: MemberSettings,
    name: Name,
    incarnation: u64,
    list: FleetList,
    /// VMs that stopped as planned.
    left: BTreeSet<Name>,
    peers: BTreeMap<Name, Peer>,
    order: Vec<Name>,
    pending_pings: Vec<PendingPing>,
    relays: VecDeque<Relay>,
    updates: VecDeque<(MemberUpdate, u32)>,
    next_ping: Mono,
    pings: u32,
    next_nonce: u32,
    next_want: Mono,
    next_read: Mono,
    sizes: VecDeque<(Mono, u32)>,
    listed_since: Option<Mono>,
    place: Option<(u32, u32)>,
    /// When the place was last told.
    placed: Mono,
    /// When the platform or a peer last had the same list.
    confirmed: Mono,
    spread: Vec<Name>,
    rng: Pcg64Mcg,
}

impl Members {
    /// Fleet of which only this VM is known.
    pub fn new(settings: MemberSettings, name: Name, incarnation: u64, seed: u64) -> Self {
        // Daemons with equal seeds still choose differently.
        let own = rank(0, &name);
        Self {
            settings,
            name,
            incarnation,
            list: FleetList::default(),
            left: BTreeSet::new(),
            peers: BTreeMap::new(),
            order: Vec::new(),
            pending_pings: Vec::new(),
            relays: VecDeque::new(),
            updates: VecDeque::new(),
            next_ping: Mono(0),
            pings: 0,
            next_nonce: 0,
            next_want: Mono(0),
            next_read: Mono(0),
            sizes: VecDeque::new(),
            listed_since: None,
            place: None,
            placed: Mono(0),
            confirmed: Mono(0),
            spread: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed ^ mix(own)),
        }
    }

    /// Position of the newest list.
    pub fn mark(&self) -> ListMark {
        ListMark {
            epoch: self.list.epoch,
            revision: self.list.revision,
        }
    }

    /// VMs of the newest list.
    pub fn listed(&self) -> impl Iterator<Item = &Name> {
        self.list.vms.iter().map(|vm| &vm.name)
    }

    /// Whether the newest list has the VM.
    pub fn is_listed(&self, name: &Name) -> bool {
        self.listed().any(|n| n == name)
    }

    /// Peers that answer.
    pub fn live(&self) -> impl Iterator<Item = &Name> {
        let live = |(name, peer): &(&Name, &Peer)| {
            peer.heard.is_some() && !peer.suspect && !self.left.contains(*name)
        };
        self.peers.iter().filter(live).map(|(name, _)| name)
    }

    /// Takes a list; false if it is empty or isn't newer.
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
        self.left.retain(|name| listed.contains(name));
        self.sizes.push_back((now, self.list.vms.len() as u32));
        if !self.is_listed(&self.name) {
            self.listed_since = None;
        } else if self.listed_since.is_none() {
            self.listed_since = Some(now);
        }
        self.order.clear();
        out.push(Action::Peers(self.list.clone()));
        true
    }

    /// Notes a sign of life.
    pub fn record_alive(&mut self, now: Mono, from: &Name, incarnation: u64) {
        let peer = self.peers.entry(from.clone()).or_default();
        let revived = peer.suspect || peer.incarnation != incarnation;
        peer.incarnation = incarnation;
        peer.heard = Some(now);
        peer.suspect = false;
        if revived {
            self.left.remove(from);
            self.gossip(from.clone(), incarnation, Liveness::Alive);
        }
    }

    /// Notes that this daemon, or a peer, has stopped as planned.
    fn record_left(&mut self, name: &Name, incarnation: u64) {
        let known = self.peers.get(name).map_or(0, |p| p.incarnation);
        if incarnation < known || !self.left.insert(name.clone()) {
            return;
        }
        self.gossip(name.clone(), incarnation, Liveness::Left);
    }

    /// Tells some peers at once that this daemon has stopped.
    pub fn announce_stop(&mut self, now: Mono, out: &mut Vec<Action>) {
        let name = self.name.clone();
        self.record_left(&name, self.incarnation);
        let some: Vec<_> = self.live().take(TOLD_OF_STOP).cloned().collect();
        for to in some {
            self.ping(now, to, out);
        }
    }

    /// Asks for the list of a peer that has a newer one.
    pub fn compare_mark(&mut self, now: Mono, from: &Name, mark: ListMark, out: &mut Vec<Action>) {
        if mark == self.mark() {
            self.confirmed = now;
        }
        if mark > self.mark() && now >= self.next_want {
            self.next_want = now + WANT_LIST_PAUSE;
            send(from.clone(), MemberMessage::WantList, out);
        }
    }

    /// Takes a message about liveness or lists.
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
                self.take_updates(now, updates);
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
                self.take_updates(now, updates);
                self.compare_mark(now, from, mark, out);
                self.take_ack(now, nonce, &alive, incarnation, out);
            }
            MemberMessage::WantList if !self.list.vms.is_empty() => {
                send(from.clone(), MemberMessage::List(self.list.clone()), out);
            }
            MemberMessage::List(list) => {
                self.handle_list(now, list, out);
            }
            // Before the first list there is none to send.
            MemberMessage::WantList => {}
        }
    }

    fn ack(&mut self, to: Name, nonce: u32, alive: Name, incarnation: u64, out: &mut Vec<Action>) {
        let message = MemberMessage::Ack {
            nonce,
            alive,
            incarnation,
            mark: self.mark(),
            updates: self.take_gossip(),
        };
        send(to, message, out);
    }

    fn relay(&mut self, from: &Name, theirs: u32, target: Name, out: &mut Vec<Action>) {
        let nonce = self.send_ping(target.clone(), out);
        self.relays.push_back(Relay {
            nonce,
            target,
            to: from.clone(),
            theirs,
        });
        if self.relays.len() > MAX_RELAYS {
            self.relays.pop_front();
        }
    }

    fn take_ack(
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
            self.ack(relay.to, relay.theirs, relay.target, incarnation, out);
        }
    }

    fn take_updates(&mut self, now: Mono, updates: Vec<MemberUpdate>) {
        for update in updates {
            self.take_update(now, update);
        }
    }

    fn take_update(&mut self, now: Mono, update: MemberUpdate) {
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
                self.record_left(&name, incarnation);
            }
            return;
        };
        if incarnation < peer.incarnation {
            return;
        }
        match liveness {
            Liveness::Left => self.record_left(&name, incarnation),
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
        self.updates.push_front((update, UPDATE_SENDS));
        self.updates.truncate(MAX_UPDATES);
    }

    fn take_gossip(&mut self) -> Vec<MemberUpdate> {
        let mut taken = Vec::new();
        for _ in 0..UPDATES_PER_MESSAGE.min(self.updates.len()) {
            let Some((update, sends)) = self.updates.pop_front() else {
                break;
            };
            taken.push(update.clone());
            if sends > 1 {
                self.updates.push_back((update, sends - 1));
            }
        }
        taken
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
        self.next_nonce = self.next_nonce.wrapping_add(1);
        let nonce = self.next_nonce;
        let message = MemberMessage::Ping {
            nonce,
            mark: self.mark(),
            updates: self.take_gossip(),
        };
        send(target, message, out);
        nonce
    }

    /// Lets time pass.
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
            FIRST_READ
        } else if self.reads() {
            FAST_READ
        } else {
            self.settings.idle_read_interval
        };
        self.next_read = now + pause.mul_f64(jitter);
        out.push(Action::ReadFleet {
            after: self.list.revision,
        });
    }

    /// Whether this daemon is among those that watch the list for the others.
    fn reads(&self) -> bool {
        let mine = rank(0, &self.name);
        let before = self.live().filter(|n| rank(0, n) < mine).count();
        before < self.settings.list_watchers
    }

    /// A read of the list returned one.
    pub fn record_read(&mut self, now: Mono) {
        self.confirmed = now;
        if self.reads() {
            self.next_read = self.next_read.min(now + READ_PAUSE);
        }
    }

    fn check_pings(&mut self, now: Mono, out: &mut Vec<Action>) {
        let indirect = self.settings.ping_timeout;
        let late: Vec<_> = self
            .pending_pings
            .iter_mut()
            .filter(|p| !p.indirect && now.since(p.sent) >= indirect)
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
        let limit = indirect * 3;
        let (dead, waiting) = std::mem::take(&mut self.pending_pings)
            .into_iter()
            .partition(|p| now.since(p.sent) >= limit);
        self.pending_pings = waiting;
        let dead: Vec<PendingPing> = dead;
        for ping in dead {
            self.suspect(&ping);
        }
    }

    fn suspect(&mut self, ping: &PendingPing) {
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
            START_PING
        } else {
            self.settings.ping_interval
        };
        self.next_ping = now + pause;
        if self.order.is_empty() {
            self.order = self
                .listed()
                .filter(|n| **n != self.name)
                .cloned()
                .collect();
            self.order.shuffle(&mut self.rng);
        }
        while let Some(target) = self.order.pop() {
            if !self.left.contains(&target) {
                self.peers.entry(target.clone()).or_default();
                self.ping(now, target, out);
                return;
            }
        }
    }

    fn update_place(&mut self, now: Mono, out: &mut Vec<Action>) {
        let lag = self.settings.place_delay;
        while self.sizes.len() > 1 && now.since(self.sizes[1].0) >= lag {
            self.sizes.pop_front();
        }
        let settled = self.listed_since.is_some_and(|at| now.since(at) >= lag);
        let daemons = self.sizes.iter().map(|(_, n)| *n).max().unwrap_or(0);
        let mine = self.name.clone();
        let index = self.listed().filter(|n| **n < mine).count() as u32;
        let repeat = now.since(self.placed) >= self.settings.place_repeat_interval
            && self.confirmed > self.placed;
        if settled && (repeat || self.place != Some((index, daemons))) {
            self.place = Some((index, daemons));
            self.placed = now;
            out.push(Action::Place { index, daemons });
        }
    }

    /// Peers to exchange configuration with, if they have changed.
    pub fn spread_peers(&mut self) -> Option<Vec<Name>> {
        let salt = rank(0, &self.name);
        let mut peers: Vec<_> = self.live().cloned().collect();
        peers.sort_by_key(|n| mix(rank(1, n) ^ salt));
        peers.truncate(self.settings.spread_peers);
        peers.sort();
        if peers == self.spread {
            return None;
        }
        self.spread.clone_from(&peers);
        Some(peers)
    }

    /// Some live peers, at random.
    pub fn sample(&mut self, n: usize) -> Vec<Name> {
        let mut peers: Vec<_> = self.live().cloned().collect();
        peers.shuffle(&mut self.rng);
        peers.truncate(n);
        peers
    }
}

const READ_PAUSE: Duration = Duration::from_millis(200);

fn send(to: Name, message: MemberMessage, out: &mut Vec<Action>) {
    let message = Message::Member(message);
    out.push(Action::Send { to, message });
}

/// Order of VMs that every daemon computes alike; each salt gives another one.
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
