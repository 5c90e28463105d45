//! Deployment under test: daemon processes, and a store and servers behind proxies.

use std::collections::HashMap;
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::ops::Range;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use anyhow::Context as _;
use cuminspread_platform::standin::server::{Arrival, Behaviour, ExecutedRequest, StandInServer};
use cuminspread_platform::standin::store::{
    Mode, RouteRow, StandInStore, config_text, with_cold_rate,
};
use rand::RngExt as _;
use rand_pcg::Pcg32;
use serde_json::json;
use tokio::time::Instant;

use super::client::{MAX_ATTEMPTS, ORDER_PREFIX, READ_PREFIX};
use super::cold_servers::COLD_PER_S;
use super::evacuate::{DATA_CENTRES, Evacuations};
use super::proxy::{Cut, Cuts, Fault, Proxy};
use super::{Faults, SoakSettings};

/// Timeout of all routes.
pub const ROUTE_TIMEOUT: Duration = Duration::from_millis(1200);
/// Service of all routes.
const SERVICE: &str = "status";
/// Time from SIGTERM to SIGKILL; also the daemons' setting `grace_s`.
const STOP_GRACE: Duration = Duration::from_secs(6);
/// Time for which the store keeps an entry that is no longer written: three heartbeats.
pub const ENTRY_TTL: Duration = Duration::from_millis(4500);
/// Low 16 bits of the first daemon's address in 127.0.0.0/16.
const FIRST_DAEMON_HOST: u16 = 10;
/// Ports for the daemons' listeners.
const LISTENER_PORTS: Range<u16> = 10_000..30_000;
/// Ports that are tried for one listener.
const PORT_ATTEMPTS: usize = 100;
/// Idle time-out of clients' connections in the configuration, in seconds.
const IDLE_TIMEOUT_S: f64 = 15.0;

/// Signals that are sent to daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// `SIGKILL`.
    Kill,
    /// `SIGTERM`: graceful stop.
    Terminate,
    /// `SIGHUP`: reload the settings.
    Reload,
    /// `SIGSTOP`.
    Pause,
    /// `SIGCONT`.
    Resume,
}

impl Signal {
    fn name(self) -> &'static str {
        match self {
            Self::Kill => "KILL",
            Self::Terminate => "TERM",
            Self::Reload => "HUP",
            Self::Pause => "STOP",
            Self::Resume => "CONT",
        }
    }
}

#[derive(Debug)]
struct Daemon {
    program: PathBuf,
    settings: PathBuf,
    front: SocketAddr,
    /// Its program takes forwarded requests and has a host of its own.
    takes_forwarded: bool,
    child: Child,
    /// When a paused daemon is resumed; `None` while not paused.
    paused_until: Option<Instant>,
    /// When its cut from the servers ends; `None` while not cut.
    cut_until: Option<Instant>,
    /// When a daemon that got a `SIGTERM` is killed; `None` without `SIGTERM`.
    kill_at: Option<Instant>,
}

#[derive(Debug)]
struct Server {
    stand_in: StandInServer,
    proxy: Proxy,
    /// When the fault of the proxy ends; `None` without a fault.
    fault_until: Option<Instant>,
}

/// A server that has left the registry and still serves what it gets.
#[derive(Debug)]
struct LeftServer {
    server: Server,
    left_at: Instant,
}

/// A span in which a daemon was cut off from all servers.
#[derive(Debug, Clone, Copy)]
pub struct CutSpan {
    /// Index of the daemon.
    pub daemon: usize,
    /// Start of the cut.
    pub from: Instant,
    /// Its planned end.
    pub to: Instant,
}

