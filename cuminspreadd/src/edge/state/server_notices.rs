//! What servers say of themselves in their responses: limits, pauses, and that they are leaving.

use std::time::Duration;

use cuminspread::coordination::hold_off::SendPermit;
use cuminspread::coordination::mesh::Mesh;
use cuminspread::coordination::server_limit::{
    LimitNotice, ServerLimit, held_rate, is_notable_change,
};
use cuminspread::protocol::gossip::LimitReport;
use cuminspread::state::Name;
use cuminspread::state::time::Mono;
use rand::RngExt as _;

use super::{Server, ServerKey, ServerTable};

/// Time after which an unchanged limit is reported to peers again.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Response that a notice of a limit came with.
#[derive(Debug, Clone, Copy)]
pub enum LimitSource {
    /// Response to a request that was sent at this time.
    Request {
        /// When the request was sent.
        sent_at: Mono,
        /// The response has the server's signature.
        signed: bool,
    },
    /// Response to a probe, which may leave out the limit.
    Probe,
}

impl LimitSource {
    fn label(self) -> &'static str {
        match self {
            Self::Request { .. } => "response",
            Self::Probe => "probe",
        }
    }
}

impl Server {
    /// Records an answer of `at` that names a limit; returns whether it is notable.
    fn confirm_limit(&mut self, now: Mono, at: Mono, rate: f32, source: &str) -> bool {
        let before = self.hold_off.limit.as_ref().map(ServerLimit::rate);
        match &mut self.hold_off.limit {
            Some(limit) => limit.confirm(at, rate),
            None => self.hold_off.limit = Some(ServerLimit::new(at, rate)),
        }
        let notable = before.is_none_or(|b| is_notable_change(b, rate));
        if notable {
            let before = before.map_or_else(|| "none".to_owned(), |b| b.to_string());
            let age = now.since(at).as_millis();
            log::info!(
                "event=server_limited server={} per_s={rate} before={before} source={source} \
                 age_ms={age}",
                self.entry.id
            );
        }
        notable
    }

    fn end_limit(&mut self, now: Mono, source: &str) {
        if let Some(limit) = self.hold_off.limit.take() {
            log::info!(
                "event=server_limit_ended server={} per_s={} for_ms={} source={source}",
                self.entry.id,
                limit.rate(),
                limit.age(now).as_millis()
            );
        }
    }
}

impl ServerTable {
    /// Records what a response says of its server's limit; returns whether that is new.
    pub fn record_limit(
        &mut self,
        now: Mono,
        key: ServerKey,
        notice: LimitNotice,
        source: LimitSource,
    ) -> bool {
        let Some(server) = self.servers.get_mut(&key) else {
            return false;
        };
        let changed = match notice {
            LimitNotice::Rate(rate) => server.confirm_limit(now, now, rate, source.label()),
            LimitNotice::Malformed => {
                if !std::mem::replace(&mut server.limit_malformed, true) {
                    let id = &server.entry.id;
                    log::warn!("event=server_limit_unreadable server={id}");
                }
                return false;
            }
            LimitNotice::Absent => {
                let LimitSource::Request {
                    sent_at,
                    signed: true,
                } = source
                else {
                    return false;
                };
                let ended = server.hold_off.limit.as_ref();
                if !ended.is_some_and(|l| l.is_ended_by(sent_at)) {
                    return false;
                }
                server.end_limit(now, source.label());
                true
            }
        };
        if changed || now.since(server.limit_reported) >= REPORT_INTERVAL {
            server.limit_reported = now;
            let report = LimitReport {
                server: server.entry.id.clone(),
                started_ms: server.entry.started_ms,
                rate: server.hold_off.limit.as_ref().map(ServerLimit::rate),
                age: Duration::ZERO,
                relay: false,
            };
            self.limit_reports.push((now, report));
        }
        changed
    }

    /// Records a peer's report of a limit; one of another incarnation has no effect.
    pub fn record_peer_limit(&mut self, now: Mono, report: &LimitReport) {
        let key = self.keys.get(&report.server);
        let Some(server) = key.and_then(|k| self.servers.get_mut(k)) else {
            return;
        };
        if server.entry.started_ms != report.started_ms {
            return;
        }
        let at = now - report.age;
        match (report.rate, &server.hold_off.limit) {
            (Some(rate), _) if rate.is_finite() && rate >= 0.0 => {
                server.limit_reported = now;
                server.confirm_limit(now, at, rate, "peer");
            }
            (None, Some(limit)) if at >= limit.confirmed() => server.end_limit(now, "peer"),
            _ => {}
        }
    }

