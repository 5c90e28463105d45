//! Files of the corpus that are built from values, for inputs in a binary format.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cuminspread::coordination::catalog::{Change, Revision, RevisionedChange, ServerEntry};
use cuminspread::coordination::evacuation::Evacuations;
use cuminspread::coordination::placement::{SlowdownSamples, TimeRatios};
use cuminspread::coordination::reader::ReadAttempt;
use cuminspread::protocol::envelope::{Envelope, EnvelopeHeader};
use cuminspread::protocol::gossip::{
    self, CrashReport, Daemon, GossipMessage, KnownPeer, LeavingReport, LimitReport, PullResponse,
    ReachReport, ReadAttemptReport, RegistryUpdate, RoutingUpdate, SlowdownReport, StoreUpdate,
    Versions,
};
use cuminspread::protocol::member::{ListMark, Liveness, MemberMessage, MemberUpdate};
use cuminspread::protocol::message::Message;
use cuminspread::protocol::news::{NewsItem, NewsMessage};
use cuminspread::state::routing::Routing;
use cuminspread::state::time::Wall;
use cuminspread_platform::config;
use cuminspread_platform::standin::store::{RouteRow, config_text};

use crate::target::Target;

/// An envelope, and the name of its corpus file.
#[derive(Debug)]
pub struct EnvelopeSeed {
    /// File name in the corpus of [`Target::Envelope`].
    pub name: &'static str,
    /// Value that the file holds, encoded as postcard.
    pub envelope: Envelope,
}

/// Envelopes with a liveness message and with observations.
pub fn envelopes() -> Vec<EnvelopeSeed> {
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

fn seed(name: &'static str, message: Message) -> EnvelopeSeed {
    let header = EnvelopeHeader {
        from: "vm-1".into(),
        to: "vm-2".into(),
        incarnation: 1,
        sequence: 2,
        sent: Wall(1_700_000_000_000),
    };
    let envelope = Envelope { header, message };
    EnvelopeSeed { name, envelope }
}

/// A file of the corpus.
#[derive(Debug)]
pub struct SeedFile {
    /// Target that reads it.
    pub target: Target,
    /// File name in the target's corpus.
    pub name: &'static str,
    /// Bytes that the target gets as input.
    pub data: Vec<u8>,
}

/// Reports of daemons about requests, servers and services.
fn reports(daemon: &Daemon) -> [(&'static str, GossipMessage); 6] {
    let crash = CrashReport {
        id: 1,
        fingerprint: 2,
        ran: Duration::from_millis(80),
        age: Duration::from_millis(20),
        relay: false,
    };
    let attempt = ReadAttemptReport {
        rank: 5,
        attempt: ReadAttempt::Failed,
        relay: true,
    };
    let limit = LimitReport {
        server: "i-1".into(),
        started_ms: 1_000,
        rate: Some(3.2),
        age: Duration::from_millis(20),
        relay: false,
    };
    let leaving = LeavingReport {
        server: "i-1".into(),
        started_ms: 1_000,
        relay: true,
    };
    let reach = ReachReport {
        daemon: daemon.address,
        started_ms: daemon.started_ms,
        service: "orders".into(),
        lost: true,
        relay: true,
    };
    let slowdown = SlowdownReport {
        service: "orders".into(),
        samples: SlowdownSamples {
            spare: TimeRatios {
                responses: 40,
                mean_ln: 0.02,
            },
            nearly_full: TimeRatios {
                responses: 9,
                mean_ln: 0.53,
            },
        },
        relay: true,
    };
    [
        ("crash", GossipMessage::Crash(crash)),
        ("read-attempt", GossipMessage::ReadAttempt(attempt)),
        ("limit", GossipMessage::ServerLimit(limit)),
        ("announced-end", GossipMessage::ServerLeaving(leaving)),
        ("reach", GossipMessage::Reach(reach)),
        ("slowdown", GossipMessage::Slowdown(slowdown)),
    ]
}

/// Gossip messages, pull responses, and a configuration as the store holds it.
pub fn files() -> Vec<SeedFile> {
    let daemon = Daemon {
        address: SocketAddr::from(([10, 1, 0, 7], 7001)),
        data_centre: "hall".into(),
        started_ms: 1_700_000_000_000,
        capacity: 10,
        forward_port: 7215,
    };
    let peer = KnownPeer {
        daemon: daemon.clone(),
        age: 12,
    };
    let (entry, changes) = registry_values();
    let text = config_text(3, &[RouteRow::default()], 15.0);
    let routing = config::decode(text.as_bytes()).unwrap_or_default();
    let base = Routing {
        version: 2,
        ..Routing::default()
    };
    let delta = routing.delta_from(&base);
    let evacuations = Evacuations {
        as_of: revision(8),
        data_centres: [("hall".into(), revision(7))].into(),
    };
    let update = StoreUpdate {
        reader: daemon.clone(),
        age: Duration::from_millis(40),
        versions: Versions {
            revision: revision(8),
            version: 3,
        },
        base: revision(6),
        changes: changes.clone(),
        routing: Some(delta.clone()),
        can_serve: true,
        relay: true,
        evacuations: Some(evacuations.clone()),
    };
    let messages = [
        ("hello", GossipMessage::Hello(daemon.clone())),
        ("peers", GossipMessage::Peers(vec![peer.clone()])),
        ("bulletin", GossipMessage::StoreUpdate(Box::new(update))),
        ("leaving", GossipMessage::Leaving(daemon.clone())),
        ("questions", GossipMessage::ProbeRate(70)),
        ("emptied", GossipMessage::Evacuations((&evacuations).into())),
    ];
    let messages = messages.into_iter().chain(reports(&daemon));
    let response = |routing, registry| PullResponse {
        routing: Some(routing),
        registry: Some(registry),
        revision: revision(8),
        busy: false,
        peers: vec![peer.clone()],
        evacuations: Some(evacuations.clone()),
    };
    let full = RoutingUpdate::Full(Arc::new(routing));
    let responses = [
        (
            "copy",
            response(full, RegistryUpdate::Snapshot(vec![(revision(7), entry)])),
        ),
        (
            "changes",
            response(
                RoutingUpdate::Delta(delta),
                RegistryUpdate::Changes(changes),
            ),
        ),
    ];
    let messages = messages.map(|(name, m)| message(Target::Gossip, name, &m));
    let responses = responses.map(|(name, r)| message(Target::PullResponse, name, &r));
    let mut files: Vec<SeedFile> = messages.chain(responses).collect();
    files.push(SeedFile {
        target: Target::Routing,
        name: "one-route",
        data: text.into_bytes(),
    });
    files
}

fn revision(number: u64) -> Revision {
    Revision { era: 1, number }
}

/// A server's entry, and changes of the registry that it is part of.
fn registry_values() -> (ServerEntry, Vec<RevisionedChange>) {
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
            revision: revision(7),
            change: Change::Reported(entry.clone()),
        },
        RevisionedChange {
            revision: revision(8),
            change: Change::Removed {
                id: "i-2".into(),
                lapsed: true,
            },
        },
    ];
    (entry, changes)
}

fn message(target: Target, name: &'static str, message: &impl gossip::Message) -> SeedFile {
    // All messages passed here can be encoded.
    let data = gossip::encode(message).unwrap_or_default();
    SeedFile { target, name, data }
}
