//! Spreads leaving servers and crashing requests to all daemons.
//!
//! A daemon that learns an item passes it on to a few live peers, chosen anew in each of a few
//! rounds, and then rests. Items are told apart by their contents until they expire.

use std::collections::HashMap;
use std::time::Duration;

use crate::coordination::event::Action;
use crate::coordination::membership::Members;
use crate::protocol::message::Message;
use crate::protocol::news::{NewsItem, NewsMessage};
use crate::state::time::Mono;

/// Settings of news.
#[derive(Debug, Clone)]
pub struct NewsSettings {
    /// Time between rounds.
    pub round_interval: Duration,
    /// Rounds in which an item is passed on.
    pub rounds: u32,
    /// Peers in each round.
    pub fanout: usize,
    /// Time after which the same item counts as new.
    pub expiry: Duration,
    /// Most items that are remembered.
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

const ITEMS_PER_MESSAGE: usize = 8;

#[derive(Debug)]
struct Known {
    born: Mono,
    rounds: u32,
}

/// News as one daemon knows it.
#[derive(Debug)]
pub struct News {
    settings: NewsSettings,
    known: HashMap<NewsItem, Known>,
    fresh: Vec<NewsItem>,
    next: Mono,
}

impl News {
    /// No news.
    pub fn new(settings: NewsSettings) -> Self {
        Self {
            settings,
            known: HashMap::new(),
            fresh: Vec::new(),
            next: Mono(0),
        }
    }

    /// Takes an item that this daemon found.
    pub fn publish(&mut self, now: Mono, item: NewsItem) {
        self.learn(now, item, Duration::ZERO);
    }

    /// Takes items of a peer.
    pub fn handle_message(&mut self, now: Mono, message: NewsMessage, out: &mut Vec<Action>) {
        let NewsMessage::Items(items) = message;
        for (item, age_ms) in items.into_iter().take(ITEMS_PER_MESSAGE) {
            let age = Duration::from_millis(age_ms.into());
            if self.learn(now, item.clone(), age) {
                out.push(action(item));
            }
        }
    }

    fn learn(&mut self, now: Mono, item: NewsItem, age: Duration) -> bool {
        if age >= self.settings.expiry || self.known.contains_key(&item) {
            return false;
        }
        if self.known.len() >= self.settings.max_items {
            return false;
        }
        let known = Known {
            born: now - age,
            rounds: self.settings.rounds,
        };
        self.known.insert(item.clone(), known);
        self.fresh.push(item);
        self.next = self.next.min(now);
        true
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Mono, members: &mut Members, out: &mut Vec<Action>) {
        let expiry = self.settings.expiry;
        self.known.retain(|_, known| now.since(known.born) < expiry);
        if self.fresh.is_empty() || now < self.next {
            return;
        }
        self.next = now + self.settings.round_interval;
        let items = self.take_round(now);
        if items.is_empty() {
            return;
        }
        for to in members.sample(self.settings.fanout) {
            let message = Message::News(NewsMessage::Items(items.clone()));
            out.push(Action::Send { to, message });
        }
    }

    fn take_round(&mut self, now: Mono) -> Vec<(NewsItem, u32)> {
        let mut items = Vec::new();
        for item in self.fresh.iter().take(ITEMS_PER_MESSAGE) {
            if let Some(known) = self.known.get_mut(item) {
                known.rounds -= 1;
                items.push((item.clone(), now.since(known.born).as_millis() as u32));
            }
        }
        let known = &self.known;
        self.fresh
            .retain(|item| known.get(item).is_some_and(|k| k.rounds > 0));
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