    /// Reports of limits for peers since the last call.
    pub fn take_limit_reports(&mut self, now: Mono) -> Vec<LimitReport> {
        let reports = self.limit_reports.drain(..);
        let with_age = reports.map(|(at, report)| LimitReport {
            age: now.since(at),
            ..report
        });
        with_age.collect()
    }

    /// Computes this daemon's parts of new and changed limits and of what cold servers bear, and
    /// forgets what no longer holds.
    pub fn assign_limits(&mut self, now: Mono, mesh: &mut Mesh) {
        self.assign_cold(now, mesh);
        self.former_hold_offs
            .retain(|_, (_, hold_off)| hold_off.is_active(now));
        for server in self.servers.values_mut() {
            let Some(limit) = &mut server.hold_off.limit else {
                continue;
            };
            if !limit.needs_part(now) {
                continue;
            }
            let known_fraction = mesh.known_fraction(now);
            let entry = &server.entry;
            let rate = held_rate(
                &entry.id,
                &entry.data_centre,
                limit.rate(),
                mesh.me(),
                mesh.daemons(),
                known_fraction,
            );
            let before = limit.own_rate();
            limit.assign(now, rate, mesh.size(), self.rng.random_range(0.0..1.0));
            let own = limit.own_rate();
            if is_notable_change(before, own) {
                let (id, per_s) = (&entry.id, limit.rate());
                log::info!(
                    "event=server_limit_part server={id} per_s={per_s} own_per_s={own:.2} \
                     daemons={}",
                    mesh.size()
                );
            }
        }
    }

    /// Records that a server wants nothing of this daemon for `pause`.
    pub fn record_pause(&mut self, now: Mono, key: ServerKey, pause: Duration) {
        let spread = self.rng.random_range(0.0..1.0);
        let Some(server) = self.servers.get_mut(&key) else {
            return;
        };
        let was_paused = server.hold_off.pause_left(now).is_some();
        if server.hold_off.pause(now, pause, spread) && !was_paused {
            let (id, pause) = (&server.entry.id, pause.as_millis());
            log::info!("event=server_paused server={id} for_ms={pause}");
        }
    }

    /// Records that a server has said in a response that it is leaving; returns whether that is
    /// new.
    pub fn record_leaving(&mut self, key: ServerKey) -> bool {
        let Some(server) = self.servers.get_mut(&key) else {
            return false;
        };
        if std::mem::replace(&mut server.entry.draining, true) {
            return false;
        }
        let entry = &server.entry;
        self.leaving.push((entry.id.clone(), entry.started_ms));
        true
    }

    /// Servers that have said that they are leaving since the last call, with the starts of their
    /// incarnations.
    pub fn take_leaving(&mut self) -> Vec<(Name, u64)> {
        std::mem::take(&mut self.leaving)
    }

    /// Number of servers that want nothing of this daemon for a time.
    pub fn paused(&self, now: Mono) -> usize {
        let servers = self.servers.values();
        let paused = servers.filter(|s| s.hold_off.pause_left(now).is_some());
        paused.count()
    }

    /// Number of servers that name a limit.
    pub fn limited(&self) -> usize {
        self.servers
            .values()
            .filter(|s| s.hold_off.limit.is_some())
            .count()
    }

    /// Takes a request to a server out of this daemon's part of its limit; false if the server is
    /// gone or the request must not be sent now.
    pub fn reserve(&mut self, now: Mono, key: ServerKey) -> bool {
        let Some(server) = self.servers.get_mut(&key) else {
            return false;
        };
        if server.hold_off.permit(now) != SendPermit::Now {
            return false;
        }
        server.hold_off.record_sent(now);
        if let Some(left) = server.hold_off.cold.left(now) {
            let (id, left) = (&server.entry.id, left.as_millis());
            log::info!("event=cold_server_turn server={id} left_ms={left}");
        }
        true
    }
}
