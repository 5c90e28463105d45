//! Open-loop load generator: Poisson arrivals of calls, some of which callers retry through another
//! daemon.
//!
//! Idempotent calls are retried at random after most outcomes, even after a response. Other calls are
//! retried only if they are known not to have run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use reqwest::{Client, Method, RequestBuilder, Response};
use tokio::task::JoinSet;

use cuminspread::protocol::header;

use crate::daemon_addresses::{DaemonAddress, DaemonAddresses};
use crate::operation::{Attempt, CallerOutcome, Operation, Violation};
use crate::shop::{CallKind, Shop};
use crate::standin::execution_log::{ExecutionLog, lock};
use crate::standin::response::{self, ATTEMPT_HEADER, OPERATION_HEADER};
use crate::standin::upstream::CRASH_MARKER;

/// Settings of a load generator; fractions are from 0 to 1.
#[derive(Debug, Clone)]
pub struct LoadSettings {
    /// Calls per second outside bursts, without retries.
    pub rate: f64,
    /// Time for which new calls are started.
    pub duration: Duration,
    /// Deadline that the callers send to the daemon.
    pub deadline: Duration,
    /// Fraction of the attempts with outcome `ran` after which an idempotent call is retried.
    pub retry_answered_fraction: f64,
    /// Fraction of the attempts without a server's response after which a call that may be retried is
    /// retried.
    pub retry_unclear_fraction: f64,
    /// Factor on the rate during bursts; 1 for a constant rate.
    pub burst_factor: f64,
    /// Fraction of the attempts that the caller abandons early.
    pub abandoned_fraction: f64,
    /// Seed of the kinds of calls, their times and the retries.
    pub seed: u64,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            rate: 500.0,
            duration: Duration::from_secs(10),
            deadline: Duration::from_secs(2),
            retry_answered_fraction: 0.05,
            retry_unclear_fraction: 0.8,
            burst_factor: 1.0,
            abandoned_fraction: 0.0,
            seed: 1,
        }
    }
}

const MAX_ATTEMPTS: usize = 4;
const BURST_INTERVAL: Duration = Duration::from_secs(4);
const BURST_DURATION: Duration = Duration::from_millis(200);
const ABANDON_AFTER: Duration = Duration::from_millis(30);
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time for which a caller waits beyond its deadline, so that it gets the daemon's own response.
const TIMEOUT_SLACK: Duration = Duration::from_secs(1);
/// Largest latency in histograms, in microseconds; larger ones count as this.
pub const MAX_LATENCY_US: u64 = 120_000_000;

const LATENCY_SIGNIFICANT_DIGITS: u8 = 3;

/// Outcomes and latencies of one kind of call.
#[derive(Debug, Clone)]
pub struct KindStats {
    /// Number of attempts by label of their outcome.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// Latencies of the attempts with outcome `ran`, in microseconds.
    pub latency: Histogram<u64>,
}

/// Outcomes and latencies of all calls.
#[derive(Debug, Default)]
pub struct LoadStats {
    /// Calls that ended; a call counts once, whatever the number of its attempts.
    pub calls: u64,
    /// Attempts beyond the first of each call.
    pub retries: u64,
    /// Attempts by name of the kind of call.
    pub kinds: BTreeMap<&'static str, KindStats>,
    /// Violations found so far.
    pub violations: Vec<Violation>,
    /// Operations whose check must wait until no server can start them any more.
    pending: Vec<Operation>,
}

impl LoadStats {
    fn record_attempt(&mut self, kind: &'static str, outcome: CallerOutcome, latency: Duration) {
        let stats = self.kinds.entry(kind).or_insert_with(|| KindStats {
            outcomes: BTreeMap::new(),
            latency: new_histogram(),
        });
        *stats.outcomes.entry(outcome.label()).or_default() += 1;
        if matches!(outcome, CallerOutcome::Ran(_)) {
            stats.latency.saturating_record(latency.as_micros() as u64);
        }
    }

    /// Number of attempts with outcome `ran`.
    pub fn ran(&self) -> u64 {
        let outcomes = self.kinds.values().filter_map(|k| k.outcomes.get("ran"));
        outcomes.sum()
    }

