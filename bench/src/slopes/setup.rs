//! Starts daemons in separate processes, with a configuration folder of a chosen size.

use std::path::Path;
use std::time::Duration;

use anyhow::Context;

use crate::deployment::wait_ready;
use crate::path::{constant_response, settings_text, vm_list_of};
use crate::process::{DaemonProcess, Usage};
use crate::standin::listener::{Listener, ListenerSettings};
use crate::standin::platform::{FolderFile, Platform};

const WORKERS: u64 = 2;
/// Time after the start in which daemons finish the work of their start.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Start of the lines of the metric for bytes exchanged with peers.
const PEER_BYTES_PREFIX: &str = "cumin_control_bytes_total{";

/// Size of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of services, all of one council.
    pub services: usize,
    /// Number of servers of all services together; only the first runs, the rest are in the folder
    /// only.
    pub servers: usize,
}

impl Default for Size {
    fn default() -> Self {
        Self {
            daemons: 1,
            services: 1,
            servers: 1,
        }
    }
}

/// Running daemons, the platform's stand-in and the only running server.
#[derive(Debug)]
pub struct Setup {
    /// Stand-in for the platform.
    pub platform: Platform,
    /// Daemons, in the order of their names.
    pub daemons: Vec<DaemonProcess>,
    server: Listener,
    size: Size,
}

/// Resources that the first daemon has used so far.
#[derive(Debug, Clone, Copy)]
pub struct DaemonCost {
    /// CPU time and memory.
    pub usage: Usage,
    /// Bytes sent to and received from peers.
    pub peer_bytes: f64,
}

impl Setup {
    /// Starts the daemons, waits until all are ready, and then for the settle time.
    ///
    /// # Errors
    ///
    /// Fails if a daemon can't be started or doesn't become ready.
    pub async fn start(program: &Path, size: Size) -> anyhow::Result<Self> {
        let server = Listener::start(ListenerSettings::default(), constant_response()).await?;
        let platform = Platform::start().await?;
        let mut setup = Self {
            platform,
            daemons: Vec::new(),
            server,
            size,
        };
        setup.publish(0);
        for i in 0..size.daemons {
            let name = format!("vm-{i}");
            let settings = settings_text(&name, &setup.platform.url(), WORKERS, i as u64 + 1);
            setup
                .daemons
                .push(DaemonProcess::start(program, &settings)?);
        }
        setup.platform.publish_vm_list(vm_list_of(&setup.daemons));
        for daemon in &setup.daemons {
            wait_ready(daemon.admin).await?;
        }
        tokio::time::sleep(SETTLE_TIME).await;
        Ok(setup)
    }

    /// Publishes the folder; each value of `change` gives different contents.
    pub fn publish(&self, change: u64) {
        self.platform.publish_folder(self.folder(change));
    }

    fn folder(&self, change: u64) -> Vec<FolderFile> {
        let council = format!(
            "[council]\nprobe-budget = 0\nmax-in-flight = {}\n",
            1000 + change
        );
        let mut files = vec![FolderFile {
            name: "10.print.council.ini".to_owned(),
            text: council,
        }];
        for service in 0..self.size.services {
            files.push(FolderFile {
                name: format!("20.print.s{service}.ini"),
                text: self.service_text(service),
            });
        }
        files
    }

    fn service_text(&self, service: usize) -> String {
        let name = format!("s{service}");
        let path = if service == 0 {
            "jobs".to_owned()
        } else {
            format!("jobs-{service}")
        };
        let mut text = format!(
            "[service {name}]\ndeadline-ms = 10000\nslots = 512\nconnections = 2000\n\n\
             [route {name} status]\nmethods = GET\npath = /{path}/*\nidempotent = yes\n"
        );
        if service == 0 {
            let orders = "\n[route s0 orders]\nmethods = POST\npath = /orders\nidempotent = no\n";
            text.push_str(orders);
        }
        let of_service = (0..self.size.servers).filter(|i| i % self.size.services == service);
        for i in of_service {
            let address = if i == 0 {
                self.server.address().to_string()
            } else {
                format!("127.1.{}.{}:9", i / 200, i % 200 + 1)
            };
            let leaving = if service == 0 && i > 0 { "yes" } else { "no" };
            let section = format!(
                "\n[server {name} v{i}]\naddress = {address}\ndata-centre = here\n\
                 leaving = {leaving}\n"
            );
            text.push_str(&section);
        }
        text
    }

    /// Reads the resources of the first daemon.
    ///
    /// # Errors
    ///
    /// Fails if there is no daemon, or if it has ended.
    pub async fn read_cost(&self) -> anyhow::Result<DaemonCost> {
        let daemon = self
            .daemons
            .first()
            .context("expected at least one daemon")?;
        let url = format!("http://{}/metrics", daemon.admin);
        let metrics = reqwest::get(url).await?.text().await?;
        let lines = metrics.lines().filter(|l| l.starts_with(PEER_BYTES_PREFIX));
        let values = lines.filter_map(|l| l.rsplit_once(' ')?.1.parse::<f64>().ok());
        Ok(DaemonCost {
            usage: daemon.usage()?,
            peer_bytes: values.sum(),
        })
    }
}
