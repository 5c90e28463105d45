//! HTTP/1 listener that can refuse connections above a limit, or stop traffic on those that are
//! open.

use std::convert::Infallible;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{Request, Response};
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

/// Response body; an error in it closes the connection.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Handles one request.
pub type Handler =
    Arc<dyn Fn(Request<Incoming>) -> BoxFuture<'static, Response<Body>> + Send + Sync>;

/// Settings of a listener.
#[derive(Debug, Clone)]
pub struct ListenerSettings {
    /// Address to bind; port 0 lets the kernel choose.
    pub address: SocketAddr,
    /// Delay before a new connection is served.
    pub open_delay: Duration,
    /// Open connections; further connections are closed at once.
    pub max_connections: usize,
}

impl Default for ListenerSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            open_delay: Duration::ZERO,
            max_connections: usize::MAX,
        }
    }
}

#[derive(Debug, Default)]
struct Connections {
    /// Connections accepted so far; also the number of the next connection.
    accepted: AtomicU64,
    /// Connections with a lower number are silent.
    silent_below: AtomicU64,
    open: AtomicUsize,
}

/// A running listener; dropping it closes the socket and all connections.
pub struct Listener {
    address: SocketAddr,
    connections: Arc<Connections>,
    task: JoinHandle<()>,
}

impl Listener {
    /// Binds the address and starts to serve.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn start(settings: ListenerSettings, handler: Handler) -> io::Result<Self> {
        let socket = TcpListener::bind(settings.address).await?;
        let address = socket.local_addr()?;
        let connections = Arc::new(Connections::default());
        let task = tokio::spawn(accept(socket, settings, Arc::clone(&connections), handler));
        Ok(Self {
            address,
            connections,
            task,
        })
    }

    /// Bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.open.load(Ordering::Relaxed)
    }

    /// Stops all traffic on the connections that are open now, for good; new connections work.
    pub fn silence(&self) {
        let accepted = self.connections.accepted.load(Ordering::Relaxed);
        let silent_below = &self.connections.silent_below;
        silent_below.store(accepted, Ordering::Relaxed);
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl fmt::Debug for Listener {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Listener")
            .field("address", &self.address)
            .field("connections", &self.connections)
            .finish_non_exhaustive()
    }
}

async fn accept(
    socket: TcpListener,
    settings: ListenerSettings,
    connections: Arc<Connections>,
    handler: Handler,
) {
    let mut tasks = JoinSet::new();
    loop {
        while tasks.try_join_next().is_some() {}
        let Ok((stream, _)) = socket.accept().await else {
            tokio::time::sleep(Duration::from_millis(1)).await;
            continue;
        };
        if connections.open.load(Ordering::Relaxed) >= settings.max_connections {
            continue;
        }
        let guard = ConnectionGuard::new(Arc::clone(&connections));
        let handler = Arc::clone(&handler);
        let delay = settings.open_delay;
        tasks.spawn(async move {
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            serve(stream, guard, handler).await;
        });
    }
}

async fn serve(stream: TcpStream, guard: ConnectionGuard, handler: Handler) {
    let nodelay = stream.set_nodelay(true);
    if nodelay.is_err() {
        return;
    }
    let io = TokioIo::new(SilenceableStream { stream, guard });
    let service = service_fn(move |req| {
        let response = handler(req);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let ended = http1::Builder::new().serve_connection(io, service).await;
    if let Err(e) = ended {
        log::trace!("event=connection_ended error=\"{e}\"");
    }
}

/// Counts a connection as open until it is dropped.
struct ConnectionGuard {
    number: u64,
    connections: Arc<Connections>,
}

impl ConnectionGuard {
    fn new(connections: Arc<Connections>) -> Self {
        connections.open.fetch_add(1, Ordering::Relaxed);
        let number = connections.accepted.fetch_add(1, Ordering::Relaxed);
        Self {
            number,
            connections,
        }
    }

    fn is_silent(&self) -> bool {
        self.number < self.connections.silent_below.load(Ordering::Relaxed)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.connections.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Stream whose reads and writes stay pending once its connection is silent.
struct SilenceableStream {
    stream: TcpStream,
    guard: ConnectionGuard,
}

impl AsyncRead for SilenceableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if self.guard.is_silent() {
            buf.set_filled(before);
            return Poll::Pending;
        }
        read
    }
}

impl AsyncWrite for SilenceableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.guard.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.guard.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
