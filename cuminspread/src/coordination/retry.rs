//! Rules for extra attempts of a call: retries, hedges and moves.
//!
//! A retry follows a failed attempt. A hedge runs in parallel to an attempt that takes long. A move
//! cancels an attempt before the server starts it, and sends the call to another server.
//!
//! Two limits apply together. A chain of calls carries a budget of extra attempts: what a server
//! gets with an attempt is subtracted from the daemon's remainder, and is added back only if none
//! of it can have been spent. A token bucket per service limits the rate: each call deposits a
//! fraction of a token and each extra attempt withdraws one ("retry budgets", as in Finagle and the
//! SRE book). Hedging follows Dean and Barroso, "The Tail at Scale" (2013).

use std::time::Duration;

use crate::coordination::event::Ending;
use crate::coordination::server::Latency;

/// Settings of retries, hedges and moves.
#[derive(Debug, Clone)]
pub struct RetrySettings {
    /// Extra attempts allowed in a whole chain of calls.
    pub chain_budget: u8,
    /// Tokens that one call deposits for its service; an extra attempt withdraws one.
    pub ratio: f32,
    /// Maximum number of tokens in a bucket.
    pub burst: f32,
    /// Time without a response before a hedge, as a multiple of the tail latency.
    pub hedge_tail_factor: f32,
    /// Shortest time without a response before a hedge.
    pub min_hedge_delay: Duration,
    /// Time without a response before a call may be moved, as a multiple of the mean latency.
    pub move_mean_factor: f32,
    /// Fraction of attempted moves that succeed from which on each attempt may be moved; below it,
    /// attempts are picked in proportion.
    pub move_gain: f32,
    /// Smallest fraction of attempts that may be moved.
    pub min_move_fraction: f32,
    /// Calls that aren't idempotent may be moved, too.
    pub move_non_idempotent: bool,
    /// Maximum number of moves of one call.
    pub max_moves: u8,
    /// Tokens for moves that one call deposits for its service.
    pub move_ratio: f32,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            chain_budget: 2,
            ratio: 0.08,
            burst: 5.0,
            hedge_tail_factor: 2.5,
            min_hedge_delay: Duration::from_millis(3),
            move_mean_factor: 0.06,
            move_gain: 0.15,
            min_move_fraction: 0.05,
            move_non_idempotent: true,
            max_moves: 10,
            move_ratio: 6.0,
        }
    }
}

/// Token bucket that limits the rate of extra attempts.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    tokens: f32,
    ratio: f32,
    burst: f32,
}

impl TokenBucket {
    /// Bucket with one token, or `burst` if that is less.
    pub fn new(ratio: f32, burst: f32) -> Self {
        Self {
            tokens: 1.0_f32.min(burst),
            ratio,
            burst,
        }
    }

    /// Adds the deposit of one call.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Takes one token; returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    /// Gives back a token that was taken for an attempt that was not sent.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.burst);
    }
}

/// Splits a chain's budget into the parts passed on with an attempt and kept.
pub fn split_budget(budget: u8) -> (u8, u8) {
    let passed = budget.div_ceil(2);
    (passed, budget - passed)
}

/// Whether the ending proves that the server did not start the attempt.
///
/// `refused` tells whether the status of a complete response means "refused before start".
pub fn proves_not_run(ending: Ending, refused: bool) -> bool {
    match ending {
        Ending::NotSent | Ending::Refused | Ending::CancelledBeforeStart => true,
        Ending::Whole => refused,
        Ending::Broken | Ending::TimedOut | Ending::Abandoned => false,
    }
}

/// Whether the ending proves that none of the budget passed on can have been spent.
///
/// A refusal proves nothing here: a server may forward the refusal of a server that it called.
pub fn refunds_budget(ending: Ending) -> bool {
    matches!(ending, Ending::NotSent | Ending::CancelledBeforeStart)
}

/// Time without a response after which an attempt is hedged; `None` until the latencies are known.
pub fn hedge_delay(settings: &RetrySettings, service: &Latency) -> Option<Duration> {
    if !service.is_settled() {
        return None;
    }
    let delay = Duration::from_micros((settings.hedge_tail_factor * service.tail()) as u64);
    Some(delay.max(settings.min_hedge_delay))
}
