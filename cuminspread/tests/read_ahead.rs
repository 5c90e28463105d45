//! Which requests are started before those in front are answered, and where requests end.

use cuminspread::coordination::read_ahead::{AheadLoad, Class, RequestTraits, classify};
use cuminspread::transport::request_scan::{
    BodyScan, Framing, Scan, has_empty_line, read_head, scan_head,
};

const MAX_FIELDS: usize = 100;

const READ: RequestTraits = RequestTraits {
    reads: true,
    plain: true,
    valid: true,
    repeatable: true,
    streams: false,
    closes: false,
};

#[test]
fn only_plain_reads_that_may_be_repeated_are_started() {
    #[rustfmt::skip]
    let cases = [
        (READ, Class::Start),
        (RequestTraits { closes: true, ..READ }, Class::StartLast),
        (RequestTraits { reads: false, ..READ }, Class::Wait),
        (RequestTraits { plain: false, ..READ }, Class::Wait),
        (RequestTraits { valid: false, ..READ }, Class::Wait),
        (RequestTraits { repeatable: false, ..READ }, Class::Wait),
        (RequestTraits { streams: true, ..READ }, Class::Wait),
        (RequestTraits { streams: true, closes: true, ..READ }, Class::Wait),
    ];
    for (traits, class) in cases {
        assert_eq!(classify(&traits), class, "{traits:?}");
    }
}

#[test]
fn room_is_bounded_by_requests_and_bytes() {
    let free = AheadLoad {
        started: 0,
        max_started: 8,
        held: 0,
        max_held: 1000,
        answer: 100,
        serving: true,
    };
    #[rustfmt::skip]
    let cases = [
        (free, true),
        (AheadLoad { started: 7, ..free }, true),
        (AheadLoad { started: 8, ..free }, false),
        (AheadLoad { max_started: 0, ..free }, false),
        (AheadLoad { held: 400, ..free }, true),
        (AheadLoad { held: 401, ..free }, false),
        (AheadLoad { held: usize::MAX, ..free }, false),
        (AheadLoad { serving: false, ..free }, false),
    ];
    for (load, room) in cases {
        assert_eq!(load.has_room(), room, "{load:?}");
    }
}

/// Heads behind the request line and host, and what follows them.
#[test]
fn heads_are_framed() {
    #[rustfmt::skip]
    let cases = [
        ("", Some((Framing::Empty, false))),
        ("content-length: 0\r\n", Some((Framing::Empty, false))),
        ("content-length: 17\r\n", Some((Framing::Length(17), false))),
        ("content-length: 17\r\nContent-Length: 17\r\n", Some((Framing::Length(17), false))),
        ("content-length: 17\r\ncontent-length: 18\r\n", None),
        ("content-length: 1, 2\r\n", None),
        ("content-length: +1\r\n", None),
        ("content-length: 99999999999999999999\r\n", None),
        ("transfer-encoding: chunked\r\n", Some((Framing::Chunked, false))),
        ("transfer-encoding: gzip, Chunked\r\n", Some((Framing::Chunked, false))),
        ("transfer-encoding: chunked, gzip\r\n", None),
        ("transfer-encoding: chunked\r\ncontent-length: 4\r\n", Some((Framing::Chunked, true))),
        ("content-length: 4\r\ntransfer-encoding: chunked\r\n", Some((Framing::Chunked, true))),
        ("transfer-encoding : chunked\r\n", None),
    ];
    for (fields, expected) in cases {
        let head = format!("POST / HTTP/1.1\r\nhost: shop.example\r\n{fields}\r\n");
        let text = format!("{head}GET / HTTP/1.1\r\n\r\n");
        let found = match scan_head(text.as_bytes(), MAX_FIELDS) {
            Scan::Head(found) => {
                assert_eq!(found.len, head.len(), "{fields:?}");
                Some((found.framing, found.ambiguous))
            }
            Scan::Invalid => None,
            Scan::Partial => panic!("{fields:?}"),
        };
        assert_eq!(found, expected, "{fields:?}");
    }
    let many = "a: b\r\n".repeat(MAX_FIELDS);
    for (max, complete) in [(MAX_FIELDS, true), (MAX_FIELDS - 1, false)] {
        let text = format!("GET / HTTP/1.1\r\n{many}\r\n");
        let found = scan_head(text.as_bytes(), max);
        assert_eq!(matches!(found, Scan::Head(_)), complete, "{max}");
        assert_eq!(read_head(text.as_bytes(), max).is_some(), complete);
    }
}

#[test]
fn the_end_of_a_head_is_found_wherever_it_is_split() {
    for text in ["GET / HTTP/1.1\r\na: b\r\n\r\n", "GET / HTTP/1.1\na: b\n\n"] {
        for split in 0..text.len() {
            let part = &text.as_bytes()[..split];
            assert!(!has_empty_line(part, 0), "{split}");
            assert_eq!(scan_head(part, MAX_FIELDS), Scan::Partial, "{split}");
            assert!(has_empty_line(text.as_bytes(), split), "{split}");
        }
    }
}

#[test]
fn bodies_end_where_they_should() {
    struct Case {
        framing: Framing,
        body: &'static str,
        /// Bytes of the body that belong to it; `None` if it is malformed.
        ends: Option<usize>,
    }
    let chunked = |body: &'static str, ends| Case {
        framing: Framing::Chunked,
        body,
        ends,
    };
    let cases = [
        Case {
            framing: Framing::Empty,
            body: "GET",
            ends: Some(0),
        },
        Case {
            framing: Framing::Length(4),
            body: "bodyGET",
            ends: Some(4),
        },
        chunked("0\r\n\r\nGET", Some(5)),
        chunked("4\r\nbody\r\n0\r\n\r\nGET", Some(14)),
        chunked("4;a=b\r\nbody\r\n00\r\na: b\r\n\r\nGET", Some(25)),
        chunked("4 \r\nbody\r\n0\r\n\r\nGET", Some(15)),
        chunked("A\r\n0123456789\r\n0\r\n\r\nGET", Some(20)),
        chunked("4\nbody\r\n0\r\n\r\n", None),
        chunked("4\r\nbody0\r\n\r\n", None),
        chunked("\r\n", None),
        chunked("x\r\n", None),
        chunked("-4\r\n", None),
        chunked("fffffffffffffffff\r\n", None),
        chunked("0\r\n\n", None),
    ];
    for case in cases {
        for split in 0..=case.body.len() {
            let mut scan = BodyScan::new(case.framing);
            let (start, end) = case.body.as_bytes().split_at(split);
            let used = scan.advance(start).and_then(|used| {
                let more = if used < start.len() {
                    0
                } else {
                    scan.advance(end)?
                };
                Some(used + more)
            });
            assert_eq!(used, case.ends, "{:?} split at {split}", case.body);
            assert_eq!(scan == BodyScan::End, used.is_some(), "{:?}", case.body);
        }
    }
}