    /// Checks the pending operations against the servers' execution log; call it once no server can
    /// start a request any more.
    pub fn check_pending(&mut self, execution_log: &ExecutionLog) {
        for operation in self.pending.drain(..) {
            self.violations.extend(operation.check(execution_log));
            execution_log.remove(&operation.name);
        }
    }
}

/// Histogram of microseconds, up to [`MAX_LATENCY_US`].
///
/// # Panics
///
/// Never: the bounds are valid constants.
pub fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_SIGNIFICANT_DIGITS).expect("valid bounds")
}

/// Load generator for a deployment.
#[derive(Debug)]
pub struct LoadGenerator {
    settings: LoadSettings,
    shop: Shop,
    daemon_addresses: Arc<DaemonAddresses>,
    execution_log: Arc<ExecutionLog>,
    client: Client,
    attempts: AtomicU64,
    stats: Mutex<LoadStats>,
}

impl LoadGenerator {
    /// Load generator that starts its calls in [`Self::run`].
    pub fn new(
        settings: LoadSettings,
        shop: Shop,
        daemon_addresses: Arc<DaemonAddresses>,
        execution_log: Arc<ExecutionLog>,
    ) -> Arc<Self> {
        Arc::new(Self {
            settings,
            shop,
            daemon_addresses,
            execution_log,
            client: Client::new(),
            attempts: AtomicU64::new(1),
            stats: Mutex::new(LoadStats::default()),
        })
    }

    /// Deployment that receives the calls.
    pub fn shop(&self) -> &Shop {
        &self.shop
    }

    /// Starts calls for the configured duration and waits until all have ended.
    pub async fn run(self: &Arc<Self>) {
        let mut rng = Pcg64Mcg::seed_from_u64(self.settings.seed);
        let mut tasks = JoinSet::new();
        let start = Instant::now();
        let mut at = Duration::ZERO;
        while at < self.settings.duration {
            tokio::time::sleep(at.saturating_sub(start.elapsed())).await;
            let kind = self.shop.kind_at(rng.random());
            let caller_rng = Pcg64Mcg::seed_from_u64(rng.random());
            let generator = Arc::clone(self);
            tasks.spawn(async move { generator.call(kind, caller_rng).await });
            while tasks.try_join_next().is_some() {}
            let uniform: f64 = rng.random();
            at += Duration::from_secs_f64(-(1.0 - uniform).ln() / self.rate_at(at));
        }
        while tasks.join_next().await.is_some() {}
    }

    fn rate_at(&self, at: Duration) -> f64 {
        let since_burst_start = at.as_millis() % BURST_INTERVAL.as_millis();
        if since_burst_start < BURST_DURATION.as_millis() {
            self.settings.rate * self.settings.burst_factor
        } else {
            self.settings.rate
        }
    }

    /// Takes the statistics so far and starts empty ones.
    pub fn take_stats(&self) -> LoadStats {
        std::mem::take(&mut lock(&self.stats))
    }

    /// Sends a call whose request crashes each server that starts it.
    pub async fn call_crashing(self: &Arc<Self>, kind: &'static CallKind, seed: u64) {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let name = format!("{CRASH_MARKER}{seed:x}");
        self.run_operation(kind, name, rng).await;
    }

    async fn call(&self, kind: &'static CallKind, mut rng: Pcg64Mcg) {
        let name = format!("{:x}", rng.random::<u64>());
        self.run_operation(kind, name, rng).await;
    }

