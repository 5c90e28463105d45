//! A daemon in a process of its own, so that its processor time and memory can be read apart.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anyhow::Context;
use clap::{Arg, ArgMatches, value_parser};

static STARTED: AtomicU64 = AtomicU64::new(0);

/// A running daemon; ended when dropped.
#[derive(Debug)]
pub struct DaemonProcess {
    child: Child,
    settings: PathBuf,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address for peers.
    pub peer: SocketAddr,
}

/// What a process has used.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Processor time.
    pub processor: Duration,
    /// Most memory that was resident, in bytes.
    pub peak_bytes: u64,
    /// Memory that is resident, in bytes.
    pub resident_bytes: u64,
}

impl DaemonProcess {
    /// Starts the program with settings of this text and waits for its addresses.
    ///
    /// # Errors
    ///
    /// Fails if it can't be started or ends before it names its addresses.
    pub fn start(program: &Path, settings: &str) -> anyhow::Result<Self> {
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let name = format!("cumin-bench-{}-{number}.ini", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::write(&path, settings).with_context(|| format!("writing {}", path.display()))?;
        let spawned = Command::new(program)
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn();
        let mut child = spawned.with_context(|| format!("starting {}", program.display()))?;
        let stdout = child.stdout.take().context("standard output")?;
        let mut lines = BufReader::new(stdout).lines();
        let started = lines
            .by_ref()
            .map_while(Result::ok)
            .find(|line| line.contains("event=started"));
        let Some(line) = started else {
            let ended = child.wait()?;
            anyhow::bail!("{} ended with {ended}", program.display());
        };
        std::thread::spawn(move || lines.map_while(Result::ok).for_each(drop));
        Ok(Self {
            child,
            settings: path,
            front: address(&line, "front")?,
            admin: address(&line, "admin")?,
            peer: address(&line, "peer")?,
        })
    }

    /// What it has used so far.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn usage(&self) -> anyhow::Result<Usage> {
        usage_of(&self.child.id().to_string())
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let ended = self.child.kill().and_then(|()| self.child.wait());
        if let Err(e) = ended {
            log::warn!("event=daemon_not_ended error=\"{e}\"");
        }
        if let Err(e) = fs::remove_file(&self.settings) {
            log::warn!("event=settings_not_removed error=\"{e}\"");
        }
    }
}

/// Argument that names the program of the daemon.
pub fn program_arg() -> Arg {
    Arg::new("daemon")
        .long("daemon")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("Program of the daemon; by default beside this one")
}

/// Program that [`program_arg`] names, or `cuminspreadd` beside the running one.
///
/// # Errors
///
/// Fails if the path of the running program is needed and unknown.
pub fn program(args: &ArgMatches) -> anyhow::Result<PathBuf> {
    if let Some(named) = args.get_one::<PathBuf>("daemon") {
        return Ok(named.clone());
    }
    let own = std::env::current_exe().context("path of this program")?;
    Ok(own.with_file_name("cuminspreadd"))
}

/// What a process has used; `self` names this one.
///
/// # Errors
///
/// Fails if `/proc` has no such process.
pub fn usage_of(process: &str) -> anyhow::Result<Usage> {
    let status = read(process, "status")?;
    Ok(Usage {
        processor: processor_time(process)?,
        peak_bytes: status_bytes(&status, "VmHWM:"),
        resident_bytes: status_bytes(&status, "VmRSS:"),
    })
}

/// Sum over the threads that run now.
fn processor_time(process: &str) -> anyhow::Result<Duration> {
    let path = format!("/proc/{process}/task");
    let tasks = fs::read_dir(&path).with_context(|| format!("reading {path}"))?;
    let mut nanos = 0;
    for task in tasks {
        let text = fs::read_to_string(task?.path().join("schedstat"));
        let text = text.unwrap_or_default();
        let first = text.split_whitespace().next();
        nanos += first.and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
    }
    Ok(Duration::from_nanos(nanos))
}

fn read(process: &str, name: &str) -> anyhow::Result<String> {
    let path = format!("/proc/{process}/{name}");
    fs::read_to_string(&path).with_context(|| format!("reading {path}"))
}

fn status_bytes(status: &str, field: &str) -> u64 {
    let line = status.lines().find_map(|l| l.strip_prefix(field));
    let number = line.and_then(|l| l.split_whitespace().next());
    number.and_then(|n| n.parse::<u64>().ok()).unwrap_or(0) * 1024
}

fn address(line: &str, name: &str) -> anyhow::Result<SocketAddr> {
    let mut words = line.split_whitespace();
    let value = words.find_map(|w| w.strip_prefix(name)?.strip_prefix('='));
    let value = value.with_context(|| format!("{name} in \"{line}\""))?;
    value.parse().with_context(|| format!("{name}={value}"))
}
