//! Datagrams and pulls between daemons, on one port.
//!
//! [`GossipMessage`]s go by UDP and may get lost. A [`PullRequest`] goes by TCP, after its length as four bytes,
//! most significant first; its [`PullResponse`] comes back on the same connection in the same form.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::timeout;

use crate::protocol::gossip::{GossipMessage, MAX_DATAGRAM_BYTES, PullRequest, PullResponse};

/// Longest time for a pull or its answer; a whole copy is below 100 KB on a 10 Mbit/s link.
const PULL_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest supply: a configuration of 10,000 routes and 5,000 servers.
const MAX_SUPPLY: usize = 4 << 20;

/// Counts since the start.
#[derive(Debug, Default)]
pub struct GossipCounts {
    /// Bytes sent, without IP, UDP and TCP headers.
    pub sent_bytes: AtomicU64,
    /// Bytes received.
    pub received_bytes: AtomicU64,
    /// Datagrams that could not be sent or read.
    pub dropped: AtomicU64,
}

/// Both sockets of one daemon.
#[derive(Debug)]
pub struct Gossip {
    udp: UdpSocket,
    tcp: TcpListener,
    counts: GossipCounts,
}

impl Gossip {
    /// Binds both sockets.
    ///
    /// # Errors
    ///
    /// Fails if the port is in use.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let tcp = TcpListener::bind(address).await?;
        let udp = UdpSocket::bind(tcp.local_addr()?).await?;
        // Until the reactor has seen the socket writable, each try_send_to would block.
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
    /// Fails if the system can't tell it.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.udp.local_addr()
    }

    /// Counts since the start.
    pub fn counts(&self) -> &GossipCounts {
        &self.counts
    }

    /// Sends a notice; it may get lost.
    ///
    /// Returns whether it fitted into a datagram and was handed to the system.
    pub fn send(&self, to: SocketAddr, notice: &GossipMessage) -> bool {
        let bytes = postcard::to_stdvec(notice).ok();
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

    /// Waits for a notice; datagrams that can't be read are counted and dropped.
    pub async fn receive(&self, buf: &mut [u8]) -> (SocketAddr, GossipMessage) {
        loop {
            let Ok((len, from)) = self.udp.recv_from(buf).await else {
                // An ICMP error of an earlier datagram.
                continue;
            };
            let received = &self.counts.received_bytes;
            received.fetch_add(len as u64, Ordering::Relaxed);
            match postcard::from_bytes(&buf[..len]) {
                Ok(notice) => return (from, notice),
                Err(e) => {
                    self.counts.dropped.fetch_add(1, Ordering::Relaxed);
                    log::debug!("event=peer_notice_dropped peer={from} cause={e:?}");
                }
            }
        }
    }

    /// Waits for a peer that pulls.
    ///
    /// # Errors
    ///
    /// Fails if the system can't accept connections, most often for lack of descriptors.
    pub async fn accept(&self) -> io::Result<TcpStream> {
        self.tcp.accept().await.map(|(stream, _)| stream)
    }

    /// Answers a peer that pulls with encoded bytes; see [`encode`].
    ///
    /// # Errors
    ///
    /// Fails if the peer sends no pull, or doesn't read in time.
    pub async fn serve(
        &self,
        mut stream: TcpStream,
        supply: impl FnOnce(PullRequest) -> io::Result<Arc<[u8]>>,
    ) -> io::Result<()> {
        let serve = async {
            let (pull, _) = read(&mut stream).await?;
            let bytes = supply(pull)?;
            write(&mut stream, &bytes).await?;
            let sent = &self.counts.sent_bytes;
            sent.fetch_add(bytes.len() as u64, Ordering::Relaxed);
            Ok(())
        };
        timeout(PULL_TIMEOUT, serve).await?
    }

    /// Asks a peer for what is beyond the own extent.
    ///
    /// # Errors
    ///
    /// Fails if the peer can't be reached or doesn't answer in time.
    pub async fn pull(&self, from: SocketAddr, pull: PullRequest) -> io::Result<PullResponse> {
        let ask = async {
            let mut stream = TcpStream::connect(from).await?;
            write(&mut stream, &encode(&pull)?).await?;
            let (supply, len) = read(&mut stream).await?;
            let received = &self.counts.received_bytes;
            received.fetch_add(len as u64, Ordering::Relaxed);
            Ok(supply)
        };
        timeout(PULL_TIMEOUT, ask).await?
    }
}

async fn read<T: DeserializeOwned>(stream: &mut TcpStream) -> io::Result<(T, usize)> {
    let len = stream.read_u32().await? as usize;
    if len > MAX_SUPPLY {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut bytes = Vec::new();
    stream.take(len as u64).read_to_end(&mut bytes).await?;
    let value = postcard::from_bytes(&bytes).map_err(io::Error::other)?;
    Ok((value, len))
}

async fn write(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    let len = u32::try_from(bytes.len()).map_err(io::Error::other)?;
    stream.write_u32(len).await?;
    stream.write_all(bytes).await
}

/// Bytes of a pull or a supply, as they travel after their length.
///
/// # Errors
///
/// Fails only if the value can't be encoded.
pub fn encode(value: &impl Serialize) -> io::Result<Arc<[u8]>> {
    let bytes = postcard::to_stdvec(value).map_err(io::Error::other)?;
    Ok(bytes.into())
}
