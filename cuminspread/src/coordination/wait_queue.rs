//! Requests that wait in the daemon until a server has a free slot.
//!
//! Load pattern: some servers have crashed or slowed down, and a burst exceeds the capacity of the
//! rest for some seconds. Requests wait in the daemon rather than at servers, where their order
//! couldn't be changed any more and a full queue would drop them.
//!
//! Requests that can still meet their latency target go first, in the order of their latest starts,
//! shifted back by priority. The shift is a fixed fraction of the target, so no request starves.
//! Requests that are already late go last. While the burst lasts, later arrivals go before them, so
//! they are refused as soon as none is likely to be sent within its time.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::state::time::Mono;

/// Shift of a request for each priority level below the highest, as a fraction of its target.
const SHIFT_PER_LEVEL: f32 = 0.25;
/// Weight of a new sample in the mean interval between sent requests.
const INTERVAL_WEIGHT: f32 = 0.2;

/// Identifies a waiting request within its queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// What decides a request's position in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Latest start that still meets the latency target.
    pub latest_start: Mono,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Time from the arrival within which a response has its full value.
    pub latency_target: Duration,
}

impl QueuedRequest {
    fn sort_key(&self) -> Mono {
        self.latest_start
            + self
                .latency_target
                .mul_f32(SHIFT_PER_LEVEL * f32::from(self.priority))
    }
}

/// Waiting requests of one service, and the rate at which they are sent.
#[derive(Debug, Default)]
pub struct WaitQueue {
    in_time: BTreeMap<(Mono, Ticket), QueuedRequest>,
    late: BTreeMap<(Mono, Ticket), QueuedRequest>,
    last_ticket: u64,
    last_sent: Option<Mono>,
    /// Mean interval between sent requests.
    interval: Option<Duration>,
    /// Start of the time in which late requests have waited or been refused and none was sent; `None`
    /// without late requests since one was sent or the queue was empty.
    late_blocked_since: Option<Mono>,
}

impl WaitQueue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.in_time.len() + self.late.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a request; a late one goes behind all that are in time.
    pub fn push(&mut self, now: Mono, request: QueuedRequest) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let key = (request.sort_key(), ticket);
        if request.latest_start >= now {
            self.in_time.insert(key, request);
        } else {
            self.insert_late(now, key, request);
        }
        ticket
    }

    /// Removes a request; has no effect if it doesn't wait.
    pub fn remove(&mut self, ticket: Ticket, request: &QueuedRequest) {
        let key = (request.sort_key(), ticket);
        if self.in_time.remove(&key).is_none() {
            self.late.remove(&key);
        }
        if self.is_empty() {
            self.late_blocked_since = None;
        }
    }

    /// Removes a request that is sent; has no effect if it doesn't wait.
    pub fn remove_sent(&mut self, now: Mono, ticket: Ticket, request: &QueuedRequest) {
        if self.late.remove(&(request.sort_key(), ticket)).is_some() {
            self.late_blocked_since = (!self.late.is_empty()).then_some(now);
        }
        self.remove(ticket, request);
    }

    fn insert_late(&mut self, now: Mono, key: (Mono, Ticket), request: QueuedRequest) {
        self.late_blocked_since.get_or_insert(now);
        self.late.insert(key, request);
    }

    /// Time at which a request is refused if it still waits; not after `latest_send`.
    ///
    /// A late request is sent only when none in time waits. If none has been sent for some time,
    /// the next one is expected after the same time again, and a request that has less time left
    /// isn't held any longer.
    pub fn give_up_at(&self, request: &QueuedRequest, latest_send: Mono) -> Mono {
        let since = self.late_blocked_since.unwrap_or(request.latest_start);
        (since + latest_send.since(since) / 2)
            .max(request.latest_start)
            .min(latest_send)
    }

    /// Time for which late requests have waited or been refused without any being sent.
    pub fn late_blocked(&self, now: Mono) -> Duration {
        self.late_blocked_since
            .map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Request to send next; moves requests that have become late behind those in time.
    pub fn head(&mut self, now: Mono) -> Option<Ticket> {
        while let Some(entry) = self.in_time.first_entry() {
            if entry.get().latest_start >= now {
                return Some(entry.key().1);
            }
            let (key, request) = entry.remove_entry();
            self.insert_late(now, key, request);
        }
        self.late.keys().next().map(|(_, ticket)| *ticket)
    }

    /// Whether a request that arrives now has to queue behind a waiting one.
    pub fn must_wait(&mut self, now: Mono, request: &QueuedRequest) -> bool {
        let Some(head) = self.head(now) else {
            return false;
        };
        let first = self.in_time.keys().next();
        match first {
            Some((key, ticket)) if *ticket == head => {
                request.latest_start < now || *key <= request.sort_key()
            }
            _ => request.latest_start < now,
        }
    }

    /// Records that a request of this service was sent.
    pub fn record_sent(&mut self, now: Mono) {
        if let Some(last) = self.last_sent {
            let interval = now.since(last).as_secs_f32();
            let mean = self.interval.map_or(interval, |i| i.as_secs_f32());
            let mean = mean + (interval - mean) * INTERVAL_WEIGHT;
            self.interval = Some(Duration::from_secs_f32(mean));
        }
        self.last_sent = Some(now);
    }

    /// Expected time until a request is sent, from the mean interval and the requests ahead of it.
    ///
    /// `None` until two requests were sent.
    pub fn expected_wait(&self, now: Mono, request: &QueuedRequest) -> Option<Duration> {
        // A long pause since the last request was sent outweighs the shorter intervals before it.
        let idle = now.since(self.last_sent?);
        let interval = self.interval?.max(idle / 2);
        let key = request.sort_key();
        let ahead = if request.latest_start >= now {
            self.in_time.range(..(key, Ticket(0))).count()
        } else {
            self.in_time.len() + self.late.range(..(key, Ticket(0))).count()
        };
        Some(interval * ahead as u32)
    }
}
