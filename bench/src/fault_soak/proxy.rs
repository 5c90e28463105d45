//! TCP proxy on loopback that can inject faults into its connections.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Interval at which a connection checks for a new or ended fault.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Fault of all connections of a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Each chunk is forwarded after this additional time.
    Delay(Duration),
    /// Connections are closed.
    Reset,
    /// Nothing is forwarded; connections stay open.
    Silent,
    /// Nothing is forwarded to the server.
    CutToServer,
    /// Nothing is forwarded to the client.
    CutToClient,
}

/// A running proxy; dropping it closes its listener and connections.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    fault: Arc<Mutex<Option<Fault>>>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy that forwards to an address.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(server: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let fault = Arc::new(Mutex::new(None));
        let task = tokio::spawn(accept(listener, server, Arc::clone(&fault)));
        Ok(Self {
            address,
            fault,
            task,
        })
    }

    /// Address that clients connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault, in place of the one before; `None` ends it.
    pub fn set_fault(&self, fault: Option<Fault>) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, server: SocketAddr, fault: Arc<Mutex<Option<Fault>>>) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        let fault = Arc::clone(&fault);
        connections.spawn(async move {
            // The client sees a closed connection if the server can't be reached.
            let Ok(server) = TcpStream::connect(server).await else {
                return;
            };
            let (client_in, client_out) = client.into_split();
            let (server_in, server_out) = server.into_split();
            tokio::select! {
                () = forward(client_in, server_out, &fault, Fault::CutToServer) => {}
                () = forward(server_in, client_out, &fault, Fault::CutToClient) => {}
            }
        });
    }
}

/// Forwards one direction until either side closes or a fault ends the connection. `cut` is the
/// fault that stops this direction only.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    fault: &Mutex<Option<Fault>>,
    cut: Fault,
) {
    let current_fault = || *fault.lock().unwrap_or_else(PoisonError::into_inner);
    let mut buf = vec![0; 16 << 10];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buf) => read,
            () = sleep(POLL_INTERVAL) => {
                if current_fault() == Some(Fault::Reset) {
                    return;
                }
                continue;
            }
        };
        let Ok(len @ 1..) = read else {
            return;
        };
        loop {
            match current_fault() {
                Some(Fault::Reset) => return,
                Some(Fault::Delay(time)) => {
                    sleep(time).await;
                    break;
                }
                Some(f) if f == cut || f == Fault::Silent => sleep(POLL_INTERVAL).await,
                _ => break,
            }
        }
        if to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}
