//! Injects faults into a running deployment at random times and ends them later.

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
use crate::soak::fault::{Action, Fault};
use crate::standin::execution_log::lock;
use crate::standin::platform::{Condition, FolderFile};
use crate::standin::upstream::{LEAVE_GRACE, LoadReporting};

/// Mean of the exponential time between two faults.
const MEAN_FAULT_INTERVAL_S: f64 = 1.0;
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time in which callers still use the address of a daemon that has gone.
const ADDRESS_REMOVAL_DELAY: Duration = Duration::from_millis(300);
/// Longest time to the replacement of a daemon, and from there to the new VM list.
const MAX_FLEET_CHANGE_DELAY_MS: u64 = 3000;
const MIN_DAEMONS: usize = 2;
/// Time after [`LEAVE_GRACE`] before a leaving server is replaced.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(2);
const STRAGGLER_FACTOR: f64 = 15.0;
/// Time between two load samples of a server with stale reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const SLOW_PLATFORM_DELAY: Duration = Duration::from_millis(700);
/// At most one in this number of a service's servers leaves at a time.
const SERVERS_PER_LEAVING: usize = 4;

/// Injects faults into one deployment.
#[derive(Debug)]
pub struct Injector {
    load: Arc<LoadGenerator>,
    rng: Pcg64Mcg,
    scheduled: Vec<(Instant, Action)>,
    counts: BTreeMap<&'static str, u64>,
    /// Calls, stops and starts that go on beside the faults.
    background: JoinSet<()>,
    violations: Arc<Mutex<Vec<Violation>>>,
    replaced_servers: usize,
}

impl Injector {
    /// Injector without any fault; `load` sends the requests that crash servers.
    pub fn new(load: Arc<LoadGenerator>, seed: u64) -> Self {
        Self {
            load,
            rng: Pcg64Mcg::seed_from_u64(seed),
            scheduled: Vec::new(),
            counts: BTreeMap::new(),
            background: JoinSet::new(),
            violations: Arc::new(Mutex::new(Vec::new())),
            replaced_servers: 0,
        }
    }

