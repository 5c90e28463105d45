//! State of a call and of its attempts.

use crate::coordination::event::{Attempt, Call, Reason};
use crate::state::time::Mono;

/// Maximum number of attempts of one call.
pub const MAX_ATTEMPTS: usize = 12;

/// Progress of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Sent, no response yet.
    Sent,
    /// The head of the response was read.
    Answering,
    /// The attempt ended.
    Ended,
}

/// Why an attempt was cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cancellation {
    /// The attempt was not cancelled.
    None,
    /// To move the call to another server, if this server has not started it.
    Move,
    /// The response is no longer needed.
    Discard,
}

/// State of one attempt.
#[derive(Debug, Clone, Copy)]
pub struct AttemptState {
    /// Identifier of the server.
    pub server: u32,
    /// When the attempt was sent.
    pub sent: Mono,
    /// Whether the attempt uses a slot that this daemon owns.
    pub owned: bool,
    /// How far the attempt has got.
    pub stage: Stage,
    /// Whether the status of the response means "refused before start".
    pub refused: bool,
    /// Part of the retry budget that was passed on to the server.
    pub passed_budget: u8,
    /// Whether and why the attempt was cancelled.
    pub cancellation: Cancellation,
}

/// State of a call that is not finished or has an attempt in flight.
#[derive(Debug)]
pub struct ActiveCall {
    /// The call.
    pub call: Call,
    /// Index of the pool of the called service.
    pub pool: u32,
    /// Retries and hedges that the call may still spend here.
    pub retry_budget: u8,
    /// Number of moves so far.
    pub moves: u8,
    /// Number of attempts that a server may have started.
    pub maybe_started: u8,
    /// Whether the call is in the queue.
    pub queued: bool,
    /// Whether the caller was answered.
    pub finished: bool,
    /// Whether the caller closed its connection.
    pub caller_gone: bool,
    /// Reason of the last failure.
    pub failure: Reason,
    attempts: [Option<AttemptState>; MAX_ATTEMPTS],
    count: u8,
}

impl ActiveCall {
    /// State of a call without attempts.
    pub fn new(call: Call, pool: u32, retry_budget: u8) -> Self {
        Self {
            call,
            pool,
            retry_budget,
            moves: 0,
            maybe_started: 0,
            queued: false,
            finished: false,
            caller_gone: false,
            failure: Reason::Overload,
            attempts: [None; MAX_ATTEMPTS],
            count: 0,
        }
    }

    /// Adds an attempt; `None` if the call already made [`MAX_ATTEMPTS`].
    pub fn add(&mut self, attempt: AttemptState) -> Option<Attempt> {
        let slot = self.attempts.get_mut(usize::from(self.count))?;
        *slot = Some(attempt);
        self.count += 1;
        Some(Attempt(self.count - 1))
    }

    /// Whether the call may make another attempt.
    pub fn can_add_attempt(&self) -> bool {
        usize::from(self.count) < MAX_ATTEMPTS
    }

    /// State of an attempt; `None` if it was never sent.
    pub fn get(&self, attempt: Attempt) -> Option<&AttemptState> {
        self.attempts.get(usize::from(attempt.0))?.as_ref()
    }

    /// Mutable state of an attempt; `None` if it was never sent.
    pub fn get_mut(&mut self, attempt: Attempt) -> Option<&mut AttemptState> {
        self.attempts.get_mut(usize::from(attempt.0))?.as_mut()
    }

    /// Attempts in flight.
    pub fn live(&self) -> impl Iterator<Item = Attempt> + '_ {
        let alive = |t: &Option<AttemptState>| t.is_some_and(|t| t.stage != Stage::Ended);
        let numbered = (0..).zip(&self.attempts);
        numbered
            .filter(move |(_, t)| alive(t))
            .map(|(i, _)| Attempt(i))
    }

    /// Servers to avoid: the last one, and those of all attempts that were not moved.
    ///
    /// Returns the array and the number of its entries that are set.
    pub fn avoided(&self) -> ([u32; MAX_ATTEMPTS], usize) {
        let mut ids = [0; MAX_ATTEMPTS];
        let mut count = 0;
        for (i, attempt) in self.attempts.iter().flatten().enumerate() {
            let last = i + 1 == usize::from(self.count);
            let moved = attempt.stage == Stage::Ended && attempt.cancellation == Cancellation::Move;
            if last || !moved {
                ids[count] = attempt.server;
                count += 1;
            }
        }
        (ids, count)
    }
}
