//! Messages between daemons of different formats.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cuminspread::coordination::catalog::{Change, Revision, RevisionedChange};
use cuminspread::coordination::evacuation::Evacuations;
use cuminspread::protocol::gossip::{
    Daemon, FORMAT, GossipMessage, KnownPeer, MAX_DATAGRAM_BYTES, PullRequest, PullResponse,
    RegistryUpdate, RoutingUpdate, StoreUpdate, Versions, decode, encode,
};
use cuminspread::state::Name;
use cuminspread::state::routing::{Route, Routing, ServiceSpec, WeightedService};

fn removal(revision: Revision) -> RevisionedChange {
    RevisionedChange {
        revision,
        change: Change::Removed {
            id: Name::new("i-1"),
            lapsed: false,
        },
    }
}

fn versions(era: u64) -> Versions {
    Versions {
        revision: Revision { era, number: 300 },
        version: 9,
    }
}

fn update(era: u64) -> GossipMessage {
    let daemon = Daemon {
        address: SocketAddr::from(([10, 0, 0, 1], 7200)),
        data_centre: Name::new("a"),
        started_ms: 5,
        capacity: 10,
        forward_port: 0,
    };
    GossipMessage::StoreUpdate(Box::new(StoreUpdate {
        reader: daemon,
        age: Duration::from_millis(40),
        versions: versions(era),
        base: Revision { era, number: 290 },
        changes: vec![removal(Revision { era, number: 295 })],
        routing: None,
        can_serve: true,
        relay: true,
        evacuations: None,
    }))
}

fn request(era: u64) -> PullRequest {
    PullRequest {
        have: versions(era),
        data_centre: Name::new("a"),
    }
}

fn response(era: u64) -> PullResponse {
    PullResponse {
        registry: Some(RegistryUpdate::Changes(vec![removal(Revision {
            era,
            number: 295,
        })])),
        revision: Revision { era, number: 300 },
        ..PullResponse::default()
    }
}

#[test]
fn the_era_of_all_revisions_is_kept() {
    let bytes = encode(&update(3)).unwrap();
    assert_eq!(decode::<GossipMessage>(&bytes).unwrap(), update(3));
    let bytes = encode(&request(3)).unwrap();
    assert_eq!(decode::<PullRequest>(&bytes).unwrap(), request(3));
    let bytes = encode(&response(3)).unwrap();
    assert_eq!(decode::<PullResponse>(&bytes).unwrap(), response(3));
}

#[test]
fn daemons_of_format_1_read_messages_and_are_read() {
    // Format 1 is postcard alone: its daemons ignore what follows, and send no era.
    let bytes = encode(&update(3)).unwrap();
    let read: GossipMessage = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(read, update(0));
    let bytes = postcard::to_stdvec(&update(3)).unwrap();
    assert_eq!(decode::<GossipMessage>(&bytes).unwrap(), update(0));
    let bytes = encode(&response(3)).unwrap();
    let read: PullResponse = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(read, response(0));
    let bytes = postcard::to_stdvec(&request(3)).unwrap();
    assert_eq!(decode::<PullRequest>(&bytes).unwrap(), request(0));
}

fn peers(forward_port: u16) -> GossipMessage {
    let names = ["helsestasjon", "skolesenter"];
    let peers = (0..33).map(|i: u8| KnownPeer {
        daemon: Daemon {
            address: SocketAddr::from(([10, 2, 0, i], 17200)),
            data_centre: Name::new(names[usize::from(i) % 2]),
            started_ms: 1_789_078_887_014,
            capacity: 500,
            forward_port,
        },
        age: 300,
    });
    GossipMessage::Peers(peers.collect())
}

#[test]
fn ports_for_forwarded_requests_follow_the_message() {
    let bytes = encode(&peers(17215)).unwrap();
    assert_eq!(decode::<GossipMessage>(&bytes).unwrap(), peers(17215));
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
    let read: GossipMessage = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(read, peers(0), "format 1 ignores them");
    // Format 3 has an extension without ports: two bytes here.
    let message = postcard::to_stdvec(&peers(0)).unwrap();
    let bytes = &bytes[..message.len() + 2];
    assert_eq!(decode::<GossipMessage>(bytes).unwrap(), peers(0));
}

fn evacuations(era: u64, data_centres: &[&str]) -> Evacuations {
    let number = |number| Revision { era, number };
    let data_centres = data_centres.iter().map(|d| (Name::new(d), number(298)));
    Evacuations {
        as_of: number(300),
        data_centres: data_centres.collect(),
    }
}

fn routing(version: u64, regions: &[&str]) -> Routing {
    let route = |name, regions: &[&str]| {
        Arc::new(Route {
            name: Name::new(name),
            host: Name::new("shop.example"),
            prefix: Name::new("/"),
            idempotent: true,
            timeout: Duration::from_secs(2),
            latency_target: Duration::from_secs(1),
            priority: 1,
            max_attempts: 2,
            services: vec![WeightedService {
                service: Name::new("status"),
                weight: 1,
            }],
            regions: regions.iter().map(Name::new).collect(),
        })
    };
    let service = |name, cold_interval| ServiceSpec {
        name: Name::new(name),
        probe_path: Name::new("/healthz"),
        max_connections: 260,
        cold_interval,
    };
    Routing {
        version,
        routes: vec![route("a", &[]), route("b", regions)],
        services: vec![
            service("orders", None),
            service("status", Some(Duration::from_millis(400 + version))),
        ],
        terms_known: true,
        ..Routing::default()
    }
}

