//! What the dispatcher learns from servers: response heads, load reports and ends of attempts.

use std::time::Duration;

use super::Dispatcher;
use crate::coordination::attempt::{AttemptState, Cancellation, Stage};
use crate::coordination::crash::Crash;
use crate::coordination::event::{
    Attempt, CallAction, CallId, Connection, Ending, Reason, ServerId, Verdict,
};
use crate::coordination::retry;
use crate::state::Name;
use crate::state::load::LoadReport;
use crate::state::time::Mono;

/// Silence of a server after which a broken connection counts as a crash of the server.
const CRASH_SILENCE: Duration = Duration::from_millis(500);

impl Dispatcher {
    pub(super) fn handle_head(
        &mut self,
        now: Mono,
        id: CallId,
        attempt: Attempt,
        status: u16,
        load: Option<LoadReport>,
        out: &mut Vec<CallAction>,
    ) {
        let Some(active) = self.calls.get_mut(&id) else {
            return;
        };
        let pool = &mut self.pools[active.pool as usize];
        let Some(state) = active.get_mut(attempt) else {
            return;
        };
        if state.stage != Stage::Sent {
            return;
        }
        state.stage = Stage::Answering;
        state.refused = pool.config.refused_statuses.contains(&status);
        let latency = now.since(state.sent);
        let server = state.server;
        let refused = state.refused;
        let fingerprint = active.call.fingerprint;
        self.servers[server as usize].record_head(now, (!refused).then_some(latency));
        if refused {
            let mean = pool.mean_latency();
            pool.limit
                .lower(now, mean, self.settings.limits.decrease_factor);
        } else {
            pool.latency.record(latency);
            let mean = pool.mean_latency_us();
            self.servers[server as usize].lower_trust_if_slow(latency.as_micros() as f32, mean);
            pool.limit.raise(pool.in_flight);
            self.crashes.clear(fingerprint);
        }
        if let Some(load) = load {
            self.handle_load(now, server, load, out);
        }
    }

    fn handle_load(&mut self, now: Mono, id: u32, load: LoadReport, out: &mut Vec<CallAction>) {
        let server = &mut self.servers[id as usize];
        let still_running = server.in_flight.saturating_sub(1);
        server.record_report(now, &load, still_running);
        let pool = &mut self.pools[server.pool as usize];
        pool.record_occupancy(load.in_flight, server.slots);
        if !load.draining {
            return;
        }
        let until = now + self.settings.leaving_ttl;
        if self.servers[id as usize].mark_leaving(now, Some(until)) {
            out.push(CallAction::TellLeaving(ServerId(id)));
            self.rebuild(self.servers[id as usize].pool);
        }
    }

    pub(super) fn handle_probe(
        &mut self,
        now: Mono,
        id: ServerId,
        load: Option<LoadReport>,
        out: &mut Vec<CallAction>,
    ) {
        let Some(server) = self.servers.get_mut(id.0 as usize) else {
            return;
        };
        if let Some(load) = load {
            server.record_head(now, None);
            self.handle_load(now, id.0, load, out);
        } else {
            self.record_failure(now, id.0);
        }
    }

    pub(super) fn handle_leaving(
        &mut self,
        now: Mono,
        council: &Name,
        service: &Name,
        name: &Name,
    ) {
        let key = (council.clone(), service.clone());
        let Some(pool) = self.pool_ids.get(&key).copied() else {
            return;
        };
        let members = &self.pools[pool as usize].members;
        let named = |id: &&u32| self.configs[**id as usize].name == *name;
        let Some(id) = members.iter().find(named).copied() else {
            return;
        };
        let until = now + self.settings.leaving_ttl;
        if self.servers[id as usize].mark_leaving(now, Some(until)) {
            self.rebuild(pool);
        }
    }

