//! Runs one daemon in store mode from its start to its graceful stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until};

use super::admin;
use super::control::Control;
use super::ingress::{self, StopPhase};
use super::reachability;
use super::request::Origin;
use super::settings::EdgeSettings;
use super::state::Edge;
use crate::daemon::bind;
use crate::settings::Settings;

/// Time between two checks for requests in flight during a stop.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two sweeps of idle connections to servers.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// A running daemon in store mode; [`EdgeDaemon::stop`] and [`EdgeDaemon::kill`] end it.
#[derive(Debug)]
pub struct EdgeDaemon {
    edge: Arc<Edge>,
    control: Arc<Control>,
    phase: watch::Sender<StopPhase>,
    front: SocketAddr,
    admin: SocketAddr,
    readiness: SocketAddr,
    forward: Option<SocketAddr>,
    /// Listeners for callers and for peers, which end with their last connection.
    ingress: Vec<JoinHandle<()>>,
    tasks: Vec<JoinHandle<()>>,
}

impl EdgeDaemon {
    /// Binds the listeners and starts the daemon's tasks.
    ///
    /// # Errors
    ///
    /// Fails if a listener can't be bound, which the error names, or if the store's client can't
    /// be set up.
    pub async fn start(settings: Settings, edge_settings: EdgeSettings) -> anyhow::Result<Self> {
        let edge = Edge::new(settings, edge_settings);
        let (front_listener, front) = bind("front", edge.settings.front).await?;
        let (admin_listener, admin_address) = bind("admin", edge.settings.admin).await?;
        let (ready_listener, readiness) = bind("readiness", edge.edge_settings.readiness).await?;
        let forward = match edge.edge_settings.forward {
            Some(address) => Some(bind("forward", address).await?),
            None => None,
        };
        let forward_address = forward.as_ref().map(|(_, address)| *address);
        let forward_port = forward_address.map_or(0, |address| address.port());
        let control = Control::bind(Arc::clone(&edge), forward_port).await?;
        let (phase, phase_rx) = watch::channel(StopPhase::Serving);
        let mut tasks = control.start();
        let serve = admin::serve(Arc::clone(&edge), Arc::clone(&control), admin_listener);
        tasks.push(tokio::spawn(serve));
        tasks.push(tokio::spawn(admin::serve_readiness(
            Arc::clone(&edge),
            ready_listener,
        )));
        tasks.push(tokio::spawn(sweep(Arc::clone(&edge))));
        tasks.push(tokio::spawn(reachability::watch(Arc::clone(&edge))));
        let serve = |listener, origin| {
            let serve = ingress::serve(Arc::clone(&edge), listener, phase_rx.clone(), origin);
            tokio::spawn(serve)
        };
        let mut ingress = vec![serve(front_listener, Origin::Caller)];
        if let Some((listener, _)) = forward {
            ingress.push(serve(listener, Origin::Peer));
        }
        let (name, store) = (&edge.settings.name, edge.edge_settings.store);
        log::info!(
            "event=started name={name} data_centre={} front={front} admin={admin_address} peer={} \
             store={store} seeds={}",
            edge.settings.data_centre,
            control.address(),
            edge.edge_settings.seeds.len()
        );
        Ok(Self {
            edge,
            control,
            phase,
            front,
            admin: admin_address,
            readiness,
            forward: forward_address,
            ingress,
            tasks,
        })
    }

    /// Bound address for callers.
    pub fn front(&self) -> SocketAddr {
        self.front
    }

    /// Bound address of the admin listener.
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Bound address of the platform's readiness check.
    pub fn readiness(&self) -> SocketAddr {
        self.readiness
    }

    /// Bound address for requests that peers forward; `None` if this daemon takes none.
    pub fn forward(&self) -> Option<SocketAddr> {
        self.forward
    }

    /// Bound address for peers, UDP and TCP.
    pub fn peer(&self) -> SocketAddr {
        self.control.address()
    }

    /// Applies changed settings; only the seeds can change while the daemon runs.
    pub fn reload(&self, edge_settings: &EdgeSettings) {
        self.control.set_seeds(edge_settings.seeds.clone());
        log::info!("event=reloaded seeds={}", edge_settings.seeds.len());
    }

    /// Stops gracefully; returns whether every request ended within the grace period.
    pub async fn stop(self) -> bool {
        let edge = &self.edge;
        let plan = edge.begin_stop();
        self.phase.send_replace(StopPhase::Closing);
        self.control.leave();
        log::info!("event=stopping in_flight={}", edge.in_flight());
        sleep_until(edge.instant(plan.idle_close())).await;
        self.phase.send_replace(StopPhase::Closed);
        let complete = loop {
            let finished = self.ingress.iter().all(JoinHandle::is_finished);
            if finished && edge.in_flight() == 0 {
                break true;
            }
            if edge.now() >= plan.end() {
                break false;
            }
            sleep(DRAIN_POLL_INTERVAL).await;
        };
        log::info!(
            "event=stopped whole={complete} in_flight={}",
            edge.in_flight()
        );
        self.kill();
        complete
    }

    /// Aborts all tasks at once, as a crash would.
    pub fn kill(self) {
        for task in self.ingress.iter().chain(&self.tasks) {
            task.abort();
        }
    }
}

/// Closes idle connections to servers regularly.
async fn sweep(edge: Arc<Edge>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        let servers = edge.servers();
        for server in servers.iter() {
            server.upstream.close_idle();
        }
        drop(servers);
        edge.forward_pool().close_idle();
    }
}
