//! Admission of calls, their queue, the sending of attempts and the end of calls.

use std::time::Duration;

use super::{Dispatcher, Timer};
use crate::coordination::attempt::{ActiveCall, AttemptState, Cancellation, Stage};
use crate::coordination::choice::{Choice, Chooser};
use crate::coordination::event::{Call, CallAction, CallId, Connection, Reason, ServerId, Verdict};
use crate::coordination::limits;
use crate::coordination::retry;
use crate::invariant::Invariant;
use crate::state::time::Mono;

/// Silence of a server after which only a new connection to it is used, as a multiple of the mean
/// latency.
const MAX_SILENCE_MEANS: f32 = 4.0;

impl Dispatcher {
    pub(super) fn handle_call(&mut self, now: Mono, call: Call, out: &mut Vec<CallAction>) {
        match self.admit(now, &call) {
            Ok(pool) => self.accept(now, call, pool, out),
            Err(reason) => {
                let retry_after = self.settings.limits.min_retry_after;
                let retry_after = match reason {
                    Reason::CouncilLimit => retry_after * 2,
                    Reason::Crashing => self.settings.crash.refused_for,
                    _ => retry_after,
                };
                out.push(CallAction::Finish {
                    call: call.id,
                    verdict: Verdict::NotRun {
                        reason,
                        retry_after,
                    },
                });
            }
        }
    }

    fn admit(&self, now: Mono, call: &Call) -> Result<u32, Reason> {
        if call.depth > self.settings.max_depth {
            return Err(Reason::TooDeep);
        }
        if now >= call.deadline {
            return Err(Reason::Deadline);
        }
        if self.settings.guards.crashes && self.crashes.is_refused(now, call.fingerprint) {
            return Err(Reason::Crashing);
        }
        let key = (call.service.council.clone(), call.service.name.clone());
        let pool = *self.pool_ids.get(&key).ok_or(Reason::NoServer)?;
        if self.pools[pool as usize].candidates.is_empty() {
            return Err(Reason::NoServer);
        }
        let council = &self.councils[self.pools[pool as usize].council as usize];
        let admits = limits::admits(
            &self.settings.limits,
            &council.load,
            self.accepted,
            self.councils.len() as u32,
        );
        if self.settings.guards.councils && !admits {
            return Err(Reason::CouncilLimit);
        }
        Ok(pool)
    }

    fn accept(&mut self, now: Mono, call: Call, pool: u32, out: &mut Vec<CallAction>) {
        let budget = call
            .retry_budget
            .unwrap_or(self.settings.retry.chain_budget);
        let id = call.id;
        let active = ActiveCall::new(call, pool, budget);
        self.calls.insert(id, active);
        self.accepted += 1;
        let council = self.pools[pool as usize].council;
        self.councils[council as usize].load.accepted += 1;
        self.pools[pool as usize].retries.deposit();
        self.pools[pool as usize].moves.deposit();
        if self.pools[pool as usize].queue.is_empty() && self.try_send(now, id, out) {
            return;
        }
        self.enqueue(now, id, out);
    }

    /// Enqueues a call if it can still meet its deadline; gives it up otherwise.
    pub(super) fn enqueue(&mut self, now: Mono, id: CallId, out: &mut Vec<CallAction>) {
        let Some(active) = self.calls.get_mut(&id) else {
            return;
        };
        let pool = &mut self.pools[active.pool as usize];
        let wait =
            limits::expected_wait(pool.queue.len(), pool.mean_latency_us(), pool.limit.limit());
        let latest = active.call.deadline - pool.mean_latency();
        let bound = self.settings.limits.max_queue_wait;
        if wait > bound || now + wait > latest {
            self.give_up(now, id, Reason::Overload, out);
            return;
        }
        active.queued = true;
        pool.queue.push_back(id);
        let until = latest.min(now + bound);
        self.set_timer(until, id, Timer::QueueTimeout);
    }

    /// Sends queued calls while the limits and the servers allow.
    pub(super) fn dequeue(&mut self, now: Mono, pool: u32, out: &mut Vec<CallAction>) {
        while let Some(id) = self.pools[pool as usize].queue.front().copied() {
            let queued = self.calls.get(&id).is_some_and(|r| r.queued);
            if queued {
                let deadline = self.calls.get(&id).map(|r| r.call.deadline);
                if deadline.is_some_and(|d| now >= d) {
                    self.give_up(now, id, Reason::Deadline, out);
                } else if !self.try_send(now, id, out) {
                    return;
                }
            }
            self.pools[pool as usize].queue.pop_front();
        }
    }

    /// Sends a call without an attempt in flight; returns false if the limits or the servers don't
    /// allow another attempt.
    pub(super) fn try_send(&mut self, now: Mono, id: CallId, out: &mut Vec<CallAction>) -> bool {
        let Some(active) = self.calls.get(&id) else {
            return true;
        };
        let connection = if active.call.idempotent {
            Connection::Any
        } else {
            Connection::Live
        };
        self.send(now, id, connection, out)
    }

