//! Example deployments (shops) for measurements: their councils, services, servers and calls.

use std::net::SocketAddr;
use std::time::Duration;

use crate::standin::platform::FolderFile;
use crate::standin::upstream::{CANCEL_PATH, PROBE_PATH};

/// Council with its probe budget.
#[derive(Debug, Clone, Copy)]
pub struct Council {
    /// Name, as in the folder's file names.
    pub name: &'static str,
    /// Probes per second by all daemons together.
    pub probe_budget: u32,
}

/// Service and its servers.
#[derive(Debug, Clone, Copy)]
pub struct Service {
    /// Name of the council that owns the service.
    pub council: &'static str,
    /// Name, unique in its council.
    pub name: &'static str,
    /// Number of servers.
    pub servers: usize,
    /// Number of requests that a server runs at once.
    pub slots: usize,
    /// Mean processing time of a request.
    pub service_time: Duration,
    /// Routes, each with its method, its path pattern and whether it is idempotent.
    pub routes: &'static [(&'static str, &'static str, bool)],
}

/// Kind of call that the load consists of.
#[derive(Debug, Clone, Copy)]
pub struct CallKind {
    /// Name in reports.
    pub name: &'static str,
    /// HTTP method, `GET` or `POST`.
    pub method: &'static str,
    /// Path with a trailing slash. A `GET` appends the operation's name to it; a `POST` goes to the
    /// path without the slash.
    pub path: &'static str,
    /// Whether a server may run the call more than once.
    pub idempotent: bool,
    /// Weight in the load, relative to the other kinds of the shop.
    pub weight: u32,
}

/// Example deployment.
#[derive(Debug, Clone, Copy)]
pub struct Shop {
    /// Name in reports and for `--shop`.
    pub name: &'static str,
    /// Names of the data centres.
    pub data_centres: [&'static str; 3],
    /// Councils that own the services.
    pub councils: &'static [Council],
    /// Services of all councils.
    pub services: &'static [Service],
    /// Kinds of calls that the load consists of.
    pub kinds: &'static [CallKind],
}

/// Server as the operators' folder describes it.
#[derive(Debug, Clone)]
pub struct ServerSpec {
    /// Service that the server belongs to.
    pub service: Service,
    /// Name of the server, unique in its service.
    pub name: String,
    /// Name of the data centre.
    pub data_centre: &'static str,
    /// Address for requests and probes.
    pub address: SocketAddr,
    /// Whether the operators marked the server as leaving.
    pub leaving: bool,
}

/// Print shop of a municipality.
pub const VESTFJORD: Shop = Shop {
    name: "vestfjord",
    data_centres: ["town-hall", "school-centre", "harbour-office"],
    councils: &[
        Council {
            name: "print",
            probe_budget: 60,
        },
        Council {
            name: "billing",
            probe_budget: 20,
        },
    ],
    services: &[
        Service {
            council: "print",
            name: "status",
            servers: 20,
            slots: 6,
            service_time: Duration::from_millis(20),
            routes: &[("GET", "/jobs/*", true)],
        },
        Service {
            council: "print",
            name: "orders",
            servers: 10,
            slots: 6,
            service_time: Duration::from_millis(40),
            routes: &[("POST", "/orders", false)],
        },
        Service {
            council: "billing",
            name: "release",
            servers: 7,
            slots: 6,
            service_time: Duration::from_millis(50),
            routes: &[("POST", "/releases", false), ("POST", "/charges", false)],
        },
    ],
    kinds: &[
        CallKind {
            name: "status",
            method: "GET",
            path: "/jobs/",
            idempotent: true,
            weight: 70,
        },
        CallKind {
            name: "order",
            method: "POST",
            path: "/orders/",
            idempotent: false,
            weight: 18,
        },
        CallKind {
            name: "release",
            method: "POST",
            path: "/releases/",
            idempotent: false,
            weight: 7,
        },
        CallKind {
            name: "charge",
            method: "POST",
            path: "/charges/",
            idempotent: false,
            weight: 5,
        },
    ],
};

/// Garment-care teams; fewer slots per server than [`VESTFJORD`] and a smaller probe budget.
pub const CASCADE: Shop = Shop {
    name: "cascade",
    data_centres: ["tacoma", "seattle", "olympia"],
    councils: &[
        Council {
            name: "pickup",
            probe_budget: 10,
        },
        Council {
            name: "desk",
            probe_budget: 4,
        },
    ],
    services: &[
        Service {
            council: "pickup",
            name: "tracking",
            servers: 20,
            slots: 2,
            service_time: Duration::from_millis(20),
            routes: &[("GET", "/garments/*", true)],
        },
        Service {
            council: "pickup",
            name: "routing",
            servers: 10,
            slots: 2,
            service_time: Duration::from_millis(40),
            routes: &[("POST", "/pickups", false)],
        },
        Service {
            council: "desk",
            name: "billing",
            servers: 6,
            slots: 2,
            service_time: Duration::from_millis(50),
            routes: &[("POST", "/payments", false), ("POST", "/tickets", false)],
        },
    ],
    kinds: &[
        CallKind {
            name: "tracking",
            method: "GET",
            path: "/garments/",
            idempotent: true,
            weight: 75,
        },
        CallKind {
            name: "pickup",
            method: "POST",
            path: "/pickups/",
            idempotent: false,
            weight: 15,
        },
        CallKind {
            name: "payment",
            method: "POST",
            path: "/payments/",
            idempotent: false,
            weight: 6,
        },
        CallKind {
            name: "rush",
            method: "POST",
            path: "/tickets/",
            idempotent: false,
            weight: 4,
        },
    ],
};

impl Shop {
    /// Shop of this name, if there is one.
    pub fn by_name(name: &str) -> Option<Self> {
        [VESTFJORD, CASCADE].into_iter().find(|s| s.name == name)
    }

