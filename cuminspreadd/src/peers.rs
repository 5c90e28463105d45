//! Actor that runs the state machine of the daemon's peers: it talks to other daemons and reads the
//! platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use cuminspread::coordination::event::{Action, CallEvent, Event};
use cuminspread::coordination::node::{Node, NodeSettings};
use cuminspread::transport::peer::{PeerLink, PeerSettings, ReceivedMessage};
use cuminspread::transport::platform::{PlatformClient, PlatformSettings, ReadError, Resource};
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinHandle;
use xtra::prelude::MessageChannel;
use xtra::{Actor, Context, Handler, Mailbox};

use crate::engine::Engine;
use crate::peer_handle::{PeerEvent, PeerHandle};

/// Time between two ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Actor that feeds events to a [`Node`] and executes its actions.
pub struct PeerActor {
    engine: Arc<Engine>,
    node: Node,
    link: Arc<PeerLink>,
    platform: Option<PlatformClient>,
    handle: PeerHandle,
    actions: Vec<Action>,
    stopped: Arc<Notify>,
}

impl std::fmt::Debug for PeerActor {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PeerActor")
            .field("node", &self.node)
            .finish_non_exhaustive()
    }
}

/// A running actor and its tasks.
#[derive(Debug)]
pub struct StartedPeers {
    /// Handle of the actor.
    pub handle: PeerHandle,
    /// Signalled once the peers have been notified of a graceful stop.
    pub stopped: Arc<Notify>,
    /// Bound address of the link to peers.
    pub local_address: SocketAddr,
    /// Tasks to abort when the daemon ends.
    pub tasks: Vec<JoinHandle<()>>,
}

/// Binds the link to peers, and starts the actor and its ticks.
///
/// # Errors
///
/// Fails if the link can't be bound or the platform's client can't be set up.
pub async fn start(engine: &Arc<Engine>) -> anyhow::Result<StartedPeers> {
    let settings = &engine.settings;
    let (link, inbox) = bind_link(engine).await?;
    let platform = platform_client(&settings.platform)?;
    #[allow(clippy::needless_update, reason = "the settings may gain fields")]
    let node = NodeSettings {
        name: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation: engine.incarnation,
        seed: settings.seed,
        ..NodeSettings::default()
    };
    let stopped = Arc::new(Notify::new());
    let (actor, mailbox) = Mailbox::unbounded();
    let channel = MessageChannel::new(actor);
    let handle = PeerHandle::new(channel, Arc::downgrade(&link));
    let local_address = link.local_addr();
    let actor = PeerActor {
        engine: Arc::clone(engine),
        node: Node::new(node, engine.invariants.clone()),
        link,
        platform,
        handle: handle.clone(),
        actions: Vec::new(),
        stopped: Arc::clone(&stopped),
    };
    let run = tokio::spawn(xtra::run(mailbox, actor));
    let tick = tokio::spawn(tick(handle.clone()));
    let receive = tokio::spawn(receive(inbox, handle.clone()));
    Ok(StartedPeers {
        handle,
        stopped,
        local_address,
        tasks: vec![run, tick, receive],
    })
}

async fn bind_link(
    engine: &Engine,
) -> anyhow::Result<(Arc<PeerLink>, mpsc::UnboundedReceiver<ReceivedMessage>)> {
    let settings = &engine.settings;
    let (tx, inbox) = mpsc::unbounded_channel();
    let peer = PeerSettings {
        name: settings.name.clone(),
        incarnation: engine.incarnation,
        bind: settings.peer,
        keys: settings.peer_keys.clone(),
    };
    let link = PeerLink::bind(peer, tx).await;
    let link = link.with_context(|| format!("step=bind_peer peer={}", settings.peer))?;
    Ok((Arc::new(link), inbox))
}

/// Client of the platform; `None` if the settings name no URL.
fn platform_client(base: &str) -> anyhow::Result<Option<PlatformClient>> {
    if base.is_empty() {
        return Ok(None);
    }
    let settings = PlatformSettings {
        base_url: base.to_owned(),
        ..PlatformSettings::default()
    };
    let platform = PlatformClient::new(settings);
    let platform = platform.with_context(|| format!("step=platform peer={base}"))?;
    Ok(Some(platform))
}

