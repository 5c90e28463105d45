//! Parsers under test, and the properties that they must have for any input.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cuminspread::coordination::catalog::{Catalog, Change, Revision, RevisionedChange};
use cuminspread::coordination::crash::{Crash, CrashDetector, CrashSettings};
use cuminspread::coordination::evacuation::Evacuations;
use cuminspread::coordination::mesh::{Mesh, MeshSettings};
use cuminspread::coordination::placement::{
    LoadSlowdown, PlacementContext, PlacementSettings, ServerState,
};
use cuminspread::coordination::probe_limiter::{ProbeLimiter, ProbeLimiterSettings};
use cuminspread::coordination::reader::{ReadSchedule, ReaderSettings};
use cuminspread::coordination::server_limit::{ServerLimit, held_rate};
use cuminspread::protocol::envelope::{Envelope, EnvelopeError, FORMAT_VERSION, Sealer};
use cuminspread::protocol::gossip::{
    self, Daemon, GossipMessage, PullResponse, RegistryUpdate, RoutingUpdate,
};
use cuminspread::protocol::header::{format_load, parse_load};
use cuminspread::recording::{Compare, replay};
use cuminspread::state::folder::{FolderFile, parse_folder};
use cuminspread::state::routing::check::{check, differences};
use cuminspread::state::routing::{RouteTable, Routing, RoutingDelta};
use cuminspread::state::time::Mono;
use cuminspread::transport::request_scan::{
    RequestFollower, Scan, ScannedHead, read_head, scan_head,
};
use cuminspread_platform::config::lines::Lines;
use cuminspread_platform::headers::{read_health, read_response};
use cuminspread_platform::{config, registry};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

/// Secret that seals the envelopes of [`Target::Envelope`].
const SECRET: &str = "fuzz";
/// Character between the names and texts of a folder's files.
const SEPARATOR: char = '\0';

/// Bytes of the length in front of each value in a recording.
const FRAME_LENGTH_BYTES: u64 = 4;

/// Limits on the heads of callers.
const MAX_HEAD_BYTES: usize = 128 << 10;
const MAX_FIELDS: usize = 100;

/// A parser under test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// Folder of INI files: names and texts in turn, separated by zero bytes.
    Folder,
    /// Envelope of a peer message, without format version and authentication code.
    Envelope,
    /// Value of the load report header.
    Header,
    /// Recording of a daemon's state machines.
    Recording,
    /// Gossip message of a daemon.
    Gossip,
    /// Response of a daemon to a pull.
    PullResponse,
    /// Server's entry in the store.
    ServerEntry,
    /// Configuration in the store.
    Routing,
    /// Head of a server's response: a line with the status code, then header lines.
    Response,
    /// Bytes of a caller's connection.
    Requests,
}

impl Target {
    /// All targets.
    pub const ALL: [Self; 10] = [
        Self::Folder,
        Self::Envelope,
        Self::Header,
        Self::Recording,
        Self::Gossip,
        Self::PullResponse,
        Self::ServerEntry,
        Self::Routing,
        Self::Response,
        Self::Requests,
    ];

    /// Name of the target's corpus folder, and of its binary after `fuzz-`.
    pub fn label(self) -> &'static str {
        match self {
            Self::Folder => "folder",
            Self::Envelope => "datagram",
            Self::Header => "header",
            Self::Recording => "trace",
            Self::Gossip => "notice",
            Self::PullResponse => "supply",
            Self::ServerEntry => "entry",
            Self::Routing => "routing",
            Self::Response => "answer",
            Self::Requests => "requests",
        }
    }

    /// Runs the parser on one input.
    ///
    /// # Panics
    ///
    /// Panics if the parser panics or lacks one of its properties.
    pub fn run(self, data: &[u8]) {
        match self {
            Self::Folder => folder(data),
            Self::Envelope => envelope(data),
            Self::Header => header(data),
            Self::Recording => recording(data),
            Self::Gossip => gossip_message(data),
            Self::PullResponse => pull_response(data),
            Self::ServerEntry => server_entry(data),
            Self::Routing => routing(data),
            Self::Response => response(data),
            Self::Requests => requests(data),
        }
    }
}