    async fn run_operation(&self, kind: &'static CallKind, name: String, mut rng: Pcg64Mcg) {
        let mut operation = Operation {
            name,
            idempotent: kind.idempotent,
            attempts: Vec::new(),
        };
        let mut last_address = None;
        while let Some(daemon) = self.daemon_addresses.choose(rng.random(), last_address) {
            last_address = Some(daemon.address);
            let start = Instant::now();
            let timeout = self.timeout(&mut rng);
            let attempt = self.send(kind, &operation, &daemon, timeout).await;
            let outcome = attempt.outcome;
            operation.attempts.push(attempt);
            lock(&self.stats).record_attempt(kind.name, outcome, start.elapsed());
            if operation.attempts.len() >= MAX_ATTEMPTS
                || !self.should_retry(kind, outcome, &mut rng)
            {
                break;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        self.record_operation(operation);
    }

    fn timeout(&self, rng: &mut Pcg64Mcg) -> Duration {
        if rng.random_bool(self.settings.abandoned_fraction) {
            ABANDON_AFTER
        } else {
            self.settings.deadline + TIMEOUT_SLACK
        }
    }

    fn should_retry(&self, kind: &CallKind, outcome: CallerOutcome, rng: &mut Pcg64Mcg) -> bool {
        let known_not_run = matches!(
            outcome,
            CallerOutcome::NotRun | CallerOutcome::ConnectionRefused
        );
        if !kind.idempotent && !known_not_run {
            return false;
        }
        let fraction = match outcome {
            CallerOutcome::Ran(_) => self.settings.retry_answered_fraction,
            CallerOutcome::WrongResponse | CallerOutcome::NoOutcome | CallerOutcome::Failed => 0.0,
            CallerOutcome::NotRun
            | CallerOutcome::Unknown
            | CallerOutcome::ConnectionRefused
            | CallerOutcome::ConnectionBroken
            | CallerOutcome::TimedOut => self.settings.retry_unclear_fraction,
        };
        rng.random_bool(fraction)
    }

    fn record_operation(&self, operation: Operation) {
        let mut stats = lock(&self.stats);
        stats.calls += 1;
        stats.retries += operation.attempts.len().saturating_sub(1) as u64;
        let all_ran = operation
            .attempts
            .iter()
            .all(|a| matches!(a.outcome, CallerOutcome::Ran(_)));
        if operation.idempotent && all_ran {
            stats
                .violations
                .extend(operation.check(&self.execution_log));
            self.execution_log.remove(&operation.name);
        } else {
            stats.pending.push(operation);
        }
    }

    async fn send(
        &self,
        kind: &CallKind,
        operation: &Operation,
        daemon: &DaemonAddress,
        timeout: Duration,
    ) -> Attempt {
        let number = self.attempts.fetch_add(1, Ordering::Relaxed);
        let req = self.request(kind, operation, number, daemon.address);
        let outcome = match req.timeout(timeout).send().await {
            Ok(res) => read_outcome(res, &operation.name).await,
            Err(e) if e.is_connect() => CallerOutcome::ConnectionRefused,
            Err(e) if e.is_timeout() => CallerOutcome::TimedOut,
            Err(_) => CallerOutcome::ConnectionBroken,
        };
        Attempt {
            number,
            outcome,
            daemon_state: daemon.state(),
        }
    }

    fn request(
        &self,
        kind: &CallKind,
        operation: &Operation,
        number: u64,
        address: SocketAddr,
    ) -> RequestBuilder {
        let name = &operation.name;
        let deadline = self.settings.deadline;
        let path = if kind.idempotent {
            format!("{}{name}", kind.path)
        } else {
            kind.path.trim_end_matches('/').to_owned()
        };
        let method = if kind.method == "GET" {
            Method::GET
        } else {
            Method::POST
        };
        let mut req = self
            .client
            .request(method, format!("http://{address}{path}"))
            .header(OPERATION_HEADER, name)
            .header(ATTEMPT_HEADER, number)
            .header(header::DEADLINE_MS, deadline.as_millis() as u64);
        if !kind.idempotent {
            req = req
                .header(header::IDEMPOTENCY_KEY, name)
                .body(format!("operation={name}"));
        }
        req
    }
}

async fn read_outcome(res: Response, operation: &str) -> CallerOutcome {
    let status = res.status();
    let outcome = res.headers().get(header::OUTCOME);
    let outcome = outcome.and_then(|v| v.to_str().ok()).map(str::to_owned);
    let body = match res.bytes().await {
        Ok(body) => body,
        Err(e) if e.is_timeout() => return CallerOutcome::TimedOut,
        Err(_) => return CallerOutcome::ConnectionBroken,
    };
    match outcome.as_deref() {
        Some("ran") if !status.is_success() => CallerOutcome::Failed,
        Some("ran") => response::attempt_of(&body, operation)
            .map_or(CallerOutcome::WrongResponse, CallerOutcome::Ran),
        Some("not-run") => CallerOutcome::NotRun,
        Some("unknown") => CallerOutcome::Unknown,
        _ => CallerOutcome::NoOutcome,
    }
}
