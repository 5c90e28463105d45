//! Answers, failures and the end of attempts.

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

/// Time within which other broken connections confirm that a server died.
const CRASH_WINDOW: Duration = Duration::from_millis(500);

impl Dispatcher {
    pub(super) fn note_head(
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
        let Some(sent) = active.get_mut(attempt) else {
            return;
        };
        if sent.stage != Stage::Sent {
            return;
        }
        sent.stage = Stage::Answering;
        sent.refused = pool.config.refused_statuses.contains(&status);
        let latency = now.since(sent.sent);
        let server = sent.server;
        let refused = sent.refused;
        let fingerprint = active.call.fingerprint;
        self.servers[server as usize].record_head(now, (!refused).then_some(latency));
        if refused {
            let normal = pool.mean_latency();
            pool.limit
                .lower(now, normal, self.settings.limits.decrease_factor);
        } else {
            pool.latency.record(latency);
            let normal = pool.mean_latency_us();
            self.servers[server as usize].lower_trust_if_slow(latency.as_micros() as f32, normal);
            pool.limit.raise(pool.in_flight);
            self.crashes.clear(fingerprint);
        }
        if let Some(load) = load {
            self.note_load(now, server, load, out);
        }
    }

    fn note_load(&mut self, now: Mono, id: u32, load: LoadReport, out: &mut Vec<CallAction>) {
        let server = &mut self.servers[id as usize];
        let still_running = server.in_flight.saturating_sub(1);
        server.record_report(now, &load, still_running);
        let pool = &mut self.pools[server.service as usize];
        pool.record_occupancy(load.in_flight, server.slots);
        if !load.draining {
            return;
        }
        let until = now + self.settings.leaving_ttl;
        if self.servers[id as usize].mark_leaving(now, Some(until)) {
            out.push(CallAction::TellLeaving(ServerId(id)));
            self.rebuild(self.servers[id as usize].service);
        }
    }