    /// Number of faults injected so far, by label.
    pub fn counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.counts
    }

    /// Injects faults for a time, then ends them all.
    ///
    /// # Errors
    ///
    /// Fails if a replacement can't be started or a background task panics.
    pub async fn run(
        &mut self,
        deployment: &mut Deployment,
        duration: Duration,
    ) -> anyhow::Result<()> {
        let end = Instant::now() + duration;
        let mut next = Instant::now() + self.random_interval();
        while Instant::now() < end {
            let due = self.scheduled.iter().map(|(at, _)| *at).min();
            let wake = due.map_or(next, |due| due.min(next)).min(end);
            tokio::time::sleep_until(wake.into()).await;
            self.run_due(deployment, Instant::now()).await?;
            if Instant::now() >= next {
                self.inject(deployment);
                next = Instant::now() + self.random_interval();
            }
        }
        self.finish(deployment).await
    }

    fn random_interval(&mut self) -> Duration {
        let u: f64 = self.rng.random();
        Duration::from_secs_f64(-(1.0 - u).ln() * MEAN_FAULT_INTERVAL_S)
    }

    /// Runs all scheduled actions, also those that they schedule, and waits for background tasks.
    async fn finish(&mut self, deployment: &mut Deployment) -> anyhow::Result<()> {
        while let Some((last, _)) = self.scheduled.iter().max_by_key(|(at, _)| *at) {
            let last = *last;
            tokio::time::sleep_until(last.into()).await;
            self.run_due(deployment, last).await?;
        }
        while let Some(ended) = self.background.join_next().await {
            ended.context("background task of the fault injector")?;
        }
        Ok(())
    }

    /// Takes the violations seen when daemons stopped.
    pub fn take_violations(&self) -> Vec<Violation> {
        std::mem::take(&mut lock(&self.violations))
    }

    fn inject(&mut self, deployment: &mut Deployment) {
        let fault = Fault::ALL[self.rng.random_range(0..Fault::ALL.len())];
        let duration = fault.random_duration(&mut self.rng);
        let injected = match fault {
            Fault::DaemonKill => self.kill_daemon(deployment),
            Fault::DaemonStop => self.stop_daemon(deployment),
            Fault::ServerLeaves => self.begin_leaving(deployment, duration),
            Fault::PlatformDown
            | Fault::PlatformHanging
            | Fault::PlatformStale
            | Fault::PlatformSlow => self.inject_platform_fault(deployment, fault, duration),
            Fault::DaemonPause => self.pause_daemon(deployment, duration),
            Fault::Partition => self.partition(deployment, duration),
            Fault::FolderChange => {
                deployment.folder_changes += 1;
                deployment.publish_folder();
                true
            }
            Fault::InvalidFolder => self.publish_invalid_folder(deployment, duration),
            Fault::CrashingRequest => self.send_crashing_request(),
            _ => self.inject_server_fault(deployment, fault, duration),
        };
        if injected {
            log::info!(
                "event=fault kind={} span_ms={}",
                fault.label(),
                duration.as_millis()
            );
            *self.counts.entry(fault.label()).or_default() += 1;
        }
    }

    fn schedule(&mut self, delay: Duration, action: Action) {
        self.scheduled.push((Instant::now() + delay, action));
    }

    fn inject_server_fault(
        &mut self,
        deployment: &Deployment,
        fault: Fault,
        duration: Duration,
    ) -> bool {
        let i = self.rng.random_range(0..deployment.servers.len());
        let upstream = &deployment.servers[i].upstream;
        match fault {
            Fault::Straggler => upstream.set_slowness(STRAGGLER_FACTOR),
            Fault::FailFast => upstream.set_fail_fast(true),
            Fault::ServerCrash => upstream.crash(),
            Fault::SilentConnections => upstream.silence(),
            Fault::TruncatedResponse => upstream.truncate_next(),
            Fault::FalseReports => upstream.set_reporting(LoadReporting::Fixed(0)),
            Fault::StaleReports => upstream.set_reporting(LoadReporting::Stale(REPORT_INTERVAL)),
            _ => return false,
        }
        let name = deployment.servers[i].spec.name.clone();
        self.schedule(duration, Action::RestoreServer(name));
        true
    }

    fn begin_leaving(&mut self, deployment: &Deployment, duration: Duration) -> bool {
        let i = self.rng.random_range(0..deployment.servers.len());
        let server = &deployment.servers[i];
        let service = server.spec.service.name;
        let of_service = || {
            let servers = deployment.servers.iter();
            servers.filter(|s| s.spec.service.name == service)
        };
        let leaving = of_service().filter(|s| s.upstream.leaving()).count();
        if server.upstream.leaving() || (leaving + 1) * SERVERS_PER_LEAVING > of_service().count() {
            return false;
        }
        server.upstream.leave();
        let name = server.spec.name.clone();
        self.schedule(duration, Action::MarkLeaving(name.clone()));
        self.schedule(LEAVE_GRACE + REPLACEMENT_DELAY, Action::ReplaceServer(name));
        true
    }

    fn inject_platform_fault(
        &mut self,
        deployment: &Deployment,
        fault: Fault,
        duration: Duration,
    ) -> bool {
        if self
            .scheduled
            .iter()
            .any(|(_, a)| *a == Action::RestorePlatform)
        {
            return false;
        }
        let condition = match fault {
            Fault::PlatformDown => Condition::Down,
            Fault::PlatformHanging => Condition::Hanging,
            Fault::PlatformStale => Condition::Stale,
            _ => Condition::Slow(SLOW_PLATFORM_DELAY),
        };
        deployment.platform.set_condition(condition);
        self.schedule(duration, Action::RestorePlatform);
        true
    }

    fn publish_invalid_folder(&mut self, deployment: &Deployment, duration: Duration) -> bool {
        let mut files = deployment.folder();
        files.push(FolderFile {
            name: format!("90.{}.bad.ini", deployment.shop.councils[0].name),
            text: "[council]\nprobe-budget = lots\n".to_owned(),
        });
        deployment.platform.publish_folder(files);
        self.schedule(duration, Action::PublishFolder);
        true
    }

    fn send_crashing_request(&mut self) -> bool {
        let kinds: &'static [CallKind] = self.load.shop().kinds;
        let kind = &kinds[self.rng.random_range(0..kinds.len())];
        let seed = self.rng.random();
        let load = Arc::clone(&self.load);
        self.background
            .spawn(async move { load.call_crashing(kind, seed).await });
        true
    }

    /// Chooses a daemon to stop or kill; `None` while another change of the fleet is under way, or
    /// if too few daemons would be left.
    fn choose_daemon(&mut self, deployment: &Deployment) -> Option<usize> {
        let changing = |a: &Action| matches!(a, Action::ReplaceDaemon | Action::PublishVmList);
        let busy = self.scheduled.iter().any(|(_, a)| changing(a));
        if busy || deployment.members.len() <= MIN_DAEMONS {
            return None;
        }
        Some(self.rng.random_range(0..deployment.members.len()))
    }

    fn kill_daemon(&mut self, deployment: &mut Deployment) -> bool {
        let Some(i) = self.choose_daemon(deployment) else {
            return false;
        };
        let member = deployment.members.remove(i);
        let front = member.daemon.front();
        deployment
            .daemon_addresses
            .set_state(front, DaemonState::Killed);
        member.kill();
        self.schedule(ADDRESS_REMOVAL_DELAY, Action::RemoveAddress(front));
        self.schedule_daemon_replacement();
        true
    }

    fn stop_daemon(&mut self, deployment: &mut Deployment) -> bool {
        let Some(i) = self.choose_daemon(deployment) else {
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
        self.schedule(ADDRESS_REMOVAL_DELAY, Action::RemoveAddress(front));
        self.schedule_daemon_replacement();
        true
    }

    fn pause_daemon(&mut self, deployment: &Deployment, duration: Duration) -> bool {
        let i = self.rng.random_range(0..deployment.members.len());
        deployment.members[i].host.pause(duration);
        true
    }

    /// Blocks messages between two groups of neighbouring daemons; the size of a group is random.
    fn partition(&mut self, deployment: &Deployment, duration: Duration) -> bool {
        let members = &deployment.members;
        let first = self.rng.random_range(0..members.len());
        let group_len = self.rng.random_range(1..members.len().max(2));
        let in_group = |i: usize| (i + members.len() - first) % members.len() < group_len;
        for (i, a) in members.iter().enumerate() {
            for (j, b) in members.iter().enumerate().skip(i + 1) {
                if in_group(i) != in_group(j) {
                    Deployment::set_blocked(a, b, true);
                }
            }
        }
        self.schedule(duration, Action::EndPartition);
        true
    }

    fn schedule_daemon_replacement(&mut self) {
        let delay_ms = self.rng.random_range(0..MAX_FLEET_CHANGE_DELAY_MS);
        self.schedule(Duration::from_millis(delay_ms), Action::ReplaceDaemon);
    }

    async fn run_due(&mut self, deployment: &mut Deployment, until: Instant) -> anyhow::Result<()> {
        self.scheduled.sort_by_key(|(at, _)| *at);
        let due = self.scheduled.partition_point(|(at, _)| *at <= until);
        let due: Vec<_> = self.scheduled.drain(..due).collect();
        for (_, action) in due {
            self.run_action(deployment, action).await?;
        }
        Ok(())
    }

    async fn run_action(
        &mut self,
        deployment: &mut Deployment,
        action: Action,
    ) -> anyhow::Result<()> {
        match action {
            Action::RestoreServer(name) => restore_server(deployment, &name),
            Action::MarkLeaving(name) => {
                deployment.mark_leaving(&name);
                deployment.publish_folder();
            }
            Action::ReplaceServer(name) => self.replace_server(deployment, name).await?,
            Action::RestorePlatform => deployment.platform.set_condition(Condition::Up),
            Action::PublishVmList => deployment.publish_vm_list(Duration::ZERO),
            Action::RemoveAddress(front) => deployment.daemon_addresses.remove(front),
            Action::ReplaceDaemon => self.replace_daemon(deployment).await?,
            Action::EndPartition => end_partition(deployment),
            Action::PublishFolder => {
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
            self.schedule(IDLE_POLL_INTERVAL, Action::ReplaceServer(name));
            return Ok(());
        }
        self.replaced_servers += 1;
        deployment.replace_server(i, self.replaced_servers).await?;
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
        let delay_ms = self.rng.random_range(0..MAX_FLEET_CHANGE_DELAY_MS);
        self.schedule(Duration::from_millis(delay_ms), Action::PublishVmList);
        Ok(())
    }
}

fn restore_server(deployment: &Deployment, name: &str) {
    let Some(i) = deployment.server_index(name) else {
        return;
    };
    let upstream = &deployment.servers[i].upstream;
    upstream.set_slowness(1.0);
    upstream.set_fail_fast(false);
    upstream.set_reporting(LoadReporting::Accurate);
}

fn end_partition(deployment: &Deployment) {
    for (i, a) in deployment.members.iter().enumerate() {
        for b in &deployment.members[i + 1..] {
            Deployment::set_blocked(a, b, false);
        }
    }
}
