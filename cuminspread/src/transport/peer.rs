//! UDP and TCP between daemons, on one port.
//!
//! Sealed envelopes of up to [`MAX_DATAGRAM_BYTES`] bytes go by UDP. Longer ones go by TCP, each on a
//! connection of its own, after their length as four bytes, most significant first. Delivery isn't
//! guaranteed by either; the state machines repeat what they need.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::protocol::envelope::{
    Envelope, EnvelopeError, EnvelopeHeader, MAX_SEALED_BYTES, ReplayFilter, Sealer,
};
use crate::protocol::message::Message;
use crate::state::Name;
use crate::state::fleet::FleetList;
use crate::transport::clock::SystemClock;

/// Longest datagram, in bytes; fits an Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

const TCP_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_STREAMS: usize = 64;
const BIND_TRIES: usize = 16;

/// Settings of a peer link.
#[derive(Debug, Clone)]
pub struct PeerSettings {
    /// Name of this VM.
    pub name: Name,
    /// Number that grows with each start of this daemon.
    pub incarnation: u64,
    /// Address to bind; port 0 lets the kernel choose.
    pub bind: SocketAddr,
    /// Secrets shared by the peers; the first one seals.
    pub keys: Vec<String>,
}

/// An authenticated message.
#[derive(Debug, Clone, PartialEq)]
pub struct ReceivedMessage {
    /// Sending VM.
    pub from: Name,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// The message.
    pub message: Message,
}

/// Counts since the start of a link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerCounts {
    /// Messages sent.
    pub sent: u64,
    /// Bytes sent, without IP and UDP or TCP headers.
    pub sent_bytes: u64,
    /// Messages admitted.
    pub received: u64,
    /// Bytes received, without IP and UDP or TCP headers.
    pub received_bytes: u64,
    /// Messages dropped on arrival.
    pub dropped: u64,
    /// Messages that could not be sent.
    pub failed: u64,
}

#[derive(Debug, Default)]
struct Counters {
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    received: AtomicU64,
    received_bytes: AtomicU64,
    dropped: AtomicU64,
    failed: AtomicU64,
}

#[derive(Debug, Default)]
struct Book {
    published: HashMap<Name, SocketAddr>,
    learned: HashMap<Name, SocketAddr>,
    blocked: HashSet<Name>,
}

#[derive(Debug)]
struct Shared {
    name: Name,
    incarnation: u64,
    sequence: AtomicU64,
    sealer: Sealer,
    clock: SystemClock,
    udp: UdpSocket,
    local: SocketAddr,
    book: Mutex<Book>,
    guard: Mutex<ReplayFilter>,
    counters: Counters,
    streams: Arc<Semaphore>,
    inbox: mpsc::UnboundedSender<ReceivedMessage>,
}

/// Sends messages to peers and receives theirs; ends when dropped.
#[derive(Debug)]
pub struct PeerLink {
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

impl PeerLink {
    /// Binds both sockets; admitted messages go to `inbox`.
    ///
    /// # Errors
    ///
    /// Fails if no port is free for both.
    pub async fn bind(
        settings: PeerSettings,
        inbox: mpsc::UnboundedSender<ReceivedMessage>,
    ) -> io::Result<Self> {
        let (udp, tcp) = bind_both(settings.bind).await?;
        // Until the reactor has seen the socket writable, each try_send_to would block.
        udp.writable().await?;
        let shared = Arc::new(Shared {
            local: udp.local_addr()?,
            guard: Mutex::new(ReplayFilter::new(settings.name.clone())),
            name: settings.name,
            incarnation: settings.incarnation,
            sequence: AtomicU64::new(0),
            sealer: Sealer::new(settings.keys.iter().map(String::as_str)),
            clock: SystemClock::new(),
            udp,
            book: Mutex::default(),
            counters: Counters::default(),
            streams: Arc::new(Semaphore::new(MAX_STREAMS)),
            inbox,
        });
        let tasks = vec![
            tokio::spawn(receive_datagrams(Arc::clone(&shared))),
            tokio::spawn(accept_streams(Arc::clone(&shared), tcp)),
        ];
        Ok(Self { shared, tasks })
    }

    /// Address of both sockets.
    pub fn local_addr(&self) -> SocketAddr {
        self.shared.local
    }

    /// Takes addresses from a published list.
    pub fn set_peers(&self, list: &FleetList) {
        let mut book = lock(&self.shared.book);
        book.published = list
            .vms
            .iter()
            .map(|vm| (vm.name.clone(), vm.peer))
            .collect();
    }

    /// Sends a message; it may get lost. Needs a tokio runtime.
    pub fn send(&self, to: &Name, message: Message) {
        let shared = &self.shared;
        let Some(address) = shared.address(to) else {
            shared.counters.failed.fetch_add(1, Ordering::Relaxed);
            return;
        };
        let header = EnvelopeHeader {
            from: shared.name.clone(),
            to: to.clone(),
            incarnation: shared.incarnation,
            sequence: shared.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            sent: shared.clock.now().wall,
        };
        match shared.sealer.seal(&Envelope { header, message }) {
            Ok(bytes) if bytes.len() <= MAX_DATAGRAM_BYTES => shared.send_datagram(address, &bytes),
            Ok(bytes) => {
                tokio::spawn(send_stream(Arc::clone(shared), address, bytes));
            }
            Err(cause) => {
                shared.counters.failed.fetch_add(1, Ordering::Relaxed);
                log::error!("event=peer_send_failed step=seal peer={to} cause={cause}");
            }
        }
    }

