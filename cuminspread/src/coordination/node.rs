//! Peer state machine: what a daemon sends to its peers and does with their messages.
//!
//! [`Node`] combines [`Members`] for the VM list and liveness, [`News`] for leaving servers and
//! crashing requests, and [`Spread`] for configuration. It needs an [`Event::Tick`] about every
//! 100 ms.

use std::time::Duration;

use crate::coordination::event::{Action, Event};
use crate::coordination::membership::{MemberSettings, Members};
use crate::coordination::news::{News, NewsSettings};
use crate::coordination::spread::{Spread, SpreadEvent, SpreadSettings};
use crate::invariant::InvariantChecks;
use crate::protocol::message::Message;
use crate::protocol::news::NewsItem;
use crate::state::Name;
use crate::state::fleet::FleetList;
use crate::state::time::{Mono, Now};

/// Settings of the peer state machine.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Name of this VM.
    pub name: Name,
    /// Data centre of this VM.
    pub data_centre: Name,
    /// Number that is higher after each start of this daemon.
    pub incarnation: u64,
    /// Seed of the random choices.
    pub seed: u64,
    /// VM list and liveness.
    pub members: MemberSettings,
    /// Leaving servers and crashing requests.
    pub news: NewsSettings,
    /// Time after which the daemon is ready even without a VM list or configuration.
    pub ready_timeout: Duration,
}

impl Default for NodeSettings {
    fn default() -> Self {
        Self {
            name: Name::default(),
            data_centre: Name::default(),
            incarnation: 0,
            seed: 0,
            members: MemberSettings::default(),
            news: NewsSettings::default(),
            ready_timeout: Duration::from_secs(10),
        }
    }
}

/// Peer state machine of one daemon.
#[derive(Debug)]
pub struct Node {
    settings: NodeSettings,
    invariants: InvariantChecks,
    spread: Spread,
    members: Members,
    news: News,
    started: Option<Mono>,
    configured: bool,
    ready: bool,
}

impl Node {
    /// State machine without a VM list or configuration.
    pub fn new(settings: NodeSettings, invariants: InvariantChecks) -> Self {
        let NodeSettings {
            name,
            data_centre,
            incarnation,
            seed,
            members,
            news,
            ..
        } = settings.clone();
        let spread = SpreadSettings {
            name: name.clone(),
            data_centre,
            seed,
            ..SpreadSettings::default()
        };
        Self {
            spread: Spread::new(spread, invariants.clone()),
            members: Members::new(members, name, incarnation, seed),
            news: News::new(news),
            settings,
            invariants,
            started: None,
            configured: false,
            ready: false,
        }
    }

    /// Name of this VM.
    pub fn name(&self) -> &Name {
        &self.settings.name
    }

    /// Invariant checks of this daemon.
    pub fn invariants(&self) -> &InvariantChecks {
        &self.invariants
    }

    /// VM list and liveness of the peers.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Handles one event; appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Now, event: Event, out: &mut Vec<Action>) {
        self.started.get_or_insert(now.mono);
        let first = out.len();
        match event {
            Event::Tick => self.tick(now, out),
            Event::Received {
                from,
                incarnation,
                message,
            } => self.handle_message(now, from, incarnation, message, out),
            Event::FleetRead(list) => self.handle_list(now, list, out),
            Event::FolderRead(folder) => {
                self.spread(now, SpreadEvent::FolderRead(folder), out);
            }
            Event::FolderUnchanged => self.spread(now, SpreadEvent::FolderUnchanged, out),
            Event::ReadFailed => self.spread(now, SpreadEvent::ReadFailed, out),
            Event::FleetUnchanged => self.members.record_read(now.mono),
            Event::FleetFailed => {}
            Event::ServerLeaving {
                council,
                service,
                server,
            } => {
                let item = NewsItem::ServerLeaving {
                    council,
                    service,
                    server,
                };
                self.news.publish(now.mono, item);
            }
            Event::Crashing(fingerprint) => {
                self.news.publish(now.mono, NewsItem::Crashing(fingerprint));
            }
            Event::Stop => {
                self.members.announce_stop(now.mono, out);
                out.push(Action::Stopped);
            }
        }
        self.forward_list(now, first, out);
    }

    /// Forwards a VM list that was accepted just now to the spread of configuration.
    fn forward_list(&mut self, now: Now, first: usize, out: &mut Vec<Action>) {
        let mut new = out[first..].iter();
        let list = new.find_map(|action| match action {
            Action::Peers(list) => Some(list.clone()),
            _ => None,
        });
        if let Some(list) = list {
            self.spread(now, SpreadEvent::Fleet(list), out);
        }
    }

    /// Forwards an event to the spread of configuration. Holds its [`Action::Ready`] back until
    /// [`check_ready`](Self::check_ready), because the daemon must also be in the VM list.
    fn spread(&mut self, now: Now, event: SpreadEvent, out: &mut Vec<Action>) {
        let mut new = Vec::new();
        self.spread.handle(now, event, &mut new);
        for action in new {
            if action == Action::Ready {
                self.configured = true;
            } else {
                out.push(action);
            }
        }
    }

    fn handle_list(&mut self, now: Now, list: FleetList, out: &mut Vec<Action>) {
        self.members.handle_list(now.mono, list, out);
        self.members.record_read(now.mono);
    }

    fn handle_message(
        &mut self,
        now: Now,
        from: Name,
        incarnation: u64,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        self.members.record_alive(now.mono, &from, incarnation);
        match message {
            Message::Member(message) => self.members.handle_message(now.mono, &from, message, out),
            Message::Spread(message) => {
                let event = SpreadEvent::Received { from, message };
                self.spread(now, event, out);
            }
            Message::News(message) => self.news.handle_message(now.mono, message, out),
        }
    }

    fn tick(&mut self, now: Now, out: &mut Vec<Action>) {
        self.members.tick(now.mono, out);
        self.news.tick(now.mono, &mut self.members, out);
        if let Some(peers) = self.members.spread_peers() {
            self.spread(now, SpreadEvent::Peers(peers), out);
        }
        self.spread(now, SpreadEvent::Tick, out);
        self.check_ready(now, out);
    }

    fn check_ready(&mut self, now: Now, out: &mut Vec<Action>) {
        let since = self.started.unwrap_or(now.mono);
        let timed_out = now.mono.since(since) >= self.settings.ready_timeout;
        let listed = self.members.is_listed(&self.settings.name);
        // A daemon that is not in the VM list may accept calls, too.
        if !self.ready && (timed_out || (listed && self.configured)) {
            self.ready = true;
            out.push(Action::Ready);
        }
    }
}
