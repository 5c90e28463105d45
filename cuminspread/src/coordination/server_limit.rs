//! Limits on the rate of requests that servers name for all daemons together.
//!
//! A server in need names its limit in its answers, for as long as it applies. A daemon that gets
//! such an answer knows the limit until a later answer doesn't name it.

use std::time::Duration;

use crate::state::time::Mono;

/// What a response says of its server's limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum LimitNotice {
    /// The response names no limit.
    #[default]
    Absent,
    /// Requests a second that the server takes from all daemons together; finite, not negative.
    Rate(f32),
    /// The response names something that isn't a rate.
    Malformed,
}

/// The limit of one incarnation of a server, as one daemon knows it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerLimit {
    rate: f32,
    since: Mono,
    confirmed: Mono,
}

impl ServerLimit {
    /// Limit that an answer named first at `now`, in requests per second.
    pub fn new(now: Mono, rate: f32) -> Self {
        Self {
            rate,
            since: now,
            confirmed: now,
        }
    }

    /// Requests a second from all daemons together.
    pub fn rate(&self) -> f32 {
        self.rate
    }

    /// Time since the limit was first known.
    pub fn age(&self, now: Mono) -> Duration {
        now.since(self.since)
    }

    /// Time of the latest answer that named the limit.
    pub fn confirmed(&self) -> Mono {
        self.confirmed
    }

    /// Records an answer of `at` that names the limit; an answer older than the latest one has no
    /// effect.
    pub fn confirm(&mut self, at: Mono, rate: f32) {
        if at >= self.confirmed {
            self.confirmed = at;
            self.rate = rate;
        }
    }

    /// Whether an answer without a limit, to a request sent at `sent_at`, ends it.
    ///
    /// The answer to a request that was sent before the latest answer with a limit may be older.
    pub fn is_ended_by(&self, sent_at: Mono) -> bool {
        sent_at >= self.confirmed
    }
}
