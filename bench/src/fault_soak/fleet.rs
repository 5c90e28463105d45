//! Daemon processes, servers and a store, each behind a proxy.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use anyhow::Context as _;
use cuminspread_platform::standin::server::{Behaviour, ExecutedRequest, StandInServer};
use cuminspread_platform::standin::store::{Mode, RouteRow, StandInStore, config_text};
use serde_json::json;
use tokio::time::Instant;

use super::SoakSettings;
use super::client::{MAX_ATTEMPTS, ORDERS, READS};
use super::proxy::{Fault, Proxy};

/// Service of all routes.
const SERVICE: &str = "status";
/// Time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(6);
/// Low part of the first daemon's address in 127.0.0.0/16.
const FIRST_PEER: u16 = 10;
/// Idle time of clients' connections in the configuration, in seconds.
const IDLE_S: f64 = 15.0;

/// Signals that daemons get.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// SIGKILL.
    Kill,
    /// SIGTERM.
    Terminate,
    /// SIGHUP.
    Reload,
    /// SIGSTOP.
    Stop,
    /// SIGCONT.
    Continue,
}

impl Signal {
    fn name(self) -> &'static str {
        match self {
            Self::Kill => "KILL",
            Self::Terminate => "TERM",
            Self::Reload => "HUP",
            Self::Stop => "STOP",
            Self::Continue => "CONT",
        }
    }
}

#[derive(Debug)]
struct Daemon {
    settings: PathBuf,
    front: SocketAddr,
    child: Child,
    /// It continues then.
    paused_until: Option<Instant>,
    /// It is killed then, after a SIGTERM.
    killed_at: Option<Instant>,
}

#[derive(Debug)]
struct Server {
    stand_in: StandInServer,
    proxy: Proxy,
    faulty_until: Option<Instant>,
}

/// A deployment under test.
#[derive(Debug)]
pub struct Fleet {
    program: PathBuf,
    store: StandInStore,
    store_proxy: Proxy,
    store_faulty_until: Option<Instant>,
    servers: Vec<Server>,
    daemons: Vec<Daemon>,
    /// Servers that were replaced.
    replaced: Vec<StandInServer>,
    started: u64,
    version: u64,
}

impl Fleet {
    /// Starts a deployment and waits until its daemons serve.
    ///
    /// # Errors
    ///
    /// Fails if something can't be started.
    pub async fn start(settings: &SoakSettings) -> anyhow::Result<Self> {
        let store = StandInStore::start().await;
        let store_proxy = Proxy::start(store.address()).await?;
        let mut fleet = Self {
            program: settings.program.clone(),
            store,
            store_proxy,
            store_faulty_until: None,
            servers: Vec::new(),
            daemons: Vec::new(),
            replaced: Vec::new(),
            started: 0,
            version: 1,
        };
        fleet.change_config(0);
        for _ in 0..settings.servers {
            let server = fleet.start_server().await?;
            fleet.servers.push(server);
        }
        let mut ports = free_ports(3 * settings.daemons + 1)?.into_iter();
        let mut next = || ports.next().context("a free port");
        // As on the platform, peers differ by their addresses and share one port.
        let peer_port = next()?.port();
        let peer = |i: usize| {
            let [high, low] = (FIRST_PEER + i as u16).to_be_bytes();
            SocketAddr::from(([127, 0, high, low], peer_port))
        };
        let seeds: Vec<String> = (0..3).map(|i| peer(i).to_string()).collect();
        for i in 0..settings.daemons {
            let (front, admin, ready, peer) = (next()?, next()?, next()?, peer(i));
            let text = format!(
                "[daemon]\nname = vm-{i}\ndata_centre = here\n[listen]\nfront = {front}\nadmin = \
                 {admin}\nreadiness = {ready}\npeer = {peer}\n[store]\naddress = {}\n[peers]\n\
                 seeds = {}\n[bounds]\ngrace_s = {}\n",
                fleet.store_proxy.address(),
                seeds.join(", "),
                GRACE.as_secs()
            );
            let name = format!("fault-soak-{}-{i}.ini", std::process::id());
            let path = std::env::temp_dir().join(name);
            fs::write(&path, text).with_context(|| format!("writing {}", path.display()))?;
            let child = start_daemon(&fleet.program, &path)?;
            fleet.daemons.push(Daemon {
                settings: path,
                front,
                child,
                paused_until: None,
                killed_at: None,
            });
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        Ok(fleet)
    }

    /// Addresses for clients.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|d| d.front).collect()
    }

    /// Number of daemons.
    pub fn daemons(&self) -> usize {
        self.daemons.len()
    }

    /// Number of servers.
    pub fn servers(&self) -> usize {
        self.servers.len()
    }

    /// Requests that servers ran.
    pub fn runs(&self) -> Vec<ExecutedRequest> {
        let present = self.servers.iter().map(|s| &s.stand_in);
        let all = present.chain(&self.replaced);
        all.flat_map(StandInServer::executed).collect()
    }

    /// Sends a daemon a signal.
    pub fn signal(&mut self, daemon: usize, signal: Signal) {
        let daemon = &mut self.daemons[daemon];
        if signal == Signal::Terminate {
            daemon.killed_at = Some(Instant::now() + GRACE);
        }
        send_signal(&daemon.child, signal);
    }

    /// Stops a daemon's process for a time.
    pub fn pause(&mut self, daemon: usize, time: Duration) {
        self.daemons[daemon].paused_until = Some(Instant::now() + time);
        self.signal(daemon, Signal::Stop);
    }

    /// Changes how a server treats requests.
    pub fn misbehave(&mut self, server: usize, way: Behaviour) {
        self.servers[server].stand_in.set_behaviour(way);
    }

