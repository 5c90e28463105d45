//! Record of one call and its attempts.

use crate::coordination::event::{Attempt, Call, Reason};
use crate::state::time::Mono;

/// Attempts that one call can make.
pub const MAX_ATTEMPTS: usize = 12;

/// Where an attempt stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Sent, no answer yet.
    Sent,
    /// The head of the answer came.
    Answering,
    /// It ended.
    Ended,
}

/// Why a cancellation was asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cancellation {
    /// It wasn't.
    None,
    /// The call is to go to another server if this one hasn't started it.
    Move,
    /// The answer is no longer needed.
    Discard,
}

/// One attempt.
#[derive(Debug, Clone, Copy)]
pub struct AttemptState {
    /// Server.
    pub server: u32,
    /// Time of sending.
    pub sent: Mono,
    /// It uses an owned slot.
    pub owned: bool,
    /// Where it stands.
    pub stage: Stage,
    /// The answer's status means "refused before start".
    pub refused: bool,
    /// Part of the chain's budget that went with it.
    pub passed_budget: u8,
    /// Cancellation.
    pub cancellation: Cancellation,
}

/// One call that is not forgotten yet.
#[derive(Debug)]
pub struct ActiveCall {
    /// The call.
    pub call: Call,
    /// Index of its service.
    pub pool: u32,
    /// Extra attempts that the chain may still make here.
    pub retry_budget: u8,
    /// Moves made.
    pub moves: u8,
    /// Attempts that may have started.
    pub maybe_started: u8,
    /// It waits in the queue.
    pub queued: bool,
    /// Its caller was answered.
    pub finished: bool,
    /// Its caller went away.
    pub caller_gone: bool,
    /// Reason of the last failure.
    pub failure: Reason,
    attempts: [Option<AttemptState>; MAX_ATTEMPTS],
    count: u8,
}

impl ActiveCall {
    /// Call without attempts.
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

    /// Adds an attempt; `None` if the call has made as many as it can.
    pub fn add(&mut self, attempt: AttemptState) -> Option<Attempt> {
        let slot = self.attempts.get_mut(usize::from(self.count))?;
        *slot = Some(attempt);
        self.count += 1;
        Some(Attempt(self.count - 1))
    }

    /// It can make another attempt.
    pub fn has_room(&self) -> bool {
        usize::from(self.count) < MAX_ATTEMPTS
    }

    /// One attempt.
    pub fn get(&self, attempt: Attempt) -> Option<&AttemptState> {
        self.attempts.get(usize::from(attempt.0))?.as_ref()
    }

    /// One attempt, to change it.
    pub fn get_mut(&mut self, attempt: Attempt) -> Option<&mut AttemptState> {
        self.attempts.get_mut(usize::from(attempt.0))?.as_mut()
    }

    /// Attempts that have not ended.
    pub fn live(&self) -> impl Iterator<Item = Attempt> + '_ {
        let alive = |t: &Option<AttemptState>| t.is_some_and(|t| t.stage != Stage::Ended);
        let numbered = (0..).zip(&self.attempts);
        numbered
            .filter(move |(_, t)| alive(t))
            .map(|(i, _)| Attempt(i))
    }

    /// Servers to avoid: those that failed, and the last one. The first `count` entries hold.
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
