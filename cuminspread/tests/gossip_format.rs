//! Messages between daemons of different formats.

use std::net::SocketAddr;
use std::time::Duration;

use cuminspread::coordination::catalog::{Change, Revision, RevisionedChange};
use cuminspread::protocol::gossip::{
    Daemon, GossipMessage, KnownPeer, MAX_DATAGRAM_BYTES, PullRequest, PullResponse,
    RegistryUpdate, StoreUpdate, Versions, decode, encode,
};
use cuminspread::state::Name;

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