    /// Harms the connections to a server for a time.
    pub fn fault_server(&mut self, server: usize, fault: Fault, time: Duration) {
        let server = &mut self.servers[server];
        server.proxy.set(Some(fault));
        server.faulty_until = Some(Instant::now() + time);
    }

    /// Harms the connections to the store for a time.
    pub fn fault_store(&mut self, fault: Fault, time: Duration) {
        self.store_proxy.set(Some(fault));
        self.store_faulty_until = Some(Instant::now() + time);
    }

    /// Changes how the store treats reads.
    pub fn set_store(&mut self, mode: Mode) {
        self.store.set_mode(mode);
    }

    /// Lets the store forget its history.
    pub fn compact(&mut self) {
        self.store.compact();
    }

    /// Publishes a configuration with this number of further routes.
    pub fn change_config(&mut self, more: usize) {
        const NAMES: [(&str, &str); 4] = [("a", "/a/"), ("b", "/b/"), ("c", "/c/"), ("d", "/d/")];
        let route = |name, prefix, idempotent| RouteRow {
            name,
            prefix,
            idempotent,
            parts: vec![(SERVICE, 1)],
            timeout_s: 1.2,
            aim_s: 0.3,
            max_attempts: MAX_ATTEMPTS as u8,
        };
        let mut routes = vec![route("reads", READS, true), route("orders", ORDERS, false)];
        let further = NAMES.iter().take(more % (NAMES.len() + 1));
        routes.extend(further.map(|(name, prefix)| route(name, prefix, true)));
        self.version += 1 + more as u64 % 3;
        let text = config_text(self.version, &routes, IDLE_S);
        self.store.put_config(text);
    }

    /// Lets a server say that it leaves; it goes on serving what it gets.
    pub fn drain(&mut self, server: usize) {
        let server = &self.servers[server];
        let (id, address) = (server.stand_in.id(), server.proxy.address());
        self.store.drain_server(id, SERVICE, address);
    }

    /// Whether a server ran a request.
    pub fn ran_at(&self, server: usize, id: &str) -> bool {
        let runs = self.servers[server].stand_in.executed();
        runs.iter().any(|r| r.id == id)
    }

    /// Takes a server away without a word and starts another one.
    pub async fn replace_server(&mut self, server: usize) {
        let Ok(new) = self.start_server().await else {
            return;
        };
        let old = std::mem::replace(&mut self.servers[server], new);
        self.store.delete_server(old.stand_in.id());
        old.stand_in.stop();
        self.replaced.push(old.stand_in);
    }

    /// Ends faults whose time is over and starts daemons that have ended.
    ///
    /// # Errors
    ///
    /// Fails if a daemon can't be started.
    pub fn tend(&mut self) -> anyhow::Result<()> {
        let now = Instant::now();
        let over = |until: &mut Option<Instant>| until.take_if(|t| now >= *t).is_some();
        for server in &mut self.servers {
            if over(&mut server.faulty_until) {
                server.proxy.set(None);
            }
        }
        if over(&mut self.store_faulty_until) {
            self.store_proxy.set(None);
        }
        for daemon in &mut self.daemons {
            if over(&mut daemon.paused_until) {
                send_signal(&daemon.child, Signal::Continue);
            }
            if over(&mut daemon.killed_at) {
                send_signal(&daemon.child, Signal::Kill);
            }
            if daemon.child.try_wait()?.is_some() {
                daemon.child = start_daemon(&self.program, &daemon.settings)?;
                (daemon.paused_until, daemon.killed_at) = (None, None);
            }
        }
        Ok(())
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.store.set_mode(Mode::Up);
        self.store_proxy.set(None);
        for server in &mut self.servers {
            server.stand_in.set_behaviour(Behaviour::Answer);
            server.proxy.set(None);
        }
        for daemon in &mut self.daemons {
            daemon.paused_until = None;
            send_signal(&daemon.child, Signal::Continue);
        }
    }

    async fn start_server(&mut self) -> anyhow::Result<Server> {
        self.started += 1;
        let id = format!("i-{:04}", self.started);
        let stand_in = StandInServer::start(&id).await;
        let proxy = Proxy::start(stand_in.address()).await?;
        self.store
            .put_server(&id, SERVICE, proxy.address(), &json!({}));
        Ok(Server {
            stand_in,
            proxy,
            faulty_until: None,
        })
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            // Only processes that this run has started are ended, by their ids.
            let ended = daemon.child.kill().and_then(|()| daemon.child.wait());
            if let Err(e) = ended {
                eprintln!("daemon {}: {e}", daemon.child.id());
            }
            let _ = fs::remove_file(&daemon.settings);
        }
    }
}

fn start_daemon(program: &PathBuf, settings: &PathBuf) -> anyhow::Result<Child> {
    Command::new(program)
        .arg("--settings")
        .arg(settings)
        .stdout(Stdio::null())
        .spawn()
        .with_context(|| format!("starting {}", program.display()))
}

fn send_signal(child: &Child, signal: Signal) {
    let sent = Command::new("kill")
        .arg(format!("-{}", signal.name()))
        .arg(child.id().to_string())
        .stderr(Stdio::null())
        .status();
    if let Err(e) = sent {
        eprintln!("kill: {e}");
    }
}

/// Ports that are free now; daemons bind them again after each restart.
fn free_ports(count: usize) -> anyhow::Result<Vec<SocketAddr>> {
    let bound: Result<Vec<_>, _> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0"))
        .collect();
    let bound = bound.context("binding")?;
    let addresses: Result<Vec<_>, _> = bound.iter().map(TcpListener::local_addr).collect();
    addresses.context("binding")
}
