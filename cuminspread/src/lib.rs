//! Core of a load balancer for servers whose load changes within milliseconds.
//!
//! The library has four layers. `state` and `coordination` do no I/O and read no clock: they take
//! events and the current time, and return typed actions. `protocol` has the messages between
//! daemons, `transport` (feature `net`) the sockets and HTTP clients that carry them.
//!
//! - [`coordination::dispatch`] decides which server a call goes to, whether it is queued, retried,
//!   hedged or refused, and which outcome its caller gets.
//! - [`coordination::node`] decides what a daemon sends to its peers: liveness, configuration
//!   versions, leaving servers and crashing requests.
//! - [`coordination::placement`] chooses servers in daemons that use a store. There,
//!   [`coordination::mesh`] finds the peers, and [`coordination::reader`] decides which daemon
//!   reads the store.
//! - [`recording`] records the events and actions of both state machines and replays them.
//! - [`invariant`] lists the invariants that the program checks at run time.
//!
//! An embedder supplies the clock and the network. In this example a daemon reads the VM list,
//! finds that a server is leaving and notifies its peer; times are in milliseconds:
//!
//! ```
//! use cuminspread::coordination::event::{Action, Event};
//! use cuminspread::coordination::node::{Node, NodeSettings};
//! use cuminspread::invariant::InvariantChecks;
//! use cuminspread::protocol::member::{ListMark, MemberMessage};
//! use cuminspread::protocol::message::Message;
//! use cuminspread::state::fleet::{FleetList, Vm};
//! use cuminspread::state::time::{Mono, Now, Wall};
//!
//! let at = |ms: u64| Now { mono: Mono(ms * 1000), wall: Wall(1_800_000_000_000 + ms) };
//! let vm = |name: &str, port| Vm {
//!     name: name.into(),
//!     data_centre: "hall".into(),
//!     peer: ([127, 0, 0, 1], port).into(),
//!     leaving: false,
//! };
//! let vms = [vm("vm-1", 7001), vm("vm-2", 7002)];
//! let list = FleetList { revision: 1, epoch: 1, vms: vms.into() };
//! let settings = NodeSettings { name: "vm-1".into(), incarnation: 1, ..NodeSettings::default() };
//! let mut node = Node::new(settings, InvariantChecks::default());
//! let mut actions = Vec::new();
//! node.handle(at(0), Event::FleetRead(list), &mut actions);
//! let mark = ListMark { epoch: 1, revision: 1 };
//! let ping = Message::Member(MemberMessage::Ping { nonce: 1, mark, updates: Vec::new() });
//! let received = Event::Received { from: "vm-2".into(), incarnation: 1, message: ping };
//! node.handle(at(5), received, &mut actions);
//! let leaving = Event::ServerLeaving {
//!     council: "north".into(),
//!     service: "orders".into(),
//!     server: "orders-1".into(),
//! };
//! node.handle(at(10), leaving, &mut actions);
//! node.handle(at(100), Event::Tick, &mut actions);
//! let sends_news = |a: &Action| matches!(a, Action::Send { message: Message::News(_), .. });
//! assert!(actions.iter().any(sends_news));
//! ```

pub mod coordination;
pub mod invariant;
pub mod protocol;
pub mod recording;
pub mod state;
#[cfg(feature = "net")]
pub mod transport;
