//! Callers: an open loop of calls, some of which are sent again through another daemon.
//!
//! Status checks are sent again after any end, orders only after a proof that they did not run.

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

/// Settings of a load.
#[derive(Debug, Clone)]
pub struct LoadSettings {
    /// Calls a second.
    pub rate: f64,
    /// How long new calls come.
    pub duration: Duration,
    /// Time that callers grant.
    pub deadline: Duration,
    /// Share of answered status checks that are sent again nevertheless.
    pub resend_answered_fraction: f64,
    /// Share of calls without a clear answer that are sent again.
    pub resend_unclear_fraction: f64,
    /// Factor on the rate during bursts.
    pub burst_factor: f64,
    /// Share of attempts whose caller goes away early.
    pub abandoned_fraction: f64,
    /// Seed of kinds, times and re-sends.
    pub seed: u64,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            rate: 500.0,
            duration: Duration::from_secs(10),
            deadline: Duration::from_secs(2),
            resend_answered_fraction: 0.05,
            resend_unclear_fraction: 0.8,
            burst_factor: 1.0,
            abandoned_fraction: 0.0,
            seed: 1,
        }
    }
}

const MAX_ATTEMPTS: usize = 4;
const BURST_EVERY: Duration = Duration::from_secs(4);
const BURST_SPAN: Duration = Duration::from_millis(200);
const IMPATIENCE: Duration = Duration::from_millis(30);
const RESEND_PAUSE: Duration = Duration::from_millis(50);
const CALLER_SLACK: Duration = Duration::from_secs(1);
/// Longest latency that is told apart, in microseconds.
pub const MAX_LATENCY_US: u64 = 120_000_000;

const SIGNIFICANT_DIGITS: u8 = 3;

/// Outcomes and latencies of one kind of call.
#[derive(Debug, Clone)]
pub struct KindStats {
    /// Sendings by what their caller learned.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// Latencies of answers `ran`, in microseconds.
    pub latency: Histogram<u64>,
}

/// Outcomes and latencies of a load.
#[derive(Debug, Default)]
pub struct LoadStats {
    /// Calls that were started; a call that is sent again counts once.
    pub calls: u64,
    /// Sendings beyond the first.
    pub resends: u64,
    /// By kind.
    pub kinds: BTreeMap<&'static str, KindStats>,
    /// Promises found broken at once.
    pub violations: Vec<Violation>,
    pending: Vec<Operation>,
}

impl LoadStats {
    fn count(&mut self, kind: &'static str, outcome: CallerOutcome, latency: Duration) {
        let stats = self.kinds.entry(kind).or_insert_with(|| KindStats {
            outcomes: BTreeMap::new(),
            latency: new_histogram(),
        });
        *stats.outcomes.entry(outcome.label()).or_default() += 1;
        if matches!(outcome, CallerOutcome::Ran(_)) {
            stats.latency.saturating_record(latency.as_micros() as u64);
        }
    }

    /// Sendings answered `ran`.
    pub fn ran(&self) -> u64 {
        let outcomes = self.kinds.values().filter_map(|k| k.outcomes.get("ran"));
        outcomes.sum()
    }

    /// Compares the operations that had to wait with the servers' record; call once all is quiet.
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
    Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS).expect("valid bounds")
}

