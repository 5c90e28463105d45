//! Settings of one daemon.
//!
//! They are read from an INI file; [`file`](mod@file) lists its sections and keys. The ending of a
//! key gives the unit of a duration (`_ms`, `_s`); sizes are in bytes.

pub mod file;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use cuminspread::coordination::dispatch::Guards;
use cuminspread::state::Name;
use cuminspread::transport::upstream::UpstreamSettings;

use crate::edge::settings::EdgeSettings;

/// Settings of one daemon, in either mode. In addresses, port 0 lets the kernel choose a free port.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this VM, unique among the daemons.
    pub name: Name,
    /// Data centre of this VM.
    pub data_centre: Name,
    /// Address of the listener for callers.
    pub front: SocketAddr,
    /// Address of the listener for operators.
    pub admin: SocketAddr,
    /// Address for peers, UDP and TCP.
    pub peer: SocketAddr,
    /// Base URL of the platform's configuration service, such as `http://10.0.0.1:8500`; empty for
    /// none. Used in folder mode only.
    pub platform: String,
    /// Secrets shared by all peers: the current one, and the previous one during a rotation.
    /// Used in folder mode only.
    pub peer_keys: Vec<String>,
    /// Longest time that a graceful stop waits for calls in flight and callers' connections. In
    /// store mode, [`EdgeSettings::grace`] is used instead.
    pub stop_bound: Duration,
    /// Seed of the random choices; 0 for a random seed.
    pub seed: u64,
    /// Number of threads that serve calls in folder mode; store mode has one. Used by the program,
    /// not by [`Daemon`](crate::daemon::Daemon).
    pub workers: usize,
    /// Greatest depth of a call in its chain of calls; deeper calls are refused. Used in
    /// folder mode only.
    pub max_depth: u8,
    /// Limits on callers.
    pub callers: CallerSettings,
    /// Limits on calls to servers.
    pub servers: ServerSettings,
    /// Destinations of logs.
    pub log: LogSettings,
    /// Destinations of spans, which are exported in folder mode only.
    pub traces: TraceSettings,
    /// Guards of the dispatcher's invariants; only tests switch them off.
    pub guards: Guards,
    /// Settings of store mode; `None` in folder mode. Used by the program, not by
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

/// Limits on callers and their connections.
///
/// In store mode only `max_headers`, `max_connections`, `max_buffered` and `max_ahead` are used;
/// other limits come from the active configuration.
#[derive(Debug, Clone)]
pub struct CallerSettings {
    /// Longest time for a request's head to arrive, and for a connection to stay idle between
    /// requests.
    pub head_timeout: Duration,
    /// Longest time for a request's body to arrive.
    pub body_timeout: Duration,
    /// Longest time for which a caller may take no byte of a response.
    pub write_timeout: Duration,
    /// Largest head of a request, in bytes.
    pub max_head: usize,
    /// Greatest number of header fields in a request.
    pub max_headers: usize,
    /// Greatest number of callers' connections open at once.
    pub max_connections: usize,
    /// Limit on the bytes of all request bodies held at once; in store mode, half of it may be taken
    /// by answers that wait for the ones in front.
    pub max_buffered: usize,
    /// Greatest number of requests of one connection that are started before the one in front is
    /// answered; 0 for none. Used in store mode only.
    pub max_ahead: usize,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(10),
            max_head: 32 << 10,
            max_headers: 100,
            max_connections: 2000,
            max_buffered: 8 << 20,
            max_ahead: 8,
        }
    }
}

/// Limits on calls to servers.
#[derive(Debug, Clone)]
pub struct ServerSettings {
    /// Settings of the connections to servers.
    pub connections: UpstreamSettings,
    /// Longest time for the response to a probe. Used in folder mode only.
    pub probe_timeout: Duration,
    /// Longest time for a server's response to a cancellation. Used in folder mode only.
    pub cancel_timeout: Duration,
    /// A response body larger than this, in bytes, is passed on while it arrives.
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

/// Destinations of logs, and of the recording of the state machines.
#[derive(Debug, Clone)]
pub struct LogSettings {
    /// Least severe level that is logged.
    pub level: log::LevelFilter,
    /// Log file, in addition to the console.
    pub file: Option<PathBuf>,
    /// File for a recording of the state machines, for `cumin replay`. Used in folder mode only.
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

/// Destinations of the spans of calls and attempts; none by default.
#[derive(Debug, Clone, Default)]
pub struct TraceSettings {
    /// URL of an OTLP collector, such as `http://10.0.0.1:4318/v1/traces`; empty for none.
    pub otlp: String,
    /// File to which spans are appended as JSON lines.
    pub file: Option<PathBuf>,
}
