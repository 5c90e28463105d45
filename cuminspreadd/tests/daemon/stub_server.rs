//! A small HTTP server on a raw socket, with failures on demand.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cuminspread_platform::standin::endless::Endless;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

use crate::caller::WAIT_TIMEOUT;

/// How the server responds to each request.
#[derive(Debug, Clone, PartialEq)]
pub enum Behaviour {
    /// Responds 200 with the request's target and body.
    Echo,
    /// Writes these bytes, then closes the connection if `close` is set.
    Raw { bytes: Vec<u8>, close: bool },
    /// Closes the connection without a response.
    CloseBeforeResponse,
    /// Sends nothing and keeps the connection open.
    Silent,
    /// Responds as `Echo` after a delay.
    Delayed(Duration),
    /// Closes each connection before it reads from it.
    CloseAtOnce,
    /// Responds as `Echo` to the first request on each connection, and not at all to later ones.
    SilentAfterFirst,
    /// Responds as `Echo` and then closes the connection, without `connection: close`.
    CloseAfterResponse,
    /// Responds with status 503, which means that the request was refused before its start.
    Refuse,
    /// Sends bytes until the daemon closes the connection.
    Endless(Endless),
}

#[derive(Debug)]
struct State {
    behaviour: Mutex<Behaviour>,
    heads: Mutex<Vec<String>>,
    started: AtomicUsize,
    connections: AtomicUsize,
}

/// Handle of a running stub server.
#[derive(Debug, Clone)]
pub struct StubServer {
    pub address: SocketAddr,
    state: Arc<State>,
}

impl StubServer {
    pub async fn start(behaviour: Behaviour) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(State {
            behaviour: Mutex::new(behaviour),
            heads: Mutex::default(),
            started: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
        });
        let shared = Arc::clone(&state);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                shared.connections.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(serve(stream, Arc::clone(&shared)));
            }
        });
        Self { address, state }
    }

    /// Number of requests read to their end.
    pub fn started(&self) -> usize {
        self.state.started.load(Ordering::SeqCst)
    }

    /// Waits until this many requests were read to their end.
    pub async fn wait_for(&self, count: usize) {
        let seen = async {
            while self.started() < count {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, seen).await.unwrap();
    }

    /// Number of accepted connections.
    pub fn connections(&self) -> usize {
        self.state.connections.load(Ordering::SeqCst)
    }

    /// Heads of all requests so far, in lower case.
    pub fn heads(&self) -> Vec<String> {
        self.state.heads.lock().unwrap().clone()
    }

    pub fn set(&self, behaviour: Behaviour) {
        *self.state.behaviour.lock().unwrap() = behaviour;
    }
}

async fn serve(mut stream: TcpStream, state: Arc<State>) {
    let mut buf = Vec::new();
    let mut served = 0;
    loop {
        let current = state.behaviour.lock().unwrap().clone();
        if current == Behaviour::CloseAtOnce {
            return;
        }
        let Some((head, body)) = read_request(&mut stream, &mut buf).await else {
            return;
        };
        state.started.fetch_add(1, Ordering::SeqCst);
        state.heads.lock().unwrap().push(head.to_lowercase());
        let behaviour = state.behaviour.lock().unwrap().clone();
        if head.starts_with("POST /cancel") {
            let res = b"HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\nstarted";
            let _ = stream.write_all(res).await;
            continue;
        }
        let res = match behaviour {
            Behaviour::Raw { bytes, close } => {
                let _ = stream.write_all(&bytes).await;
                if close {
                    return;
                }
                continue;
            }
            Behaviour::CloseBeforeResponse | Behaviour::CloseAtOnce => return,
            Behaviour::Silent => std::future::pending().await,
            Behaviour::SilentAfterFirst if served > 0 => std::future::pending().await,
            Behaviour::Echo | Behaviour::SilentAfterFirst => echo(&head, &body),
            Behaviour::CloseAfterResponse => {
                let _ = stream.write_all(&echo(&head, &body)).await;
                return;
            }
            Behaviour::Delayed(pause) => {
                tokio::time::sleep(pause).await;
                echo(&head, &body)
            }
            Behaviour::Endless(endless) => {
                let head = "HTTP/1.1 200 OK\r\n\r\n";
                let refusal = "HTTP/1.1 503 Busy\r\n\r\n";
                endless.send(&mut stream, head, refusal).await;
                return;
            }
            Behaviour::Refuse => b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n".to_vec(),
        };
        served += 1;
        if stream.write_all(&res).await.is_err() {
            return;
        }
    }
}

fn echo(head: &str, body: &[u8]) -> Vec<u8> {
    let target = head.split(' ').nth(1).unwrap_or_default();
    let mut text = target.as_bytes().to_vec();
    text.extend_from_slice(body);
    let is_head = head.starts_with("HEAD ");
    let mut res = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\ncumin-load: in-flight=1;age-ms=0;draining=0\r\n\r\n",
        text.len()
    )
    .into_bytes();
    if !is_head {
        res.extend_from_slice(&text);
    }
    res
}

async fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            let length = length_of(&head);
            if buf.len() >= end + 4 + length {
                let body = buf[end + 4..end + 4 + length].to_vec();
                buf.drain(..end + 4 + length);
                return Some((head, body));
            }
        }
        if stream.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    }
}

fn length_of(head: &str) -> usize {
    let lower = head.to_lowercase();
    let field = lower
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"));
    field.map_or(0, |value| value.trim().parse().unwrap())
}
