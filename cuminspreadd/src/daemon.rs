//! A running daemon in folder mode: starts its listeners and tasks, and stops them.

use std::hash::{BuildHasher as _, Hasher as _, RandomState};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use cuminspread::coordination::event::Event;
use cuminspread::invariant::{Invariant, InvariantChecks};
use cuminspread::state::Name;
use cuminspread::state::council::CouncilConfig;
use cuminspread::state::fleet::FleetList;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::engine::Engine;
use crate::peer_handle::PeerHandle;
use crate::settings::Settings;
use crate::spans::SpanExporter;
use crate::{admin, front, peers};

/// Time between two checks for calls and connections that a graceful stop waits for.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time between two sweeps that close idle connections to servers.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time that a graceful stop spends on notifying peers, and then on exporting the last
/// spans.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(5);

/// A running daemon in folder mode; [`Daemon::stop`] and [`Daemon::kill`] end it.
#[derive(Debug)]
pub struct Daemon {
    front: SocketAddr,
    admin: SocketAddr,
    peer: SocketAddr,
    engine: Arc<Engine>,
    closing: watch::Sender<bool>,
    drain: Arc<Notify>,
    peers_notified: Arc<Notify>,
    tasks: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Binds the listeners and starts to serve; a seed of 0 is replaced by a random one.
    ///
    /// # Errors
    ///
    /// Fails if a listener can't be bound, or a file or client of the settings can't be set up; the
    /// error names the step and the address or file.
    pub async fn start(mut settings: Settings) -> anyhow::Result<Self> {
        if settings.seed == 0 {
            settings.seed = random_u64().max(1);
        }
        let (front_listener, front) = bind("front", settings.front).await?;
        let (admin_listener, admin) = bind("admin", settings.admin).await?;
        let engine = Engine::new(settings, random_u64(), InvariantChecks::default());
        engine.start_recording()?;
        let spans = SpanExporter::start(&engine.settings.traces, &engine.settings.name)?;
        let peers = peers::start(&engine).await?;
        let peer = peers.local_address;
        engine.set_peers(peers.handle.clone());
        let (closing, closed) = watch::channel(false);
        let drain = Arc::new(Notify::new());
        let mut tasks = peers.tasks;
        if let Some((spans, task)) = spans {
            engine.set_spans(spans);
            tasks.push(task);
        }
        tasks.push(engine.spawn_timer());
        tasks.push(tokio::spawn(sweep(Arc::clone(&engine))));
        let serve = front::serve(Arc::clone(&engine), front_listener, closed);
        tasks.push(tokio::spawn(serve));
        let serve = admin::serve(Arc::clone(&engine), admin_listener, Arc::clone(&drain));
        tasks.push(tokio::spawn(serve));
        let name = &engine.settings.name;
        log::info!("event=started name={name} front={front} admin={admin} peer={peer}");
        Ok(Self {
            front,
            admin,
            peer,
            engine,
            closing,
            drain,
            peers_notified: peers.stopped,
            tasks,
        })
    }

    /// Bound address of the listener for callers.
    pub fn front(&self) -> SocketAddr {
        self.front
    }

    /// Bound address of the listener for operators.
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Bound address for peers, UDP and TCP.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Counts of this daemon's invariant checks.
    pub fn invariants(&self) -> &InvariantChecks {
        &self.engine.invariants
    }

    /// Activates a council's configuration and makes the daemon ready without the platform, for
    /// embedders and tests.
    pub fn activate_config(&self, config: CouncilConfig) {
        self.engine.activate_config(Arc::new(config));
        self.engine.set_ready();
    }

    /// Sets the VM list without the platform, for embedders and tests.
    pub fn set_vm_list(&self, list: FleetList) {
        if let Some(peers) = self.engine.peers() {
            peers.send(Event::FleetRead(list));
        }
    }

