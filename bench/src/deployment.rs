//! A complete deployment on loopback in one process: platform, servers and daemons.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;

use cuminspread::invariant::{Invariant, InvariantChecks};
use cuminspread::state::Name;
use cuminspread::state::fleet::{FleetList, Vm};
use cuminspreadd::daemon::Daemon;
use cuminspreadd::settings::Settings;

use crate::daemon_addresses::DaemonAddresses;
use crate::host::Host;
use crate::operation::Violation;
use crate::shop::{ServerSpec, Service, Shop};
use crate::standin::execution_log::ExecutionLog;
use crate::standin::platform::{FolderFile, Platform};
use crate::standin::upstream::{Upstream, UpstreamSettings};

/// Key that the daemons of a deployment share to authenticate peers' messages.
pub const PEER_KEY: &str = "loopback-deployment-peer-key-0123456789abcdef";
/// Number of probe budgets that a council's configuration cycles through when the folder changes.
const BUDGET_VARIANTS: u32 = 3;
const READY_TIMEOUT: Duration = Duration::from_secs(60);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Window in which a council's probes are counted against its budget.
const PROBE_WINDOW: Duration = Duration::from_secs(5);

/// A server as configured, and its stand-in.
#[derive(Debug)]
pub struct Server {
    /// Service, name, address and data centre.
    pub spec: ServerSpec,
    /// Stand-in that serves its requests.
    pub upstream: Upstream,
}

/// A running daemon, its entry in the VM list and its runtime.
#[derive(Debug)]
pub struct Member {
    /// Its entry for the VM list.
    pub vm: Vm,
    /// The daemon.
    pub daemon: Daemon,
    /// Runtime that it runs on.
    pub host: Host,
}

impl Member {
    /// Stops the daemon gracefully; returns a violation if it cut off calls.
    pub async fn stop(self) -> Option<Violation> {
        let Self { vm, daemon, host } = self;
        let result = host.handle().spawn(daemon.stop()).await;
        let detail = match result {
            Ok(true) => return None,
            Ok(false) => format!("daemon={} cut off calls", vm.name),
            Err(e) => format!("daemon={} error=\"{e}\"", vm.name),
        };
        let invariant = Invariant::GracefulStop;
        Some(Violation { invariant, detail })
    }

    /// Ends the daemon at once, like a crash.
    pub fn kill(self) {
        self.daemon.kill();
    }
}

/// A running deployment.
#[derive(Debug)]
pub struct Deployment {
    /// Councils, services and calls.
    pub shop: Shop,
    /// Stand-in for the platform.
    pub platform: Platform,
    /// What the servers executed.
    pub execution_log: Arc<ExecutionLog>,
    /// Servers, in the order of the shop's services.
    pub servers: Vec<Server>,
    /// Running daemons.
    pub members: Vec<Member>,
    /// Addresses that callers use.
    pub daemon_addresses: Arc<DaemonAddresses>,
    /// Invariant checks of all daemons that were ever started.
    pub invariants: Vec<InvariantChecks>,
    /// Number of changes of the folder; it selects what is added to each council's probe budget.
    pub folder_changes: u32,
    /// Daemons that were ever started; gives the next daemon's name.
    started: usize,
    seed: u64,
}

impl Deployment {
    /// Starts the platform, the servers and the daemons, and waits until all daemons are ready.
    ///
    /// # Errors
    ///
    /// Fails if a part can't be started or a daemon doesn't become ready.
    pub async fn start(shop: Shop, daemons: usize, seed: u64) -> anyhow::Result<Self> {
        let platform = Platform::start().await.context("start of the platform")?;
        let mut deployment = Self {
            shop,
            platform,
            execution_log: Arc::new(ExecutionLog::default()),
            servers: Vec::new(),
            members: Vec::new(),
            daemon_addresses: Arc::new(DaemonAddresses::default()),
            invariants: Vec::new(),
            folder_changes: 0,
            started: 0,
            seed,
        };
        deployment.start_servers().await?;
        deployment.publish_folder();
        for _ in 0..daemons {
            deployment.start_daemon().await?;
        }
        deployment.publish_vm_list(Duration::ZERO);
        for i in 0..daemons {
            deployment.open_to_callers(i).await?;
        }
        Ok(deployment)
    }