    pub(super) fn note_probe(
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
            self.note_load(now, id.0, load, out);
        } else {
            self.note_failure(now, id.0);
        }
    }

    pub(super) fn hear_leaving(&mut self, now: Mono, council: &Name, service: &Name, name: &Name) {
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

    pub(super) fn end(
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
        let Some(sent) = active.get_mut(attempt) else {
            return;
        };
        if sent.stage == Stage::Ended {
            return;
        }
        let was = *sent;
        sent.stage = Stage::Ended;
        let proven = retry::proves_not_run(ending, was.refused);
        if proven {
            active.maybe_started -= 1;
        }
        if retry::refunds_budget(ending) {
            active.retry_budget += was.passed_budget;
        }
        if ending == Ending::CancelledBeforeStart && was.cancellation == Cancellation::Move {
            self.pools[pool as usize].record_moved();
        }
        let (finished, fingerprint) = (active.finished, active.call.fingerprint);
        self.release(&was, pool);
        self.judge_server(now, &was, ending);
        let crashed = ending == Ending::Broken && was.stage == Stage::Sent;
        if crashed {
            let crash = Crash {
                sent: was.sent,
                broke: now,
            };
            self.note_crash(fingerprint, crash, was.server, out);
        }
        if finished {
            self.forget(id);
        } else {
            self.conclude(now, id, attempt, &was, ending, out);
        }
        self.dequeue(now, pool, out);
    }

    fn release(&mut self, was: &AttemptState, pool: u32) {
        let pool = &mut self.pools[pool as usize];
        pool.in_flight = pool.in_flight.saturating_sub(1);
        self.servers[was.server as usize].record_ended();
        if was.owned {
            pool.release_owned(&mut self.servers, was.server);
        }
    }

    fn judge_server(&mut self, now: Mono, was: &AttemptState, ending: Ending) {
        match ending {
            Ending::Complete => self.servers[was.server as usize].record_head(now, None),
            Ending::Refused | Ending::CancelledBeforeStart => {
                let service = self.servers[was.server as usize].service;
                let mean = self.pools[service as usize].mean_latency_us();
                let span =
                    Duration::from_micros((self.settings.choice.full_for_means * mean) as u64);
                self.servers[was.server as usize].mark_full(now + span);
            }
            Ending::Abandoned => {}
            Ending::NotSent | Ending::Broken => self.note_failure(now, was.server),
            Ending::TimedOut => {
                let pool = self.servers[was.server as usize].service;
                let pool = &mut self.pools[pool as usize];
                let normal = pool.mean_latency();
                pool.limit
                    .lower(now, normal, self.settings.limits.decrease_factor);
                self.note_failure(now, was.server);
            }
        }
    }

    /// Counts a failure; ejects the server after several, but never too large a part of a service.
    fn note_failure(&mut self, now: Mono, id: u32) {
        let server = &mut self.servers[id as usize];
        server.failures += 1;
        let enough = server.failures >= self.settings.eject_after;
        if !enough || server.is_ejected(now) {
            return;
        }
        let pool = &self.pools[server.service as usize];
        let ejected = pool.candidates.iter();
        let ejected = ejected.filter(|c| self.servers[**c as usize].is_ejected(now));
        let bound = (self.settings.max_ejected_fraction * pool.candidates.len() as f32).max(1.0);
        if (ejected.count() as f32) < bound {
            self.servers[id as usize].eject(now, self.settings.base_ejection);
        }
    }

    /// Counts a crash if the server lost all its connections or had only this attempt.
    fn note_crash(&mut self, fingerprint: u64, crash: Crash, id: u32, out: &mut Vec<CallAction>) {
        let now = crash.broke;
        let server = &self.servers[id as usize];
        let quiet = now.since(server.last_byte) > CRASH_WINDOW;
        let dying = server.in_flight == 0 || server.failures > 1 || quiet;
        if dying && self.crashes.record_crash(now, fingerprint, crash) {
            out.push(CallAction::TellCrashing(fingerprint));
        }
    }

    fn forget(&mut self, id: CallId) {
        let done = self
            .calls
            .get(&id)
            .is_some_and(|r| r.live().next().is_none());
        if done {
            self.calls.remove(&id);
        }
    }

    /// Decides what follows from the end of an attempt of an unfinished call.
    fn conclude(
        &mut self,
        now: Mono,
        id: CallId,
        attempt: Attempt,
        was: &AttemptState,
        ending: Ending,
        out: &mut Vec<CallAction>,
    ) {
        if ending == Ending::Complete && !was.refused {
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
        let reason = self.reason_to_stop(now, id);
        let moved =
            ending == Ending::CancelledBeforeStart && was.cancellation == Cancellation::Move;
        let again = match reason {
            Some(_) => false,
            None if moved => self.send_or_wait(now, id, ending, out),
            None => self.spend_retry(id) && self.send_or_wait(now, id, ending, out),
        };
        if !again {
            let failure = self.calls.get(&id).map(|r| r.failure);
            let reason = reason.or(failure).unwrap_or(Reason::Overload);
            self.give_up(now, id, reason, out);
        }
    }

    /// Why a call must not be sent again, if it must not.
    fn reason_to_stop(&self, now: Mono, id: CallId) -> Option<Reason> {
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
        let proven = active.maybe_started == 0 || !self.settings.guards.proof;
        (!call.idempotent && !proven).then_some(active.failure)
    }

    /// Sends an extra attempt, or lets the call wait for room at a server that it has not tried.
    fn send_or_wait(
        &mut self,
        now: Mono,
        id: CallId,
        ending: Ending,
        out: &mut Vec<CallAction>,
    ) -> bool {
        let healthy = matches!(
            ending,
            Ending::Refused | Ending::CancelledBeforeStart | Ending::Complete
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
        if active.has_room() && untried {
            self.enqueue(now, id, out);
            return true;
        }
        false
    }

    /// Takes one extra attempt from the chain's and the service's budget.
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

    pub(super) fn drop_caller(&mut self, now: Mono, id: CallId, out: &mut Vec<CallAction>) {
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
        Ending::Complete | Ending::Refused => Reason::ServerRefused,
        Ending::NotSent => Reason::ConnectFailed,
        Ending::CancelledBeforeStart => Reason::Overload,
        Ending::Broken => Reason::ConnectionBroken,
        Ending::Abandoned => Reason::CallerGone,
        Ending::TimedOut => Reason::Deadline,
    }
}
