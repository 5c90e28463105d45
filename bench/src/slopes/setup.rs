//! Daemons in processes of their own, with a folder of a chosen size.

use std::path::Path;
use std::time::Duration;

use anyhow::Context;

use crate::deployment::wait_ready;
use crate::path::{fleet_of, plain_answer, settings_text};
use crate::process::{DaemonProcess, Usage};
use crate::standin::listener::{Listener, ListenerSettings};
use crate::standin::platform::{FolderFile, Platform};

const WORKERS: u64 = 2;
const SETTLE: Duration = Duration::from_secs(2);
const CONTROL_BYTES: &str = "cumin_control_bytes_total{";

/// Size of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Daemons.
    pub daemons: usize,
    /// Services, all of one council.
    pub services: usize,
    /// Servers of all services together; all but the first exist only in the folder.
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

/// Running daemons, the platform and the one real server.
#[derive(Debug)]
pub struct Setup {
    /// Platform.
    pub platform: Platform,
    /// Daemons.
    pub daemons: Vec<DaemonProcess>,
    server: Listener,
    size: Size,
}

/// Reading of the first daemon.
#[derive(Debug, Clone, Copy)]
pub struct Reading {
    /// Processor time and memory.
    pub usage: Usage,
    /// Bytes exchanged with peers.
    pub control_bytes: f64,
}

impl Setup {
    /// Starts the daemons and waits until all are ready and quiet.
    ///
    /// # Errors
    ///
    /// Fails if one can't be started or doesn't become ready.
    pub async fn start(program: &Path, size: Size) -> anyhow::Result<Self> {
        let server = Listener::start(ListenerSettings::default(), plain_answer()).await?;
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
        setup.platform.publish_vm_list(fleet_of(&setup.daemons));
        for daemon in &setup.daemons {
            wait_ready(daemon.admin).await?;
        }
        tokio::time::sleep(SETTLE).await;
        Ok(setup)
    }

    /// Publishes the folder; another `change` gives other contents.
    pub fn publish(&self, change: u64) {
        self.platform.publish_folder(self.folder(change));
    }

    fn folder(&self, change: u64) -> Vec<FolderFile> {
        let budget = format!(
            "[council]\nprobe-budget = 0\nmax-in-flight = {}\n",
            1000 + change
        );
        let mut files = vec![FolderFile {
            name: "10.print.council.ini".to_owned(),
            text: budget,
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
        let own = (0..self.size.servers).filter(|i| i % self.size.services == service);
        for i in own {
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

    /// Reads the first daemon.
    ///
    /// # Errors
    ///
    /// Fails if it has ended.
    pub async fn read(&self) -> anyhow::Result<Reading> {
        let daemon = self.daemons.first().context("no daemon")?;
        let url = format!("http://{}/metrics", daemon.admin);
        let metrics = reqwest::get(url).await?.text().await?;
        let lines = metrics.lines().filter(|l| l.starts_with(CONTROL_BYTES));
        let counts = lines.filter_map(|l| l.rsplit_once(' ')?.1.parse::<f64>().ok());
        Ok(Reading {
            usage: daemon.usage()?,
            control_bytes: counts.sum(),
        })
    }
}
