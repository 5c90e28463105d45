//! Limits that servers name in their responses.

use cuminspread::coordination::server_limit::{LimitNotice, ServerLimit};
use cuminspread::state::time::Mono;

use super::{ServerKey, ServerTable};

/// Relative change of a limit from which on it is logged again.
const LOGGED_CHANGE: f32 = 0.1;

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

impl ServerTable {
    /// Records what a response says of its server's limit.
    pub fn record_limit(
        &mut self,
        now: Mono,
        key: ServerKey,
        notice: LimitNotice,
        source: LimitSource,
    ) {
        let Some(server) = self.servers.get_mut(&key) else {
            return;
        };
        let id = &server.entry.id;
        if notice == LimitNotice::Malformed && !std::mem::replace(&mut server.limit_malformed, true)
        {
            log::warn!("event=server_limit_unreadable server={id}");
        }
        match (notice, &mut server.limit) {
            (LimitNotice::Rate(rate), limit) => {
                let before = limit.as_ref().map(ServerLimit::rate);
                let changed = before.is_none_or(|b| (rate - b).abs() > b * LOGGED_CHANGE);
                match limit {
                    Some(limit) => limit.confirm(now, rate),
                    None => *limit = Some(ServerLimit::new(now, rate)),
                }
                if changed {
                    let before = before.map_or_else(|| "none".to_owned(), |b| b.to_string());
                    let source = source.label();
                    log::info!(
                        "event=server_limited server={id} per_s={rate} before={before} \
                         source={source}"
                    );
                }
            }
            (LimitNotice::Absent, Some(limit)) => {
                let LimitSource::Request {
                    sent_at,
                    signed: true,
                } = source
                else {
                    return;
                };
                if limit.is_ended_by(sent_at) {
                    let (rate, age) = (limit.rate(), limit.age(now).as_millis());
                    log::info!(
                        "event=server_limit_ended server={id} per_s={rate} for_ms={age} \
                         source=response"
                    );
                    server.limit = None;
                }
            }
            (LimitNotice::Absent, None) | (LimitNotice::Malformed, _) => {}
        }
    }

    /// Number of servers that name a limit.
    pub fn limited(&self) -> usize {
        self.servers.values().filter(|s| s.limit.is_some()).count()
    }
}
