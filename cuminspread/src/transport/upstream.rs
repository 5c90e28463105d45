//! Connections to one server.
//!
//! Whether a server can have started a request depends on the connection that the request was sent
//! on and on how many of its bytes were written. `reqwest` chooses connections by itself and tells
//! neither, so this module uses the HTTP/1 client that `reqwest` is built on
//! (`hyper::client::conn::http1`), over a TCP stream that counts bytes.
//!
//! A [`Connection`] carries one request at a time and is polled by the task that uses it, so
//! nothing is written unless that task polls it. Once the task has abandoned a request,
//! [`Failure::written`] is therefore exact, and zero proves that the server received no byte of it.
//! A connection goes back to its [`Upstream`] only after the response was read to its end; any
//! other connection is closed by dropping it.

pub mod exchange;
pub mod meter;

use std::fmt;
use std::future::poll_fn;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpSocket, TcpStream};

use self::meter::{Meter, MeteredStream};
use crate::state::Name;
use crate::transport::turn;

type Driver = http1::Connection<TokioIo<MeteredStream>, Full<Bytes>>;

/// Maximum number of header fields that `hyper` accepts by default.
const DEFAULT_MAX_HEADERS: usize = 100;

/// Settings of the connections to one server.
#[derive(Debug, Clone)]
pub struct UpstreamSettings {
    /// Longest time for opening a connection.
    pub connect_timeout: Duration,
    /// Time since the last received byte up to which a connection counts as live.
    pub live_window: Duration,
    /// Time since the last received byte after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Maximum number of idle connections that are kept open.
    pub max_idle: usize,
    /// Largest head of a response, in bytes.
    pub max_head: usize,
    /// Maximum number of header fields of a response.
    pub max_headers: usize,
    /// Source address of connections; `None` lets the system choose it.
    pub source: Option<IpAddr>,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            live_window: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(30),
            max_idle: 16,
            max_head: 64 << 10,
            max_headers: DEFAULT_MAX_HEADERS,
            source: None,
        }
    }
}

/// Step at which a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Step {
    /// Getting a connection: all that this daemon may open are in use.
    ConnectionLimit,
    /// Opening the connection.
    Connect,
    /// Sending the request or reading the head of the response.
    Head,
    /// Reading the body of the response.
    Body,
}

impl Step {
    /// Label for logs and responses to callers.
    pub fn label(self) -> &'static str {
        match self {
            Self::ConnectionLimit => "connection_share",
            Self::Connect => "connect",
            Self::Head => "head",
            Self::Body => "body",
        }
    }
}

/// Failure of a request that got no complete response.
#[derive(Debug)]
pub struct Failure {
    /// Step that failed.
    pub step: Step,
    /// Address of the server.
    pub peer: SocketAddr,
    /// Bytes of the request that were written to the socket.
    pub written: u64,
    /// Error text of the operating system, the HTTP client or the daemon.
    pub cause: String,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let step = self.step.label();
        write!(
            f,
            "step={step} peer={} written={} cause={:?}",
            self.peer, self.written, self.cause
        )
    }
}

impl std::error::Error for Failure {}

/// Open connection to a server; dropping it closes the socket.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Pin<Box<Driver>>,
    meter: Arc<Meter>,
    peer: SocketAddr,
    upstream: Weak<Upstream>,
    /// Counts the connection as open until it is dropped.
    _open_guard: OpenGuard,
    closed: bool,
}

impl Connection {
    /// Address of the server.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Byte counts of the connection.
    pub fn meter(&self) -> &Meter {
        &self.meter
    }

    /// Lets the HTTP client read and write; returns whether the connection is closed.
    pub(crate) fn drive(&mut self, cx: &mut Context<'_>) -> bool {
        if !self.closed && self.driver.as_mut().poll(cx).is_ready() {
            self.closed = true;
        }
        self.closed
    }

    /// Whether the connection is open and can take a request now.
    fn is_usable(&mut self) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        // A turn that is used up would hide that the server has closed the connection.
        let polled = turn::poll_unconstrained(
            poll_fn(|cx| {
                let closed = self.drive(cx);
                Poll::Ready(!closed && matches!(self.sender.poll_ready(cx), Poll::Ready(Ok(()))))
            }),
            &mut cx,
        );
        polled == Poll::Ready(true)
    }
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connection")
            .field("peer", &self.peer)
            .field("meter", &self.meter)
            .finish_non_exhaustive()
    }
}

/// Connections that a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// An idle connection, or a new one if there is none.
    Any,
    /// An idle connection that received a byte within [`UpstreamSettings::live_window`], or a new
    /// one.
    Live,
    /// A new connection.
    New,
}

/// Pool of this daemon's connections to one server.
#[derive(Debug)]
pub struct Upstream {
    name: Name,
    address: SocketAddr,
    settings: UpstreamSettings,
    max_open: AtomicU32,
    open: Arc<AtomicU32>,
    opened: AtomicU64,
    /// In the order of release, the most recent last.
    idle: Mutex<Vec<Connection>>,
}

