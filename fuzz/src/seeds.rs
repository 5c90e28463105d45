//! What the corpus starts from.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cuminspread::coordination::catalog::{Change, RevisionedChange, ServerEntry};
use cuminspread::protocol::envelope::{Envelope, EnvelopeHeader};
use cuminspread::protocol::gossip::{
    CrashReport, Daemon, GossipMessage, KnownPeer, PullResponse, RegistryUpdate, RoutingUpdate,
    StoreUpdate, Versions,
};
use cuminspread::protocol::member::{ListMark, Liveness, MemberMessage, MemberUpdate};
use cuminspread::protocol::message::Message;
use cuminspread::protocol::news::{NewsItem, NewsMessage};
use cuminspread::state::routing::Routing;
use cuminspread::state::time::Wall;
use cuminspread_platform::config;
use cuminspread_platform::standin::store::{RouteRow, config_text};
use serde::Serialize;

use crate::target::Target;

/// A datagram and the name of its corpus file.
#[derive(Debug)]
pub struct Seed {
    /// File name.
    pub name: &'static str,
    /// Contents.
    pub envelope: Envelope,
}

/// One datagram of each layer's messages.
pub fn datagrams() -> Vec<Seed> {
    let update = MemberUpdate {
        name: "vm-3".into(),
        incarnation: 4,
        liveness: Liveness::Suspect,
    };
    let ping = MemberMessage::Ping {
        nonce: 1,
        mark: ListMark {
            epoch: 2,
            revision: 3,
        },
        updates: vec![update],
    };
    let leaving = NewsItem::ServerLeaving {
        council: "north".into(),
        service: "orders".into(),
        server: "orders-1".into(),
    };
    let items = vec![(NewsItem::Crashing(9), 40), (leaving, 1_500)];
    vec![
        seed("member-ping", Message::Member(ping)),
        seed("news-items", Message::News(NewsMessage::Items(items))),
    ]
}

fn seed(name: &'static str, message: Message) -> Seed {
    let header = EnvelopeHeader {
        from: "vm-1".into(),
        to: "vm-2".into(),
        incarnation: 1,
        sequence: 2,
        sent: Wall(1_700_000_000_000),
    };
    let envelope = Envelope { header, message };
    Seed { name, envelope }
}

/// A file of the corpus.
#[derive(Debug)]
pub struct File {
    /// Target.
    pub target: Target,
    /// File name.
    pub name: &'static str,
    /// Contents.
    pub data: Vec<u8>,
}

/// What daemons send each other where no list of them is published, and what they read there.
pub fn files() -> Vec<File> {
    let daemon = Daemon {
        address: SocketAddr::from(([10, 1, 0, 7], 7001)),
        data_centre: "hall".into(),
        started_ms: 1_700_000_000_000,
        capacity: 10,
    };
    let sighting = KnownPeer {
        daemon: daemon.clone(),
        age: 12,
    };
    let entry = ServerEntry {
        id: "i-1".into(),
        service: "orders".into(),
        address: SocketAddr::from(([10, 1, 0, 9], 8000)),
        data_centre: "hall".into(),
        slots: 6,
        draining: false,
        warm_up: Duration::from_secs(2),
        started_ms: 3,
        sequence: 4,
    };
    let changes = vec![
        RevisionedChange {
            revision: 7,
            change: Change::Reported(entry.clone()),
        },
        RevisionedChange {
            revision: 8,
            change: Change::Removed {
                id: "i-2".into(),
                lapsed: true,
            },
        },
    ];
    let text = config_text(3, &[RouteRow::default()], 15.0);
    let routing = config::decode(text.as_bytes()).unwrap_or_default();
    let base = Routing {
        version: 2,
        ..Routing::default()
    };
    let delta = routing.delta_from(&base);
    let bulletin = StoreUpdate {
        reader: daemon.clone(),
        age: Duration::from_millis(40),
        versions: Versions {
            revision: 8,
            version: 3,
        },
        base: 6,
        changes: changes.clone(),
        routing: Some(delta.clone()),
        can_serve: true,
        relay: true,
    };
    let crash = CrashReport {
        id: 1,
        fingerprint: 2,
        ran: Duration::from_millis(80),
        age: Duration::from_millis(20),
        relay: false,
    };
    let notices = [
        ("hello", GossipMessage::Hello(daemon.clone())),
        ("peers", GossipMessage::Peers(vec![sighting.clone()])),
        ("bulletin", GossipMessage::StoreUpdate(Box::new(bulletin))),
        ("leaving", GossipMessage::Leaving(daemon)),
        ("crash", GossipMessage::Crash(crash)),
        ("questions", GossipMessage::ProbeRate(70)),
    ];
    let supply = |routing, registry| PullResponse {
        routing: Some(routing),
        registry: Some(registry),
        revision: 8,
        busy: false,
        peers: vec![sighting.clone()],
    };
    let whole = RoutingUpdate::Full(Arc::new(routing));
    let supplies = [
        (
            "copy",
            supply(whole, RegistryUpdate::Snapshot(vec![(7, entry)])),
        ),
        (
            "changes",
            supply(
                RoutingUpdate::Delta(delta),
                RegistryUpdate::Changes(changes),
            ),
        ),
    ];
    let notices = notices.map(|(name, n)| file(Target::Notice, name, &n));
    let supplies = supplies.map(|(name, s)| file(Target::Supply, name, &s));
    let mut files: Vec<File> = notices.into_iter().chain(supplies).collect();
    files.push(File {
        target: Target::Routing,
        name: "one-route",
        data: text.into_bytes(),
    });
    files
}

fn file<T: Serialize>(target: Target, name: &'static str, value: &T) -> File {
    // Only types that don't fail are passed.
    let data = postcard::to_stdvec(value).unwrap_or_default();
    File { target, name, data }
}
