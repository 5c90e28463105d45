//! What follows messages about the store since format 5.
//!
//! Structs are encoded without names, so their fields can't be added to the messages themselves:
//! daemons of earlier formats would read longer ones as something else. These daemons ignore what
//! follows, and don't pass it on.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::RoutingUpdate;
use crate::coordination::catalog::Revision;
use crate::coordination::evacuation::Evacuations;
use crate::state::Name;
use crate::state::routing::{Route, RoutingDelta, ServiceSpec};

/// Emptied data centres in a message.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EvacuationReport {
    /// Era of all revisions in the report.
    era: u64,
    /// Revision up to which it is complete.
    number: u64,
    /// Data centres, and the revision at which each was requested to be emptied.
    data_centres: Vec<(Name, u64)>,
}

impl From<&Evacuations> for EvacuationReport {
    fn from(evacuations: &Evacuations) -> Self {
        let data_centres = evacuations.data_centres.iter();
        Self {
            era: evacuations.as_of.era,
            number: evacuations.as_of.number,
            data_centres: data_centres.map(|(d, r)| (d.clone(), r.number)).collect(),
        }
    }
}

impl From<EvacuationReport> for Evacuations {
    fn from(report: EvacuationReport) -> Self {
        let revision = |number| Revision {
            era: report.era,
            number,
        };
        let data_centres = report.data_centres.into_iter();
        let data_centres: BTreeMap<Name, Revision> = data_centres
            .map(|(d, number)| (d, revision(number)))
            .collect();
        Self {
            as_of: revision(report.number),
            data_centres,
        }
    }
}

/// What the encoding of routes and services leaves out.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct Terms {
    /// Regions that each route of the message allows, in the order of the routes.
    regions: Vec<Vec<Name>>,
    /// Time between requests to a cold server of each service, in the order of the services.
    cold_intervals: Vec<Option<Duration>>,
}

impl Terms {
    fn new(routes: &[Arc<Route>], services: &[ServiceSpec]) -> Self {
        Self {
            regions: routes.iter().map(|r| r.regions.clone()).collect(),
            cold_intervals: services.iter().map(|s| s.cold_interval).collect(),
        }
    }

    /// Terms of a delta; `None` if they aren't known.
    pub(super) fn of_delta(delta: &RoutingDelta) -> Option<Self> {
        let services = delta.services.as_deref().unwrap_or_default();
        delta
            .terms_known
            .then(|| Self::new(&delta.upserted, services))
    }

    /// Terms of a configuration, whole or in part; `None` if they aren't known.
    pub(super) fn of_update(update: &RoutingUpdate) -> Option<Self> {
        match update {
            RoutingUpdate::Full(routing) => routing
                .terms_known
                .then(|| Self::new(&routing.routes, &routing.services)),
            RoutingUpdate::Delta(delta) => Self::of_delta(delta),
        }
    }

    /// Adds the terms to a received delta.
    pub(super) fn add_to_delta(self, delta: &mut RoutingDelta) {
        let services = delta.services.as_deref_mut().unwrap_or_default();
        delta.terms_known = self.add_to(&mut delta.upserted, services);
    }

    /// Adds the terms to a received configuration.
    pub(super) fn add_to_update(self, update: &mut RoutingUpdate) {
        match update {
            RoutingUpdate::Full(routing) => {
                let routing = Arc::make_mut(routing);
                routing.terms_known = self.add_to(&mut routing.routes, &mut routing.services);
            }
            RoutingUpdate::Delta(delta) => self.add_to_delta(delta),
        }
    }

    /// Returns false if the terms are of other routes or services.
    fn add_to(self, routes: &mut [Arc<Route>], services: &mut [ServiceSpec]) -> bool {
        if routes.len() != self.regions.len() || services.len() != self.cold_intervals.len() {
            return false;
        }
        for (route, regions) in routes.iter_mut().zip(self.regions) {
            if !regions.is_empty() {
                Arc::make_mut(route).regions = regions;
            }
        }
        for (service, interval) in services.iter_mut().zip(self.cold_intervals) {
            service.cold_interval = interval;
        }
        true
    }
}

/// What follows messages about the store since format 5.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Additions {
    /// Emptied data centres; `None` if the update comes from a daemon that doesn't know them.
    pub(super) evacuations: Option<EvacuationReport>,
    /// Terms of the configuration in the message; `None` if there is none or its sender doesn't know
    /// them.
    pub(super) terms: Option<Terms>,
}

/// Bytes by which the terms of a delta lengthen its message.
pub fn terms_len(delta: &RoutingDelta) -> usize {
    let terms = Terms::of_delta(delta).map(|terms| postcard::to_stdvec(&terms));
    terms.map_or(0, |bytes| bytes.map_or(usize::MAX, |b| b.len()))
}
