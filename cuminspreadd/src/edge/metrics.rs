//! Counters, gauges and histograms for operators, in the `OpenMetrics` text format.

use std::fmt;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use cuminspread::state::Name;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

use crate::metrics::Label;

/// Upper bound of the latency histogram's first bucket, in seconds.
const FIRST_BUCKET_S: f64 = 0.004;
/// Buckets of the latency histogram; each bound is twice the one before, and the last is 16.4 s.
const BUCKET_COUNT: u16 = 13;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct RequestLabels {
    service: Label,
    outcome: &'static str,
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct ServiceLabels {
    service: Label,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct ResultLabels {
    result: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct CauseLabels {
    cause: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct ForwardLabels {
    outcome: &'static str,
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct HedgeLabels {
    service: Label,
    result: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct AttemptLabels {
    service: Label,
    kind: &'static str,
}

type NewHistogram = fn() -> Histogram;

/// Metrics of one daemon.
pub struct EdgeMetrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    latency: Family<ServiceLabels, Histogram, NewHistogram>,
    probes: Family<ResultLabels, Counter>,
    forwarded: Family<ForwardLabels, Counter>,
    hedges: Family<HedgeLabels, Counter>,
    attempt_time: Family<AttemptLabels, Counter<f64, AtomicU64>>,
    store_reads: Family<ResultLabels, Counter>,
    started_ahead: Counter,
    responses_cut: Family<CauseLabels, Counter>,
    /// Values that are set just before the metrics are written.
    pub gauges: Gauges,
}

/// Values that are set just before the metrics are written.
#[derive(Debug, Default)]
pub struct Gauges {
    /// Requests that have not ended.
    pub in_flight: Gauge,
    /// Version of the active configuration.
    pub version: Gauge<u64, AtomicU64>,
    /// Newest version that any daemon is known to have.
    pub known_version: Gauge<u64, AtomicU64>,
    /// Era of the store.
    pub era: Gauge<u64, AtomicU64>,
    /// Revision of the registry in that era.
    pub revision: Gauge<u64, AtomicU64>,
    /// Daemons heard recently, this one included.
    pub daemons: Gauge,
    /// Bytes sent to peers since the start.
    pub sent: Gauge<u64, AtomicU64>,
    /// Bytes received from peers since the start.
    pub received: Gauge<u64, AtomicU64>,
    /// Log lines dropped since the start.
    pub lines_dropped: Gauge<u64, AtomicU64>,
    /// Connections opened to the present servers.
    pub connections: Gauge<u64, AtomicU64>,
    /// Servers that name a limit on their requests.
    pub limited: Gauge,
    /// Servers that want nothing of this daemon for a time.
    pub paused: Gauge,
    /// Servers that are cold and bear few requests.
    pub cold: Gauge,
    /// Services of which this daemon reaches no server.
    pub lost: Gauge,
    /// Data centres whose servers get nothing.
    pub emptied: Gauge,
}

impl Gauges {
    fn register(&self, r: &mut Registry) {
        r.register(
            "in_flight",
            "Requests that haven't ended",
            self.in_flight.clone(),
        );
        r.register("config_version", "Version in force", self.version.clone());
        r.register(
            "config_known_version",
            "Newest version that any daemon is known to have",
            self.known_version.clone(),
        );
        r.register(
            "registry_era",
            "Times that the store came back from an older copy, plus its first era",
            self.era.clone(),
        );
        r.register(
            "registry_revision",
            "Revision of the registry",
            self.revision.clone(),
        );
        r.register("daemons", "Daemons heard lately", self.daemons.clone());
        r.register("peer_sent_bytes", "Bytes sent to peers", self.sent.clone());
        r.register(
            "peer_received_bytes",
            "Bytes received from peers",
            self.received.clone(),
        );
        r.register(
            "log_lines_dropped",
            "Log lines dropped",
            self.lines_dropped.clone(),
        );
        r.register(
            "server_connections",
            "Connections opened",
            self.connections.clone(),
        );
        r.register(
            "servers_limited",
            "Servers that name a limit on their requests",
            self.limited.clone(),
        );
        r.register(
            "servers_cold",
            "Servers that are cold and bear few requests",
            self.cold.clone(),
        );
        r.register(
            "servers_paused",
            "Servers that want nothing of this daemon for a time",
            self.paused.clone(),
        );
        r.register(
            "services_lost",
            "Services of which this daemon reaches no server",
            self.lost.clone(),
        );
        r.register(
            "data_centres_emptied",
            "Data centres whose servers get nothing",
            self.emptied.clone(),
        );
    }
}

impl EdgeMetrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("cumin");
        let new_histogram: NewHistogram =
            || Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKET_COUNT));
        let requests = Family::<RequestLabels, Counter>::default();
        let latency = Family::new_with_constructor(new_histogram);
        let probes = Family::<ResultLabels, Counter>::default();
        let forwarded = Family::<ForwardLabels, Counter>::default();
        let hedges = Family::<HedgeLabels, Counter>::default();
        let attempt_time = Family::<AttemptLabels, Counter<f64, AtomicU64>>::default();
        let store_reads = Family::<ResultLabels, Counter>::default();
        let started_ahead = Counter::default();
        let responses_cut = Family::<CauseLabels, Counter>::default();
        let gauges = Gauges::default();
        let r = &mut registry;
        r.register("requests", "Requests by outcome", requests.clone());
        let help = "Time from arrival to the final answer";
        r.register_with_unit("request", help, Unit::Seconds, latency.clone());
        r.register("looks", "Questions for a server's load", probes.clone());
        r.register("forwarded", "Requests offered to peers", forwarded.clone());
        r.register("hedges", "Hedges by result", hedges.clone());
        r.register_with_unit(
            "attempt",
            "Time from the sends of attempts to their ends",
            Unit::Seconds,
            attempt_time.clone(),
        );
        r.register(
            "store_reads",
            "Reads of the platform's store",
            store_reads.clone(),
        );
        r.register(
            "started_ahead",
            "Requests started before those in front on their connections were answered",
            started_ahead.clone(),
        );
        r.register(
            "responses_cut",
            "Responses that were begun and cut, by what ended them",
            responses_cut.clone(),
        );
        gauges.register(r);
        Self {
            registry,
            requests,
            latency,
            probes,
            forwarded,
            hedges,
            attempt_time,
            store_reads,
            started_ahead,
            responses_cut,
            gauges,
        }
    }

    /// Counts a request that has ended.
    pub fn count_request(&self, service: &Name, outcome: &'static str, reason: &'static str) {
        let labels = RequestLabels {
            service: Label(service.clone()),
            outcome,
            reason,
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Records the time from a request's arrival to its reply.
    pub fn observe(&self, service: &Name, time: Duration) {
        let labels = ServiceLabels {
            service: Label(service.clone()),
        };
        self.latency
            .get_or_create(&labels)
            .observe(time.as_secs_f64());
    }

    /// Counts a probe.
    pub fn count_probe(&self, result: &'static str) {
        self.probes.get_or_create(&ResultLabels { result }).inc();
    }

    /// Counts a request that was offered to a peer.
    pub fn count_forwarded(&self, outcome: &'static str, reason: &'static str) {
        let labels = ForwardLabels { outcome, reason };
        self.forwarded.get_or_create(&labels).inc();
    }

    /// Counts a hedge by its result.
    pub fn count_hedge(&self, service: &Name, result: &'static str) {
        let service = Label(service.clone());
        self.hedges
            .get_or_create(&HedgeLabels { service, result })
            .inc();
    }

    /// Records how long an attempt took, which may be a hedge.
    pub fn observe_attempt(&self, service: &Name, is_hedge: bool, time: Duration) {
        let labels = AttemptLabels {
            service: Label(service.clone()),
            kind: if is_hedge { "hedge" } else { "other" },
        };
        self.attempt_time
            .get_or_create(&labels)
            .inc_by(time.as_secs_f64());
    }

    /// Counts a read of the store.
    pub fn count_read(&self, result: &'static str) {
        self.store_reads
            .get_or_create(&ResultLabels { result })
            .inc();
    }

    /// Counts a request that was started before those in front of it were answered.
    pub fn count_started_ahead(&self) {
        self.started_ahead.inc();
    }

    /// Counts a response that was begun and cut.
    pub fn count_cut_response(&self, cause: &'static str) {
        self.responses_cut
            .get_or_create(&CauseLabels { cause })
            .inc();
    }

    /// Encodes all metrics as text.
    ///
    /// # Errors
    ///
    /// Fails only if formatting fails.
    pub fn write(&self) -> Result<String, fmt::Error> {
        let mut out = String::new();
        encode(&mut out, &self.registry)?;
        Ok(out)
    }
}

impl Default for EdgeMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Debug for EdgeMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EdgeMetrics").finish_non_exhaustive()
    }
}