    async fn start_servers(&mut self) -> anyhow::Result<()> {
        for service in self.shop.services {
            for i in 0..service.servers {
                let name = format!("{}-{i}", service.name);
                let data_centre = self.shop.data_centres[i % self.shop.data_centres.len()];
                let server = self.start_server(service, name, data_centre).await?;
                self.servers.push(server);
            }
        }
        Ok(())
    }

    async fn start_server(
        &self,
        service: &Service,
        name: String,
        data_centre: &'static str,
    ) -> anyhow::Result<Server> {
        let settings = UpstreamSettings {
            council: service.council.to_owned(),
            name: name.clone(),
            slots: service.slots,
            queue: service.slots * 2,
            service_time: service.service_time,
            seed: self.seed.wrapping_add(self.servers.len() as u64),
            ..UpstreamSettings::default()
        };
        let upstream = Upstream::start(settings, Arc::clone(&self.execution_log)).await;
        let upstream = upstream.with_context(|| format!("start of server {name}"))?;
        let spec = ServerSpec {
            service: *service,
            name,
            data_centre,
            address: upstream.address(),
            leaving: false,
        };
        Ok(Server { spec, upstream })
    }

    /// Closes a server and starts a replacement with another name and address; `number` makes the
    /// name unique.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn replace_server(&mut self, i: usize, number: usize) -> anyhow::Result<()> {
        let old = &self.servers[i];
        old.upstream.close();
        let service = old.spec.service;
        let name = format!("{}-r{number}", service.name);
        self.servers[i] = self
            .start_server(&service, name, old.spec.data_centre)
            .await?;
        Ok(())
    }

    /// Blocks or restores messages between two daemons, both ways.
    pub fn set_blocked(a: &Member, b: &Member, blocked: bool) {
        a.daemon.block(&b.vm.name, blocked);
        b.daemon.block(&a.vm.name, blocked);
    }

    /// Index in `servers` of the server with a name.
    pub fn server_index(&self, name: &str) -> Option<usize> {
        self.servers.iter().position(|s| s.spec.name == name)
    }

    /// Marks a server as leaving, for the next publication of the folder.
    pub fn mark_leaving(&mut self, name: &str) {
        let servers = self.servers.iter_mut().filter(|s| s.spec.name == name);
        servers.for_each(|s| s.spec.leaving = true);
    }

    /// Files of the folder for the current servers.
    pub fn folder(&self) -> Vec<FolderFile> {
        let specs: Vec<ServerSpec> = self.servers.iter().map(|s| s.spec.clone()).collect();
        self.shop
            .folder(&specs, self.folder_changes % BUDGET_VARIANTS)
    }

    /// Publishes the folder for the current servers and returns its revision.
    pub fn publish_folder(&self) -> u64 {
        self.platform.publish_folder(self.folder())
    }

    /// Publishes the VM list for the current daemons; its contents are fixed now, also with a
    /// delay.
    pub fn publish_vm_list(&self, delay: Duration) {
        let list = FleetList {
            revision: 0,
            epoch: 1,
            vms: self.members.iter().map(|m| m.vm.clone()).collect(),
        };
        if delay.is_zero() {
            self.platform.publish_vm_list(list);
        } else {
            self.platform.publish_vm_list_after(delay, list);
        }
    }

    /// Starts another daemon; it is neither in the VM list nor known to callers yet.
    ///
    /// # Errors
    ///
    /// Fails if the daemon can't be started.
    pub async fn start_daemon(&mut self) -> anyhow::Result<()> {
        let name = Name::from(format!("vm-{}", self.started));
        let data_centres = self.shop.data_centres;
        let data_centre = Name::new(data_centres[self.started % data_centres.len()]);
        self.started += 1;
        let settings = Settings {
            name: name.clone(),
            data_centre: data_centre.clone(),
            platform: self.platform.url(),
            peer_keys: vec![PEER_KEY.to_owned()],
            seed: self.seed.wrapping_add(self.started as u64),
            ..Settings::default()
        };
        let host = Host::start()?;
        let started = host.handle().spawn(Daemon::start(settings)).await?;
        let daemon = started.with_context(|| format!("start of daemon {name}"))?;
        self.invariants.push(daemon.invariants().clone());
        let vm = Vm {
            name,
            data_centre,
            peer: daemon.peer(),
            leaving: false,
        };
        self.members.push(Member { vm, daemon, host });
        Ok(())
    }

    /// Waits until a daemon is ready, then adds its address for callers.
    ///
    /// # Errors
    ///
    /// Fails if the daemon doesn't become ready.
    pub async fn open_to_callers(&self, member: usize) -> anyhow::Result<()> {
        let daemon = &self.members[member].daemon;
        wait_ready(daemon.admin())
            .await
            .with_context(|| format!("daemon {}", self.members[member].vm.name))?;
        self.daemon_addresses.add(daemon.front());
        Ok(())
    }

    /// Breaches of what the servers and the daemons themselves have seen.
    pub fn violations(&self) -> Vec<Violation> {
        let mut violations = self.probe_violations();
        for request in self.execution_log.late_requests() {
            violations.push(Violation {
                invariant: Invariant::LeavingServer,
                detail: format!(
                    "server={} after_ms={}",
                    request.server,
                    request.after.as_millis()
                ),
            });
        }
        for invariant in Invariant::ALL {
            let broken: u64 = self
                .invariants
                .iter()
                .map(|checks| checks.broken(invariant))
                .sum();
            if broken > 0 {
                let detail = format!("daemons counted {broken} failed checks");
                violations.push(Violation { invariant, detail });
            }
        }
        violations
    }

    fn probe_violations(&self) -> Vec<Violation> {
        let councils = self.shop.councils.iter();
        let violations = councils.filter_map(|council| {
            // Changes of the folder add at most `BUDGET_VARIANTS - 1` to a budget.
            let allowed = (PROBE_WINDOW.as_secs() + 1)
                * u64::from(council.probe_budget + BUDGET_VARIANTS - 1);
            let max = self.execution_log.max_probes(council.name, PROBE_WINDOW) as u64;
            (max > allowed).then(|| Violation {
                invariant: Invariant::ProbeBudget,
                detail: format!(
                    "council={} probes={max} allowed={allowed} window_s={}",
                    council.name,
                    PROBE_WINDOW.as_secs()
                ),
            })
        });
        violations.collect()
    }

    /// Number of times that the daemons checked an invariant.
    pub fn checked(&self, invariant: Invariant) -> u64 {
        self.invariants
            .iter()
            .map(|checks| checks.checked(invariant))
            .sum()
    }

    /// Stops all daemons gracefully, one after the other; returns a violation for each that cut off
    /// calls.
    pub async fn stop(&mut self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for member in self.members.drain(..) {
            self.daemon_addresses.remove(member.daemon.front());
            violations.extend(member.stop().await);
        }
        violations
    }
}

/// Polls a daemon's `/ready` until it has status 2xx.
///
/// # Errors
///
/// Fails after a minute.
pub async fn wait_ready(admin: SocketAddr) -> anyhow::Result<()> {
    let client = reqwest::Client::new();
    let url = format!("http://{admin}/ready");
    let polled = tokio::time::timeout(READY_TIMEOUT, async {
        loop {
            let response = client.get(&url).send().await;
            if response.is_ok_and(|r| r.status().is_success()) {
                return;
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    });
    polled.await.context("GET /ready did not succeed in time")
}
