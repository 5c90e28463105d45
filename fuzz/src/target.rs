//! Parsers under test, and the rules that they are held to.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cuminspread::coordination::catalog::{Catalog, Change, RevisionedChange};
use cuminspread::coordination::crash::{Crash, CrashDetector, CrashSettings};
use cuminspread::coordination::mesh::{Mesh, MeshSettings};
use cuminspread::coordination::placement::{PlacementContext, PlacementSettings, ServerState};
use cuminspread::coordination::probe_limiter::{ProbeLimiter, ProbeLimiterSettings};
use cuminspread::protocol::envelope::{Envelope, EnvelopeError, FORMAT_VERSION, Sealer};
use cuminspread::protocol::gossip::{
    Daemon, GossipMessage, PullResponse, RegistryUpdate, RoutingUpdate,
};
use cuminspread::protocol::header::{format_load, parse_load};
use cuminspread::recording::{Compare, replay};
use cuminspread::state::folder::{FolderFile, parse_folder};
use cuminspread::state::routing::{RouteTable, Routing, RoutingDelta};
use cuminspread::state::time::Mono;
use cuminspread_platform::headers::{read_health, read_response};
use cuminspread_platform::{config, registry};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

/// Secret that the datagram target seals with.
const SECRET: &str = "fuzz";
/// Byte that separates the files of a folder, and a file's name from its text.
const SEPARATOR: char = '\0';

/// Bytes of a trace's frame before its value.
const FRAME_HEAD: u64 = 4;

/// A parser under test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// Folder of INI files: names and texts in turn, separated by zero bytes.
    Folder,
    /// Datagram of a peer, without its authentication code.
    Datagram,
    /// Header values of callers and servers.
    Header,
    /// Trace of a daemon's state machines.
    Trace,
    /// Datagram of a peer where no list of daemons is published.
    Notice,
    /// Answer of a peer to a pull.
    Supply,
    /// Server's entry in the store.
    Entry,
    /// Configuration in the store.
    Routing,
    /// Head of a server's response: a status of three digits, then header lines.
    Answer,
}

impl Target {
    /// All targets.
    pub const ALL: [Self; 9] = [
        Self::Folder,
        Self::Datagram,
        Self::Header,
        Self::Trace,
        Self::Notice,
        Self::Supply,
        Self::Entry,
        Self::Routing,
        Self::Answer,
    ];

    /// Name of the target's corpus folder.
    pub fn label(self) -> &'static str {
        match self {
            Self::Folder => "folder",
            Self::Datagram => "datagram",
            Self::Header => "header",
            Self::Trace => "trace",
            Self::Notice => "notice",
            Self::Supply => "supply",
            Self::Entry => "entry",
            Self::Routing => "routing",
            Self::Answer => "answer",
        }
    }

    /// Feeds one input to the parser.
    ///
    /// # Panics
    ///
    /// Panics if the parser panics or breaks a rule.
    pub fn run(self, data: &[u8]) {
        match self {
            Self::Folder => folder(data),
            Self::Datagram => datagram(data),
            Self::Header => header(data),
            Self::Trace => trace(data),
            Self::Notice => notice(data),
            Self::Supply => supply(data),
            Self::Entry => entry(data),
            Self::Routing => routing(data),
            Self::Answer => answer(data),
        }
    }
}

/// A council is accepted or refused whole, and a refusal says why.
fn folder(data: &[u8]) {
    let text = String::from_utf8_lossy(data);
    let mut parts = text.split(SEPARATOR);
    let mut files = Vec::new();
    while let (Some(name), Some(text)) = (parts.next(), parts.next()) {
        files.push(FolderFile {
            name: name.into(),
            text: text.into(),
        });
    }
    let merged = parse_folder(&files);
    for (name, council) in &merged.councils {
        match council {
            Ok(config) => assert_eq!(config.council, *name),
            Err(faults) => assert!(!faults.is_empty(), "{name} is refused without a fault"),
        }
    }
    for fault in merged.all_faults() {
        assert!(!fault.to_string().is_empty());
    }
}

