//! Clients that keep connections open and note what they learn.

use std::net::SocketAddr;
use std::time::Duration;

use cuminspread_platform::standin::client::ClientRequest;
use rand::RngExt as _;
use rand_pcg::Pcg32;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Servers that one idempotent request may be sent to.
pub const MAX_ATTEMPTS: usize = 2;
/// Prefix of the route for idempotent requests.
pub const READS: &str = "/read/";
/// Prefix of the route for requests that may run once.
pub const ORDERS: &str = "/order/";
/// Time that a client waits for an answer.
const PATIENCE: Duration = Duration::from_millis(1500);
/// Longest time for a new connection.
const CONNECT: Duration = Duration::from_millis(300);

/// What a client learned from one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A server's whole answer to it.
    Served,
    /// A success that is not that.
    Wrong,
    /// It has not run.
    Refused,
    /// No route leads to a service.
    NoRoute,
    /// Another failure, which promises nothing.
    Failed,
    /// No whole answer, or no connection.
    Nothing,
}

/// One request and what came of it.
#[derive(Debug, Clone)]
pub struct Sending {
    /// Identity.
    pub id: String,
    /// It may run more than once.
    pub idempotent: bool,
    /// Its target.
    pub target: String,
    /// Its body.
    pub body: String,
    /// Time at which it was sent.
    pub at: Instant,
    /// What came of it.
    pub outcome: Outcome,
}

impl Sending {
    /// First line of the request, as a server must see it.
    pub fn line(&self) -> String {
        format!("{} {} HTTP/1.1", self.method(), self.target)
    }

    fn method(&self) -> &'static str {
        if self.idempotent { "GET" } else { "POST" }
    }
}

/// One client.
#[derive(Debug)]
pub struct Client {
    fronts: Vec<SocketAddr>,
    rng: Pcg32,
    number: usize,
    kept: Option<TcpStream>,
}

impl Client {
    /// Client of some daemons.
    pub fn new(fronts: Vec<SocketAddr>, seed: u64, number: usize) -> Self {
        Self {
            fronts,
            rng: Pcg32::new(seed, 100 + number as u64),
            number,
            kept: None,
        }
    }

    /// Sends requests one after the other until a time; gives what came of each.
    pub async fn run(mut self, end: Instant, think: Duration) -> Vec<Sending> {
        let mut sendings = Vec::new();
        while Instant::now() < end {
            let n = sendings.len();
            let idempotent = self.rng.random_range(0..2) == 0;
            let prefix = if idempotent { READS } else { ORDERS };
            let body = if idempotent {
                String::new()
            } else {
                "page ".repeat(self.rng.random_range(1..400))
            };
            let mut sending = Sending {
                id: format!("client-{}-{n}", self.number),
                idempotent,
                target: format!("{prefix}{n}?copies=2"),
                body,
                at: Instant::now(),
                outcome: Outcome::Nothing,
            };
            let answer = timeout(PATIENCE, self.exchange(&sending)).await;
            sending.outcome = answer.ok().flatten().unwrap_or(Outcome::Nothing);
            if sending.outcome == Outcome::Nothing {
                self.kept = None;
            }
            sendings.push(sending);
            sleep(think).await;
        }
        sendings
    }

    async fn exchange(&mut self, sending: &Sending) -> Option<Outcome> {
        let mut stream = if let Some(stream) = self.kept.take() {
            stream
        } else {
            let front = self.fronts[self.rng.random_range(0..self.fronts.len())];
            timeout(CONNECT, TcpStream::connect(front))
                .await
                .ok()?
                .ok()?
        };
        let req = ClientRequest {
            method: sending.method(),
            target: &sending.target,
            id: &sending.id,
            deadline_ms: PATIENCE.as_millis() as u64,
            body: &sending.body,
            chunked: sending.body.len() % 3 == 1,
            ..ClientRequest::default()
        };
        stream.write_all(req.text().as_bytes()).await.ok()?;
        let (head, body) = read_answer(&mut stream).await?;
        let status: u16 = head.get(9..12)?.parse().ok()?;
        if !head.to_ascii_lowercase().contains("connection: close") {
            self.kept = Some(stream);
        }
        let whole = head.contains("signature") && body == format!("answer to {}", sending.id);
        Some(match status {
            200 if whole => Outcome::Served,
            200..=299 => Outcome::Wrong,
            404 => Outcome::NoRoute,
            408 | 421 | 429 | 503 => Outcome::Refused,
            _ => Outcome::Failed,
        })
    }
}

/// Reads a whole answer with a length; `None` if it ends early.
async fn read_answer(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut buf = Vec::new();
    let end = loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break end;
        }
        if stream.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        let is_length = name.eq_ignore_ascii_case("content-length");
        is_length.then(|| value.trim().parse::<usize>().ok())?
    })?;
    while buf.len() < end + 4 + length {
        if stream.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
    }
    let body = String::from_utf8_lossy(&buf[end + 4..]).into_owned();
    Some((head, body))
}
