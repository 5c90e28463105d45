//! Counts and times for operators, in the `OpenMetrics` text format.

use std::fmt::{self, Write as _};
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use cuminspread::invariant::{Invariant, InvariantChecks};
use cuminspread::state::Name;
use cuminspread::state::council::ServiceConfig;
use cuminspread::transport::peer::PeerCounts;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::server_status::ServerStatus;

/// Shortest bucket of the latency histogram, in seconds.
const FIRST_BUCKET_S: f64 = 0.0005;
/// Buckets of the latency histogram, each twice as long as the one before.
const BUCKET_COUNT: u16 = 16;

/// Label made of a shared name, so that counting a call allocates nothing.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct Label(pub(crate) Name);

impl EncodeLabelValue for Label {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
        encoder.write_str(&self.0)
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct CallLabels {
    council: Label,
    service: Label,
    outcome: &'static str,
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct ServiceLabels {
    council: Label,
    service: Label,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct ResultLabels {
    result: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct PromiseLabels {
    promise: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct ServerLabels {
    council: String,
    service: String,
    server: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct DirectionLabels {
    direction: &'static str,
}

type NewHistogram = fn() -> Histogram;

/// Counts and times of one daemon.
pub struct Metrics {
    registry: Registry,
    calls: Family<CallLabels, Counter>,
    latency: Family<ServiceLabels, Histogram, NewHistogram>,
    probes: Family<ResultLabels, Counter>,
    invariant_checks: Family<PromiseLabels, Gauge<u64, AtomicU64>>,
    invariant_failures: Family<PromiseLabels, Gauge<u64, AtomicU64>>,
    connections: Family<ServerLabels, Gauge>,
    in_flight: Gauge<u64, AtomicU64>,
    control_bytes: Family<DirectionLabels, Gauge<u64, AtomicU64>>,
    platform_reads: Family<ResultLabels, Counter>,
}

/// Readings taken when the metrics are written.
#[derive(Debug)]
pub struct Snapshot<'a> {
    /// Invariant checks.
    pub invariants: &'a InvariantChecks,
    /// Calls that are running.
    pub in_flight: usize,
    /// Servers in force.
    pub servers: Vec<ServerStatus>,
    /// Counts of the link to peers.
    pub peers: PeerCounts,
}

impl Metrics {
    /// Registers all metrics.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("cumin");
        let new_histogram: NewHistogram =
            || Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKET_COUNT));
        let latency = Family::new_with_constructor(new_histogram);
        let this = Self {
            calls: Family::default(),
            latency,
            probes: Family::default(),
            invariant_checks: Family::default(),
            invariant_failures: Family::default(),
            connections: Family::default(),
            in_flight: Gauge::default(),
            control_bytes: Family::default(),
            platform_reads: Family::default(),
            registry: Registry::default(),
        };
        registry.register("calls", "Calls by outcome", this.calls.clone());
        registry.register(
            "call_seconds",
            "Time from arrival to verdict",
            this.latency.clone(),
        );
        registry.register("probes", "Probes sent", this.probes.clone());
        registry.register(
            "promise_checks",
            "Invariant checks made",
            this.invariant_checks.clone(),
        );
        registry.register(
            "promise_breaks",
            "Invariant checks that failed",
            this.invariant_failures.clone(),
        );
        registry.register(
            "server_connections",
            "Open connections to servers",
            this.connections.clone(),
        );
        registry.register(
            "in_flight",
            "Calls that are running",
            this.in_flight.clone(),
        );
        registry.register(
            "control_bytes",
            "Bytes exchanged with peers",
            this.control_bytes.clone(),
        );
        registry.register(
            "platform_reads",
            "Reads of the platform",
            this.platform_reads.clone(),
        );
        Self { registry, ..this }
    }

    /// Counts a call that came to its end.
    pub fn count_call(&self, service: &ServiceConfig, outcome: &'static str, reason: &'static str) {
        let labels = CallLabels {
            council: Label(service.council.clone()),
            service: Label(service.name.clone()),
            outcome,
            reason,
        };
        self.calls.get_or_create(&labels).inc();
    }

    /// Counts a request that no service took.
    pub fn count_unrouted(&self, outcome: &'static str, reason: &'static str) {
        let labels = CallLabels {
            council: Label::default(),
            service: Label::default(),
            outcome,
            reason,
        };
        self.calls.get_or_create(&labels).inc();
    }

    /// Records the time of a call.
    pub fn observe_call(&self, service: &ServiceConfig, time: Duration) {
        let labels = ServiceLabels {
            council: Label(service.council.clone()),
            service: Label(service.name.clone()),
        };
        self.latency
            .get_or_create(&labels)
            .observe(time.as_secs_f64());
    }

    /// Counts a probe.
    pub fn count_probe(&self, answered: bool) {
        let result = if answered { "answered" } else { "failed" };
        self.probes.get_or_create(&ResultLabels { result }).inc();
    }

    /// Counts a read of the platform.
    pub fn count_platform_read(&self, result: &'static str) {
        let labels = ResultLabels { result };
        self.platform_reads.get_or_create(&labels).inc();
    }

    /// Writes all metrics.
    ///
    /// # Errors
    ///
    /// Fails only if formatting fails.
    pub fn write(&self, snapshot: &Snapshot<'_>) -> Result<String, fmt::Error> {
        for promise in Invariant::ALL {
            let labels = PromiseLabels {
                promise: promise.label(),
            };
            let invariants = snapshot.invariants;
            let checks = self.invariant_checks.get_or_create(&labels);
            checks.set(invariants.checked(promise));
            drop(checks);
            let failures = self.invariant_failures.get_or_create(&labels);
            failures.set(invariants.broken(promise));
        }
        self.in_flight.set(snapshot.in_flight as u64);
        let peers = &snapshot.peers;
        for (direction, bytes) in [
            ("sent", peers.sent_bytes),
            ("received", peers.received_bytes),
        ] {
            let labels = DirectionLabels { direction };
            self.control_bytes.get_or_create(&labels).set(bytes);
        }
        self.connections.clear();
        for server in &snapshot.servers {
            let labels = ServerLabels {
                council: server.council.clone(),
                service: server.service.clone(),
                server: server.name.clone(),
            };
            let connections = self.connections.get_or_create(&labels);
            connections.set(i64::from(server.open));
        }
        let mut out = String::new();
        encode(&mut out, &self.registry)?;
        Ok(out)
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}