async fn receive(mut inbox: mpsc::UnboundedReceiver<ReceivedMessage>, handle: PeerHandle) {
    while let Some(received) = inbox.recv().await {
        handle.send(Event::Received {
            from: received.from,
            incarnation: received.incarnation,
            message: received.message,
        });
    }
}

async fn tick(handle: PeerHandle) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        interval.tick().await;
        handle.send(Event::Tick);
    }
}

impl Actor for PeerActor {
    type Stop = ();

    async fn stopped(self) -> Self::Stop {}
}

impl Handler<PeerEvent> for PeerActor {
    type Return = ();

    async fn handle(&mut self, event: PeerEvent, _: &mut Context<Self>) {
        self.handle_event(event.0);
    }
}

impl PeerActor {
    fn handle_event(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        let now = self.engine.now();
        let engine = Arc::clone(&self.engine);
        let recorded = engine
            .recording()
            .map(|recording| (recording, event.clone()));
        self.node.handle(now, event, &mut actions);
        if let Some((recording, event)) = recorded {
            recording.record_peer(now, &event, &actions);
        }
        for action in actions.drain(..) {
            self.execute(action);
        }
        if self.actions.is_empty() {
            self.actions = actions;
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::InForce(config) => self.engine.activate_config(config),
            Action::Refused {
                council,
                version,
                faults,
            } => self.engine.set_refused_config(council, version, faults),
            Action::Place { index, daemons } => {
                self.engine.handle(CallEvent::Place { index, daemons });
            }
            Action::Ready => self.engine.set_ready(),
            Action::ServerLeaving {
                council,
                service,
                server,
            } => self.engine.handle(CallEvent::ServerLeaving {
                council,
                service,
                server,
            }),
            Action::Crashing(fingerprint) => self.engine.handle(CallEvent::Crashing(fingerprint)),
            Action::Stopped => self.stopped.notify_one(),
            Action::Send { to, message } => self.link.send(&to, message),
            Action::Peers(list) => self.link.set_peers(&list),
            Action::ReadFolder { after } => self.read(Resource::Folder, after),
            Action::ReadFleet { after } => self.read(Resource::Fleet, after),
        }
    }

    fn read(&self, resource: Resource, after: u64) {
        let Some(platform) = self.platform.clone() else {
            return;
        };
        let (engine, handle) = (Arc::clone(&self.engine), self.handle.clone());
        tokio::spawn(async move {
            let event = match resource {
                Resource::Folder => read_folder(&engine, &platform, after).await,
                Resource::Fleet => read_vm_list(&engine, &platform, after).await,
            };
            handle.send(event);
        });
    }
}

async fn read_folder(engine: &Engine, platform: &PlatformClient, after: u64) -> Event {
    match platform.watch_folder(after).await {
        Ok(Some(folder)) => {
            engine.metrics.count_platform_read("folder");
            Event::FolderRead(folder)
        }
        Ok(None) => {
            engine.metrics.count_platform_read("folder_unchanged");
            Event::FolderUnchanged
        }
        Err(e) => {
            record_failed_read(engine, &e);
            Event::ReadFailed
        }
    }
}

async fn read_vm_list(engine: &Engine, platform: &PlatformClient, after: u64) -> Event {
    match platform.watch_vm_list(after).await {
        Ok(Some(list)) => {
            engine.metrics.count_platform_read("fleet");
            Event::FleetRead(list)
        }
        Ok(None) => {
            engine.metrics.count_platform_read("fleet_unchanged");
            Event::FleetUnchanged
        }
        Err(e) => {
            record_failed_read(engine, &e);
            Event::FleetFailed
        }
    }
}

fn record_failed_read(engine: &Engine, e: &ReadError) {
    engine.metrics.count_platform_read("failed");
    log::warn!(
        "event=platform_read_failed target={} peer={} cause={:?}",
        e.target,
        e.peer,
        e.to_string()
    );
}