/// Unauthenticated bytes are dropped; authenticated ones come back as they were.
fn datagram(data: &[u8]) {
    let sealer = Sealer::new([SECRET]);
    let foreign = Sealer::new(["other"]);
    let opened = sealer.open(data);
    assert!(opened.is_err(), "bytes without a code were taken in");
    let Ok(envelope) = postcard::from_bytes::<Envelope>(data) else {
        return;
    };
    let Ok(bytes) = sealer.seal(&envelope) else {
        return;
    };
    assert_eq!(bytes[0], FORMAT_VERSION);
    assert_eq!(sealer.open(&bytes).as_ref(), Ok(&envelope));
    assert_eq!(foreign.open(&bytes), Err(EnvelopeError::Forged));
    let mut changed = bytes;
    let last = changed.len() - 1;
    changed[last] ^= 1;
    assert_eq!(sealer.open(&changed), Err(EnvelopeError::Forged));
}

/// A load report that parses is the one that its own text gives again.
fn header(data: &[u8]) {
    let text = String::from_utf8_lossy(data);
    if let Some(report) = parse_load(&text) {
        assert_eq!(parse_load(&format_load(&report)), Some(report));
    }
}

/// A trace holds no more events than it has frames, and replays alike each time.
fn trace(data: &[u8]) {
    let Ok(first) = replay(data, Compare::Actions) else {
        return;
    };
    assert!(first.events <= data.len() as u64 / FRAME_HEAD);
    let again = replay(data, Compare::Actions).expect("the head was read before");
    assert_eq!(first.difference, again.difference);
    assert_eq!(first.damage, again.damage);
}

/// Time at which targets run.
const NOW: Mono = Mono(1_000_000_000);

/// What a notice brings is taken in by the parts that a daemon gives it to, none of which may panic
/// or keep more than the notice holds.
fn notice(data: &[u8]) {
    let Ok(notice) = postcard::from_bytes::<GossipMessage>(data) else {
        return;
    };
    let mut mesh = mesh();
    match notice {
        GossipMessage::Hello(daemon) => {
            mesh.record_heard(NOW, &daemon);
            mesh.sample_peers(NOW, &daemon.data_centre);
        }
        GossipMessage::Peers(sightings) => {
            let new = mesh.merge_known(NOW, &sightings);
            assert!(new.len() <= sightings.len());
            assert!(mesh.size() <= 1 + sightings.len());
        }
        GossipMessage::StoreUpdate(bulletin) => {
            bulletin.reader.rank();
            let (base, versions) = (bulletin.base, bulletin.versions);
            let mut catalog = Catalog::default();
            take_changes(&mut catalog, bulletin.changes);
            catalog.set_complete_to(versions.revision);
            catalog.changes_since(base);
            if let Some(delta) = bulletin.routing {
                take_delta(delta);
            }
        }
        GossipMessage::Leaving(daemon) => mesh.remove(&daemon),
        GossipMessage::ProbeRate(rate) => {
            let mut allowance = ProbeLimiter::new(ProbeLimiterSettings::default());
            allowance.record_peer_rate(rate as f32, 10.0);
            assert!(allowance.take(NOW, 1_000, 10.0) <= 1_000);
        }
        GossipMessage::Crash(report) => {
            let broke = NOW - report.age;
            let crash = Crash {
                sent: broke - report.ran,
                broke,
            };
            let mut crashes = CrashDetector::new(CrashSettings::default());
            crashes.record_crash(NOW, report.fingerprint, crash);
        }
    }
    mesh.hello_targets(NOW);
    mesh.relays();
}

fn mesh() -> Mesh {
    let me = Daemon {
        address: SocketAddr::from(([127, 0, 0, 1], 7001)),
        data_centre: "hall".into(),
        started_ms: 1,
        capacity: 10,
    };
    Mesh::new(MeshSettings::default(), me, Vec::new(), 1)
}

fn take_changes(catalog: &mut Catalog, changes: Vec<RevisionedChange>) {
    let count = changes.len();
    for dated in changes {
        catalog.apply(NOW, dated);
    }
    assert!(catalog.entries().count() <= count);
    catalog.expire(NOW + Duration::from_secs(60));
}

