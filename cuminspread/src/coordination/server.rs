//! What one daemon believes about one server.

use std::time::Duration;

use crate::state::load::LoadReport;
use crate::state::time::Mono;

/// Weight of one sample in a running mean.
const SAMPLE_WEIGHT: f32 = 0.1;
/// Samples after which a mean is used as it is.
const SETTLED_SAMPLES: u32 = 10;
/// Quantile that [`Latency::tail`] follows.
const TAIL_QUANTILE: f32 = 0.95;
/// Step of the tail estimate, as a part of the mean.
const TAIL_STEP: f32 = 0.1;
/// Trust that a plausible report restores.
const TRUST_GAIN: f32 = 0.1;
/// Part of the trust that an implausible report leaves.
const TRUST_LOSS: f32 = 0.5;
/// Longest time that a server stays ejected.
const LONGEST_EJECTION: Duration = Duration::from_secs(60);

/// Running mean and tail of latencies, in microseconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct Latency {
    mean: f32,
    tail: f32,
    samples: u32,
}

impl Latency {
    /// Takes one sample.
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

    /// Time that 95 in 100 samples stay below, in microseconds.
    pub fn tail(&self) -> f32 {
        self.tail
    }

    /// Enough samples were taken for decisions.
    pub fn is_settled(&self) -> bool {
        self.samples >= SETTLED_SAMPLES
    }
}

/// A load report with the state of this daemon when it was taken.
#[derive(Debug, Clone, Copy)]
struct Report {
    in_flight: u32,
    ours: u32,
    taken: Mono,
}

/// Parameters for estimates, shared by the servers of a service.
#[derive(Debug, Clone, Copy, Default)]
pub struct CostParams {
    /// Mean latency of the service, in microseconds.
    pub mean: f32,
    /// Calls per slot that servers of the service report on average.
    pub occupancy: f32,
    /// Age at which a report counts for half, in microseconds.
    pub report_half_life: f32,
    /// Extra round trip to another data centre, in microseconds.
    pub far_cost_us: f32,
    /// Weight of the estimated load.
    pub load_weight: f32,
    /// Weight of a latency above the service's.
    pub latency_weight: f32,
    /// Reports taken before this are not used.
    pub distrust_before: Mono,
}

/// State of one server.
#[derive(Debug, Clone)]
pub struct Server {
    /// Index of its service.
    pub service: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Most calls that this daemon has at it.
    pub max_in_flight: u32,
    /// Calls of this daemon at it.
    pub in_flight: u32,
    /// Slots of it that this daemon owns.
    pub owned: u32,
    /// Owned slots in use.
    pub owned_in_use: u32,
    /// It stands in the data centre of this daemon.
    pub near: bool,
    /// It is part of the configuration in force.
    pub present: bool,
    /// Latency until the head of an answer.
    pub latency: Latency,
    /// Last time that anything came from it.
    pub last_byte: Mono,
    /// Failures since its last answer.
    pub failures: u32,
    silent_since: Mono,
    report: Option<Report>,
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
    until: Option<Mono>,
}

