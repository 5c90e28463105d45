//! Clients that send requests over persistent connections and record the outcomes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use cuminspread_platform::standin::client::ClientRequest;
use rand::RngExt as _;
use rand_pcg::Pcg32;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Highest number of attempts at an idempotent request, as its route allows.
pub const MAX_ATTEMPTS: usize = 2;
/// Path prefix of the route for idempotent requests.
pub const READ_PREFIX: &str = "/read/";
/// Path prefix of the route for requests that aren't idempotent.
pub const ORDER_PREFIX: &str = "/order/";
/// Names and path prefixes of routes that configurations add one after the other.
pub const ADDED_ROUTES: [(&str, &str); 8] = [
    ("added-1", "/added-1/"),
    ("added-2", "/added-2/"),
    ("added-3", "/added-3/"),
    ("added-4", "/added-4/"),
    ("added-5", "/added-5/"),
    ("added-6", "/added-6/"),
    ("added-7", "/added-7/"),
    ("added-8", "/added-8/"),
];
/// Usual time-out for a response; also the deadline in the request.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time-out for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Outcome of one request for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A server's complete response to this request, with status 200.
    Served,
    /// Another response with status 2xx.
    Wrong,
    /// Status 408, 421, 429 or 503: the request has not run.
    Refused,
    /// Status 404: no route matches the request.
    NoRoute,
    /// Any other status; the request may have run.
    Failed,
    /// No connection, or no complete response within the time-out.
    NoResponse,
}

/// One request and its outcome.
#[derive(Debug, Clone)]
pub struct SentRequest {
    /// Id, unique in a run.
    pub id: String,
    /// Servers may run it more than once; then it is a `GET`, else a `POST`.
    pub idempotent: bool,
    /// Request target: path and query.
    pub target: String,
    /// Body, empty if idempotent.
    pub body: String,
    /// Time at which it was sent.
    pub at: Instant,
    /// Outcome; [`Outcome::NoResponse`] until there is another.
    pub outcome: Outcome,
    /// Index of the daemon that it was sent to; `None` without a connection.
    pub daemon: Option<usize>,
    /// Time at which the outcome was known.
    pub ended: Instant,
}

impl SentRequest {
    /// Request line that servers must receive.
    pub fn request_line(&self) -> String {
        format!("{} {} HTTP/1.1", self.method(), self.target)
    }

    fn method(&self) -> &'static str {
        if self.idempotent { "GET" } else { "POST" }
    }
}

/// One client.
#[derive(Debug)]
pub struct Client {
    daemons: Vec<SocketAddr>,
    rng: Pcg32,
    number: usize,
    /// How many of [`ADDED_ROUTES`] all daemons must have; the last of them is used for reads, too.
    added_routes: Arc<AtomicUsize>,
    /// Time-out for a response.
    timeout: Duration,
    /// Connection that can be used again, and the index of its daemon.
    connection: Option<(usize, TcpStream)>,
}

impl Client {
    /// Client that sends each new connection to one of these daemons, chosen at random.
    pub fn new(
        daemons: Vec<SocketAddr>,
        seed: u64,
        number: usize,
        added_routes: Arc<AtomicUsize>,
        timeout: Duration,
    ) -> Self {
        Self {
            daemons,
            rng: Pcg32::new(seed, 100 + number as u64),
            number,
            added_routes,
            timeout,
            connection: None,
        }
    }

    /// Sends requests one after the other until a time, with a pause after each; returns them with
    /// their outcomes.
    pub async fn run(mut self, end: Instant, think_time: Duration) -> Vec<SentRequest> {
        let mut requests = Vec::new();
        while Instant::now() < end {
            let n = requests.len();
            let idempotent = self.rng.random_range(0..2) == 0;
            let added = self.added_routes.load(Ordering::Relaxed);
            let prefix = match (idempotent, added.checked_sub(1)) {
                (true, Some(last)) if n.is_multiple_of(2) => ADDED_ROUTES[last].1,
                (true, _) => READ_PREFIX,
                (false, _) => ORDER_PREFIX,
            };
            let body = if idempotent {
                String::new()
            } else {
                "page ".repeat(self.rng.random_range(1..400))
            };
            let mut request = SentRequest {
                id: format!("client-{}-{n}", self.number),
                idempotent,
                target: format!("{prefix}{n}?copies=2"),
                body,
                at: Instant::now(),
                outcome: Outcome::NoResponse,
                daemon: None,
                ended: Instant::now(),
            };
            let outcome = timeout(self.timeout, self.exchange(&mut request)).await;
            request.ended = Instant::now();
            request.outcome = outcome.ok().flatten().unwrap_or(Outcome::NoResponse);
            if request.outcome == Outcome::NoResponse {
                self.connection = None;
            }
            requests.push(request);
            sleep(think_time).await;
        }
        requests
    }

    async fn exchange(&mut self, request: &mut SentRequest) -> Option<Outcome> {
        let (daemon, mut stream) = if let Some(connection) = self.connection.take() {
            connection
        } else {
            let daemon = self.rng.random_range(0..self.daemons.len());
            let connect = TcpStream::connect(self.daemons[daemon]);
            (daemon, timeout(CONNECT_TIMEOUT, connect).await.ok()?.ok()?)
        };
        request.daemon = Some(daemon);
        let req = ClientRequest {
            method: request.method(),
            target: &request.target,
            id: &request.id,
            deadline_ms: self.timeout.as_millis() as u64,
            body: &request.body,
            chunked: request.body.len() % 3 == 1,
            ..ClientRequest::default()
        };
        stream.write_all(req.text().as_bytes()).await.ok()?;
        let (head, body) = read_response(&mut stream).await?;
        let status: u16 = head.get(9..12)?.parse().ok()?;
        if !head.to_ascii_lowercase().contains("connection: close") {
            self.connection = Some((daemon, stream));
        }
        let complete = head.contains("signature") && body == format!("answer to {}", request.id);
        Some(match status {
            200 if complete => Outcome::Served,
            200..=299 => Outcome::Wrong,
            404 => Outcome::NoRoute,
            408 | 421 | 429 | 503 => Outcome::Refused,
            _ => Outcome::Failed,
        })
    }
}

/// Reads a response with `Content-Length` as head and body; `None` if it is incomplete, or once the
/// connection has ended if it has no length.
async fn read_response(stream: &mut TcpStream) -> Option<(String, String)> {
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
    let content_length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        let is_length = name.eq_ignore_ascii_case("content-length");
        is_length.then(|| value.trim().parse::<usize>().ok())?
    });
    let Some(content_length) = content_length else {
        while matches!(stream.read_buf(&mut buf).await, Ok(1..)) {
            buf.clear();
        }
        return None;
    };
    while buf.len() < end + 4 + content_length {
        if stream.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
    }
    let body = String::from_utf8_lossy(&buf[end + 4..]).into_owned();
    Some((head, body))
}
