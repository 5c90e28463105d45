//! Injects faults into a running deployment at random times and undoes them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::Context;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::task::JoinSet;

use crate::daemon_addresses::DaemonState;
use crate::deployment::{Deployment, wait_ready};
use crate::load::LoadGenerator;
use crate::operation::Violation;
use crate::shop::CallKind;
use crate::soak::fault::{Fault, Later};
use crate::standin::execution_log::lock;
use crate::standin::platform::{Condition, FolderFile};
use crate::standin::upstream::{LEAVE_GRACE, LoadReporting};

const MEAN_PAUSE_S: f64 = 1.0;
const IDLE_POLL: Duration = Duration::from_millis(100);
const FRONT_LAG: Duration = Duration::from_millis(300);
const MAX_FLEET_LAG_MS: u64 = 3000;
const MIN_DAEMONS: usize = 2;
const LEAVE_SLACK: Duration = Duration::from_secs(2);
const SLOWNESS: f64 = 15.0;
const REPORT_LAG: Duration = Duration::from_millis(500);
const PLATFORM_DELAY: Duration = Duration::from_millis(700);
/// A service keeps at least this share of its servers.
const MAX_LEAVING_SHARE: usize = 4;

/// Injects faults.
#[derive(Debug)]
pub struct Injector {
    load: Arc<LoadGenerator>,
    rng: Pcg64Mcg,
    later: Vec<(Instant, Later)>,
    counts: BTreeMap<&'static str, u64>,
    background: JoinSet<()>,
    violations: Arc<Mutex<Vec<Violation>>>,
    replaced: usize,
}

impl Injector {
    /// Injector that has done nothing yet.
    pub fn new(load: Arc<LoadGenerator>, seed: u64) -> Self {
        Self {
            load,
            rng: Pcg64Mcg::seed_from_u64(seed),
            later: Vec::new(),
            counts: BTreeMap::new(),
            background: JoinSet::new(),
            violations: Arc::new(Mutex::new(Vec::new())),
            replaced: 0,
        }
    }