    /// Kind of call at a point from 0 (inclusive) to 1 (exclusive), which the kinds share by their
    /// weights.
    pub fn kind_at(&self, point: f64) -> &'static CallKind {
        let total: u32 = self.kinds.iter().map(|k| k.weight).sum();
        let mut remaining = point * f64::from(total);
        for kind in self.kinds {
            remaining -= f64::from(kind.weight);
            if remaining < 0.0 {
                return kind;
            }
        }
        &self.kinds[0]
    }

    /// Calls per second at which the service with the least spare capacity has all its slots in use.
    pub fn saturation(&self) -> f64 {
        let total: u32 = self.kinds.iter().map(|k| k.weight).sum();
        let rates = self.services.iter().map(|service| {
            let weight: u32 = self.kinds_of(service).map(|k| k.weight).sum();
            let slots = (service.servers * service.slots) as f64;
            let capacity = slots / service.service_time.as_secs_f64();
            capacity * f64::from(total) / f64::from(weight)
        });
        rates.fold(f64::INFINITY, f64::min)
    }

    fn kinds_of(&self, service: &Service) -> impl Iterator<Item = &'static CallKind> {
        let routes = service.routes;
        self.kinds.iter().filter(move |k| {
            let path = k.path.trim_end_matches('/');
            routes.iter().any(|r| r.1.trim_end_matches("/*") == path)
        })
    }

    /// Operators' folder for these servers; `extra_probes` is added to each council's probe budget.
    pub fn folder(&self, servers: &[ServerSpec], extra_probes: u32) -> Vec<FolderFile> {
        let councils = self.councils.iter().map(|council| FolderFile {
            name: format!("10.{}.council.ini", council.name),
            text: format!(
                "[council]\nprobe-budget = {}\n",
                council.probe_budget + extra_probes
            ),
        });
        let services = self.services.iter().map(|service| FolderFile {
            name: format!("20.{}.{}.ini", service.council, service.name),
            text: service_text(service, servers),
        });
        councils.chain(services).collect()
    }
}

fn service_text(service: &Service, servers: &[ServerSpec]) -> String {
    let name = service.name;
    let mut text = format!(
        "[service {name}]\nslots = {}\nconnections = 250\ndeadline-ms = 5000\n\
         refused-statuses = 503\nprobe-path = {PROBE_PATH}\ncancel-path = {CANCEL_PATH}\n",
        service.slots
    );
    for (i, (method, path, idempotent)) in service.routes.iter().enumerate() {
        let idempotent = if *idempotent { "yes" } else { "no" };
        let route = format!(
            "\n[route {name} r{i}]\nmethods = {method}\npath = {path}\nidempotent = {idempotent}\n"
        );
        text.push_str(&route);
    }
    let own_servers = servers
        .iter()
        .filter(|s| s.service.council == service.council && s.service.name == name);
    for server in own_servers {
        let leaving = if server.leaving { "yes" } else { "no" };
        let section = format!(
            "\n[server {name} {}]\naddress = {}\ndata-centre = {}\nleaving = {leaving}\n",
            server.name, server.address, server.data_centre
        );
        text.push_str(&section);
    }
    text
}
