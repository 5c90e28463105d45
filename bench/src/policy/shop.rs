//! Simulated deployments (shops): services, servers and probe budgets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cuminspread::state::Name;
use cuminspread::state::council::{CouncilConfig, ServerConfig, ServiceConfig, Stamp};

/// Number of daemons.
pub const DAEMONS: u32 = 18;
/// Names of the data centres of each shop.
pub const DATA_CENTRES: [&str; 3] = ["east", "middle", "west"];

/// Service of a shop.
#[derive(Debug, Clone, Copy)]
pub struct ServiceModel {
    /// Name of the service, and prefix of the names of its servers.
    pub name: &'static str,
    /// Number of servers.
    pub servers: u32,
    /// Mean processing time of a call, in microseconds.
    pub mean_processing_us: f64,
    /// Fraction of the calls that are idempotent, from 0 to 1.
    pub idempotent_fraction: f64,
}

/// Simulated deployment.
#[derive(Debug, Clone, Copy)]
pub struct Shop {
    /// Name of the shop and its council.
    pub name: &'static str,
    /// Number of requests that a server runs at once.
    pub slots: u32,
    /// Probe budget of the whole fleet, in probes per second.
    pub probe_budget: f64,
    /// Services; servers are numbered in this order.
    pub services: [ServiceModel; 3],
}

/// Print shop of a municipality.
pub const VESTFJORD: Shop = Shop {
    name: "vestfjord",
    slots: 6,
    probe_budget: 72.0,
    services: [
        ServiceModel {
            name: "status",
            servers: 20,
            mean_processing_us: 6_000.0,
            idempotent_fraction: 1.0,
        },
        ServiceModel {
            name: "orders",
            servers: 10,
            mean_processing_us: 15_000.0,
            idempotent_fraction: 0.2,
        },
        ServiceModel {
            name: "release",
            servers: 7,
            mean_processing_us: 20_000.0,
            idempotent_fraction: 0.2,
        },
    ],
};

/// Garment-care teams; fewer slots per server than [`VESTFJORD`] and half of its probe budget.
pub const CASCADE: Shop = Shop {
    name: "cascade",
    slots: 2,
    probe_budget: 36.0,
    services: [
        ServiceModel {
            name: "tracking",
            servers: 20,
            mean_processing_us: 8_000.0,
            idempotent_fraction: 1.0,
        },
        ServiceModel {
            name: "routing",
            servers: 10,
            mean_processing_us: 15_000.0,
            idempotent_fraction: 0.2,
        },
        ServiceModel {
            name: "billing",
            servers: 6,
            mean_processing_us: 20_000.0,
            idempotent_fraction: 0.2,
        },
    ],
};

impl Shop {
    /// Shop of this name, if there is one.
    pub fn by_name(name: &str) -> Option<Self> {
        [VESTFJORD, CASCADE].into_iter().find(|s| s.name == name)
    }

    /// Total slots of all servers of one service.
    pub fn slots_of(&self, service: usize) -> u32 {
        self.services[service].servers * self.slots
    }

    /// Configuration with a fraction of the probe budget; the servers with the indices in `leaving`
    /// are marked as leaving.
    pub fn config(&self, budget_fraction: f64, leaving: &[usize]) -> CouncilConfig {
        let mut first = 0;
        let mut services = Vec::new();
        for service_model in &self.services {
            services.push(Arc::new(self.service(service_model, first, leaving)));
            first += service_model.servers as usize;
        }
        CouncilConfig {
            council: Name::new(self.name),
            stamp: Stamp::default(),
            probe_budget: self.probe_budget * budget_fraction,
            max_in_flight: 0,
            services,
        }
    }

    fn service(
        &self,
        service_model: &ServiceModel,
        first: usize,
        leaving: &[usize],
    ) -> ServiceConfig {
        let server = |i: u32| ServerConfig {
            name: Name::new(format!("{}-{i:02}", service_model.name)),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            data_centre: Name::new(DATA_CENTRES[i as usize % 3]),
            slots: self.slots,
            connections: 250,
            leaving: leaving.contains(&(first + i as usize)),
        };
        ServiceConfig {
            council: Name::new(self.name),
            name: Name::new(service_model.name),
            servers: (0..service_model.servers).map(server).collect(),
            deadline: Duration::from_secs(2),
            probe_path: Name::new("/load"),
            cancel_path: Name::new("/cancel"),
            ..ServiceConfig::default()
        }
    }
}