    /// Chooses a server and sends an attempt; returns false if the limits or the servers don't
    /// allow another attempt.
    pub(super) fn send(
        &mut self,
        now: Mono,
        id: CallId,
        connection: Connection,
        out: &mut Vec<CallAction>,
    ) -> bool {
        let Some(active) = self.calls.get(&id) else {
            return false;
        };
        let pool = active.pool;
        let (tried, count) = active.avoided();
        if !active.can_add_attempt()
            || !self.pools[pool as usize]
                .limit
                .has_capacity(self.pools[pool as usize].in_flight)
        {
            return false;
        }
        let Some(choice) = self.choose(now, pool, &tried[..count]) else {
            return false;
        };
        self.send_to(now, id, pool, choice, connection, out);
        true
    }

    fn choose(&mut self, now: Mono, pool: u32, avoid: &[u32]) -> Option<Choice> {
        let choice = &self.settings.choice;
        let pool = &mut self.pools[pool as usize];
        let params = pool.cost_params(choice, self.distrust_before);
        let chooser = Chooser {
            now,
            settings: choice,
            params,
            servers: &self.servers,
            avoid,
        };
        chooser.choose(pool, &mut self.rng)
    }

    fn send_to(
        &mut self,
        now: Mono,
        id: CallId,
        pool_id: u32,
        choice: Choice,
        connection: Connection,
        out: &mut Vec<CallAction>,
    ) {
        let Some(active) = self.calls.get_mut(&id) else {
            return;
        };
        let server = &mut self.servers[choice.server as usize];
        let (passed_budget, kept) = retry::split_budget(active.retry_budget);
        let attempt = active.add(AttemptState {
            server: choice.server,
            sent: now,
            owned: choice.owned_slot.is_some(),
            stage: Stage::Sent,
            refused: false,
            passed_budget,
            cancellation: Cancellation::None,
        });
        let Some(attempt) = attempt else {
            return;
        };
        active.retry_budget = kept;
        active.queued = false;
        let idempotent = active.call.idempotent;
        let unproven = active.maybe_started;
        self.invariants
            .check(Invariant::AtMostOnce, idempotent || unproven == 0, || {
                format!("call={} unproven={unproven}", id.0)
            });
        let bound = self.settings.leaving_grace;
        let known_for = server.leaving_since().map(|l| now.since(l));
        self.invariants.check(
            Invariant::LeavingServer,
            known_for.is_none_or(|t| t < bound),
            || format!("server={} known_for={known_for:?}", choice.server),
        );
        active.maybe_started += 1;
        let pool = &mut self.pools[pool_id as usize];
        let max_silence =
            Duration::from_micros((MAX_SILENCE_MEANS * pool.mean_latency_us()) as u64);
        let silent = server.silence(now) > max_silence;
        let unheard = server.last_byte < self.distrust_before;
        let connection = if silent || unheard && connection == Connection::Live {
            Connection::New
        } else {
            connection
        };
        server.record_sent(now);
        pool.in_flight += 1;
        if let Some(position) = choice.owned_slot {
            pool.take_owned(&mut self.servers, position);
        }
        out.push(CallAction::Send {
            call: id,
            attempt,
            server: ServerId(choice.server),
            connection,
            retry_budget: passed_budget,
        });
        self.set_attempt_timers(now, id, attempt, pool_id, idempotent);
    }

    /// Finishes a call without a response; cancels its attempts in flight.
    pub(super) fn give_up(
        &mut self,
        now: Mono,
        id: CallId,
        reason: Reason,
        out: &mut Vec<CallAction>,
    ) {
        let Some(active) = self.calls.get(&id) else {
            return;
        };
        let not_started = active.maybe_started == 0;
        let verdict = if not_started || !self.settings.guards.outcome {
            Verdict::NotRun {
                reason,
                retry_after: self.retry_after(active.pool),
            }
        } else {
            Verdict::Unknown(reason)
        };
        let told_not_run = matches!(verdict, Verdict::NotRun { .. });
        self.invariants
            .check(Invariant::NotRun, !told_not_run || not_started, || {
                format!("call={} reason={}", id.0, reason.label())
            });
        self.finish(now, id, verdict, out);
    }

    /// Time after which the service can probably accept another call.
    fn retry_after(&self, pool: u32) -> Duration {
        let limits = &self.settings.limits;
        let pool = &self.pools[pool as usize];
        let wait =
            limits::expected_wait(pool.queue.len(), pool.mean_latency_us(), pool.limit.limit());
        wait.clamp(limits.min_retry_after, limits.max_retry_after)
    }

    /// Answers the caller, cancels attempts in flight and updates the counts of accepted calls.
    pub(super) fn finish(
        &mut self,
        _now: Mono,
        id: CallId,
        verdict: Verdict,
        out: &mut Vec<CallAction>,
    ) {
        let Some(active) = self.calls.get_mut(&id) else {
            return;
        };
        if active.finished {
            return;
        }
        active.finished = true;
        active.queued = false;
        out.push(CallAction::Finish { call: id, verdict });
        for attempt in active.live().collect::<Vec<_>>() {
            let cancellation = active.get_mut(attempt).map(|t| &mut t.cancellation);
            if let Some(cancellation) = cancellation
                && *cancellation == Cancellation::None
            {
                *cancellation = Cancellation::Discard;
                out.push(CallAction::Cancel { call: id, attempt });
            }
        }
        self.accepted -= 1;
        let council = self.pools[active.pool as usize].council;
        self.councils[council as usize].load.accepted -= 1;
        if active.live().next().is_none() {
            self.calls.remove(&id);
        }
    }
}
