//! Runs a daemon as a separate process, so that its CPU time and memory can be measured.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anyhow::Context;
use clap::{Arg, ArgMatches, value_parser};

/// Processes started so far, for names of settings files.
static STARTED: AtomicU64 = AtomicU64::new(0);

/// A running daemon; dropping it kills the process and deletes its settings file.
#[derive(Debug)]
pub struct DaemonProcess {
    child: Child,
    settings: PathBuf,
    /// Address of the listener for callers.
    pub front: SocketAddr,
    /// Address of the listener for operators.
    pub admin: SocketAddr,
    /// Address of the socket for peers.
    pub peer: SocketAddr,
}

/// Resources that a process has used.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// CPU time of all threads that run now.
    pub cpu_time: Duration,
    /// Highest resident memory so far, in bytes.
    pub peak_bytes: u64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
}

impl DaemonProcess {
    /// Starts the program with a settings file of this text and waits until it logs its addresses.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started or ends before it logs its addresses.
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
        let stdout = child
            .stdout
            .take()
            .context("standard output of the daemon is not piped")?;
        let mut lines = BufReader::new(stdout).lines();
        let started = lines
            .by_ref()
            .map_while(Result::ok)
            .find(|line| line.contains("event=started"));
        let Some(line) = started else {
            let status = child.wait()?;
            anyhow::bail!(
                "{} ended with {status} before it logged event=started",
                program.display()
            );
        };
        // The pipe is read to its end so that the daemon never blocks on a full one.
        std::thread::spawn(move || lines.map_while(Result::ok).for_each(drop));
        Ok(Self {
            child,
            settings: path,
            front: address(&line, "front")?,
            admin: address(&line, "admin")?,
            peer: address(&line, "peer")?,
        })
    }

    /// Resources that the daemon has used so far.
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

/// Argument `--daemon`: path of the daemon's program.
pub fn program_arg() -> Arg {
    Arg::new("daemon")
        .long("daemon")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("Program of the daemon; default: cuminspreadd in the folder of cumin-bench")
}

/// Path given by [`program_arg`]; by default `cuminspreadd` in the folder of the running program.
///
/// # Errors
///
/// Fails if the argument is absent and the path of the running program is unknown.
pub fn program(args: &ArgMatches) -> anyhow::Result<PathBuf> {
    if let Some(path) = args.get_one::<PathBuf>("daemon") {
        return Ok(path.clone());
    }
    let current = std::env::current_exe().context("path of this program is unknown")?;
    Ok(current.with_file_name("cuminspreadd"))
}

/// Resources that a process has used; `process` is its id, or `self` for the calling process.
///
/// # Errors
///
/// Fails if `/proc` has no such process.
pub fn usage_of(process: &str) -> anyhow::Result<Usage> {
    let status = read(process, "status")?;
    Ok(Usage {
        cpu_time: cpu_time(process)?,
        peak_bytes: status_bytes(&status, "VmHWM:"),
        resident_bytes: status_bytes(&status, "VmRSS:"),
    })
}

/// CPU time of the threads that run now; threads that have ended are not included.
fn cpu_time(process: &str) -> anyhow::Result<Duration> {
    let path = format!("/proc/{process}/task");
    let tasks = fs::read_dir(&path).with_context(|| format!("reading {path}"))?;
    let mut nanos = 0;
    for task in tasks {
        let schedstat = fs::read_to_string(task?.path().join("schedstat"));
        let schedstat = schedstat.unwrap_or_default();
        let on_cpu = schedstat.split_whitespace().next();
        nanos += on_cpu.and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
    }
    Ok(Duration::from_nanos(nanos))
}

fn read(process: &str, name: &str) -> anyhow::Result<String> {
    let path = format!("/proc/{process}/{name}");
    fs::read_to_string(&path).with_context(|| format!("reading {path}"))
}

/// Value of a field of `/proc/PID/status`, which is in KiB there; 0 if the field is missing.
fn status_bytes(status: &str, field: &str) -> u64 {
    let line = status.lines().find_map(|l| l.strip_prefix(field));
    let number = line.and_then(|l| l.split_whitespace().next());
    number.and_then(|n| n.parse::<u64>().ok()).unwrap_or(0) * 1024
}

fn address(line: &str, name: &str) -> anyhow::Result<SocketAddr> {
    let mut fields = line.split_whitespace();
    let value = fields.find_map(|f| f.strip_prefix(name)?.strip_prefix('='));
    let value = value.with_context(|| format!("expected {name}=ADDRESS in \"{line}\""))?;
    value.parse().with_context(|| format!("{name}={value}"))
}
