//! One running daemon.

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

/// Time between two looks at the calls in flight during a planned stop.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time between two sweeps of idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time for telling peers and the collector of spans of a planned stop.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(5);

/// A running daemon.
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
    /// Binds the listeners and starts to serve.
    ///
    /// # Errors
    ///
    /// Fails if a listener can't be bound; the error names it.
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

    /// Address for callers.
    pub fn front(&self) -> SocketAddr {
        self.front
    }

    /// Address for operators.
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Address for peers.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Invariant checks of this daemon.
    pub fn invariants(&self) -> &InvariantChecks {
        &self.engine.invariants
    }

    /// Puts a council's configuration in force without the platform, for embedders and tests.
    pub fn activate_config(&self, config: CouncilConfig) {
        self.engine.activate_config(Arc::new(config));
        self.engine.set_ready();
    }

    /// Takes a list of VMs without the platform, for embedders and tests.
    pub fn set_vm_list(&self, list: FleetList) {
        if let Some(peers) = self.engine.peers() {
            peers.send(Event::FleetRead(list));
        }
    }

    /// Drops all traffic with a peer, both ways, until unblocked; for tests of splits.
    pub fn block(&self, peer: &Name, blocked: bool) {
        if let Some(peers) = self.engine.peers() {
            peers.block(peer, blocked);
        }
    }

    /// Bytes that went to and came from peers.
    pub fn control_bytes(&self) -> (u64, u64) {
        let counts = self.engine.peers().map(PeerHandle::counts);
        let counts = counts.unwrap_or_default();
        (counts.sent_bytes, counts.received_bytes)
    }

    /// Waits until an operator asks for a planned stop.
    pub fn drain_requested(&self) -> impl Future<Output = ()> + use<> {
        let drain = Arc::clone(&self.drain);
        async move { drain.notified().await }
    }

    /// Planned stop: refuses new calls, lets those in flight finish, tells its peers.
    ///
    /// Returns whether every call in flight finished within the bound.
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
            // A collector that is down doesn't hold the stop up.
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

    /// Lets connections write the answers that they still hold.
    async fn wait_for_connections(&self, deadline: Instant) {
        while self.connections() > 0 && Instant::now() < deadline {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Callers' connections that are open; each holds a receiver, as does their listener.
    fn connections(&self) -> usize {
        self.closing.receiver_count().saturating_sub(1)
    }

    /// Ends at once, as a crash would: sockets close, no peer is told.
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

/// Random number of the system; the standard library seeds its hashers with such numbers.
fn random_u64() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// Binds a listener; errors name it.
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