/// A council is accepted or refused as a whole, and a refused one has faults.
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
    let parsed = parse_folder(&files);
    for (name, council) in &parsed.councils {
        match council {
            Ok(config) => assert_eq!(config.council, *name),
            Err(faults) => assert!(!faults.is_empty(), "{name} is refused without a fault"),
        }
    }
    for fault in parsed.all_faults() {
        assert!(!fault.to_string().is_empty());
    }
}

/// Bytes without a valid authentication code are rejected; a sealed envelope opens unchanged, with
/// the same secret only.
fn envelope(data: &[u8]) {
    let sealer = Sealer::new([SECRET]);
    let other_sealer = Sealer::new(["other"]);
    let opened = sealer.open(data);
    assert!(
        opened.is_err(),
        "bytes without an authentication code were accepted"
    );
    let Ok(envelope) = postcard::from_bytes::<Envelope>(data) else {
        return;
    };
    let Ok(bytes) = sealer.seal(&envelope) else {
        return;
    };
    assert_eq!(bytes[0], FORMAT_VERSION);
    assert_eq!(sealer.open(&bytes).as_ref(), Ok(&envelope));
    assert_eq!(other_sealer.open(&bytes), Err(EnvelopeError::Forged));
    let mut changed = bytes;
    let last = changed.len() - 1;
    changed[last] ^= 1;
    assert_eq!(sealer.open(&changed), Err(EnvelopeError::Forged));
}

/// A parsed load report stays the same if it is formatted and parsed again.
fn header(data: &[u8]) {
    let text = String::from_utf8_lossy(data);
    if let Some(report) = parse_load(&text) {
        assert_eq!(parse_load(&format_load(&report)), Some(report));
    }
}

/// A recording has no more events than its size allows, and two replays give the same result.
fn recording(data: &[u8]) {
    let Ok(first) = replay(data, Compare::Actions) else {
        return;
    };
    assert!(first.events <= data.len() as u64 / FRAME_LENGTH_BYTES);
    let again = replay(data, Compare::Actions).expect("the first replay read the header");
    assert_eq!(first.difference, again.difference);
    assert_eq!(first.damage, again.damage);
}

/// Current time in all targets.
const NOW: Mono = Mono(1_000_000_000);

