//! Tells peers how much longer requests take at nearly full servers.

use std::net::SocketAddr;

use cuminspread::coordination::placement::slowdown_report_interval;
use cuminspread::protocol::gossip::{GossipMessage, SlowdownReport};
use cuminspread::state::time::Mono;

use super::{Control, SyncState};

impl Control {
    /// Reports how much longer requests take at nearly full servers.
    pub(super) fn report_slowdowns(&self, state: &mut SyncState, now: Mono) {
        if now < state.next_slowdown_report {
            return;
        }
        state.next_slowdown_report = now + slowdown_report_interval(state.mesh.size());
        let reports = self.edge.servers().take_slowdown_samples(now);
        for (service, samples) in reports {
            self.send_to_fleet(state, |relay| {
                GossipMessage::Slowdown(SlowdownReport {
                    service: service.clone(),
                    samples,
                    relay,
                })
            });
        }
    }

    /// Tells a daemon that is new how much longer requests take at nearly full servers.
    pub(super) fn send_slowdowns(&self, to: SocketAddr, now: Mono) {
        for (service, samples) in self.edge.servers().slowdown_summaries(now) {
            let report = SlowdownReport {
                service,
                samples,
                relay: false,
            };
            self.gossip.send(to, &GossipMessage::Slowdown(report));
        }
    }

    /// Records what a peer has measured, and forwards it if asked to.
    pub(super) fn handle_slowdown_report(&self, report: SlowdownReport) {
        let now = self.edge.now();
        self.edge
            .servers()
            .record_slowdown(now, &report.service, &report.samples);
        if report.relay {
            let relay = false;
            self.forward(&GossipMessage::Slowdown(SlowdownReport { relay, ..report }));
        }
    }
}
