//! Proxy on loopback that harms the connections that pass it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Pause of a direction that is cut before it looks again whether it still is.
const LOOK: Duration = Duration::from_millis(20);

/// What happens to connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Each piece is late by this time.
    Delay(Duration),
    /// Open connections are reset.
    Reset,
    /// Nothing passes, and nothing is closed.
    Silent,
    /// Nothing passes to the server.
    CutToServer,
    /// Nothing passes back.
    CutToClient,
}

/// A running proxy.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    fault: Arc<Mutex<Option<Fault>>>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy to an address.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn start(to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let fault = Arc::new(Mutex::new(None));
        let task = tokio::spawn(accept(listener, to, Arc::clone(&fault)));
        Ok(Self {
            address,
            fault,
            task,
        })
    }

    /// Address that clients use.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Begins or ends a fault.
    pub fn set(&self, fault: Option<Fault>) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, fault: Arc<Mutex<Option<Fault>>>) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        let fault = Arc::clone(&fault);
        connections.spawn(async move {
            // A server that is gone shows as a closed connection.
            let Ok(server) = TcpStream::connect(to).await else {
                return;
            };
            let (client_in, client_out) = client.into_split();
            let (server_in, server_out) = server.into_split();
            tokio::select! {
                () = pass(client_in, server_out, &fault, Fault::CutToServer) => {}
                () = pass(server_in, client_out, &fault, Fault::CutToClient) => {}
            }
        });
    }
}

/// Passes one direction on until either side closes or a fault ends the connection.
async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    fault: &Mutex<Option<Fault>>,
    cut: Fault,
) {
    let now = || *fault.lock().unwrap_or_else(PoisonError::into_inner);
    let mut buf = vec![0; 16 << 10];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buf) => read,
            () = sleep(LOOK) => {
                if now() == Some(Fault::Reset) {
                    return;
                }
                continue;
            }
        };
        let Ok(len @ 1..) = read else {
            return;
        };
        loop {
            match now() {
                Some(Fault::Reset) => return,
                Some(Fault::Delay(time)) => {
                    sleep(time).await;
                    break;
                }
                Some(f) if f == cut || f == Fault::Silent => sleep(LOOK).await,
                _ => break,
            }
        }
        if to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}
