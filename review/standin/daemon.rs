//! Starts, stops and asks the project's daemons, with settings as `deploy/cuminspreadd.ini` gives.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Conn;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Ports of all daemons; each daemon has a loopback address of its own.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    pub front: u16,
    pub admin: u16,
    pub readiness: u16,
    pub peer: u16,
    pub forward: u16,
}

impl Ports {
    /// Ports that are free on the addresses of this many daemons.
    pub fn find(daemons: usize) -> Option<Self> {
        // Below the ports that the system gives to outgoing connections.
        let start = 11_000 + (std::process::id() % 1_700) as u16 * 12;
        let mut free = (start..start + 400).filter(|port| {
            (0..daemons).all(|i| {
                let address = SocketAddr::new(ip(i), *port);
                TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
            })
        });
        Some(Self {
            front: free.next()?,
            admin: free.next()?,
            readiness: free.next()?,
            peer: free.next()?,
            forward: free.next()?,
        })
    }
}

pub fn ip(daemon: usize) -> IpAddr {
    Ipv4Addr::new(127, 0, 0, 1 + daemon as u8).into()
}

pub struct Daemon {
    pub index: usize,
    pub ports: Ports,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    /// A daemon that isn't started yet; the first three are the seeds.
    pub fn new(dir: &Path, index: usize, daemons: usize, ports: Ports, store: SocketAddr) -> Self {
        let host = ip(index);
        let seeds = (0..daemons.min(3)).map(|i| format!("{}:{}", ip(i), ports.admin));
        let seeds = seeds.collect::<Vec<_>>().join(",");
        let Ports {
            front,
            admin,
            readiness,
            peer,
            forward,
        } = ports;
        let text = format!(
            "[daemon]\nname = edge-a-{}\ndata_centre = a\n\n[listen]\nfront = {host}:{front}\n\
             admin = {host}:{admin}\nreadiness = {host}:{readiness}\npeer = {host}:{peer}\n\
             forward = {host}:{forward}\n\n[store]\naddress = {store}\n\n[peers]\nseeds = {seeds}\n\
             core_share = 0.2\n\n[bounds]\ngrace_s = 6\nretry_ratio = 0.2\nretry_slack = 64\n\
             looks_per_s = 60\n\n[regions]\na = home\n\n[callers]\nmax_buffered = 33554432\n\n\
             [servers]\nidle_timeout_ms = 8000\nconnect_timeout_ms = 400\n",
            index + 1
        );
        let settings = dir.join(format!("edge-a-{}.ini", index + 1));
        fs::write(&settings, text).expect("a folder for settings");
        let log = dir.join(format!("edge-a-{}.log", index + 1));
        Self {
            index,
            ports,
            settings,
            log,
            child: None,
        }
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(ip(self.index), self.ports.front)
    }

    /// Starts the program as the deploy file does.
    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log");
        let child = Command::new("target/release/cuminspreadd")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(e) => {
                eprintln!("target/release/cuminspreadd: {e}");
                std::process::exit(2);
            }
        }
    }

    /// Sends SIGTERM, as the platform does to stop a process.
    pub fn terminate(&self) {
        const SIGTERM: i32 = 15;
        if let Some(child) = &self.child {
            // SAFETY: has no effect on memory; the child has not been waited for, so the id is its.
            unsafe { kill(child.id() as i32, SIGTERM) };
        }
    }

    /// Waits for the process to end; kills it after `grace`.
    pub fn wait_end(&mut self, grace: Duration) {
        let until = Instant::now() + grace;
        let Some(mut child) = self.child.take() else {
            return;
        };
        while Instant::now() < until {
            if matches!(child.try_wait(), Ok(Some(_))) {
                return;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        let _ = child.kill();
        let _ = child.wait();
    }

    /// The platform's question whether the daemon takes connections.
    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::new(ip(self.index), self.ports.readiness);
        let asked = TcpStream::connect_timeout(&address, Duration::from_millis(300));
        let Ok(stream) = asked else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let mut conn = Conn::new(stream);
        let sent =
            conn.write(b"GET /api/readyz HTTP/1.1\r\nHost: readiness\r\nConnection: close\r\n\r\n");
        sent.is_ok() && matches!(conn.read_head(), Ok(Some(head)) if head.status() == 200)
    }

    pub fn wait_ready(&self, longest: Duration) -> bool {
        let until = Instant::now() + longest;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
