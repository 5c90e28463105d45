//! Requests that wait in the daemon until a server has room.
//!
//! Load pattern: a burst over servers of which some have crashed or slowed down, so that for some
//! seconds more arrives than can be served. Requests wait here and not at servers, where their order
//! could no longer be changed and a full queue loses them. First come those that can still meet
//! their aim, in the order of their latest start, moved back by rank; a rank only shifts a request,
//! so that none waits for ever. Behind them come those that are late anyway.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::state::time::Mono;

/// Shift of a request for each rank below the highest, as a part of its aim.
const SHIFT_PER_RANK: f32 = 0.25;
/// Weight of one more interval between sends.
const INTERVAL_WEIGHT: f32 = 0.2;

/// Names a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Latest start that still meets the aim.
    pub latest_start: Mono,
    /// Rank; 0 is the highest.
    pub priority: u8,
    /// Time within which an answer has its full value.
    pub latency_target: Duration,
}

impl QueuedRequest {
    fn order(&self) -> Mono {
        self.latest_start
            + self
                .latency_target
                .mul_f32(SHIFT_PER_RANK * f32::from(self.priority))
    }
}

/// Waiting requests of one service.
#[derive(Debug, Default)]
pub struct WaitQueue {
    in_time: BTreeMap<(Mono, Ticket), QueuedRequest>,
    late: BTreeMap<(Mono, Ticket), QueuedRequest>,
    next: u64,
    last_sent: Option<Mono>,
    interval: Option<Duration>,
}

impl WaitQueue {
    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.in_time.len() + self.late.len()
    }

    /// Nobody waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// A request begins to wait.
    pub fn push(&mut self, now: Mono, claim: QueuedRequest) -> Ticket {
        self.next += 1;
        let ticket = Ticket(self.next);
        let line = if claim.latest_start >= now {
            &mut self.in_time
        } else {
            &mut self.late
        };
        line.insert((claim.order(), ticket), claim);
        ticket
    }

    /// A request no longer waits.
    pub fn remove(&mut self, ticket: Ticket, claim: &QueuedRequest) {
        let key = (claim.order(), ticket);
        if self.in_time.remove(&key).is_none() {
            self.late.remove(&key);
        }
    }

    /// Request that is sent next.
    pub fn head(&mut self, now: Mono) -> Option<Ticket> {
        while let Some(entry) = self.in_time.first_entry() {
            if entry.get().latest_start >= now {
                return Some(entry.key().1);
            }
            let (key, claim) = entry.remove_entry();
            self.late.insert(key, claim);
        }
        self.late.keys().next().map(|(_, ticket)| *ticket)
    }

    /// Whether a request that arrives now must let others go first.
    pub fn must_wait(&mut self, now: Mono, claim: &QueuedRequest) -> bool {
        let Some(head) = self.head(now) else {
            return false;
        };
        let first = self.in_time.keys().next();
        match first {
            Some((order, ticket)) if *ticket == head => {
                claim.latest_start < now || *order <= claim.order()
            }
            _ => claim.latest_start < now,
        }
    }

    /// A request of this service was sent.
    pub fn record_sent(&mut self, now: Mono) {
        if let Some(last) = self.last_sent {
            let sample = now.since(last).as_secs_f32();
            let known = self.interval.map_or(sample, |i| i.as_secs_f32());
            let interval = known + (sample - known) * INTERVAL_WEIGHT;
            self.interval = Some(Duration::from_secs_f32(interval));
        }
        self.last_sent = Some(now);
    }

    /// Time until a request is sent, from how fast others were and how many are before it.
    ///
    /// `None` if too few were sent to tell.
    pub fn expected_wait(&self, now: Mono, claim: &QueuedRequest) -> Option<Duration> {
        // A long silence says more than the intervals before it.
        let silence = now.since(self.last_sent?);
        let interval = self.interval?.max(silence / 2);
        let order = claim.order();
        let before = if claim.latest_start >= now {
            self.in_time.range(..(order, Ticket(0))).count()
        } else {
            self.in_time.len() + self.late.range(..(order, Ticket(0))).count()
        };
        Some(interval * before as u32)
    }
}
