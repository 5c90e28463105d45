//! Rules for sending a call again.
//!
//! Two bounds hold together. A chain of calls carries the number of extra attempts that it may
//! still make; what is passed to a server is taken from what is kept, and returns only if nothing of
//! it can have been spent. A token bucket per service bounds the rate: each call
//! earns a part of a token and each extra attempt spends one ("retry budgets", as in Finagle and
//! the SRE book). Hedging follows Dean and Barroso, "The Tail at Scale" (2013).

use std::time::Duration;

use crate::coordination::event::Ending;
use crate::coordination::server::Latency;

/// Settings of retries, hedges and moves.
#[derive(Debug, Clone)]
pub struct RetrySettings {
    /// Extra attempts of a whole chain of calls.
    pub chain_budget: u8,
    /// Extra attempts that one call earns for its service.
    pub ratio: f32,
    /// Tokens that are saved at most.
    pub burst: f32,
    /// Silence before a hedge, as a multiple of the tail latency.
    pub hedge_after: f32,
    /// Shortest silence before a hedge.
    pub min_hedge_delay: Duration,
    /// Silence before a waiting call is taken back, as a multiple of the mean latency.
    pub move_after: f32,
    /// Part of the calls found waiting from which on every attempt is asked for.
    pub move_gain: f32,
    /// Part of the attempts that are asked for at least.
    pub min_move_fraction: f32,
    /// Calls that are not idempotent are taken back too.
    pub move_non_idempotent: bool,
    /// Times that one call is taken back.
    pub max_moves: u8,
    /// Moves that one call earns for its service.
    pub move_ratio: f32,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            chain_budget: 2,
            ratio: 0.08,
            burst: 5.0,
            hedge_after: 2.5,
            min_hedge_delay: Duration::from_millis(3),
            move_after: 0.06,
            move_gain: 0.15,
            min_move_fraction: 0.05,
            move_non_idempotent: true,
            max_moves: 10,
            move_ratio: 6.0,
        }
    }
}

/// Token bucket that bounds the rate of extra attempts.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    left: f32,
    ratio: f32,
    burst: f32,
}

impl TokenBucket {
    /// Bucket with a single token.
    pub fn new(ratio: f32, burst: f32) -> Self {
        Self {
            left: 1.0_f32.min(burst),
            ratio,
            burst,
        }
    }

    /// Adds what one call earns.
    pub fn deposit(&mut self) {
        self.left = (self.left + self.ratio).min(self.burst);
    }

    /// Takes one token, if there is one.
    pub fn withdraw(&mut self) -> bool {
        let enough = self.left >= 1.0;
        if enough {
            self.left -= 1.0;
        }
        enough
    }
}

/// Parts of a chain's budget: what is passed on with an attempt, and what is kept.
pub fn split_budget(budget: u8) -> (u8, u8) {
    let passed = budget.div_ceil(2);
    (passed, budget - passed)
}

/// The ending proves that the server did not start the attempt.
pub fn proves_not_run(ending: Ending, refused: bool) -> bool {
    match ending {
        Ending::NotSent | Ending::Refused | Ending::CancelledBeforeStart => true,
        Ending::Complete => refused,
        Ending::Broken | Ending::TimedOut | Ending::Abandoned => false,
    }
}

/// The ending proves that nothing of the budget that was passed on can have been spent.
///
/// A refusal doesn't: a server may pass on the refusal of a server that it called.
pub fn refunds_budget(ending: Ending) -> bool {
    matches!(ending, Ending::NotSent | Ending::CancelledBeforeStart)
}

/// Silence after which an attempt at a server is hedged; `None` until the latencies are known.
pub fn hedge_delay(settings: &RetrySettings, service: &Latency) -> Option<Duration> {
    if !service.is_settled() {
        return None;
    }
    let delay = Duration::from_micros((settings.hedge_after * service.tail()) as u64);
    Some(delay.max(settings.min_hedge_delay))
}
