//! Daemons as separate processes, with settings as the template of the deploy file gives them.

use std::fs;
use std::io::Write as _;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http;

/// One daemon.
pub struct Daemon {
    pub front: SocketAddr,
    readiness: SocketAddr,
    child: Child,
}

/// Ports that all daemons use, each on an address of its own.
#[derive(Clone, Copy)]
pub struct Ports([u16; 5]);

impl Ports {
    /// Finds ports that are free on the addresses of all `count` daemons.
    pub fn find(count: usize) -> Self {
        let mut ports = [0; 5];
        let mut held = Vec::new();
        for port in &mut ports {
            *port = loop {
                let first = TcpListener::bind((ip(0), 0)).expect("a free port");
                let candidate = first.local_addr().expect("an address").port();
                let others = (1..count).map(|i| TcpListener::bind((ip(i), candidate)));
                let others: Result<Vec<_>, _> = others.collect();
                if let Ok(others) = others {
                    held.push(first);
                    held.extend(others);
                    break candidate;
                }
            };
        }
        Self(ports)
    }
}

fn ip(index: usize) -> String {
    format!("127.0.7.{}", index + 1)
}

impl Daemon {
    /// Starts the daemon with the command of the deploy file.
    pub fn start(
        folder: &Path,
        index: usize,
        count: usize,
        ports: Ports,
        store: SocketAddr,
        first_start: bool,
    ) -> Self {
        let [front, admin, readiness, peer, forward] = ports.0;
        let ip = ip(index);
        let zones = ["radhus", "skolesenter", "havnekontor"];
        let zone = zones[index % 3];
        let name = format!("edge-{zone}-{}", index / 3 + 1);
        let seeds: Vec<String> = (0..count.min(3))
            .map(|i| format!("{}:{admin}", self::ip(i)))
            .collect();
        let regions: Vec<String> = zones.iter().map(|z| format!("{z} = vestfjord")).collect();
        let settings = format!(
            "[daemon]\nname = {name}\ndata_centre = {zone}\n\n\
             [listen]\nfront = {ip}:{front}\nadmin = {ip}:{admin}\nreadiness = {ip}:{readiness}\n\
             peer = {ip}:{peer}\nforward = {ip}:{forward}\n\n\
             [store]\naddress = {store}\n\n\
             [peers]\nseeds = {}\n{}core_share = 0.2\n\n\
             [bounds]\ngrace_s = 6\nretry_ratio = 0.2\nretry_slack = 64\nlooks_per_s = 60\n\n\
             [regions]\n{}\n\n[callers]\nmax_buffered = 33554432\n\n\
             [servers]\nidle_timeout_ms = 8000\nconnect_timeout_ms = 400\n",
            seeds.join(","),
            if first_start {
                "first_start = true\n"
            } else {
                ""
            },
            regions.join("\n"),
        );
        let path: PathBuf = folder.join(format!("{name}.ini"));
        fs::write(&path, settings).expect("the settings are written");
        let log = fs::File::create(folder.join(format!("{name}.log"))).expect("a log file");
        let child = Command::new("target/release/cuminspreadd")
            .arg("--settings")
            .arg(&path)
            .env_clear()
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn()
            .expect("the daemon starts");
        let pids = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join("pids"));
        let _ = writeln!(pids.expect("a list of processes"), "{}", child.id());
        let address = |port| format!("{ip}:{port}").parse().expect("an address");
        Self {
            front: address(front),
            readiness: address(readiness),
            child,
        }
    }

    /// Waits until the daemon reports itself ready.
    pub fn wait_ready(&self) -> bool {
        let begin = Instant::now();
        while begin.elapsed() < Duration::from_secs(10) {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.readiness) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let req = format!(
            "GET /api/readyz HTTP/1.1\r\nHost: {}\r\n\r\n",
            self.readiness
        );
        if stream.write_all(req.as_bytes()).is_err() {
            return false;
        }
        http::read_request(&mut stream, &mut Vec::new()).is_some_and(|r| r.status() == 200)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
