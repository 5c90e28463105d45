//! Gossip between daemons: datagrams by UDP and pulls by TCP, on the same port.
//!
//! A [`GossipMessage`] is one datagram, which may get lost. A [`PullRequest`] is sent on a TCP
//! connection of its own, after its length as four bytes, most significant first; the
//! [`PullResponse`] comes back on this connection in the same form.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::timeout;

use crate::protocol::gossip::{
    self, GossipMessage, MAX_DATAGRAM_BYTES, Message, PullRequest, PullResponse,
};

/// Longest time for a pull, on either side; enough for a 10 Mbit/s link, as a snapshot is below
/// 100 KB.
const PULL_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest time until a peer accepts a connection; a lost VM doesn't refuse it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest request or response; enough for a snapshot of 10,000 routes and 5,000 servers.
const MAX_PULL_BYTES: usize = 4 << 20;

/// Traffic counts since the start.
#[derive(Debug, Default)]
pub struct GossipCounts {
    /// Bytes sent, without IP, UDP and TCP headers.
    pub sent_bytes: AtomicU64,
    /// Bytes received, without IP, UDP and TCP headers.
    pub received_bytes: AtomicU64,
    /// Datagrams that could not be sent or parsed.
    pub dropped: AtomicU64,
}

/// UDP and TCP sockets of one daemon.
#[derive(Debug)]
pub struct Gossip {
    udp: UdpSocket,
    tcp: TcpListener,
    counts: GossipCounts,
}

impl Gossip {
    /// Binds both sockets to one port; port 0 lets the system choose it.
    ///
    /// # Errors
    ///
    /// Fails if the port is in use for UDP or TCP.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let tcp = TcpListener::bind(address).await?;
        let udp = UdpSocket::bind(tcp.local_addr()?).await?;
        // Until tokio's reactor has seen the socket writable, try_send_to returns `WouldBlock`.
        udp.writable().await?;
        Ok(Self {
            udp,
            tcp,
            counts: GossipCounts::default(),
        })
    }

    /// Address of both sockets.
    ///
    /// # Errors
    ///
    /// Fails if the operating system can't tell it.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.udp.local_addr()
    }

    /// Traffic counts since the start.
    pub fn counts(&self) -> &GossipCounts {
        &self.counts
    }

    /// Sends a message in one datagram, which may get lost.
    ///
    /// Returns whether it fitted into [`MAX_DATAGRAM_BYTES`] and the operating system took it.
    pub fn send(&self, to: SocketAddr, message: &GossipMessage) -> bool {
        let bytes = gossip::encode(message).ok();
        let bytes = bytes.filter(|b| b.len() <= MAX_DATAGRAM_BYTES);
        let sent = bytes.and_then(|b| self.udp.try_send_to(&b, to).ok());
        match sent {
            Some(len) => {
                let sent = &self.counts.sent_bytes;
                sent.fetch_add(len as u64, Ordering::Relaxed);
            }
            None => {
                self.counts.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        sent.is_some()
    }

    /// Waits for a message; datagrams that can't be parsed are counted and dropped.
    pub async fn receive(&self, buf: &mut [u8]) -> (SocketAddr, GossipMessage) {
        loop {
            let Ok((len, from)) = self.udp.recv_from(buf).await else {
                // The system reports an ICMP error of an earlier datagram here.
                continue;
            };
            let received = &self.counts.received_bytes;
            received.fetch_add(len as u64, Ordering::Relaxed);
            match gossip::decode(&buf[..len]) {
                Ok(message) => return (from, message),
                Err(e) => {
                    self.counts.dropped.fetch_add(1, Ordering::Relaxed);
                    log::debug!("event=peer_notice_dropped peer={from} cause={e:?}");
                }
            }
        }
    }

    /// Waits for a connection of a peer that pulls; see [`Self::serve`].
    ///
    /// # Errors
    ///
    /// Fails if the operating system can't accept connections, most often for lack of file
    /// descriptors.
    pub async fn accept(&self) -> io::Result<TcpStream> {
        self.tcp.accept().await.map(|(stream, _)| stream)
    }

    /// Reads a pull request and sends the response that `respond` returns, encoded by [`encode`].
    ///
    /// # Errors
    ///
    /// Fails if no valid request comes or the peer doesn't read in time, or if `respond` fails.
    pub async fn serve(
        &self,
        mut stream: TcpStream,
        respond: impl FnOnce(PullRequest) -> io::Result<Arc<[u8]>>,
    ) -> io::Result<()> {
        let serve = async {
            let req = self.read(&mut stream).await?;
            let bytes = respond(req)?;
            self.write(&mut stream, &bytes).await
        };
        timeout(PULL_TIMEOUT, serve).await?
    }

    /// Asks a peer for all changes after the versions in the request.
    ///
    /// # Errors
    ///
    /// Fails if the peer can't be reached or sends no valid response in time.
    pub async fn pull(&self, from: SocketAddr, req: PullRequest) -> io::Result<PullResponse> {
        let pull = async {
            let mut stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(from)).await??;
            self.write(&mut stream, &encode(&req)?).await?;
            self.read(&mut stream).await
        };
        timeout(PULL_TIMEOUT, pull).await?
    }

    /// Reads a length and a message.
    async fn read<T: Message>(&self, stream: &mut TcpStream) -> io::Result<T> {
        let len = stream.read_u32().await? as usize;
        if len > MAX_PULL_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let mut bytes = Vec::new();
        let read = stream.take(len as u64).read_to_end(&mut bytes).await?;
        let received = &self.counts.received_bytes;
        received.fetch_add(read as u64, Ordering::Relaxed);
        if read < len {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        gossip::decode(&bytes).map_err(io::Error::other)
    }

    async fn write(&self, stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
        let len = u32::try_from(bytes.len()).map_err(io::Error::other)?;
        stream.write_u32(len).await?;
        stream.write_all(bytes).await?;
        let sent = &self.counts.sent_bytes;
        sent.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        Ok(())
    }
}

/// Encodes a request or response of a pull, without its length.
///
/// # Errors
///
/// Fails if postcard can't encode the message.
pub fn encode(message: &impl Message) -> io::Result<Arc<[u8]>> {
    let bytes = gossip::encode(message).map_err(io::Error::other)?;
    Ok(bytes.into())
}
