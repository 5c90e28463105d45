//! Timers, probes, and pauses of the process.

use std::cmp::Reverse;
use std::time::Duration;

use rand::RngExt;

use super::{Dispatcher, Timer};
use crate::coordination::attempt::{Cancellation, Stage};
use crate::coordination::event::{Attempt, CallAction, CallId, Connection, Reason, ServerId};
use crate::coordination::retry;
use crate::state::time::Mono;

/// Number of servers among which one is picked for a probe.
const PROBE_SAMPLES: usize = 8;

impl Dispatcher {
    /// Stops relying on earlier load reports if the process was paused since the last event.
    pub(super) fn detect_pause(&mut self, now: Mono) {
        let last = self.last_event.replace(now).unwrap_or(now);
        if now.since(last) < self.settings.pause_gap || !self.settings.guards.pause {
            return;
        }
        self.distrust_before = now;
        for server in &mut self.servers {
            server.reset_silence(now);
        }
    }

    pub(super) fn set_timer(&mut self, at: Mono, id: CallId, timer: Timer) {
        self.timers.push(Reverse((at, id, timer)));
    }

    /// Sets the timers for a move and for a hedge of an attempt.
    pub(super) fn set_attempt_timers(
        &mut self,
        now: Mono,
        id: CallId,
        attempt: Attempt,
        pool: u32,
        idempotent: bool,
    ) {
        let latency = self.pools[pool as usize].latency;
        if !latency.is_settled() {
            return;
        }
        let retry = &self.settings.retry;
        let move_delay = Duration::from_micros((retry.move_mean_factor * latency.mean()) as u64);
        let selected = self.rng.random::<f32>() < self.pools[pool as usize].move_fraction(retry);
        let hedge_delay = retry::hedge_delay(retry, &latency);
        let movable = idempotent || retry.move_non_idempotent;
        let movable = movable && !self.pools[pool as usize].config.cancel_path.is_empty();
        if movable && selected && retry.max_moves > 0 {
            self.set_timer(now + move_delay, id, Timer::Move(attempt.0));
        }
        if let Some(delay) = hedge_delay.filter(|_| idempotent) {
            self.set_timer(now + delay, id, Timer::Hedge(attempt.0));
        }
    }

    pub(super) fn run_timers(&mut self, now: Mono, out: &mut Vec<CallAction>) {
        while let Some(Reverse((at, id, timer))) = self.timers.peek().copied() {
            if at > now {
                return;
            }
            self.timers.pop();
            match timer {
                Timer::QueueTimeout => self.handle_queue_timeout(now, id, out),
                Timer::Move(attempt) => self.try_move(id, Attempt(attempt), out),
                Timer::Hedge(attempt) => self.hedge(now, id, Attempt(attempt), out),
            }
        }
    }

    fn handle_queue_timeout(&mut self, now: Mono, id: CallId, out: &mut Vec<CallAction>) {
        let queued = self.calls.get(&id).is_some_and(|r| r.queued);
        if queued {
            self.give_up(now, id, Reason::Overload, out);
        }
    }

    fn awaits_response(&self, id: CallId, attempt: Attempt) -> bool {
        let Some(active) = self.calls.get(&id) else {
            return false;
        };
        let waiting = active.get(attempt).is_some_and(|t| t.stage == Stage::Sent);
        waiting && !active.finished
    }

    /// Cancels an attempt that the server has probably not started, to move the call elsewhere.
    fn try_move(&mut self, id: CallId, attempt: Attempt, out: &mut Vec<CallAction>) {
        if !self.awaits_response(id, attempt) {
            return;
        }
        let Some(active) = self.calls.get_mut(&id) else {
            return;
        };
        let single = active.live().count() == 1;
        let pool = &mut self.pools[active.pool as usize];
        let has_other = pool.candidates.len() > 1;
        let moves_left = active.moves < self.settings.retry.max_moves;
        let allowed = has_other && moves_left && active.can_add_attempt();
        if !single || !allowed || !pool.moves.withdraw() {
            return;
        }
        active.moves += 1;
        if let Some(state) = active.get_mut(attempt) {
            state.cancellation = Cancellation::Move;
            pool.record_move_requested();
        }
        out.push(CallAction::Cancel { call: id, attempt });
    }

