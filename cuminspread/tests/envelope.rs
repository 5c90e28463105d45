//! Sealing and opening of envelopes, and the replay filter.

use cuminspread::protocol::envelope::{
    Envelope, EnvelopeError, EnvelopeHeader, FORMAT_VERSION, ReplayFilter, Sealer,
};
use cuminspread::protocol::message::Message;
use cuminspread::protocol::news::{NewsItem, NewsMessage};
use cuminspread::state::time::Wall;
use quickcheck::quickcheck;

const NOW: Wall = Wall(1_000_000);

fn header(incarnation: u64, sequence: u64) -> EnvelopeHeader {
    EnvelopeHeader {
        from: "a".into(),
        to: "b".into(),
        incarnation,
        sequence,
        sent: NOW,
    }
}

fn envelope() -> Envelope {
    let item = NewsItem::Crashing(7);
    Envelope {
        header: header(1, 1),
        message: Message::News(NewsMessage::Items(vec![(item, 3)])),
    }
}

#[test]
fn opens_envelopes_sealed_with_any_of_the_keys() {
    struct Case {
        seal: &'static [&'static str],
        open: &'static [&'static str],
        result: Result<(), EnvelopeError>,
    }
    let cases = [
        Case {
            seal: &["x"],
            open: &["x"],
            result: Ok(()),
        },
        Case {
            seal: &["x", "y"],
            open: &["y", "x"],
            result: Ok(()),
        },
        Case {
            seal: &["x"],
            open: &["y"],
            result: Err(EnvelopeError::Forged),
        },
        Case {
            seal: &["x"],
            open: &[],
            result: Err(EnvelopeError::Forged),
        },
    ];
    for case in cases {
        let bytes = Sealer::new(case.seal.iter().copied())
            .seal(&envelope())
            .unwrap();
        let opened = Sealer::new(case.open.iter().copied()).open(&bytes);
        assert_eq!(opened.map(|e| assert_eq!(e, envelope())), case.result);
    }
}

#[test]
fn unknown_message_variants_are_not_reported_as_forged() {
    let sealer = Sealer::new(["x"]);
    let mut body = vec![FORMAT_VERSION];
    body.extend(postcard::to_stdvec(&header(1, 1)).unwrap());
    body.extend([200, 1, 2, 3]);
    let key = blake3::derive_key("cuminspread 2026 peer key v1", b"x");
    let mac = blake3::keyed_hash(&key, &body);
    body.extend(&mac.as_bytes()[..16]);
    assert_eq!(sealer.open(&body), Err(EnvelopeError::UnknownMessage));
}

#[test]
fn replay_filter_admits_each_header_once() {
    struct Case {
        what: &'static str,
        header: EnvelopeHeader,
        result: Result<(), EnvelopeError>,
    }
    let admitted = |what, incarnation, sequence| Case {
        what,
        header: header(incarnation, sequence),
        result: Ok(()),
    };
    let rejected = |what, header, cause| Case {
        what,
        header,
        result: Err(cause),
    };
    let misdirected = EnvelopeHeader {
        to: "c".into(),
        ..header(2, 9)
    };
    let stale = EnvelopeHeader {
        sent: Wall(NOW.0 - 10_001),
        ..header(2, 9)
    };
    let cases = [
        admitted("first", 2, 5),
        admitted("reordered", 2, 3),
        rejected("repeated", header(2, 3), EnvelopeError::Replayed),
        rejected("sequence 0", header(2, 0), EnvelopeError::Replayed),
        rejected(
            "an older incarnation",
            header(1, 6),
            EnvelopeError::OldIncarnation,
        ),
        rejected("for another VM", misdirected, EnvelopeError::Misdirected),
        rejected("too old", stale, EnvelopeError::Stale),
        admitted("far ahead", 2, 5000),
        rejected(
            "behind the window",
            header(2, 3000),
            EnvelopeError::Replayed,
        ),
        admitted("inside the window", 2, 4500),
        rejected(
            "inside the window, repeated",
            header(2, 4500),
            EnvelopeError::Replayed,
        ),
        admitted("the next incarnation", 3, 1),
        rejected(
            "the previous incarnation",
            header(2, 6000),
            EnvelopeError::OldIncarnation,
        ),
    ];
    let mut filter = ReplayFilter::new("b".into());
    for case in cases {
        assert_eq!(
            filter.admit(NOW, &case.header),
            case.result,
            "{}",
            case.what
        );
    }
}

quickcheck! {
    fn random_bytes_are_dropped(bytes: Vec<u8>) -> bool {
        Sealer::new(["x"]).open(&bytes).is_err()
    }

    fn mutated_bytes_are_dropped(at: usize, flip: u8) -> bool {
        let sealer = Sealer::new(["x"]);
        let mut bytes = sealer.seal(&envelope()).unwrap();
        let at = at % bytes.len();
        bytes[at] ^= flip;
        sealer.open(&bytes).is_err() == (flip != 0)
    }

    fn authenticated_garbage_does_not_panic(garbage: Vec<u8>) -> bool {
        let mut body = vec![FORMAT_VERSION];
        body.extend(&garbage);
        let key = blake3::derive_key("cuminspread 2026 peer key v1", b"x");
        let mac = blake3::keyed_hash(&key, &body);
        body.extend(&mac.as_bytes()[..16]);
        let _ = Sealer::new(["x"]).open(&body);
        true
    }
}
