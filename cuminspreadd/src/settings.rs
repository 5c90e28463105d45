//! Settings of one daemon.
//!
//! They come from one INI file; [`file`](mod@file) lists the sections and keys. All durations in
//! the file are in milliseconds, all sizes in bytes.

pub mod file;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use cuminspread::coordination::dispatch::Guards;
use cuminspread::state::Name;
use cuminspread::transport::upstream::UpstreamSettings;

use crate::edge::settings::EdgeSettings;

/// Settings of one daemon; port 0 lets the kernel choose.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this VM.
    pub name: Name,
    /// Data centre that it stands in.
    pub data_centre: Name,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where operators connect.
    pub admin: SocketAddr,
    /// Where peers connect, UDP and TCP.
    pub peer: SocketAddr,
    /// Base URL of the platform's configuration service, such as `http://10.0.0.1:8500`.
    pub platform: String,
    /// Secret that peers share; a second one is accepted during a rotation.
    pub peer_keys: Vec<String>,
    /// Longest time that a planned stop waits for calls in flight.
    pub stop_bound: Duration,
    /// Seed of the random choices; 0 takes one from the system.
    pub seed: u64,
    /// Threads that serve calls; read by the program, not by [`Daemon`](crate::daemon::Daemon).
    pub workers: usize,
    /// Longest chain of calls.
    pub max_depth: u8,
    /// Bounds on callers.
    pub callers: CallerSettings,
    /// Bounds on calls to servers.
    pub servers: ServerSettings,
    /// Where logs go.
    pub log: LogSettings,
    /// Where spans go.
    pub traces: TraceSettings,
    /// Guards of the dispatcher that only tests switch off.
    pub guards: Guards,
    /// The platform has a store, which names routes and servers; read by the program, not by
    /// [`Daemon`](crate::daemon::Daemon).
    pub edge: Option<EdgeSettings>,
}

impl Default for Settings {
    fn default() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            name: Name::default(),
            data_centre: Name::default(),
            front: any,
            admin: any,
            peer: any,
            platform: String::new(),
            peer_keys: Vec::new(),
            stop_bound: Duration::from_secs(30),
            seed: 0,
            workers: 2,
            max_depth: 6,
            callers: CallerSettings::default(),
            servers: ServerSettings::default(),
            log: LogSettings::default(),
            traces: TraceSettings::default(),
            guards: Guards::default(),
            edge: None,
        }
    }
}

/// Bounds on callers and their connections.
#[derive(Debug, Clone)]
pub struct CallerSettings {
    /// Longest time for a request's head, and for a kept connection to stay idle.
    pub head_timeout: Duration,
    /// Longest time for a request's body.
    pub body_timeout: Duration,
    /// Largest head of a request.
    pub max_head: usize,
    /// Most header fields of a request.
    pub max_headers: usize,
    /// Callers' connections that are open at once.
    pub max_connections: usize,
    /// Bytes of request bodies that are held at once.
    pub max_buffered: usize,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
            max_head: 32 << 10,
            max_headers: 100,
            max_connections: 2000,
            max_buffered: 8 << 20,
        }
    }
}

/// Bounds on calls to servers.
#[derive(Debug, Clone)]
pub struct ServerSettings {
    /// Connections.
    pub connections: UpstreamSettings,
    /// Longest time for a probe.
    pub probe_timeout: Duration,
    /// Longest time for the confirmation of a cancellation.
    pub cancel_timeout: Duration,
    /// An answer larger than this is passed on while it arrives.
    pub stream_above: usize,
}

impl Default for ServerSettings {
    fn default() -> Self {
        Self {
            connections: UpstreamSettings::default(),
            probe_timeout: Duration::from_secs(1),
            cancel_timeout: Duration::from_secs(1),
            stream_above: 64 << 10,
        }
    }
}

/// Where logs go.
#[derive(Debug, Clone)]
pub struct LogSettings {
    /// Least severe level that is written.
    pub level: log::LevelFilter,
    /// File, beside the console; none if empty.
    pub file: Option<PathBuf>,
    /// File that gets a trace of the state machines, for `cumin replay`; none if empty.
    pub record: Option<PathBuf>,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: log::LevelFilter::Info,
            file: None,
            record: None,
        }
    }
}

/// Where spans of calls and attempts go; nowhere by default.
#[derive(Debug, Clone, Default)]
pub struct TraceSettings {
    /// URL of an OTLP collector's traces, such as `http://10.0.0.1:4318/v1/traces`; none if empty.
    pub otlp: String,
    /// File of JSON lines.
    pub file: Option<PathBuf>,
}