/// The state machines that a daemon passes a message to neither panic nor keep more peers or
/// servers than the message has.
fn gossip_message(data: &[u8]) {
    let Ok(message) = gossip::decode::<GossipMessage>(data) else {
        return;
    };
    let mut mesh = mesh();
    match message {
        GossipMessage::Hello(daemon) => {
            mesh.record_heard(NOW, &daemon);
            mesh.sample_peers(NOW, &daemon.data_centre);
        }
        GossipMessage::Peers(peers) => {
            let new = mesh.merge_known(NOW, &peers);
            assert!(new.len() <= peers.len());
            assert!(mesh.size() <= 1 + peers.len());
        }
        GossipMessage::StoreUpdate(update) => {
            update.reader.rank();
            let (base, versions) = (update.base, update.versions);
            let mut catalog = Catalog::default();
            apply_changes(&mut catalog, update.changes);
            catalog.set_complete_to(versions.revision);
            catalog.changes_since(NOW, base);
            if let Some(evacuations) = &update.evacuations {
                adopt_evacuations(evacuations);
            }
            if let Some(delta) = update.routing {
                apply_delta(delta);
            }
        }
        GossipMessage::Leaving(daemon) => {
            assert!(!mesh.record_leaving(NOW, &daemon), "it is no peer");
        }
        GossipMessage::ProbeRate(rate) => {
            let mut limiter = ProbeLimiter::new(ProbeLimiterSettings::default());
            limiter.record_peer_rate(rate as f32, 10.0);
            assert!(limiter.take(NOW, 1_000, 10.0) <= 1_000);
        }
        GossipMessage::ReadAttempt(report) => {
            let settings = ReaderSettings::default();
            let mut schedule = ReadSchedule::new(settings, 1, 1, Duration::ZERO);
            schedule.record_peer_attempt(NOW, report.rank, report.attempt);
            assert!(schedule.next_read().is_some());
        }
        GossipMessage::ServerLeaving(report) => {
            let left = Catalog::default().record_leaving(&report.server, report.started_ms);
            assert!(left.is_none(), "the catalog is empty");
        }
        GossipMessage::Evacuations(report) => adopt_evacuations(&report.into()),
        GossipMessage::Reach(report) => {
            let peer = mesh.forward_address(report.daemon, report.started_ms);
            assert!(peer.is_none(), "the mesh is empty");
        }
        GossipMessage::Slowdown(report) => {
            let mut slowdown = LoadSlowdown::default();
            slowdown.merge(NOW, &report.samples);
            assert!((1.0..=4.0).contains(&slowdown.factor(NOW)));
        }
        GossipMessage::ServerLimit(report) => {
            let rate = report.rate.filter(|r| r.is_finite() && *r >= 0.0);
            let me = mesh.me().clone();
            let held =
                rate.and_then(|r| held_rate(&report.server, "hall", r, &me, mesh.daemons(), 1.0));
            if let Some(rate) = rate {
                let mut limit = ServerLimit::new(NOW - report.age, rate);
                limit.assign(NOW, held, mesh.size(), 0.5);
                limit.record_sent(NOW);
                assert!(limit.next_send().is_some());
            }
        }
        GossipMessage::Crash(report) => {
            let broke = NOW - report.age;
            let crash = Crash {
                sent: broke - report.ran,
                broke,
            };
            let mut detector = CrashDetector::new(CrashSettings::default());
            detector.record_crash(NOW, report.fingerprint, crash);
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
        forward_port: 0,
    };
    Mesh::new(MeshSettings::default(), me, Vec::new(), 1)
}

fn apply_changes(catalog: &mut Catalog, changes: Vec<RevisionedChange>) {
    let count = changes.len();
    for change in changes {
        catalog.apply(NOW, change);
    }
    assert!(catalog.entries().count() <= count);
    catalog.expire(NOW + Duration::from_secs(60));
}

/// A set replaces one that knows nothing, unless it knows nothing itself, and only once.
fn adopt_evacuations(evacuations: &Evacuations) {
    let mut known = Evacuations::default();
    let count = known.adopt(evacuations).len();
    assert!(evacuations.as_of == known.as_of && count <= evacuations.data_centres.len());
    assert!(known.adopt(evacuations).is_empty());
}

/// A configuration made by a delta has the version that the delta names.
fn apply_delta(delta: RoutingDelta) {
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

/// Looking up each route by its host and prefix doesn't panic, and an empty table finds nothing.
fn find_all(routing: Routing) {
    let table = RouteTable::new(Arc::new(routing));
    for route in &table.routing().routes {
        table.find(&route.host, &route.prefix);
    }
    assert!(table.find("", "").is_none() || !table.routing().routes.is_empty());
}

/// A snapshot or list of changes adds no more servers than it has.
fn pull_response(data: &[u8]) {
    let Ok(response) = gossip::decode::<PullResponse>(data) else {
        return;
    };
    let mut catalog = Catalog::default();
    match response.registry {
        Some(RegistryUpdate::Snapshot(snapshot)) => {
            let count = snapshot.len();
            catalog.reconcile(NOW, response.revision, snapshot, true);
            assert!(catalog.entries().count() <= count);
        }
        Some(RegistryUpdate::Changes(changes)) => apply_changes(&mut catalog, changes),
        None => {}
    }
    catalog.set_complete_to(response.revision);
    match response.routing {
        Some(RoutingUpdate::Full(routing)) => find_all(Arc::unwrap_or_clone(routing)),
        Some(RoutingUpdate::Delta(delta)) => apply_delta(delta),
        None => {}
    }
    mesh().merge_known(NOW, &response.peers);
}

/// A decoded entry has the id of its key, and the catalog returns it unchanged by this id.
fn server_entry(data: &[u8]) {
    let Some(entry) = registry::decode("i-1", data) else {
        return;
    };
    assert_eq!(&*entry.id, "i-1");
    let server = ServerState::new(true, entry.slots, NOW + entry.warm_up);
    check_score(&server);
    let mut catalog = Catalog::default();
    let change = RevisionedChange {
        revision: Revision { era: 1, number: 5 },
        change: Change::Reported(entry.clone()),
    };
    assert!(catalog.apply(NOW, change));
    assert_eq!(catalog.entry("i-1"), Some(&entry));
}

/// A configuration is accepted with a version above zero, or refused with a reason. Without
/// faults, it differs in nothing from itself.
fn routing(data: &[u8]) {
    let lines = Lines::find(&String::from_utf8_lossy(data));
    match config::decode(data) {
        Ok(routing) => {
            assert!(routing.version > 0);
            let findings = check(&routing, None);
            for finding in &findings {
                assert!(lines.of(finding.subject) > 0 && !finding.problem.is_empty());
            }
            let differences = differences(&routing, &routing);
            assert!(differences.is_empty() || !findings.is_empty());
            find_all(routing);
        }
        Err(error) => assert!(!error.to_string().is_empty()),
    }
}

/// Whatever load a server reports, its score is finite. Without header fields, a response proves
/// that a request was not executed only by the status for misdirected requests.
fn response(data: &[u8]) {
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
    let parsed = read_response(status, &fields, "attempt-1");
    if fields.is_empty() {
        assert!(
            !parsed.signed && parsed.id_matches.is_none() && parsed.not_run == parsed.misdirected
        );
    }
    let health = read_health(status, &fields);
    for load in [parsed.load, health.load].into_iter().flatten() {
        let mut server = ServerState::new(true, 4, NOW);
        server.record_load(NOW, load, Some(health.healthy));
        check_score(&server);
    }
}

/// The same requests are found however the bytes are split, and each of them is a head by itself.
fn requests(data: &[u8]) {
    let whole = follow(&[data]);
    for step in [1, 7] {
        let parts: Vec<_> = data.chunks(step).collect();
        assert_eq!(follow(&parts), whole, "in parts of {step}");
    }
}

fn follow(parts: &[&[u8]]) -> Vec<ScannedHead> {
    let mut follower = RequestFollower::new(MAX_HEAD_BYTES, MAX_FIELDS);
    let mut found = Vec::new();
    for mut part in parts.iter().copied() {
        while !part.is_empty() {
            let next = follower.follow(part);
            assert!(next.len > 0, "nothing is followed");
            part = &part[next.len..];
            if let Some(head) = next.head {
                assert_eq!(scan_head(follower.head(), MAX_FIELDS), Scan::Head(head));
                assert_eq!(follower.head().len(), head.len);
                let fields =
                    read_head(follower.head(), MAX_FIELDS).map_or(0, |r| r.headers().len());
                assert!(fields <= MAX_FIELDS);
                found.push(head);
            }
        }
    }
    found
}

fn check_score(server: &ServerState) {
    let cx = PlacementContext {
        now: NOW,
        processing_time: Duration::from_millis(100),
        target_left: Duration::from_millis(300),
        time_left: Duration::from_secs(1),
        load_unknown: false,
        load_slowdown: 1.0,
        contended: false,
        near_wait: Duration::ZERO,
    };
    let score = server.score(&cx, &PlacementSettings::default());
    assert!(score.is_finite(), "{score}");
}