/// A change of the configuration applies only to the version that it names.
fn take_delta(delta: RoutingDelta) {
    let base = Routing {
        version: delta.base,
        ..Routing::default()
    };
    let version = delta.version;
    if let Some(next) = base.apply(delta) {
        assert_eq!(next.version, version);
        find_all(next);
    }
}

/// Every route that is in force is found by its own prefix.
fn find_all(routing: Routing) {
    let table = RouteTable::new(Arc::new(routing));
    for route in &table.routing().routes {
        table.find(&route.host, &route.prefix);
    }
    assert!(table.find("", "").is_none() || !table.routing().routes.is_empty());
}

fn supply(data: &[u8]) {
    let Ok(supply) = postcard::from_bytes::<PullResponse>(data) else {
        return;
    };
    let mut catalog = Catalog::default();
    match supply.registry {
        Some(RegistryUpdate::Snapshot(copy)) => {
            let count = copy.len();
            catalog.reconcile(NOW, supply.revision, copy, true);
            assert!(catalog.entries().count() <= count);
        }
        Some(RegistryUpdate::Changes(changes)) => take_changes(&mut catalog, changes),
        None => {}
    }
    catalog.set_complete_to(supply.revision);
    match supply.routing {
        Some(RoutingUpdate::Full(routing)) => find_all(Arc::unwrap_or_clone(routing)),
        Some(RoutingUpdate::Delta(delta)) => take_delta(delta),
        None => {}
    }
    mesh().merge_known(NOW, &supply.peers);
}

/// An entry is a server's own or none; as one it is kept under its id.
fn entry(data: &[u8]) {
    let Some(entry) = registry::decode("i-1", data) else {
        return;
    };
    assert_eq!(&*entry.id, "i-1");
    let standing = ServerState::new(true, entry.slots, NOW + entry.warm_up);
    check_score(&standing);
    let mut catalog = Catalog::default();
    let dated = RevisionedChange {
        revision: 5,
        change: Change::Reported(entry.clone()),
    };
    assert!(catalog.apply(NOW, dated));
    assert_eq!(catalog.entry("i-1"), Some(&entry));
}

/// A configuration is taken whole or refused, and a refusal says why.
fn routing(data: &[u8]) {
    match config::decode(data) {
        Ok(routing) => {
            assert!(routing.version > 0);
            find_all(routing);
        }
        Err(fault) => assert!(!fault.to_string().is_empty()),
    }
}

/// Whatever a server says of itself, its score is a number, and a proof needs a field or status.
fn answer(data: &[u8]) {
    let text = String::from_utf8_lossy(data);
    let mut lines = text.lines();
    let status = lines.next().and_then(|l| l.parse::<u16>().ok());
    let status = status.and_then(|s| StatusCode::from_u16(s).ok());
    let status = status.unwrap_or(StatusCode::OK);
    let mut fields = HeaderMap::new();
    for (name, value) in lines.filter_map(|l| l.split_once(':')) {
        let name = HeaderName::try_from(name);
        if let (Ok(name), Ok(value)) = (name, HeaderValue::try_from(value.trim())) {
            fields.append(name, value);
        }
    }
    let marks = read_response(status, &fields, "attempt-1");
    if fields.is_empty() {
        assert!(!marks.signed && marks.id_matches.is_none() && marks.not_run == marks.misdirected);
    }
    let health = read_health(status, &fields);
    for room in [marks.load, health.load].into_iter().flatten() {
        let mut standing = ServerState::new(true, 4, NOW);
        standing.record_load(NOW, room, Some(health.healthy));
        check_score(&standing);
    }
}

fn check_score(standing: &ServerState) {
    let need = PlacementContext {
        now: NOW,
        processing_time: Duration::from_millis(100),
        target_left: Duration::from_millis(300),
        time_left: Duration::from_secs(1),
        load_unknown: false,
        load_slowdown: 1.0,
        contended: false,
    };
    let score = standing.score(&need, &PlacementSettings::default());
    assert!(score.is_finite(), "{score}");
}