/// Callers of a deployment.
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
    /// Callers that have not called yet.
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

    /// Deployment that is called.
    pub fn shop(&self) -> &Shop {
        &self.shop
    }

    /// Calls until the span is over and all calls have ended.
    pub async fn run(self: &Arc<Self>) {
        let mut rng = Pcg64Mcg::seed_from_u64(self.settings.seed);
        let mut tasks = JoinSet::new();
        let start = Instant::now();
        let mut at = Duration::ZERO;
        while at < self.settings.duration {
            tokio::time::sleep(at.saturating_sub(start.elapsed())).await;
            let kind = self.shop.kind_at(rng.random());
            let caller = Pcg64Mcg::seed_from_u64(rng.random());
            let load = Arc::clone(self);
            tasks.spawn(async move { load.call(kind, caller).await });
            while tasks.try_join_next().is_some() {}
            let u: f64 = rng.random();
            at += Duration::from_secs_f64(-(1.0 - u).ln() / self.rate_at(at));
        }
        while tasks.join_next().await.is_some() {}
    }

    fn rate_at(&self, at: Duration) -> f64 {
        let since_burst = at.as_millis() % BURST_EVERY.as_millis();
        if since_burst < BURST_SPAN.as_millis() {
            self.settings.rate * self.settings.burst_factor
        } else {
            self.settings.rate
        }
    }

    /// Takes the statistics so far and starts empty ones.
    pub fn take_stats(&self) -> LoadStats {
        std::mem::take(&mut lock(&self.stats))
    }

    /// One call whose request crashes each server that starts it.
    pub async fn call_crashing(self: &Arc<Self>, kind: &'static CallKind, seed: u64) {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let name = format!("{CRASH_MARKER}{seed:x}");
        self.operate(kind, name, rng).await;
    }

    async fn call(&self, kind: &'static CallKind, mut rng: Pcg64Mcg) {
        let name = format!("{:x}", rng.random::<u64>());
        self.operate(kind, name, rng).await;
    }

    async fn operate(&self, kind: &'static CallKind, name: String, mut rng: Pcg64Mcg) {
        let mut operation = Operation {
            name,
            idempotent: kind.idempotent,
            attempts: Vec::new(),
        };
        let mut last = None;
        while let Some(daemon) = self.daemon_addresses.choose(rng.random(), last) {
            last = Some(daemon.address);
            let start = Instant::now();
            let patience = self.patience(&mut rng);
            let attempt = self.send(kind, &operation, &daemon, patience).await;
            let outcome = attempt.outcome;
            operation.attempts.push(attempt);
            lock(&self.stats).count(kind.name, outcome, start.elapsed());
            if operation.attempts.len() >= MAX_ATTEMPTS
                || !self.sends_again(kind, outcome, &mut rng)
            {
                break;
            }
            tokio::time::sleep(RESEND_PAUSE).await;
        }
        self.note(operation);
    }

    fn patience(&self, rng: &mut Pcg64Mcg) -> Duration {
        if rng.random_bool(self.settings.abandoned_fraction) {
            IMPATIENCE
        } else {
            self.settings.deadline + CALLER_SLACK
        }
    }

    fn sends_again(&self, kind: &CallKind, outcome: CallerOutcome, rng: &mut Pcg64Mcg) -> bool {
        let proven = matches!(
            outcome,
            CallerOutcome::NotRun | CallerOutcome::ConnectionRefused
        );
        if !kind.idempotent && !proven {
            return false;
        }
        let share = match outcome {
            CallerOutcome::Ran(_) => self.settings.resend_answered_fraction,
            CallerOutcome::WrongResponse | CallerOutcome::NoOutcome | CallerOutcome::Failed => 0.0,
            CallerOutcome::NotRun
            | CallerOutcome::Unknown
            | CallerOutcome::ConnectionRefused
            | CallerOutcome::ConnectionBroken
            | CallerOutcome::TimedOut => self.settings.resend_unclear_fraction,
        };
        rng.random_bool(share)
    }

    fn note(&self, operation: Operation) {
        let mut stats = lock(&self.stats);
        stats.calls += 1;
        stats.resends += operation.attempts.len().saturating_sub(1) as u64;
        let all_ran = operation
            .attempts
            .iter()
            .all(|s| matches!(s.outcome, CallerOutcome::Ran(_)));
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
        patience: Duration,
    ) -> Attempt {
        let number = self.attempts.fetch_add(1, Ordering::Relaxed);
        let req = self.request(kind, operation, number, daemon.address);
        let outcome = match req.timeout(patience).send().await {
            Ok(answer) => read(answer, &operation.name).await,
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

async fn read(answer: Response, operation: &str) -> CallerOutcome {
    let status = answer.status();
    let outcome = answer.headers().get(header::OUTCOME);
    let outcome = outcome.and_then(|v| v.to_str().ok()).map(str::to_owned);
    let body = match answer.bytes().await {
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
