//! Gossip about leaving servers and crashing requests.
//!
//! A daemon forwards a new item in a few rounds, in each to a few random live peers. Items with the
//! same contents are the same item until they expire.

use std::collections::HashMap;
use std::time::Duration;

use crate::coordination::event::Action;
use crate::coordination::membership::Members;
use crate::protocol::message::Message;
use crate::protocol::news::{NewsItem, NewsMessage};
use crate::state::time::Mono;

/// Settings of the gossip of news items.
#[derive(Debug, Clone)]
pub struct NewsSettings {
    /// Time between rounds.
    pub round_interval: Duration,
    /// Number of rounds in which an item is forwarded.
    pub rounds: u32,
    /// Number of peers that an item is sent to in each round.
    pub fanout: usize,
    /// Age at which an item is forgotten; the same item is new again afterwards.
    pub expiry: Duration,
    /// Maximum number of items that are remembered; further items are dropped.
    pub max_items: usize,
}

impl Default for NewsSettings {
    fn default() -> Self {
        Self {
            round_interval: Duration::from_millis(200),
            rounds: 4,
            fanout: 4,
            expiry: Duration::from_secs(30),
            max_items: 256,
        }
    }
}

const MAX_ITEMS_PER_MESSAGE: usize = 8;

#[derive(Debug)]
struct KnownItem {
    created: Mono,
    rounds_left: u32,
}

/// News items that one daemon knows.
#[derive(Debug)]
pub struct News {
    settings: NewsSettings,
    known: HashMap<NewsItem, KnownItem>,
    /// Items that are still to be forwarded.
    pending: Vec<NewsItem>,
    next_round: Mono,
}

impl News {
    /// State without items.
    pub fn new(settings: NewsSettings) -> Self {
        Self {
            settings,
            known: HashMap::new(),
            pending: Vec::new(),
            next_round: Mono(0),
        }
    }

    /// Adds an item that this daemon detected.
    pub fn publish(&mut self, now: Mono, item: NewsItem) {
        self.add(now, item, Duration::ZERO);
    }

    /// Adds the items of a peer; appends an action to `out` for each new item.
    pub fn handle_message(&mut self, now: Mono, message: NewsMessage, out: &mut Vec<Action>) {
        let NewsMessage::Items(items) = message;
        for (item, age_ms) in items.into_iter().take(MAX_ITEMS_PER_MESSAGE) {
            let age = Duration::from_millis(age_ms.into());
            if self.add(now, item.clone(), age) {
                out.push(action(item));
            }
        }
    }

    fn add(&mut self, now: Mono, item: NewsItem, age: Duration) -> bool {
        if age >= self.settings.expiry || self.known.contains_key(&item) {
            return false;
        }
        if self.known.len() >= self.settings.max_items {
            return false;
        }
        let known = KnownItem {
            created: now - age,
            rounds_left: self.settings.rounds,
        };
        self.known.insert(item.clone(), known);
        self.pending.push(item);
        self.next_round = self.next_round.min(now);
        true
    }

    /// Drops expired items and runs a round if one is due.
    pub fn tick(&mut self, now: Mono, members: &mut Members, out: &mut Vec<Action>) {
        let expiry = self.settings.expiry;
        self.known
            .retain(|_, known| now.since(known.created) < expiry);
        if self.pending.is_empty() || now < self.next_round {
            return;
        }
        self.next_round = now + self.settings.round_interval;
        let items = self.next_items(now);
        if items.is_empty() {
            return;
        }
        for to in members.sample(self.settings.fanout) {
            let message = Message::News(NewsMessage::Items(items.clone()));
            out.push(Action::Send { to, message });
        }
    }

    fn next_items(&mut self, now: Mono) -> Vec<(NewsItem, u32)> {
        let mut items = Vec::new();
        for item in self.pending.iter().take(MAX_ITEMS_PER_MESSAGE) {
            if let Some(known) = self.known.get_mut(item) {
                known.rounds_left -= 1;
                items.push((item.clone(), now.since(known.created).as_millis() as u32));
            }
        }
        let known = &self.known;
        self.pending
            .retain(|item| known.get(item).is_some_and(|k| k.rounds_left > 0));
        items
    }
}

fn action(item: NewsItem) -> Action {
    match item {
        NewsItem::Crashing(fingerprint) => Action::Crashing(fingerprint),
        NewsItem::ServerLeaving {
            council,
            service,
            server,
        } => Action::ServerLeaving {
            council,
            service,
            server,
        },
    }
}
