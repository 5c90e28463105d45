//! The platform's store: items in memory, read by range and by watch.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// How the store answers reads.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Up,
    /// Accepts requests and never answers them.
    Silent,
}

struct State {
    revision: u64,
    /// All writes, and deletions as `None`.
    log: Vec<(u64, String, Option<String>)>,
    mode: Mode,
    /// Address of the caller and time of each answered read.
    reads: Vec<(String, Instant)>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(Mutex::new(State {
            revision: 7,
            log: Vec::new(),
            mode: Mode::Up,
            reads: Vec::new(),
        }));
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = Arc::clone(&shared);
                thread::spawn(move || serve(stream, &state));
            }
        });
        Self { address, state }
    }

    /// Writes or deletes an item; the return is the acknowledgement.
    pub fn write(&self, key: &str, value: Option<String>) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.log.push((revision, key.to_owned(), value));
    }

    pub fn set_mode(&self, mode: Mode) {
        self.state.lock().unwrap().mode = mode;
    }

    /// Time of the first answered read after `since`, by anyone.
    pub fn first_read_after(&self, since: Instant) -> Option<Instant> {
        let state = self.state.lock().unwrap();
        state.reads.iter().map(|r| r.1).find(|at| *at > since)
    }

    pub fn reads(&self) -> usize {
        self.state.lock().unwrap().reads.len()
    }
}

fn serve(mut stream: TcpStream, state: &Mutex<State>) {
    let _ = stream.set_nodelay(true);
    let mut buf = Vec::new();
    while let Some(req) = http::read_request(&mut stream, &mut buf) {
        if state.lock().unwrap().mode == Mode::Silent {
            // A connection on which an answer is lost returns nothing further.
            thread::sleep(Duration::from_secs(3600));
            return;
        }
        let (path, query) = req.target.split_once('?').unwrap_or((&req.target, ""));
        let param = |name: &str| {
            let pairs = query.split('&').filter_map(|p| p.split_once('='));
            let mut found = pairs.filter(|(n, _)| *n == name);
            found
                .next()
                .map_or(String::new(), |(_, v)| decode_percent(v))
        };
        let mut state = state.lock().unwrap();
        let body = match path {
            "/api/kv-range" => Some(range(&state, &param("prefix"), &param("after"))),
            "/api/kv-watch" => Some(watch(&state, param("after").parse().unwrap_or(0))),
            _ => None,
        };
        let peer = stream.peer_addr().map_or(String::new(), |a| a.to_string());
        state.reads.push((peer, Instant::now()));
        drop(state);
        let sent = match body {
            Some(body) => http::write_response(
                &mut stream,
                "200 OK",
                &["Content-Type: application/json"],
                body.as_bytes(),
            ),
            None => http::write_response(&mut stream, "404 Not Found", &[], b""),
        };
        if sent.is_none() {
            return;
        }
    }
}

fn item(key: &str, revision: u64, value: Option<&String>) -> String {
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"created\":{revision},\"lease\":0}}",
            base64(value.as_bytes())
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
    }
}

fn range(state: &State, prefix: &str, after: &str) -> String {
    let mut items: BTreeMap<&str, (u64, &String)> = BTreeMap::new();
    for (revision, key, value) in &state.log {
        match value {
            Some(value) => items.insert(key, (*revision, value)),
            None => items.remove(key.as_str()),
        };
    }
    let found = items
        .iter()
        .filter(|(k, _)| k.starts_with(prefix) && **k > after);
    let found: Vec<String> = found.map(|(k, (r, v))| item(k, *r, Some(v))).collect();
    format!(
        "{{\"items\":[{}],\"has_more\":false,\"at\":{}}}",
        found.join(","),
        state.revision
    )
}

fn watch(state: &State, after: u64) -> String {
    let newer = state.log.iter().filter(|(revision, ..)| *revision > after);
    let events: Vec<String> = newer.map(|(r, k, v)| item(k, *r, v.as_ref())).collect();
    format!(
        "{{\"events\":[{}],\"at\":{}}}",
        events.join(","),
        state.revision
    )
}

fn decode_percent(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut i = 0;
    while i < bytes.len() {
        let hex = (bytes[i] == b'%').then(|| text.get(i + 1..i + 3)).flatten();
        match hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                i += 3;
            }
            None => {
                out.push(if bytes[i] == b'+' { b' ' } else { bytes[i] });
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let b = [
            chunk[0],
            *chunk.get(1).unwrap_or(&0),
            *chunk.get(2).unwrap_or(&0),
        ];
        let n = (u32::from(b[0]) << 16) | (u32::from(b[1]) << 8) | u32::from(b[2]);
        for i in 0..4 {
            let digit = SET[(n >> (18 - 6 * i)) as usize & 63];
            out.push(if i <= chunk.len() { digit as char } else { '=' });
        }
    }
    out
}
