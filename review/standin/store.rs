//! Stand-in of the platform's store: what the operator and the servers wrote, for reading.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};

use crate::http::{Conn, response};

#[derive(Default)]
struct State {
    revision: u64,
    /// All writes; `None` for deletions.
    log: Vec<(u64, String, Option<String>)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = Arc::new(Mutex::new(State {
            revision: 10,
            ..State::default()
        }));
        let store = Self {
            address: listener.local_addr().unwrap(),
            state,
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(Conn::new(stream)));
            }
        });
        store
    }

    /// Writes an item, or deletes it.
    pub fn write(&self, key: &str, value: Option<&str>) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state
            .log
            .push((revision, key.to_owned(), value.map(str::to_owned)));
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(head)) = conn.read_head() {
            let target = head.line.split(' ').nth(1).unwrap_or_default().to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let param = |name: &str| {
                let pairs = query.split('&').filter_map(|p| p.split_once('='));
                let found = pairs
                    .filter(|(n, _)| *n == name)
                    .map(|(_, v)| decode(v))
                    .next();
                found.unwrap_or_default()
            };
            let body = match path {
                "/api/kv-range" => Some(self.range(&param("prefix"), &param("after"))),
                "/api/kv-watch" => {
                    Some(self.changes(&param("prefix"), param("after").parse().unwrap_or(0)))
                }
                _ => None,
            };
            let fields = [("Content-Type", "application/json")];
            let out = match body {
                Some(body) => response("200 OK", &fields, body.as_bytes()),
                None => response("404 Not Found", &fields, b"{}"),
            };
            if conn.write(&out).is_err() {
                return;
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.state.lock().unwrap();
        let mut items = BTreeMap::new();
        for (revision, key, value) in &state.log {
            match value {
                Some(value) => items.insert(key, (revision, value)),
                None => items.remove(key),
            };
        }
        let items = items.into_iter();
        let items = items.filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after);
        let items: Vec<String> = items.map(|(k, (r, v))| item(k, *r, Some(v))).collect();
        let (items, at) = (items.join(","), state.revision);
        format!("{{\"items\":[{items}],\"has_more\":false,\"at\":{at}}}")
    }

    fn changes(&self, prefix: &str, after: u64) -> String {
        let state = self.state.lock().unwrap();
        let newer = state.log.iter();
        let newer = newer.filter(|(r, k, _)| *r > after && k.starts_with(prefix));
        let events: Vec<String> = newer.map(|(r, k, v)| item(k, *r, v.as_deref())).collect();
        let (events, at) = (events.join(","), state.revision);
        format!("{{\"events\":[{events}],\"at\":{at}}}")
    }
}

fn item(key: &str, revision: u64, value: Option<&str>) -> String {
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"created\":{revision},\"lease\":0}}",
            base64(value.as_bytes())
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |i: usize| u32::from(chunk.get(i).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(char::from(DIGITS[(bits >> (18 - 6 * i) & 63) as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

/// Decodes the value of a query parameter.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        match bytes[i] {
            b'+' => out.push(b' '),
            b'%' if i + 2 < bytes.len() => {
                let code = u8::from_str_radix(&text[i + 1..i + 3], 16);
                out.push(code.unwrap_or(b'?'));
                i += 2;
            }
            byte => out.push(byte),
        }
        i += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}
