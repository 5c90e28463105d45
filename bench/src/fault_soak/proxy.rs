//! TCP proxy on loopback that can inject faults into its connections.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
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

/// How the paths of one client to all servers are cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// All connections have this fault, new ones too.
    Fault(Fault),
    /// New connections are reset, and old ones live on.
    NewOnly,
}

/// Hosts of clients whose paths are cut; shared by proxies.
#[derive(Debug, Clone, Default)]
pub struct Cuts(Arc<Mutex<HashMap<IpAddr, Cut>>>);

impl Cuts {
    /// Cuts the paths of a client; `None` ends that.
    pub fn set(&self, client: IpAddr, cut: Option<Cut>) {
        let mut cuts = self.lock();
        match cut {
            Some(cut) => cuts.insert(client, cut),
            None => cuts.remove(&client),
        };
    }

    /// Ends all cuts.
    pub fn clear(&self) {
        self.lock().clear();
    }

    fn get(&self, client: IpAddr) -> Option<Cut> {
        self.lock().get(&client).copied()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<IpAddr, Cut>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Faults of one connection.
#[derive(Debug, Clone)]
struct Faults {
    of_all: Arc<Mutex<Option<Fault>>>,
    cuts: Cuts,
    client: IpAddr,
}

impl Faults {
    fn current(&self) -> Option<Fault> {
        let of_all = *self.of_all.lock().unwrap_or_else(PoisonError::into_inner);
        match self.cuts.get(self.client) {
            Some(Cut::Fault(fault)) => Some(fault),
            Some(Cut::NewOnly) | None => of_all,
        }
    }

    fn refuses_new(&self) -> bool {
        let cut = self.cuts.get(self.client);
        matches!(cut, Some(Cut::NewOnly | Cut::Fault(Fault::Reset)))
    }
}

/// A running proxy; dropping it closes its listener and connections.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    fault: Arc<Mutex<Option<Fault>>>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy that forwards to an address, but for clients whose paths are cut.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(server: SocketAddr, cuts: Cuts) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let fault = Arc::new(Mutex::new(None));
        let task = tokio::spawn(accept(listener, server, Arc::clone(&fault), cuts));
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

async fn accept(
    listener: TcpListener,
    server: SocketAddr,
    of_all: Arc<Mutex<Option<Fault>>>,
    cuts: Cuts,
) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((client, from)) = listener.accept().await else {
            continue;
        };
        let faults = Faults {
            of_all: Arc::clone(&of_all),
            cuts: cuts.clone(),
            client: from.ip(),
        };
        if faults.refuses_new() {
            // Dropped at once, with a reset.
            let _ = client.set_zero_linger();
            continue;
        }
        connections.spawn(async move {
            // The client sees a closed connection if the server can't be reached.
            let Ok(server) = TcpStream::connect(server).await else {
                return;
            };
            let (client_in, client_out) = client.into_split();
            let (server_in, server_out) = server.into_split();
            tokio::select! {
                () = forward(client_in, server_out, &faults, Fault::CutToServer) => {}
                () = forward(server_in, client_out, &faults, Fault::CutToClient) => {}
            }
        });
    }
}

/// Forwards one direction until either side closes or a fault ends the connection. `cut` is the
/// fault that stops this direction only.
async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, faults: &Faults, cut: Fault) {
    let mut buf = vec![0; 16 << 10];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buf) => read,
            () = sleep(POLL_INTERVAL) => {
                if faults.current() == Some(Fault::Reset) {
                    return;
                }
                continue;
            }
        };
        let Ok(len @ 1..) = read else {
            return;
        };
        loop {
            match faults.current() {
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
