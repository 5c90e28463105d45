//! Which services this daemon reaches.

use std::time::Duration;

use cuminspread::coordination::reachability::{CheckEnd, ReachChange, Reachability};
use cuminspread::state::Name;
use cuminspread::state::time::Mono;

use super::{ServerKey, ServerTable};
use crate::edge::settings::EdgeSettings;

/// Time until a loss is reported to peers again, since datagrams can be lost.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Servers of a service to open new connections to.
#[derive(Debug)]
pub struct ReachCheck {
    /// Service that is checked.
    pub service: Name,
    /// Servers that are probed.
    pub servers: Vec<ServerKey>,
}

impl ServerTable {
    /// Whether this daemon reaches no server of a service, though there are some.
    pub fn is_lost(&self, service: &str) -> bool {
        self.reach.get(service).is_some_and(Reachability::is_lost)
    }

    /// Services of which this daemon reaches no server.
    pub fn lost_services(&self) -> impl Iterator<Item = &Name> {
        let lost = self.reach.iter().filter(|(_, r)| r.is_lost());
        lost.map(|(service, _)| service)
    }

    /// Records that a server failed to answer.
    pub fn record_unanswered(&mut self, key: ServerKey) {
        if let Some(server) = self.servers.get(&key) {
            let reach = self.reach.entry(server.entry.service.clone());
            reach.or_default().record_failure(key);
        }
    }

    /// Records that a server answered on a new connection.
    pub fn record_connected(&mut self, now: Mono, key: ServerKey) {
        let Some(server) = self.servers.get(&key) else {
            return;
        };
        let service = server.entry.service.clone();
        let Some(reach) = self.reach.get_mut(&service) else {
            return;
        };
        let change = reach.record_connected(now);
        self.apply_reach(&service, change);
    }

    /// Begins the checks that are due; returns them and the time of the next one.
    pub fn begin_reach_checks(
        &mut self,
        now: Mono,
        settings: &EdgeSettings,
    ) -> (Vec<ReachCheck>, Option<Mono>) {
        let mut checks = Vec::new();
        let mut next: Option<Mono> = None;
        let services: Vec<Name> = self.reach.keys().cloned().collect();
        for service in services {
            // Servers that have asked for fewer requests aren't probed; cold servers count checks as no
            // requests.
            let mut servers = self.available(now, &service);
            servers.retain(|key| {
                let hold_off = self.servers.get(key).map(|s| &s.hold_off);
                hold_off.is_some_and(|h| h.limit.is_none() && h.pause_left(now).is_none())
            });
            let Some(reach) = self.reach.get(&service) else {
                continue;
            };
            if reach.next_check(servers.len()).is_none() {
                continue;
            }
            let mut rng = self.rng.clone();
            let Some(reach) = self.reach.get_mut(&service) else {
                continue;
            };
            let chosen = reach.begin_check(now, &servers, &mut rng);
            self.rng = rng;
            if chosen.is_empty() {
                next = reach
                    .next_check(servers.len())
                    .into_iter()
                    .chain(next)
                    .min();
            } else {
                // Counted, but not held back: requests that no server answers use up all probes.
                self.take_probes(now, &service, chosen.len(), settings);
                checks.push(ReachCheck {
                    service,
                    servers: chosen,
                });
            }
        }
        (checks, next)
    }

    /// Records the end of a check.
    pub fn record_reach_check(&mut self, now: Mono, service: &Name, end: CheckEnd) {
        if let Some(reach) = self.reach.get_mut(service) {
            let change = reach.record_check(now, end);
            self.apply_reach(service, change);
        }
    }

    /// Services to report to peers now, and whether each is lost.
    pub fn take_reach_reports(&mut self, now: Mono) -> Vec<(Name, bool)> {
        let due = self.reach_reports.iter().filter(|(_, at)| now >= **at);
        let due: Vec<Name> = due.map(|(service, _)| service.clone()).collect();
        let mut reports = Vec::new();
        for service in due {
            let lost = self.is_lost(&service);
            if lost {
                let next = now + REPORT_INTERVAL;
                self.reach_reports.insert(service.clone(), next);
            } else {
                self.reach_reports.remove(&service);
            }
            reports.push((service, lost));
        }
        reports
    }

    /// Logs a change; servers that were out of reach are no longer avoided for it.
    fn apply_reach(&mut self, service: &Name, change: Option<ReachChange>) {
        if change.is_some() {
            self.reach_reports.insert(service.clone(), Mono::default());
        }
        match change {
            Some(ReachChange::Lost) => {
                let failed = self.reach.get(service).map_or(0, Reachability::failed);
                let servers = self.by_service.get(service).map_or(0, Vec::len);
                log::warn!(
                    "event=service_lost service={service} failed={failed} servers={servers}"
                );
            }
            Some(ReachChange::Found { after }) => {
                let after = after.as_millis();
                log::warn!("event=service_found service={service} after_ms={after}");
                for key in self.by_service.get(service).into_iter().flatten() {
                    if let Some(server) = self.servers.get_mut(key) {
                        server.state.forgive_failures();
                    }
                }
            }
            None => {}
        }
    }
}