/// The message as a daemon of format 4 would have sent it: without what follows the ports.
fn cut_to_format_4(bytes: &[u8], message_len: usize, era_len: usize, ports_len: usize) -> Vec<u8> {
    let mut cut = bytes[..message_len + 1 + era_len + ports_len].to_vec();
    assert_eq!(cut[message_len], FORMAT);
    cut[message_len] = 4;
    cut
}

#[test]
fn emptied_data_centres_and_terms_follow_messages_about_the_store() {
    struct Case {
        name: &'static str,
        emptied: &'static [&'static str],
        regions: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "nothing is known of them but that there are none",
            emptied: &[],
            regions: &[],
        },
        Case {
            name: "two emptied data centres and a route with regions",
            emptied: &["helsestasjon", "skolesenter"],
            regions: &["vestfjord", "nord"],
        },
    ];
    for case in cases {
        let known = Some(evacuations(3, case.emptied));
        let (before, after) = (routing(8, &["ost"]), routing(9, case.regions));
        let delta = after.delta_from(&before);
        assert!(delta.terms_known);
        let GossipMessage::StoreUpdate(mut sent) = update(3) else {
            unreachable!();
        };
        sent.routing = Some(delta.clone());
        sent.evacuations = known.clone();
        let sent = GossipMessage::StoreUpdate(sent);
        let bytes = encode(&sent).unwrap();
        assert_eq!(
            decode::<GossipMessage>(&bytes).unwrap(),
            sent,
            "{}",
            case.name
        );
        assert_eq!(before.apply(delta.clone()).unwrap(), after, "{}", case.name);
        let message_len = postcard::to_stdvec(&sent).unwrap().len();
        let older = cut_to_format_4(&bytes, message_len, 1, 2);
        let GossipMessage::StoreUpdate(read) = decode(&older).unwrap() else {
            panic!("{}", case.name);
        };
        assert_eq!(read.evacuations, None, "{}", case.name);
        assert!(!read.routing.unwrap().terms_known, "{}", case.name);

        for routing in [
            RoutingUpdate::Full(Arc::new(after.clone())),
            RoutingUpdate::Delta(delta.clone()),
        ] {
            let sent = PullResponse {
                routing: Some(routing),
                evacuations: known.clone(),
                ..response(3)
            };
            let bytes = encode(&sent).unwrap();
            assert_eq!(
                decode::<PullResponse>(&bytes).unwrap(),
                sent,
                "{}",
                case.name
            );
            let message_len = postcard::to_stdvec(&sent).unwrap().len();
            let older = cut_to_format_4(&bytes, message_len, 1, 1);
            let read: PullResponse = decode(&older).unwrap();
            assert_eq!(read.evacuations, None, "{}", case.name);
            let terms_known = match read.routing.unwrap() {
                RoutingUpdate::Full(routing) => routing.terms_known,
                RoutingUpdate::Delta(delta) => delta.terms_known,
            };
            assert!(!terms_known, "{}", case.name);
        }

        let report = GossipMessage::Evacuations((&evacuations(3, case.emptied)).into());
        let read = decode::<GossipMessage>(&encode(&report).unwrap()).unwrap();
        assert_eq!(read, report);
        let GossipMessage::Evacuations(read) = read else {
            panic!("{}", case.name);
        };
        assert_eq!(Evacuations::from(read), evacuations(3, case.emptied));
    }
}

#[test]
fn terms_that_a_daemon_left_out_are_taken_from_an_earlier_version() {
    let mut newer = routing(9, &[]);
    newer.terms_known = false;
    newer.services[1].cold_interval = None;
    let filled = newer.with_terms_of(&routing(8, &["nord"]));
    assert!(!filled.terms_known, "they may have changed");
    assert_eq!(filled.routes, routing(8, &["nord"]).routes);
    assert_eq!(filled.services, routing(8, &[]).services);
    assert_eq!(filled.version, 9);
}

#[test]
fn revisions_of_an_unknown_era_are_older_than_those_of_a_known_one() {
    let unknown = Revision {
        era: 0,
        number: 900,
    };
    assert!(unknown < Revision { era: 1, number: 1 });
}

#[test]
fn extensions_of_other_lengths() {
    struct Case {
        name: &'static str,
        cut: usize,
        appended: &'static [u8],
        is_read: bool,
    }
    let cases = [
        Case {
            name: "a later format appends more",
            cut: 0,
            appended: &[7, 7, 7],
            is_read: true,
        },
        Case {
            name: "an extension that ends early",
            cut: 1,
            appended: &[],
            is_read: false,
        },
    ];
    for case in cases {
        let mut bytes = encode(&update(3)).unwrap();
        bytes.truncate(bytes.len() - case.cut);
        bytes.extend_from_slice(case.appended);
        let read = decode::<GossipMessage>(&bytes).ok();
        let expected = case.is_read.then(|| update(3));
        assert_eq!(read, expected, "{}", case.name);
    }
}