    pub(super) fn handle_end(
        &mut self,
        now: Mono,
        id: CallId,
        attempt: Attempt,
        ending: Ending,
        out: &mut Vec<CallAction>,
    ) {
        let Some(active) = self.calls.get_mut(&id) else {
            return;
        };
        let pool = active.pool;
        let Some(state) = active.get_mut(attempt) else {
            return;
        };
        if state.stage == Stage::Ended {
            return;
        }
        let before = *state;
        state.stage = Stage::Ended;
        let not_started = retry::proves_not_run(ending, before.refused);
        if not_started {
            active.maybe_started -= 1;
        }
        if retry::refunds_budget(ending) {
            active.retry_budget += before.passed_budget;
        }
        if ending == Ending::CancelledBeforeStart && before.cancellation == Cancellation::Move {
            self.pools[pool as usize].record_moved();
        }
        let (finished, fingerprint) = (active.finished, active.call.fingerprint);
        self.release(&before, pool);
        self.update_server_health(now, &before, ending);
        let crashed = ending == Ending::Broken && before.stage == Stage::Sent;
        if crashed {
            let crash = Crash {
                sent: before.sent,
                broke: now,
            };
            self.record_crash(fingerprint, crash, before.server, out);
        }
        if finished {
            self.remove_if_ended(id);
        } else {
            self.retry_or_finish(now, id, attempt, &before, ending, out);
        }
        self.dequeue(now, pool, out);
    }

    fn release(&mut self, before: &AttemptState, pool: u32) {
        let pool = &mut self.pools[pool as usize];
        pool.in_flight = pool.in_flight.saturating_sub(1);
        self.servers[before.server as usize].record_ended();
        if before.owned {
            pool.release_owned(&mut self.servers, before.server);
        }
    }

    fn update_server_health(&mut self, now: Mono, before: &AttemptState, ending: Ending) {
        match ending {
            Ending::Whole => self.servers[before.server as usize].record_head(now, None),
            Ending::Refused | Ending::CancelledBeforeStart => {
                let pool = self.servers[before.server as usize].pool;
                let mean = self.pools[pool as usize].mean_latency_us();
                let span =
                    Duration::from_micros((self.settings.choice.full_for_means * mean) as u64);
                self.servers[before.server as usize].mark_full(now + span);
            }
            Ending::Abandoned => {}
            Ending::NotSent | Ending::Broken => self.record_failure(now, before.server),
            Ending::TimedOut => {
                let pool = self.servers[before.server as usize].pool;
                let pool = &mut self.pools[pool as usize];
                let mean = pool.mean_latency();
                pool.limit
                    .lower(now, mean, self.settings.limits.decrease_factor);
                self.record_failure(now, before.server);
            }
        }
    }

    /// Counts a failure; ejects the server after several in a row, unless too large a fraction of
    /// the service is ejected already.
    fn record_failure(&mut self, now: Mono, id: u32) {
        let server = &mut self.servers[id as usize];
        server.failures += 1;
        let too_many = server.failures >= self.settings.eject_after_failures;
        if !too_many || server.is_ejected(now) {
            return;
        }
        let pool = &self.pools[server.pool as usize];
        let ejected = pool.candidates.iter();
        let ejected = ejected.filter(|c| self.servers[**c as usize].is_ejected(now));
        let bound = (self.settings.max_ejected_fraction * pool.candidates.len() as f32).max(1.0);
        if (ejected.count() as f32) < bound {
            self.servers[id as usize].eject(now, self.settings.base_ejection);
        }
    }

    /// Records a crash if the broken connection is not an isolated failure: the server has no other
    /// attempt of this daemon in flight, failed before, or is silent.
    fn record_crash(&mut self, fingerprint: u64, crash: Crash, id: u32, out: &mut Vec<CallAction>) {
        let now = crash.broke;
        let server = &self.servers[id as usize];
        let silent = now.since(server.last_byte) > CRASH_SILENCE;
        let dying = server.in_flight == 0 || server.failures > 1 || silent;
        if dying && self.crashes.record_crash(now, fingerprint, crash) {
            out.push(CallAction::TellCrashing(fingerprint));
        }
    }

    fn remove_if_ended(&mut self, id: CallId) {
        let all_ended = self
            .calls
            .get(&id)
            .is_some_and(|r| r.live().next().is_none());
        if all_ended {
            self.calls.remove(&id);
        }
    }