/// A deployment under test.
#[derive(Debug)]
pub struct Fleet {
    /// Programs that the daemons run, in turn.
    programs: Vec<PathBuf>,
    store: StandInStore,
    store_proxy: Proxy,
    store_fault_until: Option<Instant>,
    servers: Vec<Server>,
    daemons: Vec<Daemon>,
    /// Daemons whose paths to all servers are cut.
    cuts: Cuts,
    /// Spans in which daemons were cut off.
    cut_spans: Vec<CutSpan>,
    /// Servers that were replaced; what they executed still counts.
    replaced: Vec<StandInServer>,
    /// Servers that left without being stopped.
    left: Vec<LeftServer>,
    /// Daemons that were signalled or started again, and when.
    disruptions: Vec<(usize, Instant)>,
    /// When the store comes back from its copy; `None` unless it is away for that.
    restore_at: Option<Instant>,
    /// When the store came back from a copy.
    restored_at: Vec<Instant>,
    /// When writers write again what the copy lacks.
    rewrite_at: Option<Instant>,
    /// When the store drops what the copy holds of servers that have left.
    expire_at: Option<Instant>,
    /// Number of the last report of any server.
    reports: u64,
    /// Routes of the published configuration besides the ones that clients always use.
    extra_routes: Vec<RouteRow>,
    /// Servers that were ever started; gives the next server's id.
    started: u64,
    /// Version of the published configuration.
    version: u64,
    /// The configuration names what cold servers bear.
    names_cold_rate: bool,
    /// Data centres that servers are started in, in turn.
    data_centres: &'static [&'static str],
    /// Data centres that were emptied.
    pub evacuations: Evacuations,
}

