//! Metrics for operators, in the `OpenMetrics` text format.

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

/// Upper bound of the latency histogram's first bucket, in seconds.
const FIRST_BUCKET_S: f64 = 0.0005;
/// Buckets of the latency histogram; each bound is twice the one before, and the last is 16.4 s.
const BUCKET_COUNT: u16 = 16;

/// Label that shares a [`Name`], so that counting a call doesn't allocate.
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
struct InvariantLabels {
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

/// Metrics of one daemon.
pub struct Metrics {
    registry: Registry,
    calls: Family<CallLabels, Counter>,
    latency: Family<ServiceLabels, Histogram, NewHistogram>,
    probes: Family<ResultLabels, Counter>,
    invariant_checks: Family<InvariantLabels, Gauge<u64, AtomicU64>>,
    invariant_failures: Family<InvariantLabels, Gauge<u64, AtomicU64>>,
    connections: Family<ServerLabels, Gauge>,
    in_flight: Gauge<u64, AtomicU64>,
    control_bytes: Family<DirectionLabels, Gauge<u64, AtomicU64>>,
    platform_reads: Family<ResultLabels, Counter>,
}

/// Values that are read when the metrics are written.
#[derive(Debug)]
pub struct Snapshot<'a> {
    /// Counts of invariant checks.
    pub invariants: &'a InvariantChecks,
    /// Accepted requests that haven't ended.
    pub in_flight: usize,
    /// Servers of the active configuration.
    pub servers: Vec<ServerStatus>,
    /// Traffic counts of the link to peers.
    pub peers: PeerCounts,
}

impl Metrics {
    /// Creates and registers all metrics.
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

    /// Counts a finished call.
    pub fn count_call(&self, service: &ServiceConfig, outcome: &'static str, reason: &'static str) {
        let labels = CallLabels {
            council: Label(service.council.clone()),
            service: Label(service.name.clone()),
            outcome,
            reason,
        };
        self.calls.get_or_create(&labels).inc();
    }

    /// Counts a request that was refused before its service was known or its call began.
    pub fn count_unrouted(&self, outcome: &'static str, reason: &'static str) {
        let labels = CallLabels {
            council: Label::default(),
            service: Label::default(),
            outcome,
            reason,
        };
        self.calls.get_or_create(&labels).inc();
    }

    /// Records the time from a call's arrival to its verdict.
    pub fn observe_call(&self, service: &ServiceConfig, time: Duration) {
        let labels = ServiceLabels {
            council: Label(service.council.clone()),
            service: Label(service.name.clone()),
        };
        self.latency
            .get_or_create(&labels)
            .observe(time.as_secs_f64());
    }

    /// Counts a probe; `answered` if it returned a load report.
    pub fn count_probe(&self, answered: bool) {
        let result = if answered { "answered" } else { "failed" };
        self.probes.get_or_create(&ResultLabels { result }).inc();
    }

    /// Counts a read of the platform; `result` is a label.
    pub fn count_platform_read(&self, result: &'static str) {
        let labels = ResultLabels { result };
        self.platform_reads.get_or_create(&labels).inc();
    }

    /// Encodes all metrics as text.
    ///
    /// # Errors
    ///
    /// Fails only if formatting fails.
    pub fn write(&self, snapshot: &Snapshot<'_>) -> Result<String, fmt::Error> {
        for invariant in Invariant::ALL {
            let labels = InvariantLabels {
                promise: invariant.label(),
            };
            let invariants = snapshot.invariants;
            let checks = self.invariant_checks.get_or_create(&labels);
            checks.set(invariants.checked(invariant));
            drop(checks);
            let failures = self.invariant_failures.get_or_create(&labels);
            failures.set(invariants.broken(invariant));
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
