//! Peer messages by UDP and TCP, on the same port.
//!
//! Sealed envelopes of up to [`MAX_DATAGRAM_BYTES`] are sent by UDP. Longer ones are sent by TCP,
//! each on a connection of its own, after its length as four bytes, most significant first. Both
//! may lose messages; the state machines send again what is still needed.

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

/// Longest time for sending or receiving one message by TCP.
const STREAM_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of incoming TCP connections at the same time.
const MAX_STREAMS: usize = 64;
/// Maximum number of retries if the port that the kernel chose for TCP is in use for UDP.
const MAX_BIND_RETRIES: usize = 16;

/// Settings of a peer link.
#[derive(Debug, Clone)]
pub struct PeerSettings {
    /// Name of this VM.
    pub name: Name,
    /// Number that grows with each start of this daemon.
    pub incarnation: u64,
    /// Address to bind; port 0 lets the kernel choose.
    pub bind: SocketAddr,
    /// Secrets shared by the peers; the first one seals, all of them open.
    pub keys: Vec<String>,
}

/// An authenticated message from a peer.
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
    /// Messages received and passed to the inbox.
    pub received: u64,
    /// Bytes received, without IP and UDP or TCP headers.
    pub received_bytes: u64,
    /// Received messages that were rejected; see [`EnvelopeError`].
    pub dropped: u64,
    /// Messages that could not be sent, also for lack of an address.
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
struct AddressBook {
    /// Addresses of the VM list; they take precedence.
    published: HashMap<Name, SocketAddr>,
    /// Source addresses of datagrams from peers.
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
    addresses: Mutex<AddressBook>,
    replay_filter: Mutex<ReplayFilter>,
    counters: Counters,
    stream_permits: Arc<Semaphore>,
    inbox: mpsc::UnboundedSender<ReceivedMessage>,
}

/// Sends messages to peers and receives messages from them, until it is dropped.
#[derive(Debug)]
pub struct PeerLink {
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

impl PeerLink {
    /// Binds both sockets; received messages go to `inbox`.
    ///
    /// # Errors
    ///
    /// Fails if the port is in use for UDP or TCP.
    pub async fn bind(
        settings: PeerSettings,
        inbox: mpsc::UnboundedSender<ReceivedMessage>,
    ) -> io::Result<Self> {
        let (udp, tcp) = bind_both(settings.bind).await?;
        // Until tokio's reactor has seen the socket writable, try_send_to returns `WouldBlock`.
        udp.writable().await?;
        let shared = Arc::new(Shared {
            local: udp.local_addr()?,
            replay_filter: Mutex::new(ReplayFilter::new(settings.name.clone())),
            name: settings.name,
            incarnation: settings.incarnation,
            sequence: AtomicU64::new(0),
            sealer: Sealer::new(settings.keys.iter().map(String::as_str)),
            clock: SystemClock::new(),
            udp,
            addresses: Mutex::default(),
            counters: Counters::default(),
            stream_permits: Arc::new(Semaphore::new(MAX_STREAMS)),
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

    /// Replaces the addresses of peers by those of a VM list.
    pub fn set_peers(&self, list: &FleetList) {
        let mut addresses = lock(&self.shared.addresses);
        addresses.published = list
            .vms
            .iter()
            .map(|vm| (vm.name.clone(), vm.peer))
            .collect();
    }

    /// Sends a message, which may get lost. Must be called within a tokio runtime.
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

    /// Drops all messages to and from a peer until unblocked; for tests of network partitions.
    pub fn block(&self, peer: &Name, blocked: bool) {
        let mut addresses = lock(&self.shared.addresses);
        if blocked {
            addresses.blocked.insert(peer.clone());
        } else {
            addresses.blocked.remove(peer);
        }
    }

    /// Traffic counts since the start of the link.
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
        let addresses = lock(&self.addresses);
        if addresses.blocked.contains(to) {
            return None;
        }
        let published = addresses.published.get(to);
        published.or_else(|| addresses.learned.get(to)).copied()
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

    /// Handles the bytes of one envelope; `source` is the address that a datagram came from.
    fn handle_bytes(&self, bytes: &[u8], source: Option<SocketAddr>) {
        self.counters
            .received_bytes
            .fetch_add(bytes.len() as u64, Ordering::Relaxed);
        match self.open(bytes) {
            Ok(envelope) => self.deliver(envelope, source),
            Err(cause) => {
                self.counters.dropped.fetch_add(1, Ordering::Relaxed);
                log::debug!("event=peer_message_dropped step=receive cause={cause}");
            }
        }
    }

    fn open(&self, bytes: &[u8]) -> Result<Envelope, EnvelopeError> {
        let envelope = self.sealer.open(bytes)?;
        let wall = self.clock.now().wall;
        let admitted = lock(&self.replay_filter).admit(wall, &envelope.header);
        if admitted == Err(EnvelopeError::Stale) {
            let peer = &envelope.header.from;
            log::warn!("event=peer_clock_off step=receive peer={peer}");
        }
        admitted.map(|()| envelope)
    }

    /// Passes a message to the inbox, and learns the sender's address.
    fn deliver(&self, envelope: Envelope, source: Option<SocketAddr>) {
        let from = envelope.header.from;
        {
            let mut addresses = lock(&self.addresses);
            if addresses.blocked.contains(&from) {
                return;
            }
            if let Some(source) = source {
                addresses.learned.insert(from.clone(), source);
            }
        }
        self.counters.received.fetch_add(1, Ordering::Relaxed);
        let received = ReceivedMessage {
            from,
            incarnation: envelope.header.incarnation,
            message: envelope.message,
        };
        if self.inbox.send(received).is_err() {
            log::debug!("event=peer_message_dropped step=pass_on cause=closed");
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn bind_both(bind: SocketAddr) -> io::Result<(UdpSocket, TcpListener)> {
    let mut retries = 0;
    loop {
        let tcp = TcpListener::bind(bind).await?;
        let local = tcp.local_addr()?;
        match UdpSocket::bind(local).await {
            Ok(udp) => return Ok((udp, tcp)),
            Err(cause) if bind.port() != 0 || retries == MAX_BIND_RETRIES => return Err(cause),
            Err(_) => retries += 1,
        }
    }
}

async fn receive_datagrams(shared: Arc<Shared>) {
    let mut buf = vec![0; 1 << 16];
    loop {
        if let Ok((len, source)) = shared.udp.recv_from(&mut buf).await {
            shared.handle_bytes(&buf[..len], Some(source));
        }
    }
}

async fn accept_streams(shared: Arc<Shared>, tcp: TcpListener) {
    loop {
        let Ok(permit) = Arc::clone(&shared.stream_permits).acquire_owned().await else {
            return;
        };
        match tcp.accept().await {
            Ok((stream, _)) => {
                let shared = Arc::clone(&shared);
                tokio::spawn(async move {
                    let read = timeout(STREAM_TIMEOUT, read_stream(stream)).await;
                    if let Ok(Ok(bytes)) = read {
                        shared.handle_bytes(&bytes, None);
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
    let written = timeout(STREAM_TIMEOUT, write_stream(address, &bytes)).await;
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
