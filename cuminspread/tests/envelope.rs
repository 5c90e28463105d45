//! Sealing, opening and admission of envelopes.

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
fn opens_what_any_known_key_sealed() {
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
fn unknown_variants_are_told_from_forgeries() {
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
fn admission() {
    struct Case {
        what: &'static str,
        header: EnvelopeHeader,
        result: Result<(), EnvelopeError>,
    }
    let ok = |what, incarnation, sequence| Case {
        what,
        header: header(incarnation, sequence),
        result: Ok(()),
    };
    let bad = |what, header, cause| Case {
        what,
        header,
        result: Err(cause),
    };
    let other = EnvelopeHeader {
        to: "c".into(),
        ..header(2, 9)
    };
    let late = EnvelopeHeader {
        sent: Wall(NOW.0 - 10_001),
        ..header(2, 9)
    };
    let cases = [
        ok("first", 2, 5),
        ok("reordered", 2, 3),
        bad("repeated", header(2, 3), EnvelopeError::Replayed),
        bad("sequence 0", header(2, 0), EnvelopeError::Replayed),
        bad("older start", header(1, 6), EnvelopeError::OldIncarnation),
        bad("for another VM", other, EnvelopeError::Misdirected),
        bad("too old", late, EnvelopeError::Stale),
        ok("far ahead", 2, 5000),
        bad(
            "behind the window",
            header(2, 3000),
            EnvelopeError::Replayed,
        ),
        ok("inside the window", 2, 4500),
        bad("inside, repeated", header(2, 4500), EnvelopeError::Replayed),
        ok("next start", 3, 1),
        bad(
            "previous start",
            header(2, 6000),
            EnvelopeError::OldIncarnation,
        ),
    ];
    let mut guard = ReplayFilter::new("b".into());
    for case in cases {
        assert_eq!(guard.admit(NOW, &case.header), case.result, "{}", case.what);
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

    fn authentic_garbage_does_not_panic(garbage: Vec<u8>) -> bool {
        let mut body = vec![FORMAT_VERSION];
        body.extend(&garbage);
        let key = blake3::derive_key("cuminspread 2026 peer key v1", b"x");
        let mac = blake3::keyed_hash(&key, &body);
        body.extend(&mac.as_bytes()[..16]);
        let _ = Sealer::new(["x"]).open(&body);
        true
    }
}
