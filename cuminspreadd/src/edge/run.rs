//! Runs one daemon from its start to its planned stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};

use super::admin;
use super::control::Control;
use super::ingress::{self, StopPhase};
use super::settings::EdgeSettings;
use super::state::Edge;
use crate::daemon::bind;
use crate::settings::Settings;

/// Time from a stop until idle connections close: the platform asks twice, a second apart, before it
/// sends connections elsewhere.
const STILL_OPEN: Duration = Duration::from_millis(2800);
/// Time before the end of the grace in which the process must have ended.
const END_MARGIN: Duration = Duration::from_millis(600);
/// Time between two looks at the requests in flight during a stop.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Time between two sweeps of idle connections to servers.
const SWEEP: Duration = Duration::from_secs(1);

/// A running daemon.
#[derive(Debug)]
pub struct EdgeDaemon {
    edge: Arc<Edge>,
    control: Arc<Control>,
    phase: watch::Sender<StopPhase>,
    front: SocketAddr,
    admin: SocketAddr,
    readiness: SocketAddr,
    ingress: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

impl EdgeDaemon {
    /// Binds the listeners and starts to serve.
    ///
    /// # Errors
    ///
    /// Fails if a listener can't be bound; the error names it.
    pub async fn start(settings: Settings, platform: EdgeSettings) -> anyhow::Result<Self> {
        let edge = Edge::new(settings, platform);
        let (front_listener, front) = bind("front", edge.settings.front).await?;
        let (admin_listener, admin_at) = bind("admin", edge.settings.admin).await?;
        let (ready_listener, readiness) = bind("readiness", edge.platform.readiness).await?;
        let control = Control::bind(Arc::clone(&edge)).await?;
        let (phase, phases) = watch::channel(StopPhase::Serving);
        let mut tasks = control.start();
        let serve = admin::serve(Arc::clone(&edge), Arc::clone(&control), admin_listener);
        tasks.push(tokio::spawn(serve));
        tasks.push(tokio::spawn(admin::serve_readiness(
            Arc::clone(&edge),
            ready_listener,
        )));
        tasks.push(tokio::spawn(sweep(Arc::clone(&edge))));
        let ingress = ingress::serve(Arc::clone(&edge), front_listener, phases);
        let ingress = tokio::spawn(ingress);
        let (name, store) = (&edge.settings.name, edge.platform.store);
        log::info!(
            "event=started name={name} data_centre={} front={front} admin={admin_at} peer={} \
             store={store} seeds={}",
            edge.settings.data_centre,
            control.address(),
            edge.platform.seeds.len()
        );
        Ok(Self {
            edge,
            control,
            phase,
            front,
            admin: admin_at,
            readiness,
            ingress,
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

    /// Address for the platform's question.
    pub fn readiness(&self) -> SocketAddr {
        self.readiness
    }

    /// Address for peers.
    pub fn peer(&self) -> SocketAddr {
        self.control.address()
    }

    /// Takes changed settings; only some can change while the daemon runs.
    pub fn reload(&self, platform: &EdgeSettings) {
        self.control.set_seeds(platform.seeds.clone());
        log::info!("event=reloaded seeds={}", platform.seeds.len());
    }

    /// Planned stop; returns whether every request ended within the grace.
    pub async fn stop(self) -> bool {
        let began = Instant::now();
        let edge = &self.edge;
        edge.set_stopping();
        self.phase.send_replace(StopPhase::Closing);
        self.control.leave();
        log::info!("event=stopping in_flight={}", edge.in_flight());
        sleep_until(began + STILL_OPEN).await;
        edge.reject_waiting();
        self.phase.send_replace(StopPhase::Closed);
        let end = began + edge.platform.grace.saturating_sub(END_MARGIN);
        let whole = loop {
            if self.ingress.is_finished() && edge.in_flight() == 0 {
                break true;
            }
            if Instant::now() >= end {
                break false;
            }
            sleep(DRAIN_POLL).await;
        };
        log::info!("event=stopped whole={whole} in_flight={}", edge.in_flight());
        self.kill();
        whole
    }

    /// Ends at once, as a crash would.
    pub fn kill(self) {
        self.ingress.abort();
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn sweep(edge: Arc<Edge>) {
    loop {
        sleep(SWEEP).await;
        let fleet = edge.fleet();
        for server in fleet.servers() {
            server.upstream.close_idle();
        }
    }
}