impl Fleet {
    /// Starts a deployment, with a second for its daemons to become ready.
    ///
    /// # Errors
    ///
    /// Fails if a proxy or a daemon can't be started.
    pub async fn start(settings: &SoakSettings) -> anyhow::Result<Self> {
        let store = StandInStore::start().await;
        let store_proxy = Proxy::start(store.address(), Cuts::default()).await?;
        let mut fleet = Self {
            programs: settings.programs.clone(),
            store,
            store_proxy,
            store_fault_until: None,
            servers: Vec::new(),
            daemons: Vec::new(),
            cuts: Cuts::default(),
            cut_spans: Vec::new(),
            replaced: Vec::new(),
            left: Vec::new(),
            disruptions: Vec::new(),
            restore_at: None,
            restored_at: Vec::new(),
            rewrite_at: None,
            expire_at: None,
            reports: 1,
            extra_routes: Vec::new(),
            started: 0,
            version: 1,
            names_cold_rate: settings.faults == Faults::ColdServers,
            data_centres: match settings.faults {
                Faults::Evacuate => &DATA_CENTRES,
                _ => &DATA_CENTRES[..1],
            },
            evacuations: Evacuations::default(),
        };
        fleet.publish_config(0);
        for _ in 0..settings.servers {
            let server = fleet.start_server().await?;
            fleet.servers.push(server);
        }
        let [front_port, admin_port, ready_port, peer_port, forward_port] = free_ports()?;
        let seeds: Vec<String> = (0..3).map(|i| listener(i, peer_port).to_string()).collect();
        for i in 0..settings.daemons {
            let (front, peer) = (listener(i, front_port), listener(i, peer_port));
            let (admin, ready) = (listener(i, admin_port), listener(i, ready_port));
            let text = format!(
                "[daemon]\nname = vm-{i}\ndata_centre = here\n[listen]\nfront = {front}\nadmin = \
                 {admin}\nreadiness = {ready}\npeer = {peer}\n[store]\naddress = {}\n[peers]\n\
                 seeds = {}\n[bounds]\ngrace_s = {}\n",
                fleet.store_proxy.address(),
                seeds.join(", "),
                STOP_GRACE.as_secs()
            );
            let log = settings.logs.as_ref().map(|folder| {
                let file = folder.join(format!("{}-{i}.log", settings.seed));
                format!("[log]\nfile = {}\n", file.display())
            });
            let text = text + log.as_deref().unwrap_or_default();
            let own_host = format!(
                "[listen]\nforward = {}\n[servers]\nsource = {}\n",
                listener(i, forward_port),
                front.ip()
            );
            let name = format!("fault-soak-{}-{i}.ini", std::process::id());
            let path = std::env::temp_dir().join(name);
            let program = fleet.programs[i % fleet.programs.len()].clone();
            let takes_forwarded = write_settings(&program, &path, &text, &own_host)?;
            let child = start_daemon(&program, &path)?;
            fleet.daemons.push(Daemon {
                program,
                settings: path,
                front,
                takes_forwarded,
                child,
                paused_until: None,
                cut_until: None,
                kill_at: None,
            });
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        Ok(fleet)
    }

    /// Addresses of the daemons' listeners for clients.
    pub fn daemon_addresses(&self) -> Vec<SocketAddr> {
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

    /// Requests that servers executed, replaced servers included.
    pub fn executed(&self) -> Vec<ExecutedRequest> {
        let left = self.left.iter().map(|l| &l.server);
        let current = self.servers.iter().chain(left).map(|s| &s.stand_in);
        let all = current.chain(&self.replaced);
        all.flat_map(StandInServer::executed).collect()
    }

    /// Sends a daemon a signal; after `SIGTERM`, `SIGKILL` follows once the grace time is over.
    pub fn signal(&mut self, daemon: usize, signal: Signal) {
        if signal != Signal::Reload {
            self.disruptions.push((daemon, Instant::now()));
        }
        let daemon = &mut self.daemons[daemon];
        if signal == Signal::Terminate {
            daemon.kill_at = Some(Instant::now() + STOP_GRACE);
        }
        send_signal(&daemon.child, signal);
    }

    /// Pauses a daemon's process for a time.
    pub fn pause(&mut self, daemon: usize, duration: Duration) {
        self.daemons[daemon].paused_until = Some(Instant::now() + duration);
        self.signal(daemon, Signal::Pause);
    }

    /// Cuts a daemon off from all servers for a time.
    pub fn cut_daemon(&mut self, daemon: usize, cut: Cut, duration: Duration) {
        let (from, to) = (Instant::now(), Instant::now() + duration);
        self.cut_spans.push(CutSpan { daemon, from, to });
        let daemon = &mut self.daemons[daemon];
        daemon.cut_until = Some(to);
        self.cuts.set(daemon.front.ip(), Some(cut));
    }

    /// Whether a daemon takes requests that peers forward; others can't be cut off either, since they
    /// share the host of their connections.
    pub fn takes_forwarded(&self, daemon: usize) -> bool {
        self.daemons[daemon].takes_forwarded
    }

    /// Whether a daemon runs the first of the programs.
    pub fn runs_first_program(&self, daemon: usize) -> bool {
        self.daemons[daemon].program == self.programs[0]
    }

    /// Whether a daemon is cut off from all servers now.
    pub fn is_cut(&self, daemon: usize) -> bool {
        self.daemons[daemon].cut_until.is_some()
    }

    /// Spans in which daemons were cut off from all servers.
    pub fn cut_spans(&self) -> &[CutSpan] {
        &self.cut_spans
    }

    /// Sets how a server handles requests.
    pub fn set_behaviour(&mut self, server: usize, behaviour: Behaviour) {
        self.servers[server].stand_in.set_behaviour(behaviour);
    }

    /// Sets a fault of the connections to a server for a time.
    pub fn set_server_fault(&mut self, server: usize, fault: Fault, duration: Duration) {
        let server = &mut self.servers[server];
        server.proxy.set_fault(Some(fault));
        server.fault_until = Some(Instant::now() + duration);
    }

    /// Sets a fault of the connections to the store for a time.
    pub fn set_store_fault(&mut self, fault: Fault, duration: Duration) {
        self.store_proxy.set_fault(Some(fault));
        self.store_fault_until = Some(Instant::now() + duration);
    }

    /// Sets how the store handles reads.
    pub fn set_store_mode(&mut self, mode: Mode) {
        self.evacuations.record_mode(mode);
        self.store.set_mode(mode);
    }

    /// Empties a data centre for the time until `until`, or takes that back if it is `None`.
    pub fn evacuate(&mut self, data_centre: &'static str, until: Option<Instant>) {
        self.evacuations.record(data_centre, until);
        if until.is_some() {
            self.store.put_evacuation(data_centre);
        } else {
            self.store.delete_evacuation(data_centre);
        }
    }

    /// Compacts the store's history, so that daemons have to read a snapshot.
    pub fn compact(&mut self) {
        self.store.compact();
    }

    /// Publishes the next configuration, with up to four extra routes. `variant` selects their
    /// number and the step of the version.
    pub fn publish_config(&mut self, variant: usize) {
        const EXTRA_ROUTES: [(&str, &str); 4] =
            [("a", "/a/"), ("b", "/b/"), ("c", "/c/"), ("d", "/d/")];
        let extra = EXTRA_ROUTES.iter().take(variant % (EXTRA_ROUTES.len() + 1));
        self.extra_routes = extra
            .map(|(name, prefix)| route(name, prefix, true))
            .collect();
        self.version += 1 + variant as u64 % 3;
        self.write_config();
    }

    /// Publishes the next configuration, with one route more than the one before.
    pub fn publish_added_route(&mut self, name: &'static str, prefix: &'static str) {
        self.extra_routes.push(route(name, prefix, true));
        self.version += 1;
        self.write_config();
    }

    fn write_config(&self) {
        let mut routes = vec![
            route("reads", READ_PREFIX, true),
            route("orders", ORDER_PREFIX, false),
        ];
        routes.extend(self.extra_routes.iter().cloned());
        let mut text = config_text(self.version, &routes, IDLE_TIMEOUT_S);
        if self.names_cold_rate {
            text = with_cold_rate(&text, COLD_PER_S);
        }
        self.store.put_config(text);
    }

    /// Announces in the store that a server leaves; the server still serves what it gets.
    pub fn drain(&mut self, server: usize) {
        self.reports += 1;
        let server = &self.servers[server];
        let (id, address) = (server.stand_in.id(), server.proxy.address());
        self.store.drain_server(id, SERVICE, address, self.reports);
    }

    /// Whether a server executed a request.
    pub fn executed_at(&self, server: usize, id: &str) -> bool {
        let executed = self.servers[server].stand_in.executed();
        executed.iter().any(|r| r.id == id)
    }

    /// Stops a server without announcing it and starts a replacement.
    pub async fn replace_server(&mut self, server: usize) {
        let Ok(new) = self.start_server().await else {
            return;
        };
        let old = std::mem::replace(&mut self.servers[server], new);
        self.store.delete_server(old.stand_in.id());
        old.stand_in.stop();
        self.replaced.push(old.stand_in);
    }

    /// Starts a replacement of a server, which leaves the registry unannounced and goes on serving.
    ///
    /// # Errors
    ///
    /// Fails if the replacement can't be started.
    pub async fn leave_server(&mut self, server: usize) -> anyhow::Result<()> {
        let new = self.start_server().await?;
        let server = std::mem::replace(&mut self.servers[server], new);
        self.store.delete_server(server.stand_in.id());
        self.left.push(LeftServer {
            server,
            left_at: Instant::now(),
        });
        Ok(())
    }

    /// Starts a replacement of a server, which says in its answers that it is leaving, stays in the
    /// registry and goes on serving.
    ///
    /// # Errors
    ///
    /// Fails if the replacement can't be started.
    pub async fn announce_end(&mut self, server: usize) -> anyhow::Result<()> {
        let new = self.start_server().await?;
        let server = std::mem::replace(&mut self.servers[server], new);
        server.stand_in.set_leaving(true);
        self.left.push(LeftServer {
            server,
            left_at: Instant::now(),
        });
        Ok(())
    }

    /// Sets the limit that a server names, in requests a second; `None` if it names none.
    pub fn set_limit(&mut self, server: usize, limit: Option<f32>) {
        let limit = limit.map(|l| l.to_string()).unwrap_or_default();
        self.servers[server].stand_in.set_limit(&limit);
    }

    /// Lets a server turn requests away and name this pause, in seconds; `None` ends that.
    pub fn set_pause(&mut self, server: usize, pause: Option<f32>) {
        let stand_in = &self.servers[server].stand_in;
        stand_in.set_pause(&pause.map(|p| p.to_string()).unwrap_or_default());
        stand_in.set_behaviour(match pause {
            Some(_) => Behaviour::Shed,
            None => Behaviour::Answer,
        });
    }

    /// Lets a server be cold for a time; `is_reported` if it also tells the registry.
    pub fn turn_cold(&mut self, server: usize, time: Duration, is_reported: bool) {
        self.reports += 1;
        let server = &self.servers[server];
        server.stand_in.set_cold_for(time);
        if is_reported {
            let (id, address) = (server.stand_in.id(), server.proxy.address());
            self.store
                .put_cold_report(id, SERVICE, address, self.reports, time);
        }
    }

    /// Requests that arrived at each server that was ever started.
    pub fn arrivals(&self) -> Vec<Vec<Arrival>> {
        let running = self.servers.iter().map(|s| &s.stand_in);
        let left = self.left.iter().map(|l| &l.server.stand_in);
        let all = running.chain(&self.replaced).chain(left);
        all.map(StandInServer::arrivals).collect()
    }

    /// Requests that arrived at servers, with the data centre of each server.
    pub fn arrivals_by_data_centre(&self) -> Vec<(&'static str, Vec<Arrival>)> {
        let left = self.left.iter().map(|l| &l.server);
        let running = self.servers.iter().chain(left).map(|s| &s.stand_in);
        let all = running.chain(&self.replaced);
        all.map(|s| (self.data_centre(s.id()), s.arrivals()))
            .collect()
    }

    /// Data centre of a server, by the number in its id.
    fn data_centre(&self, id: &str) -> &'static str {
        let number = id.trim_start_matches("i-").parse().unwrap_or(0_usize);
        self.data_centres[number % self.data_centres.len()]
    }

    /// Whether a daemon was signalled or started again in a span of time.
    pub fn is_disrupted(&self, daemon: usize, from: Instant, to: Instant) -> bool {
        let mut disruptions = self.disruptions.iter();
        disruptions.any(|(d, at)| *d == daemon && (from..=to).contains(at))
    }

    /// Makes the copy that [`Fleet::restore_store`] brings back.
    pub fn copy_store(&self) {
        self.store.save_copy();
    }

    /// Takes the store away, from which it comes back with its copy; its writers write again what
    /// the copy lacks some time later.
    pub fn restore_store(&mut self, away: Duration, rewrite_delay: Duration) {
        self.store.set_mode(Mode::Silent);
        let back_at = Instant::now() + away;
        self.restore_at = Some(back_at);
        self.rewrite_at = Some(back_at + rewrite_delay);
        self.expire_at = Some(back_at + ENTRY_TTL);
    }

    /// Times at which the store came back from a copy.
    pub fn restored_at(&self) -> &[Instant] {
        &self.restored_at
    }

    /// Ids of the requests that servers that have left executed, and when these servers left.
    pub fn executed_by_left_servers(&self) -> HashMap<String, Instant> {
        let executed = |l: &LeftServer| {
            let left_at = l.left_at;
            let executed = l.server.stand_in.executed().into_iter();
            executed.map(move |r| (r.id, left_at))
        };
        self.left.iter().flat_map(executed).collect()
    }

    /// Restores the store and writes or drops its entries, as far as that is due.
    fn update_store(&mut self, now: Instant) {
        let is_over = |until: &mut Option<Instant>| take_if_over(until, now);
        if is_over(&mut self.restore_at) {
            self.store.restore();
            self.store.set_mode(Mode::Up);
            self.restored_at.push(now);
        }
        if is_over(&mut self.rewrite_at) {
            self.write_config();
            self.reports += 1;
            for server in &self.servers {
                let (id, address) = (server.stand_in.id(), server.proxy.address());
                if !self.store.has_server(id) {
                    self.store.put_report(id, SERVICE, address, self.reports);
                }
            }
        }
        if is_over(&mut self.expire_at) {
            for left in &self.left {
                let id = left.server.stand_in.id();
                if self.store.has_server(id) {
                    self.store.delete_server(id);
                }
            }
        }
    }

    /// Ends faults whose time is over and restarts daemons that have ended.
    ///
    /// # Errors
    ///
    /// Fails if a daemon can't be started.
    pub fn update(&mut self) -> anyhow::Result<()> {
        let now = Instant::now();
        self.update_store(now);
        let is_over = |until: &mut Option<Instant>| take_if_over(until, now);
        for server in &mut self.servers {
            if is_over(&mut server.fault_until) {
                server.proxy.set_fault(None);
            }
        }
        if is_over(&mut self.store_fault_until) {
            self.store_proxy.set_fault(None);
        }
        for (i, daemon) in self.daemons.iter_mut().enumerate() {
            if is_over(&mut daemon.cut_until) {
                self.cuts.set(daemon.front.ip(), None);
            }
            if is_over(&mut daemon.paused_until) {
                self.disruptions.push((i, now));
                send_signal(&daemon.child, Signal::Resume);
            }
            if is_over(&mut daemon.kill_at) {
                send_signal(&daemon.child, Signal::Kill);
            }
            if daemon.child.try_wait()?.is_some() {
                self.disruptions.push((i, now));
                daemon.child = start_daemon(&daemon.program, &daemon.settings)?;
                (daemon.paused_until, daemon.kill_at) = (None, None);
            }
        }
        Ok(())
    }

    /// Ends all faults and resumes paused daemons.
    pub fn end_faults(&mut self) {
        self.set_store_mode(Mode::Up);
        for (data_centre, _) in self.evacuations.current() {
            self.evacuate(data_centre, None);
        }
        self.store_proxy.set_fault(None);
        for server in &mut self.servers {
            server.stand_in.set_behaviour(Behaviour::Answer);
            server.stand_in.set_limit("");
            server.stand_in.set_cold_for(Duration::ZERO);
            server.proxy.set_fault(None);
        }
        self.cuts.clear();
        for daemon in &mut self.daemons {
            daemon.cut_until = None;
            daemon.paused_until = None;
            send_signal(&daemon.child, Signal::Resume);
        }
    }

    async fn start_server(&mut self) -> anyhow::Result<Server> {
        self.started += 1;
        let id = format!("i-{:04}", self.started);
        let zone = self.data_centre(&id);
        let stand_in = StandInServer::start(&id).await;
        let proxy = Proxy::start(stand_in.address(), self.cuts.clone()).await?;
        self.store
            .put_server(&id, SERVICE, proxy.address(), &json!({"zone": zone}));
        Ok(Server {
            stand_in,
            proxy,
            fault_until: None,
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

/// Takes a time that has come; returns whether it has.
fn take_if_over(until: &mut Option<Instant>, now: Instant) -> bool {
    until.take_if(|t| now >= *t).is_some()
}

fn route(name: &'static str, prefix: &'static str, idempotent: bool) -> RouteRow {
    RouteRow {
        name,
        prefix,
        idempotent,
        services: vec![(SERVICE, 1)],
        timeout_s: ROUTE_TIMEOUT.as_secs_f64(),
        latency_target_s: 0.3,
        max_attempts: MAX_ATTEMPTS as u8,
        ..RouteRow::default()
    }
}

/// Writes a daemon's settings; programs that don't know the keys of `own_host` get none of them.
/// Returns whether the program knows them.
fn write_settings(
    program: &PathBuf,
    path: &PathBuf,
    text: &str,
    own_host: &str,
) -> anyhow::Result<bool> {
    let write =
        |text: &str| fs::write(path, text).with_context(|| format!("writing {}", path.display()));
    write(&format!("{text}{own_host}"))?;
    let checked = Command::new(program)
        .arg("--settings")
        .arg(path)
        .arg("--check")
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .status()
        .with_context(|| format!("starting {}", program.display()))?;
    if !checked.success() {
        write(text)?;
    }
    Ok(checked.success())
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

/// Address of one of a daemon's listeners.
///
/// As on the platform, daemons differ by their hosts and share their ports. No other listener of
/// this process is on these hosts, so that none gets the port of a daemon that is down.
fn listener(daemon: usize, port: u16) -> SocketAddr {
    let [high, low] = (FIRST_DAEMON_HOST + daemon as u16).to_be_bytes();
    SocketAddr::from(([127, 0, high, low], port))
}

/// Ports that are free now on the first host of the daemons, chosen here because daemons must bind
/// the same ports after each restart. None is a port that the system gives to connections, which
/// have the daemons' hosts as their source.
fn free_ports<const N: usize>() -> anyhow::Result<[u16; N]> {
    let mut rng = Pcg32::new(std::process::id().into(), 9);
    let mut ports = [0; N];
    let mut bound = Vec::new();
    for port in &mut ports {
        let listener = (0..PORT_ATTEMPTS).find_map(|_| {
            *port = rng.random_range(LISTENER_PORTS);
            TcpListener::bind(listener(0, *port)).ok()
        });
        bound.push(listener.context("no free port on loopback")?);
    }
    Ok(ports)
}