    /// Sends a second attempt on a new connection while the first has no response.
    fn hedge(&mut self, now: Mono, id: CallId, attempt: Attempt, out: &mut Vec<CallAction>) {
        if !self.awaits_response(id, attempt) {
            return;
        }
        let Some(active) = self.calls.get(&id) else {
            return;
        };
        let single = active.live().count() == 1;
        let expired = now >= active.call.deadline;
        let crashing =
            self.settings.guards.crashes && self.crashes.is_refused(now, active.call.fingerprint);
        let pool = &self.pools[active.pool as usize];
        let has_capacity = pool.limit.has_capacity(pool.in_flight) && pool.queue.is_empty();
        if single
            && !expired
            && !crashing
            && has_capacity
            && self.spend_retry(id)
            && !self.send(now, id, Connection::New, out)
        {
            self.refund_retry(id);
        }
    }

    pub(super) fn run_tick(&mut self, now: Mono, out: &mut Vec<CallAction>) {
        self.run_probes(now, out);
        if now.since(self.last_tick) < self.settings.tick_interval {
            return;
        }
        self.last_tick = now;
        self.expire_leaving(now);
        for pool in 0..self.pools.len() as u32 {
            self.dequeue(now, pool, out);
        }
    }

    fn expire_leaving(&mut self, now: Mono) {
        for id in 0..self.servers.len() {
            if self.servers[id].expire_leaving(now) {
                let end = now + self.settings.warm_up;
                self.servers[id].set_warm_up_end(end);
                self.rebuild(self.servers[id].pool);
            }
        }
    }

    fn run_probes(&mut self, now: Mono, out: &mut Vec<CallAction>) {
        for council in 0..self.councils.len() {
            let pacer = &self.councils[council].pacer;
            let due = pacer.due().is_some_and(|d| now >= d);
            if !due && self.settings.guards.probes {
                continue;
            }
            let Some(server) = self.probe_target(now, council) else {
                continue;
            };
            let pacer = &mut self.councils[council].pacer;
            if pacer.try_acquire(now, &self.invariants, self.settings.guards.probes) {
                out.push(CallAction::Probe(server));
            }
        }
    }

    /// The next server to probe: of the next few, the one that has been silent longest.
    fn probe_target(&mut self, now: Mono, council: usize) -> Option<ServerId> {
        let council = &mut self.councils[council];
        let stale_after = self.settings.probe.stale_after;
        let mut oldest: Option<(Mono, u32)> = None;
        for _ in 0..PROBE_SAMPLES {
            council.probe_cursor = council.probe_cursor.wrapping_add(1);
            let turn = council.probe_cursor;
            let pools = council.pools.len().max(1);
            let pool = council.pools.get(turn % pools)?;
            let pool = &self.pools[*pool as usize];
            if pool.candidates.is_empty() || pool.config.probe_path.is_empty() {
                continue;
            }
            let id = pool.candidates[(turn / pools) % pool.candidates.len()];
            let server = &self.servers[id as usize];
            let stale = now.since(server.last_byte) >= stale_after;
            if stale && oldest.is_none_or(|(t, _)| server.last_byte < t) {
                oldest = Some((server.last_byte, id));
            }
        }
        oldest.map(|(_, id)| ServerId(id))
    }

    /// Requests the next tick, unless one at or before that time is already requested.
    pub(super) fn request_wake(&mut self, now: Mono, out: &mut Vec<CallAction>) {
        let mut due = now + self.settings.tick_interval;
        if let Some(Reverse((at, _, _))) = self.timers.peek() {
            due = due.min(*at);
        }
        let probes = self.councils.iter().filter_map(|c| c.pacer.due());
        for at in probes.filter(|at| *at > now) {
            due = due.min(at);
        }
        if self.wake_at > now && self.wake_at <= due {
            return;
        }
        self.wake_at = due;
        out.push(CallAction::WakeAt(due));
    }
}
