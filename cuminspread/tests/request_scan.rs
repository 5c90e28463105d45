//! Where the requests of a connection begin and end.

use std::convert::Infallible;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use cuminspread::transport::request_scan::{
    BodyScan, Framing, RequestFollower, Scan, has_empty_line, read_head, scan_head,
};
use http::{Request, Response};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;
use tokio::io::AsyncWriteExt as _;

const MAX_HEAD: usize = 8192;
const MAX_FIELDS: usize = 100;

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
    // A body in chunks, and how many of its bytes belong to it; `None` if it is malformed.
    #[rustfmt::skip]
    let cases = [
        ("0\r\n\r\nGET", Some(5)),
        ("4\r\nbody\r\n0\r\n\r\nGET", Some(14)),
        ("4;a=b\r\nbody\r\n00\r\na: b\r\n\r\nGET", Some(25)),
        ("4 \r\nbody\r\n0\r\n\r\nGET", Some(15)),
        ("A\r\n0123456789\r\n0\r\n\r\nGET", Some(20)),
        ("4\nbody\r\n0\r\n\r\n", None),
        ("4\r\nbody0\r\n\r\n", None),
        ("\r\n", None),
        ("x\r\n", None),
        ("-4\r\n", None),
        ("fffffffffffffffff\r\n", None),
        ("0\r\n\n", None),
    ];
    for (body, ends) in cases {
        for split in 0..=body.len() {
            let mut scan = BodyScan::new(Framing::Chunked);
            let (start, end) = body.as_bytes().split_at(split);
            let used = scan.advance(start).and_then(|used| {
                let end = if used < start.len() { &[] } else { end };
                Some(used + scan.advance(end)?)
            });
            assert_eq!(used, ends, "{body:?} split at {split}");
            assert_eq!(scan == BodyScan::End, used.is_some(), "{body:?}");
        }
    }
}

/// Parts of connections; joined at random, they make valid and invalid requests.
const PARTS: [&str; 24] = [
    "GET /1 HTTP/1.1\r\nhost: a\r\n\r\n",
    "GET /2 HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n",
    "HEAD /3 HTTP/1.1\r\nhost: a\r\nconnection: keep-alive\r\n\r\n",
    "POST /4 HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody",
    "POST /5 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n",
    "POST /6 HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n",
    "POST /7 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip\r\n\r\n",
    "POST /8 HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\ncontent-length: 5\r\n\r\n",
    "GET /9 HTTP/1.0\r\nconnection: keep-alive\r\n\r\n",
    "GET /10 HTTP/1.1\n\n",
    "4\r\nbody\r\n",
    "3;a=b\r\nabc\r\n",
    "0\r\n\r\n",
    "0\r\na: b\r\n\r\n",
    "0 \t\r\n\r\n",
    "body",
    "\r\n",
    "\n",
    "0\r\n",
    "GET ",
    "host: a\r\n",
    "\r",
    ":",
    "A\r\n0123456789\r\n",
];

/// What `hyper` takes for requests is what the follower finds, however the bytes are split.
#[tokio::test]
async fn requests_are_those_that_hyper_reads() {
    let mut rng = Pcg32::seed_from_u64(1);
    let mut most = 0;
    for _ in 0..3000 {
        let parts = (0..rng.random_range(1..8)).map(|_| PARTS[rng.random_range(0..PARTS.len())]);
        let text: String = parts.collect();
        let read = read_by_hyper(text.as_bytes()).await;
        for split in [text.len(), rng.random_range(0..=text.len())] {
            let (start, end) = text.as_bytes().split_at(split);
            let found = follow([start, end]);
            // A request whose head is complete, but not its body, may be cut off.
            assert!(found.starts_with(&read), "{text:?}: {read:?}, {found:?}");
        }
        most = most.max(read.len());
    }
    assert!(most >= 4, "{most}");
}

fn follow(parts: [&[u8]; 2]) -> Vec<String> {
    let mut follower = RequestFollower::new(MAX_HEAD, MAX_FIELDS);
    let mut found = Vec::new();
    for mut part in parts {
        while !part.is_empty() {
            let next = follower.follow(part);
            part = &part[next.len..];
            if next.head.is_some() {
                let req = read_head(follower.head(), MAX_FIELDS);
                found.push(req.map_or_else(String::new, |r| r.uri().to_string()));
            }
        }
    }
    found
}

async fn read_by_hyper(bytes: &[u8]) -> Vec<String> {
    let (mut caller, daemon) = tokio::io::duplex(MAX_HEAD);
    let read = Arc::new(Mutex::new(Vec::new()));
    let service = service_fn(|req: Request<Incoming>| {
        let read = Arc::clone(&read);
        async move {
            read.lock().unwrap().push(req.uri().to_string());
            let _ = req.into_body().collect().await;
            Ok::<_, Infallible>(Response::new(Full::new(Bytes::new())))
        }
    });
    caller.write_all(bytes).await.unwrap();
    caller.shutdown().await.unwrap();
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_HEAD).max_headers(MAX_FIELDS);
    let conn = builder
        .half_close(true)
        .serve_connection(TokioIo::new(daemon), service);
    let _ = conn.await;
    let read = read.lock().unwrap();
    read.clone()
}
