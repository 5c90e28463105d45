//! State of one server, as the dispatcher of one daemon sees it.
//!
//! Daemons that use a store have [`ServerState`](super::placement::ServerState) instead.

use std::time::Duration;

use crate::state::load::LoadReport;
use crate::state::time::Mono;

/// Weight of a sample in the moving average.
const SAMPLE_WEIGHT: f32 = 0.1;
/// Number of samples from which on a mean is used for decisions.
const SETTLED_SAMPLES: u32 = 10;
/// Quantile that [`Latency::tail`] estimates.
const TAIL_QUANTILE: f32 = 0.95;
/// Step of the tail estimate, as a fraction of the mean.
const TAIL_STEP: f32 = 0.1;
/// Trust that a plausible load report adds, up to a trust of 1.
const TRUST_GAIN: f32 = 0.1;
/// Factor on the trust after an implausible load report.
const TRUST_DECREASE: f32 = 0.5;
/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(60);

/// Moving average and tail of latencies, in microseconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct Latency {
    mean: f32,
    tail: f32,
    samples: u32,
}

impl Latency {
    /// Adds a sample.
    pub fn record(&mut self, sample: Duration) {
        let x = sample.as_micros() as f32;
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.mean = x;
            self.tail = 2.0 * x;
            return;
        }
        let weight = SAMPLE_WEIGHT.max(1.0 / self.samples as f32);
        self.mean += weight * (x - self.mean);
        let step = TAIL_STEP * self.mean;
        if x > self.tail {
            self.tail += step * TAIL_QUANTILE;
        } else {
            self.tail -= step * (1.0 - TAIL_QUANTILE);
        }
        self.tail = self.tail.max(self.mean);
    }

    /// Mean in microseconds; zero without samples.
    pub fn mean(&self) -> f32 {
        self.mean
    }

    /// Estimated 95th percentile, in microseconds; at least the mean.
    pub fn tail(&self) -> f32 {
        self.tail
    }

    /// Whether there are enough samples for decisions.
    pub fn is_settled(&self) -> bool {
        self.samples >= SETTLED_SAMPLES
    }
}

/// A load report, with this daemon's own calls in flight when it arrived.
#[derive(Debug, Clone, Copy)]
struct Report {
    in_flight: u32,
    ours: u32,
    measured: Mono,
}

/// Parameters of the cost estimate, the same for all servers of a service.
#[derive(Debug, Clone, Copy, Default)]
pub struct CostParams {
    /// Mean latency of the service, in microseconds.
    pub mean_us: f32,
    /// Mean of the calls per slot that servers of the service report.
    pub occupancy: f32,
    /// Age at which the weight of a load report is halved, in microseconds.
    pub report_half_life_us: f32,
    /// Cost of a server in another data centre, in microseconds.
    pub far_cost_us: f32,
    /// Weight of the estimated load.
    pub load_weight: f32,
    /// Weight of the server's latency above the mean of the service.
    pub latency_weight: f32,
    /// Load reports from before this time are not used.
    pub distrust_before: Mono,
}

/// State of one server.
#[derive(Debug, Clone)]
pub struct Server {
    /// Index of the pool that the server belongs to.
    pub pool: u32,
    /// Number of requests that the server runs at once.
    pub slots: u32,
    /// Maximum number of attempts of this daemon that are in flight to the server.
    pub max_in_flight: u32,
    /// Attempts of this daemon that are in flight to the server.
    pub in_flight: u32,
    /// Number of the server's slots that this daemon owns.
    pub owned: u32,
    /// Number of owned slots in use.
    pub owned_in_use: u32,
    /// Whether the server is in the data centre of this daemon.
    pub near: bool,
    /// Whether the server is in the active configuration.
    pub present: bool,
    /// Latency until the head of a response.
    pub latency: Latency,
    /// When a response or a probe result of the server was last received.
    pub last_byte: Mono,
    /// Number of failures since the last response.
    pub failures: u32,
    silent_since: Mono,
    report: Option<Report>,
    /// Weight of load reports, 0 to 1; falls when they contradict what this daemon observes.
    trust: f32,
    ejected_until: Mono,
    ejections: u32,
    warm_up_end: Mono,
    full_until: Mono,
    leaving: Option<Leaving>,
}

#[derive(Debug, Clone, Copy)]
struct Leaving {
    since: Mono,
    /// When the report expires; `None` if the configuration says that the server is leaving.
    until: Option<Mono>,
}

impl Server {
    /// Server without observations, in the pool with index `pool`.
    pub fn new(pool: u32) -> Self {
        Self {
            pool,
            slots: 1,
            max_in_flight: 1,
            in_flight: 0,
            owned: 0,
            owned_in_use: 0,
            near: false,
            present: true,
            latency: Latency::default(),
            last_byte: Mono::default(),
            failures: 0,
            silent_since: Mono::default(),
            report: None,
            trust: 1.0,
            ejected_until: Mono::default(),
            ejections: 0,
            warm_up_end: Mono::default(),
            full_until: Mono::default(),
            leaving: None,
        }
    }

    /// Counts an attempt that was sent.
    pub fn record_sent(&mut self, now: Mono) {
        if self.in_flight == 0 {
            self.silent_since = now;
        }
        self.in_flight += 1;
    }

    /// Counts an attempt that ended.
    pub fn record_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records the head of a response, or a probe result; without `latency` no sample is added.
    pub fn record_head(&mut self, now: Mono, latency: Option<Duration>) {
        self.last_byte = now;
        self.silent_since = now;
        self.failures = 0;
        if let Some(latency) = latency {
            self.latency.record(latency);
            self.ejections = 0;
        }
    }

