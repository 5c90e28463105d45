//! Simulated server with slots, a FIFO queue and sampled load reports.

use std::collections::VecDeque;

use cuminspread::state::load::LoadReport;

/// Time between two samples of the load; a report gives the last sample. In microseconds.
const LOAD_SAMPLE_INTERVAL_US: u64 = 10_000;
/// Bound on the queued requests per slot; further requests are refused.
const MAX_QUEUED_PER_SLOT: usize = 4;
/// Processing time of a probe, in microseconds.
const PROBE_PROCESSING_US: u64 = 500;

/// Identity of a request at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobId {
    /// Attempt of a call: index of the call, index of the attempt.
    Call(u64, u8),
    /// Any probe; probes aren't told apart.
    Probe,
}

/// Request at a server.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    /// Identity, by which the request is cancelled.
    pub id: JobId,
    /// Index of the daemon that waits for the response.
    pub daemon: usize,
    /// Processing time in a slot of a healthy server, in microseconds.
    pub processing_us: u64,
    /// Latest time at which the request is started, in microseconds.
    pub deadline: u64,
}

impl Job {
    /// Probe by a daemon, without a deadline.
    pub fn probe(daemon: usize) -> Self {
        Self {
            id: JobId::Probe,
            daemon,
            processing_us: PROBE_PROCESSING_US,
            deadline: u64::MAX,
        }
    }
}

/// What a server does with an arriving request.
#[derive(Debug, Clone, Copy)]
pub enum Admission {
    /// The request takes a free slot.
    Starts,
    /// The request is queued.
    Waits,
    /// The queue is full, or the server is offline.
    Refused,
}

/// Simulated server.
#[derive(Debug, Clone)]
pub struct ModelServer {
    /// Index of the service in the shop.
    pub service: usize,
    /// Index of the data centre.
    pub data_centre: usize,
    /// Number of requests that run at once.
    pub slots: u32,
    /// Number of requests that run now.
    pub running: u32,
    /// Factor on processing times; 1 is a healthy server.
    pub slowdown: f64,
    /// Whether every load report says that the server is idle.
    pub reports_idle: bool,
    /// Time since which the server drains, in microseconds.
    pub draining_since: Option<u64>,
    /// Whether the server hasn't started yet and refuses all requests.
    pub offline: bool,
    queue: VecDeque<Job>,
    load_sample: u32,
    sampled_at: u64,
}

impl ModelServer {
    /// Idle, healthy server.
    pub fn new(service: usize, data_centre: usize, slots: u32) -> Self {
        Self {
            service,
            data_centre,
            slots,
            running: 0,
            slowdown: 1.0,
            reports_idle: false,
            draining_since: None,
            offline: false,
            queue: VecDeque::new(),
            load_sample: 0,
            sampled_at: 0,
        }
    }

    /// Starts, queues or refuses a request.
    pub fn admit(&mut self, now: u64, job: Job) -> Admission {
        self.resample(now);
        if self.offline || self.queue.len() >= MAX_QUEUED_PER_SLOT * self.slots as usize {
            return Admission::Refused;
        }
        if self.running < self.slots {
            self.running += 1;
            return Admission::Starts;
        }
        self.queue.push_back(job);
        Admission::Waits
    }

    /// Ends a running request and returns the queued request that starts in its slot, if any;
    /// queued requests past their deadline are removed and added to `late`.
    pub fn complete(&mut self, now: u64, late: &mut Vec<Job>) -> Option<Job> {
        self.resample(now);
        self.running -= 1;
        while let Some(job) = self.queue.pop_front() {
            if now < job.deadline {
                self.running += 1;
                return Some(job);
            }
            late.push(job);
        }
        None
    }

    /// Removes a queued request; returns whether it was found, so had not started.
    pub fn cancel(&mut self, id: JobId) -> bool {
        let found = self.queue.iter().position(|j| j.id == id);
        found.and_then(|i| self.queue.remove(i)).is_some()
    }

    /// Processing time on this server, in microseconds.
    pub fn duration(&self, job: &Job) -> u64 {
        (job.processing_us as f64 * self.slowdown) as u64
    }

    /// Load report with the last sample.
    pub fn report(&mut self, now: u64) -> LoadReport {
        self.resample(now);
        let draining = self.draining_since.is_some();
        if self.reports_idle {
            return LoadReport {
                draining,
                ..LoadReport::default()
            };
        }
        LoadReport {
            in_flight: self.load_sample,
            age_ms: ((now - self.sampled_at) / 1000) as u32,
            draining,
        }
    }

    fn resample(&mut self, now: u64) {
        if now - self.sampled_at >= LOAD_SAMPLE_INTERVAL_US {
            self.sampled_at = now - now % LOAD_SAMPLE_INTERVAL_US;
            self.load_sample = self.running + self.queue.len() as u32;
        }
    }
}