    /// Finishes a call whose last attempt in flight ended, or sends or enqueues the call again.
    fn retry_or_finish(
        &mut self,
        now: Mono,
        id: CallId,
        attempt: Attempt,
        before: &AttemptState,
        ending: Ending,
        out: &mut Vec<CallAction>,
    ) {
        if ending == Ending::Whole && !before.refused {
            self.finish(now, id, Verdict::Deliver(attempt), out);
            return;
        }
        let Some(active) = self.calls.get_mut(&id) else {
            return;
        };
        active.failure = failure_reason(ending);
        if active.live().next().is_some() {
            return;
        }
        let reason = self.reason_not_to_retry(now, id);
        let moved =
            ending == Ending::CancelledBeforeStart && before.cancellation == Cancellation::Move;
        let again = match reason {
            Some(_) => false,
            None if moved => self.send_or_enqueue(now, id, ending, out),
            None if !self.spend_retry(id) => false,
            None => {
                let sent = self.send_or_enqueue(now, id, ending, out);
                if !sent {
                    self.refund_retry(id);
                }
                sent
            }
        };
        if !again {
            let failure = self.calls.get(&id).map(|r| r.failure);
            let reason = reason.or(failure).unwrap_or(Reason::Overload);
            self.give_up(now, id, reason, out);
        }
    }

    /// Why the call must not be sent again; `None` if it may.
    fn reason_not_to_retry(&self, now: Mono, id: CallId) -> Option<Reason> {
        let active = self.calls.get(&id)?;
        let call = &active.call;
        if active.caller_gone {
            return Some(Reason::CallerGone);
        }
        if now >= call.deadline {
            return Some(Reason::Deadline);
        }
        if self.settings.guards.crashes && self.crashes.is_refused(now, call.fingerprint) {
            return Some(Reason::Crashing);
        }
        let safe = active.maybe_started == 0 || !self.settings.guards.proof;
        (!call.idempotent && !safe).then_some(active.failure)
    }

    /// Sends another attempt, or enqueues the call if there is a server that it has not tried.
    fn send_or_enqueue(
        &mut self,
        now: Mono,
        id: CallId,
        ending: Ending,
        out: &mut Vec<CallAction>,
    ) -> bool {
        let healthy = matches!(
            ending,
            Ending::Refused | Ending::CancelledBeforeStart | Ending::Whole
        );
        let sent = if healthy {
            self.try_send(now, id, out)
        } else {
            self.send(now, id, Connection::New, out)
        };
        if sent {
            return true;
        }
        let Some(active) = self.calls.get(&id) else {
            return false;
        };
        let (_, tried) = active.avoided();
        let untried = tried < self.pools[active.pool as usize].candidates.len();
        if active.can_add_attempt() && untried {
            self.enqueue(now, id, out);
            return true;
        }
        false
    }

    /// Takes one retry or hedge from the budgets of the call and of the service.
    pub(super) fn spend_retry(&mut self, id: CallId) -> bool {
        if !self.settings.guards.retries {
            return true;
        }
        let Some(active) = self.calls.get_mut(&id) else {
            return false;
        };
        let pool = &mut self.pools[active.pool as usize];
        if active.retry_budget == 0 || !pool.retries.withdraw() {
            return false;
        }
        active.retry_budget -= 1;
        true
    }

    /// Gives back what [`Self::spend_retry`] took for an attempt that was not sent.
    pub(super) fn refund_retry(&mut self, id: CallId) {
        if !self.settings.guards.retries {
            return;
        }
        if let Some(active) = self.calls.get_mut(&id) {
            active.retry_budget += 1;
            self.pools[active.pool as usize].retries.refund();
        }
    }

    pub(super) fn handle_caller_gone(&mut self, now: Mono, id: CallId, out: &mut Vec<CallAction>) {
        let Some(active) = self.calls.get_mut(&id) else {
            return;
        };
        active.caller_gone = true;
        let idle = active.live().next().is_none();
        if idle || active.call.idempotent {
            self.give_up(now, id, Reason::CallerGone, out);
        }
    }
}

fn failure_reason(ending: Ending) -> Reason {
    match ending {
        Ending::Whole | Ending::Refused => Reason::ServerRefused,
        Ending::NotSent => Reason::ConnectFailed,
        Ending::CancelledBeforeStart => Reason::Overload,
        Ending::Broken => Reason::ConnectionBroken,
        Ending::Abandoned => Reason::CallerGone,
        Ending::TimedOut => Reason::Deadline,
    }
}