impl Server {
    /// Server that nothing is known about.
    pub fn new(service: u32) -> Self {
        Self {
            service,
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

    /// Notes that an attempt was sent.
    pub fn record_sent(&mut self, now: Mono) {
        if self.in_flight == 0 {
            self.silent_since = now;
        }
        self.in_flight += 1;
    }

    /// Notes that an attempt ended.
    pub fn record_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Notes the head of an answer.
    pub fn record_head(&mut self, now: Mono, latency: Option<Duration>) {
        self.last_byte = now;
        self.silent_since = now;
        self.failures = 0;
        if let Some(latency) = latency {
            self.latency.record(latency);
            self.ejections = 0;
        }
    }

    /// Takes a load report; one that contradicts this daemon's own calls costs trust.
    pub fn record_report(&mut self, now: Mono, load: &LoadReport, still_running: u32) {
        let age = Duration::from_millis(u64::from(load.age_ms));
        let plausible = load.in_flight + 1 >= still_running;
        if plausible {
            self.trust = (self.trust + TRUST_GAIN).min(1.0);
        } else {
            self.trust *= TRUST_LOSS;
        }
        self.report = Some(Report {
            in_flight: load.in_flight,
            ours: self.in_flight,
            taken: now - age,
        });
    }

    /// Lowers the trust in reports of a server that is slow while it reports to be idle.
    pub fn lower_trust_if_slow(&mut self, latency: f32, normal: f32) {
        let idle = self.report.is_some_and(|r| r.in_flight < self.slots);
        if idle && latency > 3.0 * normal {
            self.trust *= TRUST_LOSS;
        }
    }

    /// Notes that a call waited there without being started.
    pub fn mark_full(&mut self, until: Mono) {
        self.full_until = until;
    }

    /// Forgets how long attempts have been silent, after a pause of this daemon.
    pub fn reset_silence(&mut self, now: Mono) {
        self.silent_since = now;
    }

    /// Time since anything came while attempts are in flight.
    pub fn silence(&self, now: Mono) -> Duration {
        if self.in_flight == 0 {
            return Duration::ZERO;
        }
        now.since(self.silent_since)
    }

    /// Starts a slow start that ends at `at`.
    pub fn set_warm_up_end(&mut self, at: Mono) {
        self.warm_up_end = at;
    }

    /// It is still starting slowly.
    pub fn is_warming_up(&self, now: Mono) -> bool {
        now < self.warm_up_end
    }

    /// Ejects it for a time that doubles with each ejection in a row.
    pub fn eject(&mut self, now: Mono, base: Duration) {
        let span = base * (1 << self.ejections.min(6));
        self.ejected_until = now + span.min(LONGEST_EJECTION);
        self.ejections += 1;
    }

    /// It is ejected now.
    pub fn is_ejected(&self, now: Mono) -> bool {
        now < self.ejected_until
    }

    /// Notes that it is leaving, until `until` or for good. Returns whether that is new.
    pub fn mark_leaving(&mut self, now: Mono, until: Option<Mono>) -> bool {
        let known = self.leaving;
        let since = known.map_or(now, |l| l.since);
        let lasting = known.is_some_and(|l| l.until.is_none());
        let until = if lasting { None } else { until };
        self.leaving = Some(Leaving { since, until });
        known.is_none()
    }

    /// Notes that the configuration in force doesn't name it as leaving.
    pub fn clear_leaving(&mut self) {
        if self.leaving.is_some_and(|l| l.until.is_none()) {
            self.leaving = None;
        }
    }

    /// Forgets word of its leaving that has not been renewed. Returns whether it takes work again.
    pub fn expire_leaving(&mut self, now: Mono) -> bool {
        let expired = self.leaving.and_then(|l| l.until).is_some_and(|u| now >= u);
        if expired {
            self.leaving = None;
        }
        expired
    }

    /// Since when it is known to leave.
    pub fn leaving_since(&self) -> Option<Mono> {
        self.leaving.map(|l| l.since)
    }

    /// Calls that it probably has now: the report, weighed by age and trust, or the usual load.
    pub fn estimated_load(&self, now: Mono, params: &CostParams) -> f32 {
        let ours = self.in_flight as f32;
        let usual = (params.occupancy * self.slots as f32).max(ours);
        let Some(report) = self.report else {
            return usual;
        };
        if report.taken < params.distrust_before {
            return usual;
        }
        let age = now.since(report.taken).as_micros() as f32;
        let weight = self.trust * params.report_half_life / (params.report_half_life + age);
        let reported = report.in_flight as f32 + ours - report.ours as f32;
        (weight * reported + (1.0 - weight) * usual).max(ours)
    }

    /// Expected delay of one more call, in microseconds, on top of the service's normal latency.
    pub fn cost(&self, now: Mono, params: &CostParams) -> f32 {
        let slots = self.slots.max(1) as f32;
        let load = self.estimated_load(now, params) / slots;
        let queued = (load + 1.0 / slots - 1.0).max(0.0);
        let silence = self.silence(now).as_micros() as f32;
        let overdue = (silence - 2.0 * params.mean).max(0.0);
        let slow = if self.latency.is_settled() {
            (self.latency.mean() - params.mean).max(0.0)
        } else {
            0.0
        };
        let far = if self.near { 0.0 } else { params.far_cost_us };
        let suspect = self.failures as f32 * 4.0 * params.mean;
        let cold = if self.is_warming_up(now) {
            params.mean
        } else {
            0.0
        };
        let full = if now < self.full_until {
            params.mean
        } else {
            0.0
        };
        let waiting = params.mean * params.load_weight * (queued + 0.3 * load * load);
        waiting + overdue + params.latency_weight * slow + far + suspect + cold + full
    }
}
