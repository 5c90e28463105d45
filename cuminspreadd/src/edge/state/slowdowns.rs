//! How much longer requests take at nearly full servers, by service.

use cuminspread::coordination::placement::SlowdownSamples;
use cuminspread::state::Name;
use cuminspread::state::time::Mono;

use super::ServerTable;

impl ServerTable {
    /// Factor by which processing takes longer at nearly full servers of a service; 1 if unknown.
    pub fn load_slowdown(&self, now: Mono, service: &str) -> f32 {
        let slowdown = self.slowdown.get(service);
        slowdown.map_or(1.0, |s| s.factor(now))
    }

    /// Records how much longer requests take at nearly full servers, as a peer has measured it.
    pub fn record_slowdown(&mut self, now: Mono, service: &Name, samples: &SlowdownSamples) {
        if self.by_service.contains_key(service) {
            let slowdown = self.slowdown.entry(service.clone()).or_default();
            slowdown.merge(now, samples);
        }
    }

    /// What this daemon has measured of that and not yet told its peers; logs notable changes.
    pub fn take_slowdown_samples(&mut self, now: Mono) -> Vec<(Name, SlowdownSamples)> {
        for (service, slowdown) in &mut self.slowdown {
            if let Some(factor) = slowdown.take_change(now) {
                log::info!("event=nearly_full_slowdown service={service} factor={factor:.2}");
            }
        }
        let services = self.slowdown.iter_mut();
        services
            .filter_map(|(service, s)| Some((service.clone(), s.take_unsent()?)))
            .collect()
    }

    /// All that this daemon knows of that.
    pub fn slowdown_summaries(&self, now: Mono) -> Vec<(Name, SlowdownSamples)> {
        let services = self.slowdown.iter();
        services
            .filter_map(|(service, s)| Some((service.clone(), s.summary(now)?)))
            .collect()
    }
}