    /// Records a load report; lowers the trust if the server reports fewer requests than this
    /// daemon alone has there (`still_running`).
    pub fn record_report(&mut self, now: Mono, load: &LoadReport, still_running: u32) {
        let age = Duration::from_millis(u64::from(load.age_ms));
        let plausible = load.in_flight.saturating_add(1) >= still_running;
        if plausible {
            self.trust = (self.trust + TRUST_GAIN).min(1.0);
        } else {
            self.trust *= TRUST_DECREASE;
        }
        self.report = Some(Report {
            in_flight: load.in_flight,
            ours: self.in_flight,
            measured: now - age,
        });
    }

    /// Lowers the trust in a server that reports free slots while its latency is far above the
    /// mean of the service; both are in microseconds.
    pub fn lower_trust_if_slow(&mut self, latency: f32, mean: f32) {
        let idle = self.report.is_some_and(|r| r.in_flight < self.slots);
        if idle && latency > 3.0 * mean {
            self.trust *= TRUST_DECREASE;
        }
    }

    /// Marks the server as full until a time, after it refused a call or let one be moved.
    pub fn mark_full(&mut self, until: Mono) {
        self.full_until = until;
    }

    /// Restarts the measurement of [`silence`](Self::silence), after a pause of the process.
    pub fn reset_silence(&mut self, now: Mono) {
        self.silent_since = now;
    }

    /// Time without a response while attempts are in flight; zero without attempts.
    pub fn silence(&self, now: Mono) -> Duration {
        if self.in_flight == 0 {
            return Duration::ZERO;
        }
        now.since(self.silent_since)
    }

    /// Starts a warm-up that ends at `at`.
    pub fn set_warm_up_end(&mut self, at: Mono) {
        self.warm_up_end = at;
    }

    /// Whether the server is warming up.
    pub fn is_warming_up(&self, now: Mono) -> bool {
        now < self.warm_up_end
    }

    /// Ejects the server for a time that doubles with each ejection, until a response resets it.
    pub fn eject(&mut self, now: Mono, base: Duration) {
        let span = base * (1 << self.ejections.min(6));
        self.ejected_until = now + span.min(MAX_EJECTION);
        self.ejections += 1;
    }

    /// Whether the server is ejected now.
    pub fn is_ejected(&self, now: Mono) -> bool {
        now < self.ejected_until
    }

    /// Marks the server as leaving, until `until` or permanently. Returns false if it was already.
    pub fn mark_leaving(&mut self, now: Mono, until: Option<Mono>) -> bool {
        let previous = self.leaving;
        let since = previous.map_or(now, |l| l.since);
        let permanent = previous.is_some_and(|l| l.until.is_none());
        let until = if permanent { None } else { until };
        self.leaving = Some(Leaving { since, until });
        previous.is_none()
    }

    /// Removes a permanent leaving mark, when the active configuration has none.
    pub fn clear_leaving(&mut self) {
        if self.leaving.is_some_and(|l| l.until.is_none()) {
            self.leaving = None;
        }
    }

    /// Removes a leaving mark that was not renewed in time. Returns whether it was removed.
    pub fn expire_leaving(&mut self, now: Mono) -> bool {
        let expired = self.leaving.and_then(|l| l.until).is_some_and(|u| now >= u);
        if expired {
            self.leaving = None;
        }
        expired
    }

    /// When the server was first known to be leaving; `None` if it is not.
    pub fn leaving_since(&self) -> Option<Mono> {
        self.leaving.map(|l| l.since)
    }

    /// Estimated requests at the server: its last load report, weighted by age and trust, against
    /// the usual load of the service.
    pub fn estimated_load(&self, now: Mono, params: &CostParams) -> f32 {
        let ours = self.in_flight as f32;
        let usual = (params.occupancy * self.slots as f32).max(ours);
        let Some(report) = self.report else {
            return usual;
        };
        if report.measured < params.distrust_before {
            return usual;
        }
        let age = now.since(report.measured).as_micros() as f32;
        let weight = self.trust * params.report_half_life_us / (params.report_half_life_us + age);
        let reported = report.in_flight as f32 + ours - report.ours as f32;
        (weight * reported + (1.0 - weight) * usual).max(ours)
    }

    /// Expected delay of another call, in microseconds, above the mean latency of the service.
    pub fn cost(&self, now: Mono, params: &CostParams) -> f32 {
        let slots = self.slots.max(1) as f32;
        let load = self.estimated_load(now, params) / slots;
        let queued = (load + 1.0 / slots - 1.0).max(0.0);
        let silence = self.silence(now).as_micros() as f32;
        let overdue = (silence - 2.0 * params.mean_us).max(0.0);
        let slow = if self.latency.is_settled() {
            (self.latency.mean() - params.mean_us).max(0.0)
        } else {
            0.0
        };
        let far = if self.near { 0.0 } else { params.far_cost_us };
        let failing = self.failures as f32 * 4.0 * params.mean_us;
        let warming_up = if self.is_warming_up(now) {
            params.mean_us
        } else {
            0.0
        };
        let full = if now < self.full_until {
            params.mean_us
        } else {
            0.0
        };
        let waiting = params.mean_us * params.load_weight * (queued + 0.3 * load * load);
        waiting + overdue + params.latency_weight * slow + far + failing + warming_up + full
    }
}
