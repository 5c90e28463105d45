//! Whether a daemon may send to a server that has asked for fewer requests, and if not, when.
//!
//! Servers ask in three ways. A limit is a rate for all daemons together, see [`server_limit`], and
//! so is what a cold server bears, see [`cold_server`]. A pause is for the daemon whose request was
//! turned away: the server wants nothing of it for a time. All belong to one incarnation of a server, and placement, retries, hedges and probes all
//! follow this one decision.
//!
//! Load pattern: servers that can't keep up turn requests away and name a pause; all daemons that
//! asked them would come back at the same moment.
//!
//! [`cold_server`]: super::cold_server
//! [`server_limit`]: super::server_limit

use std::time::Duration;

use super::cold_server::ColdServer;
use super::server_limit::ServerLimit;
use crate::state::time::Mono;

/// Longest pause that is kept; a server can't take itself out for longer with one response.
const MAX_PAUSE: Duration = Duration::from_secs(3600);
/// Time after its last confirmation for which the limit of a server that is gone is kept.
const LIMIT_MEMORY: Duration = Duration::from_secs(120);
/// Longest random time that is added to a pause, as a fraction of it.
const PAUSE_SPREAD: f32 = 0.2;
/// Longest random time that is added to a pause.
const MAX_PAUSE_SPREAD: Duration = Duration::from_secs(1);

/// What a server has asked of this daemon.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct HoldOff {
    /// Limit that the server names; `None` if it names none.
    pub limit: Option<ServerLimit>,
    /// Whether the server is cold.
    pub cold: ColdServer,
    paused_until: Mono,
}

/// Why a server takes no request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldOffCause {
    /// The server wants nothing of this daemon for a time.
    Pause,
    /// The limit of the server leaves no request to this daemon now.
    Limit,
    /// The server is cold, and it isn't this daemon's turn.
    Cold,
}

/// Whether a request or a probe may be sent to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendPermit {
    /// It may be sent now.
    Now,
    /// It may be sent from a time on; `None` while the daemon's part of a new limit isn't known.
    From(Option<Mono>, HoldOffCause),
}

impl HoldOff {
    /// Records that the server wants nothing for `pause`; returns whether that lengthens a pause.
    ///
    /// `spread`, from 0 to 1, sets by how much this daemon waits longer, so that the daemons don't
    /// come back at the same moment.
    pub fn pause(&mut self, now: Mono, pause: Duration, spread: f32) -> bool {
        let pause = pause.min(MAX_PAUSE);
        let added = pause.mul_f32(PAUSE_SPREAD).min(MAX_PAUSE_SPREAD);
        let until = now + pause + added.mul_f32(spread);
        // A response that was under way when the pause began may name a shorter one.
        let lengthens = now + pause > self.paused_until;
        if lengthens {
            self.paused_until = until;
        }
        lengthens
    }

    /// Time left of the pause; `None` if there is none.
    pub fn pause_left(&self, now: Mono) -> Option<Duration> {
        (now < self.paused_until).then(|| self.paused_until.since(now))
    }

    /// Whether the server has asked for something that may still hold.
    pub fn is_active(&self, now: Mono) -> bool {
        let limit = self.limit.as_ref();
        let is_recent = limit.is_some_and(|l| now.since(l.confirmed()) < LIMIT_MEMORY);
        is_recent || self.pause_left(now).is_some() || now < self.cold.until()
    }

    /// Whether the daemon may send to the server now.
    pub fn permit(&self, now: Mono) -> SendPermit {
        let limited = self.limit.as_ref().map(ServerLimit::next_send);
        let pause = (Some(self.paused_until), HoldOffCause::Pause);
        let limit = (limited.unwrap_or(Some(now)), HoldOffCause::Limit);
        let cold = (self.cold.next_send(now), HoldOffCause::Cold);
        let all = [pause, limit, cold];
        let mut holding = all
            .into_iter()
            .filter(|(at, _)| at.is_none_or(|at| now < at));
        match holding.next() {
            None => SendPermit::Now,
            Some((_, cause)) => {
                let mut times = all.into_iter().map(|(at, _)| at);
                let latest = times.try_fold(now, |latest, at| Some(latest.max(at?)));
                SendPermit::From(latest, cause)
            }
        }
    }

    /// Records that the daemon sends a request to the server.
    pub fn record_sent(&mut self, now: Mono) {
        if let Some(limit) = &mut self.limit {
            limit.record_sent(now);
        }
        self.cold.record_sent(now);
    }
}