    /// Faults injected so far, by kind.
    pub fn counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.counts
    }

    /// Injects faults for a time, then undoes them all.
    ///
    /// # Errors
    ///
    /// Fails if a replacement can't be started.
    pub async fn run(&mut self, deployment: &mut Deployment, span: Duration) -> anyhow::Result<()> {
        let end = Instant::now() + span;
        let mut next = Instant::now() + self.pause();
        while Instant::now() < end {
            let due = self.later.iter().map(|(at, _)| *at).min();
            let wake = due.map_or(next, |due| due.min(next)).min(end);
            tokio::time::sleep_until(wake.into()).await;
            self.undo(deployment, Instant::now()).await?;
            if Instant::now() >= next {
                self.inject(deployment);
                next = Instant::now() + self.pause();
            }
        }
        self.finish(deployment).await
    }

    fn pause(&mut self) -> Duration {
        let u: f64 = self.rng.random();
        Duration::from_secs_f64(-(1.0 - u).ln() * MEAN_PAUSE_S)
    }

    async fn finish(&mut self, deployment: &mut Deployment) -> anyhow::Result<()> {
        while let Some((last, _)) = self.later.iter().max_by_key(|(at, _)| *at) {
            let last = *last;
            tokio::time::sleep_until(last.into()).await;
            self.undo(deployment, last).await?;
        }
        while let Some(ended) = self.background.join_next().await {
            ended.context("background task")?;
        }
        Ok(())
    }

    /// Breaches seen while daemons stopped or started.
    pub fn take_violations(&self) -> Vec<Violation> {
        std::mem::take(&mut lock(&self.violations))
    }

    fn inject(&mut self, deployment: &mut Deployment) {
        let fault = Fault::ALL[self.rng.random_range(0..Fault::ALL.len())];
        let span = fault.span(&mut self.rng);
        let done = match fault {
            Fault::DaemonKill => self.kill_daemon(deployment),
            Fault::DaemonStop => self.stop_daemon(deployment),
            Fault::ServerLeaves => self.server_leaves(deployment, span),
            Fault::PlatformDown
            | Fault::PlatformHanging
            | Fault::PlatformStale
            | Fault::PlatformSlow => self.platform(deployment, fault, span),
            Fault::DaemonPause => self.pause_daemon(deployment, span),
            Fault::Split => self.split(deployment, span),
            Fault::FolderChange => {
                deployment.folder_changes += 1;
                deployment.publish_folder();
                true
            }
            Fault::BadFolder => self.bad_folder(deployment, span),
            Fault::CrashingRequest => self.crashing_request(),
            _ => self.server(deployment, fault, span),
        };
        if done {
            log::info!(
                "event=fault kind={} span_ms={}",
                fault.label(),
                span.as_millis()
            );
            *self.counts.entry(fault.label()).or_default() += 1;
        }
    }

    fn after(&mut self, span: Duration, later: Later) {
        self.later.push((Instant::now() + span, later));
    }

    fn server(&mut self, deployment: &Deployment, fault: Fault, span: Duration) -> bool {
        let i = self.rng.random_range(0..deployment.servers.len());
        let upstream = &deployment.servers[i].upstream;
        match fault {
            Fault::Straggler => upstream.set_slowness(SLOWNESS),
            Fault::FailFast => upstream.set_fail_fast(true),
            Fault::ServerCrash => upstream.crash(),
            Fault::SilentConnections => upstream.silence(),
            Fault::TruncatedAnswer => upstream.truncate_next(),
            Fault::LyingReports => upstream.set_reporting(LoadReporting::Fixed(0)),
            Fault::LaggingReports => upstream.set_reporting(LoadReporting::Stale(REPORT_LAG)),
            _ => return false,
        }
        let name = deployment.servers[i].spec.name.clone();
        self.after(span, Later::HealServer(name));
        true
    }

    fn server_leaves(&mut self, deployment: &Deployment, span: Duration) -> bool {
        let i = self.rng.random_range(0..deployment.servers.len());
        let server = &deployment.servers[i];
        let service = server.spec.service.name;
        let of_service = || {
            let servers = deployment.servers.iter();
            servers.filter(|s| s.spec.service.name == service)
        };
        let leaving = of_service().filter(|s| s.upstream.leaving()).count();
        if server.upstream.leaving() || (leaving + 1) * MAX_LEAVING_SHARE > of_service().count() {
            return false;
        }
        server.upstream.leave();
        let name = server.spec.name.clone();
        self.after(span, Later::MarkLeaving(name.clone()));
        self.after(LEAVE_GRACE + LEAVE_SLACK, Later::ReplaceServer(name));
        true
    }

    fn platform(&mut self, deployment: &Deployment, fault: Fault, span: Duration) -> bool {
        if self.later.iter().any(|(_, l)| *l == Later::HealPlatform) {
            return false;
        }
        let condition = match fault {
            Fault::PlatformDown => Condition::Down,
            Fault::PlatformHanging => Condition::Hanging,
            Fault::PlatformStale => Condition::Stale,
            _ => Condition::Slow(PLATFORM_DELAY),
        };
        deployment.platform.set_condition(condition);
        self.after(span, Later::HealPlatform);
        true
    }

    fn bad_folder(&mut self, deployment: &Deployment, span: Duration) -> bool {
        let mut files = deployment.folder();
        files.push(FolderFile {
            name: format!("90.{}.bad.ini", deployment.shop.councils[0].name),
            text: "[council]\nprobe-budget = lots\n".to_owned(),
        });
        deployment.platform.publish_folder(files);
        self.after(span, Later::PublishFolder);
        true
    }

    fn crashing_request(&mut self) -> bool {
        let kinds: &'static [CallKind] = self.load.shop().kinds;
        let kind = &kinds[self.rng.random_range(0..kinds.len())];
        let seed = self.rng.random();
        let load = Arc::clone(&self.load);
        self.background
            .spawn(async move { load.call_crashing(kind, seed).await });
        true
    }

    /// Takes one daemon out, unless another change of the fleet is under way.
    fn pick_daemon(&mut self, deployment: &Deployment) -> Option<usize> {
        let changing = |l: &Later| matches!(l, Later::ReplaceDaemon | Later::PublishFleet);
        let busy = self.later.iter().any(|(_, l)| changing(l));
        if busy || deployment.members.len() <= MIN_DAEMONS {
            return None;
        }
        Some(self.rng.random_range(0..deployment.members.len()))
    }

    fn kill_daemon(&mut self, deployment: &mut Deployment) -> bool {
        let Some(i) = self.pick_daemon(deployment) else {
            return false;
        };
        let member = deployment.members.remove(i);
        let front = member.daemon.front();
        deployment
            .daemon_addresses
            .set_state(front, DaemonState::Killed);
        member.kill();
        self.after(FRONT_LAG, Later::CloseFront(front));
        self.replace_later();
        true
    }

    fn stop_daemon(&mut self, deployment: &mut Deployment) -> bool {
        let Some(i) = self.pick_daemon(deployment) else {
            return false;
        };
        let member = deployment.members.remove(i);
        let front = member.daemon.front();
        deployment
            .daemon_addresses
            .set_state(front, DaemonState::Stopping);
        let violations = Arc::clone(&self.violations);
        self.background.spawn(async move {
            let violation = member.stop().await;
            lock(&violations).extend(violation);
        });
        self.after(FRONT_LAG, Later::CloseFront(front));
        self.replace_later();
        true
    }

    fn pause_daemon(&mut self, deployment: &Deployment, span: Duration) -> bool {
        let i = self.rng.random_range(0..deployment.members.len());
        deployment.members[i].host.pause(span);
        true
    }

    fn split(&mut self, deployment: &Deployment, span: Duration) -> bool {
        let members = &deployment.members;
        let first = self.rng.random_range(0..members.len());
        let far = self.rng.random_range(1..members.len().max(2));
        let apart = |i: usize| (i + members.len() - first) % members.len() < far;
        for (i, a) in members.iter().enumerate() {
            for (j, b) in members.iter().enumerate().skip(i + 1) {
                if apart(i) != apart(j) {
                    Deployment::set_blocked(a, b, true);
                }
            }
        }
        self.after(span, Later::HealSplit);
        true
    }

    fn replace_later(&mut self) {
        let lag = self.rng.random_range(0..MAX_FLEET_LAG_MS);
        self.after(Duration::from_millis(lag), Later::ReplaceDaemon);
    }

    async fn undo(&mut self, deployment: &mut Deployment, until: Instant) -> anyhow::Result<()> {
        self.later.sort_by_key(|(at, _)| *at);
        let due = self.later.partition_point(|(at, _)| *at <= until);
        let due: Vec<_> = self.later.drain(..due).collect();
        for (_, later) in due {
            self.act(deployment, later).await?;
        }
        Ok(())
    }

    async fn act(&mut self, deployment: &mut Deployment, later: Later) -> anyhow::Result<()> {
        match later {
            Later::HealServer(name) => heal(deployment, &name),
            Later::MarkLeaving(name) => {
                deployment.mark_leaving(&name);
                deployment.publish_folder();
            }
            Later::ReplaceServer(name) => self.replace_server(deployment, name).await?,
            Later::HealPlatform => deployment.platform.set_condition(Condition::Up),
            Later::PublishFleet => deployment.publish_vm_list(Duration::ZERO),
            Later::CloseFront(front) => deployment.daemon_addresses.remove(front),
            Later::ReplaceDaemon => self.replace_daemon(deployment).await?,
            Later::HealSplit => heal_split(deployment),
            Later::PublishFolder => {
                deployment.publish_folder();
            }
        }
        Ok(())
    }

    async fn replace_server(
        &mut self,
        deployment: &mut Deployment,
        name: String,
    ) -> anyhow::Result<()> {
        let Some(i) = deployment.server_index(&name) else {
            return Ok(());
        };
        if deployment.servers[i].upstream.in_flight() > 0 {
            self.after(IDLE_POLL, Later::ReplaceServer(name));
            return Ok(());
        }
        self.replaced += 1;
        deployment.replace_server(i, self.replaced).await?;
        deployment.publish_folder();
        Ok(())
    }

    async fn replace_daemon(&mut self, deployment: &mut Deployment) -> anyhow::Result<()> {
        deployment.start_daemon().await?;
        let Some(member) = deployment.members.last() else {
            return Ok(());
        };
        let (admin, front) = (member.daemon.admin(), member.daemon.front());
        let daemon_addresses = Arc::clone(&deployment.daemon_addresses);
        self.background.spawn(async move {
            if wait_ready(admin).await.is_ok() {
                daemon_addresses.add(front);
            } else {
                log::error!("event=replacement_not_ready front={front}");
            }
        });
        let lag = self.rng.random_range(0..MAX_FLEET_LAG_MS);
        self.after(Duration::from_millis(lag), Later::PublishFleet);
        Ok(())
    }
}

fn heal(deployment: &Deployment, name: &str) {
    let Some(i) = deployment.server_index(name) else {
        return;
    };
    let upstream = &deployment.servers[i].upstream;
    upstream.set_slowness(1.0);
    upstream.set_fail_fast(false);
    upstream.set_reporting(LoadReporting::Accurate);
}

fn heal_split(deployment: &Deployment) {
    for (i, a) in deployment.members.iter().enumerate() {
        for b in &deployment.members[i + 1..] {
            Deployment::set_blocked(a, b, false);
        }
    }
}