impl Upstream {
    /// Pool without connections, which opens up to `max_open`; 0 counts as 1.
    pub fn new(name: Name, address: SocketAddr, max_open: u32, settings: UpstreamSettings) -> Self {
        Self {
            name,
            address,
            settings,
            max_open: AtomicU32::new(max_open),
            open: Arc::default(),
            opened: AtomicU64::new(0),
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Name of the server.
    pub fn name(&self) -> &Name {
        &self.name
    }

    /// Address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections that are open now, idle or in use.
    pub fn open_count(&self) -> u32 {
        self.open.load(Ordering::Acquire)
    }

    /// Connections opened since the start.
    pub fn opened_total(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// Changes the number of connections that may be open at the same time.
    ///
    /// Connections above a lowered limit are not closed at once.
    pub fn set_max_open(&self, max_open: u32) {
        self.max_open.store(max_open, Ordering::Release);
    }

    /// Takes an idle connection, or opens a new one.
    ///
    /// # Errors
    ///
    /// Fails at [`Step::ConnectionLimit`] or [`Step::Connect`], before any byte of a request.
    pub async fn acquire(
        self: &Arc<Self>,
        choice: ConnectionChoice,
    ) -> Result<Connection, Failure> {
        if let Some(conn) = self.take_idle(choice) {
            return Ok(conn);
        }
        self.open_new().await
    }

    /// Takes back a connection whose response was read to the end; closes the one idle for longest
    /// if there are too many.
    pub fn release(&self, mut conn: Connection) {
        if !conn.is_usable() {
            return;
        }
        let mut idle = self.lock_idle();
        idle.push(conn);
        if idle.len() > self.settings.max_idle {
            let oldest = idle.remove(0);
            drop(idle);
            drop(oldest);
        }
    }

    /// Closes idle connections that the server closed, or that received nothing for longer than
    /// [`UpstreamSettings::idle_timeout`].
    pub fn close_idle(&self) {
        let timeout = self.settings.idle_timeout;
        self.lock_idle()
            .retain_mut(|conn| conn.meter.since_last_read() < timeout && conn.is_usable());
    }

    fn take_idle(&self, choice: ConnectionChoice) -> Option<Connection> {
        if choice == ConnectionChoice::New {
            return None;
        }
        loop {
            let mut conn = self.lock_idle().pop()?;
            let is_live = conn.meter.since_last_read() <= self.settings.live_window;
            if choice == ConnectionChoice::Live && !is_live {
                // All other idle connections were released earlier than this one.
                self.lock_idle().push(conn);
                return None;
            }
            if conn.is_usable() {
                return Some(conn);
            }
        }
    }

    async fn open_new(self: &Arc<Self>) -> Result<Connection, Failure> {
        let guard = self.reserve()?;
        let connect = self.connect();
        let stream = match tokio::time::timeout(self.settings.connect_timeout, connect).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(self.failure(Step::Connect, &e.to_string())),
            Err(_) => return Err(self.failure(Step::Connect, "timed out")),
        };
        let _ = stream.set_nodelay(true);
        let stream = MeteredStream::new(stream);
        let meter = stream.meter();
        let mut builder = http1::Builder::new();
        builder.max_buf_size(self.settings.max_head);
        // hyper parses heads without an allocation only while its default limit isn't changed.
        if self.settings.max_headers != DEFAULT_MAX_HEADERS {
            builder.max_headers(self.settings.max_headers);
        }
        let handshake = builder.handshake(TokioIo::new(stream));
        let (sender, driver) = handshake
            .await
            .map_err(|e| self.failure(Step::Connect, &e.to_string()))?;
        self.opened.fetch_add(1, Ordering::Relaxed);
        Ok(Connection {
            sender,
            driver: Box::pin(driver),
            meter,
            peer: self.address,
            upstream: Arc::downgrade(self),
            _open_guard: guard,
            closed: false,
        })
    }

    async fn connect(&self) -> io::Result<TcpStream> {
        let Some(source) = self.settings.source else {
            return TcpStream::connect(self.address).await;
        };
        let socket = match self.address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.bind(SocketAddr::new(source, 0))?;
        socket.connect(self.address).await
    }

    /// Counts a connection that is about to open; closes an idle one if the limit is reached.
    fn reserve(&self) -> Result<OpenGuard, Failure> {
        for _ in 0..2 {
            let max_open = self.max_open.load(Ordering::Acquire).max(1);
            let counted = self
                .open
                .fetch_update(Ordering::AcqRel, Ordering::Acquire, |open| {
                    (open < max_open).then_some(open + 1)
                });
            if counted.is_ok() {
                return Ok(OpenGuard(Arc::clone(&self.open)));
            }
            let oldest = {
                let mut idle = self.lock_idle();
                (!idle.is_empty()).then(|| idle.remove(0))
            };
            drop(oldest);
        }
        Err(self.failure(Step::ConnectionLimit, "no connection is free"))
    }

    /// Failure of a request of which no byte was written.
    pub fn failure(&self, step: Step, cause: &str) -> Failure {
        Failure {
            step,
            peer: self.address,
            written: 0,
            cause: cause.to_owned(),
        }
    }

    fn lock_idle(&self) -> std::sync::MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts one connection as open until it is dropped.
struct OpenGuard(Arc<AtomicU32>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
