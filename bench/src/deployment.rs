//! A whole deployment on loopback in one process.

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

/// Secret of the daemons of a deployment.
pub const PEER_KEY: &str = "loopback-deployment-peer-key-0123456789abcdef";
/// Budgets that the folder goes through.
const BUDGET_STEPS: u32 = 3;
const READY_BOUND: Duration = Duration::from_secs(60);
const READY_POLL: Duration = Duration::from_millis(50);
const PROBE_WINDOW: Duration = Duration::from_secs(5);

/// A server and its stand-in.
#[derive(Debug)]
pub struct Server {
    /// Where it runs.
    pub spec: ServerSpec,
    /// Stand-in.
    pub upstream: Upstream,
}

/// A daemon and its name.
#[derive(Debug)]
pub struct Member {
    /// Entry of the published list.
    pub vm: Vm,
    /// The daemon.
    pub daemon: Daemon,
    /// Thread that it runs on.
    pub host: Host,
}

impl Member {
    /// Planned stop; a violation if it cut off calls.
    pub async fn stop(self) -> Option<Violation> {
        let Self { vm, daemon, host } = self;
        let stopped = host.handle().spawn(daemon.stop()).await;
        let detail = match stopped {
            Ok(true) => return None,
            Ok(false) => format!("daemon={} cut off calls", vm.name),
            Err(e) => format!("daemon={} error=\"{e}\"", vm.name),
        };
        let invariant = Invariant::GracefulStop;
        Some(Violation { invariant, detail })
    }

    /// Ends at once, as a crash would.
    pub fn kill(self) {
        self.daemon.kill();
    }
}

/// A running deployment.
#[derive(Debug)]
pub struct Deployment {
    /// What is deployed.
    pub shop: Shop,
    /// Platform.
    pub platform: Platform,
    /// Record of the servers.
    pub execution_log: Arc<ExecutionLog>,
    /// Servers.
    pub servers: Vec<Server>,
    /// Daemons that run.
    pub members: Vec<Member>,
    /// Addresses for callers.
    pub daemon_addresses: Arc<DaemonAddresses>,
    /// Checks of all daemons that ever ran.
    pub invariants: Vec<InvariantChecks>,
    /// Added to each council's probe budget, to change the folder.
    pub budget_step: u32,
    started: usize,
    seed: u64,
}

impl Deployment {
    /// Starts the platform, the servers and the daemons, and waits until all are ready.
    ///
    /// # Errors
    ///
    /// Fails if something can't be started or a daemon doesn't become ready.
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
            budget_step: 0,
            started: 0,
            seed,
        };
        deployment.start_servers().await?;
        deployment.publish_folder();
        for _ in 0..daemons {
            deployment.start_daemon().await?;
        }
        deployment.publish_fleet(Duration::ZERO);
        for i in 0..daemons {
            deployment.open_front(i).await?;
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

    /// Closes a server and starts one with another name and address in its place.
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

    /// Cuts the link between two daemons, or mends it.
    pub fn cut(a: &Member, b: &Member, cut: bool) {
        a.daemon.block(&b.vm.name, cut);
        b.daemon.block(&a.vm.name, cut);
    }

    /// Position of a server.
    pub fn server_named(&self, name: &str) -> Option<usize> {
        self.servers.iter().position(|s| s.spec.name == name)
    }

    /// Marks a server as leaving in the folder that is published next.
    pub fn mark_leaving(&mut self, name: &str) {
        let named = self.servers.iter_mut().filter(|s| s.spec.name == name);
        named.for_each(|s| s.spec.leaving = true);
    }

    /// Folder for the servers as they are.
    pub fn folder(&self) -> Vec<FolderFile> {
        let specs: Vec<ServerSpec> = self.servers.iter().map(|s| s.spec.clone()).collect();
        self.shop.folder(&specs, self.budget_step % BUDGET_STEPS)
    }

    /// Publishes the folder for the servers as they are; returns its revision.
    pub fn publish_folder(&self) -> u64 {
        self.platform.publish_folder(self.folder())
    }

    /// Publishes the list of VMs after a lag.
    pub fn publish_fleet(&self, lag: Duration) {
        let list = FleetList {
            revision: 0,
            epoch: 1,
            vms: self.members.iter().map(|m| m.vm.clone()).collect(),
        };
        if lag.is_zero() {
            self.platform.publish_fleet(list);
        } else {
            self.platform.publish_fleet_after(lag, list);
        }
    }

    /// Starts one more daemon, which is not published yet and gets no calls yet.
    ///
    /// # Errors
    ///
    /// Fails if it can't be started.
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

    /// Waits until a daemon is ready, and lets callers reach it.
    ///
    /// # Errors
    ///
    /// Fails if it doesn't become ready.
    pub async fn open_front(&self, member: usize) -> anyhow::Result<()> {
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
        for work in self.execution_log.late_work() {
            violations.push(Violation {
                invariant: Invariant::LeavingServer,
                detail: format!("server={} after_ms={}", work.server, work.after.as_millis()),
            });
        }
        for invariant in Invariant::ALL {
            let broken: u64 = self.invariants.iter().map(|w| w.broken(invariant)).sum();
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
            let allowed =
                (PROBE_WINDOW.as_secs() + 1) * u64::from(council.probe_budget + BUDGET_STEPS - 1);
            let most = self.execution_log.most_probes(council.name, PROBE_WINDOW) as u64;
            (most > allowed).then(|| Violation {
                invariant: Invariant::ProbeBudget,
                detail: format!(
                    "council={} probes={most} allowed={allowed} window_s={}",
                    council.name,
                    PROBE_WINDOW.as_secs()
                ),
            })
        });
        violations.collect()
    }

    /// Checks that the daemons made themselves, by invariant.
    pub fn checked(&self, invariant: Invariant) -> u64 {
        self.invariants.iter().map(|w| w.checked(invariant)).sum()
    }

    /// Stops all daemons as planned; returns those that cut off a call.
    pub async fn stop(&mut self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for member in self.members.drain(..) {
            self.daemon_addresses.remove(member.daemon.front());
            violations.extend(member.stop().await);
        }
        violations
    }
}

/// Waits until a daemon says that it takes calls.
///
/// # Errors
///
/// Fails if that takes too long.
pub async fn wait_ready(admin: SocketAddr) -> anyhow::Result<()> {
    let client = reqwest::Client::new();
    let url = format!("http://{admin}/ready");
    let polled = tokio::time::timeout(READY_BOUND, async {
        loop {
            let answer = client.get(&url).send().await;
            if answer.is_ok_and(|a| a.status().is_success()) {
                return;
            }
            tokio::time::sleep(READY_POLL).await;
        }
    });
    polled.await.context("did not become ready")
}