    /// Drops all traffic with a peer, both ways, until called with `false`; simulates a network
    /// partition.
    pub fn block(&self, peer: &Name, blocked: bool) {
        if let Some(peers) = self.engine.peers() {
            peers.block(peer, blocked);
        }
    }

    /// Bytes sent to and received from peers since the start.
    pub fn control_bytes(&self) -> (u64, u64) {
        let counts = self.engine.peers().map(PeerHandle::counts);
        let counts = counts.unwrap_or_default();
        (counts.sent_bytes, counts.received_bytes)
    }

    /// Waits until an operator asks for a graceful stop (`POST /drain`).
    pub fn drain_requested(&self) -> impl Future<Output = ()> + use<> {
        let drain = Arc::clone(&self.drain);
        async move { drain.notified().await }
    }

    /// Stops gracefully: refuses new calls, lets those in flight finish and notifies the peers.
    ///
    /// Returns whether all calls and callers' connections ended within
    /// [`stop_bound`](Settings::stop_bound).
    pub async fn stop(self) -> bool {
        let deadline = Instant::now() + self.engine.settings.stop_bound;
        self.engine.set_stopping();
        let in_flight = || self.engine.admissions.requests();
        log::info!("event=stopping in_flight={}", in_flight());
        self.wait_for_calls(deadline).await;
        self.notify_peers(deadline).await;
        self.closing.send_replace(true);
        self.wait_for_connections(deadline).await;
        let connections = self.connections();
        let clean = in_flight() == 0 && connections == 0;
        self.engine
            .invariants
            .check(Invariant::GracefulStop, clean, || {
                format!("in_flight={} connections={connections}", in_flight())
            });
        if let Some(spans) = self.engine.spans() {
            // A collector that is down must not delay the stop, so a timeout is ignored.
            let _ = tokio::time::timeout(NOTIFY_TIMEOUT, spans.flush()).await;
        }
        log::info!("event=stopped whole={clean}");
        self.engine.flush_recording();
        self.shut_down();
        clean
    }

    async fn wait_for_calls(&self, deadline: Instant) {
        while self.engine.admissions.requests() > 0 && Instant::now() < deadline {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    async fn notify_peers(&self, deadline: Instant) {
        let Some(peers) = self.engine.peers() else {
            return;
        };
        peers.send(Event::Stop);
        let deadline = deadline.min(Instant::now() + NOTIFY_TIMEOUT);
        let done = self.peers_notified.notified();
        if tokio::time::timeout_at(deadline, done).await.is_err() {
            log::warn!("event=peers_not_told step=stop");
        }
    }

    /// Waits until callers' connections have written their last responses and closed.
    async fn wait_for_connections(&self, deadline: Instant) {
        while self.connections() > 0 && Instant::now() < deadline {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Number of open callers' connections: each holds a receiver, and the listener holds one more.
    fn connections(&self) -> usize {
        self.closing.receiver_count().saturating_sub(1)
    }

    /// Stops at once, as a crash would: sockets close and no peer is notified.
    pub fn kill(self) {
        self.shut_down();
    }

    fn shut_down(&self) {
        self.engine.set_stopping();
        for task in &self.tasks {
            task.abort();
        }
        self.engine.close_all();
    }
}

/// Random number from the operating system, by way of the standard library's hasher seeds.
fn random_u64() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// Binds a listener and returns it with its address; errors name `what` and the address asked for.
pub(crate) async fn bind(
    what: &str,
    address: SocketAddr,
) -> anyhow::Result<(TcpListener, SocketAddr)> {
    let step = || format!("step=bind_{what} peer={address}");
    let listener = TcpListener::bind(address).await.with_context(step)?;
    let bound = listener.local_addr().with_context(step)?;
    Ok((listener, bound))
}

async fn sweep(engine: Arc<Engine>) {
    let mut interval = tokio::time::interval(SWEEP_INTERVAL);
    loop {
        interval.tick().await;
        engine.close_idle_connections();
    }
}
