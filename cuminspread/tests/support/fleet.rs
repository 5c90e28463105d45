//! Peer state machines of a few daemons, connected without delay, in virtual time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use cuminspread::coordination::event::{Action, Event};
use cuminspread::coordination::node::{Node, NodeSettings};
use cuminspread::invariant::InvariantChecks;
use cuminspread::state::Name;
use cuminspread::state::fleet::{FleetList, Vm};
use cuminspread::state::time::{Mono, Now, Wall};

const TICK: Duration = Duration::from_millis(25);
const START_WALL_MS: u64 = 1_800_000_000_000;

pub struct Fleet {
    pub nodes: BTreeMap<Name, Node>,
    /// Number of news items that each daemon received from its peers.
    pub news: BTreeMap<Name, usize>,
    pub stopped: BTreeSet<Name>,
    now: Duration,
}

impl Fleet {
    pub fn new(names: &[&str], settings: &NodeSettings) -> Self {
        let mut fleet = Self {
            nodes: BTreeMap::new(),
            news: BTreeMap::new(),
            stopped: BTreeSet::new(),
            now: Duration::from_secs(1),
        };
        let vms = names.iter().enumerate().map(|(i, name)| Vm {
            name: (*name).into(),
            data_centre: format!("dc{}", i % 3).into(),
            peer: SocketAddr::from(([127, 0, 0, 1], 1)),
            leaving: false,
        });
        let list = FleetList {
            revision: 1,
            epoch: 0,
            vms: vms.collect(),
        };
        for name in names {
            let name = Name::from(*name);
            let settings = NodeSettings {
                name: name.clone(),
                incarnation: 1,
                seed: 1,
                ..settings.clone()
            };
            let node = Node::new(settings, InvariantChecks::default());
            fleet.nodes.insert(name.clone(), node);
            fleet.handle(&name, Event::FleetRead(list.clone()));
        }
        fleet
    }

    fn clock(&self) -> Now {
        Now {
            mono: Mono(self.now.as_micros() as u64),
            wall: Wall(START_WALL_MS + self.now.as_millis() as u64),
        }
    }

    /// Advances the clock, with ticks for all daemons.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK;
            for name in self.nodes.keys().cloned().collect::<Vec<_>>() {
                self.handle(&name, Event::Tick);
            }
        }
    }

    pub fn handle(&mut self, name: &Name, event: Event) {
        let mut queue = VecDeque::from([(name.clone(), event)]);
        while let Some((name, event)) = queue.pop_front() {
            let now = self.clock();
            let mut out = Vec::new();
            if let Some(node) = self.nodes.get_mut(&name) {
                node.handle(now, event, &mut out);
            }
            for action in out {
                self.act(&name, action, &mut queue);
            }
        }
    }

    fn act(&mut self, name: &Name, action: Action, queue: &mut VecDeque<(Name, Event)>) {
        match action {
            Action::Send { to, message } => {
                let event = Event::Received {
                    from: name.clone(),
                    incarnation: 1,
                    message,
                };
                queue.push_back((to, event));
            }
            Action::ServerLeaving { .. } | Action::Crashing(_) => {
                *self.news.entry(name.clone()).or_default() += 1;
            }
            Action::Stopped => {
                self.stopped.insert(name.clone());
            }
            _ => {}
        }
    }
}