    /// Drops all traffic with a peer, both ways, until unblocked; for tests of splits.
    pub fn block(&self, peer: &Name, blocked: bool) {
        let mut book = lock(&self.shared.book);
        if blocked {
            book.blocked.insert(peer.clone());
        } else {
            book.blocked.remove(peer);
        }
    }

    /// Counts since the start.
    pub fn counts(&self) -> PeerCounts {
        let c = &self.shared.counters;
        PeerCounts {
            sent: c.sent.load(Ordering::Relaxed),
            sent_bytes: c.sent_bytes.load(Ordering::Relaxed),
            received: c.received.load(Ordering::Relaxed),
            received_bytes: c.received_bytes.load(Ordering::Relaxed),
            dropped: c.dropped.load(Ordering::Relaxed),
            failed: c.failed.load(Ordering::Relaxed),
        }
    }
}

impl Drop for PeerLink {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl Shared {
    fn address(&self, to: &Name) -> Option<SocketAddr> {
        let book = lock(&self.book);
        if book.blocked.contains(to) {
            return None;
        }
        let published = book.published.get(to);
        published.or_else(|| book.learned.get(to)).copied()
    }

    fn send_datagram(&self, address: SocketAddr, bytes: &[u8]) {
        match self.udp.try_send_to(bytes, address) {
            Ok(_) => self.count_sent(bytes.len()),
            Err(_) => {
                self.counters.failed.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    fn count_sent(&self, len: usize) {
        self.counters.sent.fetch_add(1, Ordering::Relaxed);
        self.counters
            .sent_bytes
            .fetch_add(len as u64, Ordering::Relaxed);
    }

    /// Opens and passes on; `source` is learned as the sender's address.
    fn take(&self, bytes: &[u8], source: Option<SocketAddr>) {
        self.counters
            .received_bytes
            .fetch_add(bytes.len() as u64, Ordering::Relaxed);
        match self.admit(bytes) {
            Ok(envelope) => self.pass_on(envelope, source),
            Err(cause) => {
                self.counters.dropped.fetch_add(1, Ordering::Relaxed);
                log::debug!("event=peer_message_dropped step=receive cause={cause}");
            }
        }
    }

    fn admit(&self, bytes: &[u8]) -> Result<Envelope, EnvelopeError> {
        let envelope = self.sealer.open(bytes)?;
        let wall = self.clock.now().wall;
        let admitted = lock(&self.guard).admit(wall, &envelope.header);
        if admitted == Err(EnvelopeError::Stale) {
            let peer = &envelope.header.from;
            log::warn!("event=peer_clock_off step=receive peer={peer}");
        }
        admitted.map(|()| envelope)
    }

    fn pass_on(&self, envelope: Envelope, source: Option<SocketAddr>) {
        let from = envelope.header.from;
        {
            let mut book = lock(&self.book);
            if book.blocked.contains(&from) {
                return;
            }
            if let Some(source) = source {
                book.learned.insert(from.clone(), source);
            }
        }
        self.counters.received.fetch_add(1, Ordering::Relaxed);
        let inbound = ReceivedMessage {
            from,
            incarnation: envelope.header.incarnation,
            message: envelope.message,
        };
        if self.inbox.send(inbound).is_err() {
            log::debug!("event=peer_message_dropped step=pass_on cause=closed");
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn bind_both(bind: SocketAddr) -> io::Result<(UdpSocket, TcpListener)> {
    let mut tries = 0;
    loop {
        let tcp = TcpListener::bind(bind).await?;
        let local = tcp.local_addr()?;
        match UdpSocket::bind(local).await {
            Ok(udp) => return Ok((udp, tcp)),
            Err(cause) if bind.port() != 0 || tries == BIND_TRIES => return Err(cause),
            Err(_) => tries += 1,
        }
    }
}

async fn receive_datagrams(shared: Arc<Shared>) {
    let mut buf = vec![0; 1 << 16];
    loop {
        if let Ok((len, source)) = shared.udp.recv_from(&mut buf).await {
            shared.take(&buf[..len], Some(source));
        }
    }
}

async fn accept_streams(shared: Arc<Shared>, tcp: TcpListener) {
    loop {
        let Ok(permit) = Arc::clone(&shared.streams).acquire_owned().await else {
            return;
        };
        match tcp.accept().await {
            Ok((stream, _)) => {
                let shared = Arc::clone(&shared);
                tokio::spawn(async move {
                    let read = timeout(TCP_TIMEOUT, read_stream(stream)).await;
                    if let Ok(Ok(bytes)) = read {
                        shared.take(&bytes, None);
                    }
                    drop(permit);
                });
            }
            Err(cause) => {
                log::warn!("event=peer_accept_failed step=accept cause={cause}");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn read_stream(mut stream: TcpStream) -> io::Result<Vec<u8>> {
    let len = stream.read_u32().await? as usize;
    if len > MAX_SEALED_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut bytes = Vec::new();
    stream.take(len as u64).read_to_end(&mut bytes).await?;
    if bytes.len() == len {
        Ok(bytes)
    } else {
        Err(io::ErrorKind::UnexpectedEof.into())
    }
}

async fn send_stream(shared: Arc<Shared>, address: SocketAddr, bytes: Vec<u8>) {
    let written = timeout(TCP_TIMEOUT, write_stream(address, &bytes)).await;
    if let Ok(Ok(())) = written {
        shared.count_sent(bytes.len());
    } else {
        shared.counters.failed.fetch_add(1, Ordering::Relaxed);
        log::debug!("event=peer_send_failed step=stream peer={address}");
    }
}

async fn write_stream(address: SocketAddr, bytes: &[u8]) -> io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_u32(bytes.len() as u32).await?;
    stream.write_all(bytes).await?;
    stream.shutdown().await
}
