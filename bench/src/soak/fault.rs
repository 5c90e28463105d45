//! Faults of a long run, how long they last, and the actions that end them.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// A server becomes many times slower.
    Straggler,
    /// A server drains and is replaced.
    ServerLeaves,
    /// A server fails all requests at once.
    FailFast,
    /// A server crashes and restarts; its first requests are slow.
    ServerCrash,
    /// A request that crashes each server that starts it; its caller sends it again.
    CrashingRequest,
    /// A server's open connections carry no traffic any more.
    SilentConnections,
    /// A server cuts off a response in its middle.
    TruncatedResponse,
    /// A server always reports that it is idle.
    FalseReports,
    /// A server's load reports are old.
    StaleReports,
    /// The platform fails all reads with status 503.
    PlatformDown,
    /// The platform does not respond to reads.
    PlatformHanging,
    /// The platform serves an old state.
    PlatformStale,
    /// The platform responds slowly.
    PlatformSlow,
    /// A daemon is killed and replaced.
    DaemonKill,
    /// A daemon stops gracefully and is replaced.
    DaemonStop,
    /// A daemon's thread is blocked for a time.
    DaemonPause,
    /// Messages between two groups of daemons are lost.
    Partition,
    /// The operators change the folder.
    FolderChange,
    /// The operators publish a folder with an invalid file.
    InvalidFolder,
}

impl Fault {
    /// All kinds; the injector draws from them by index.
    pub const ALL: [Self; 19] = [
        Self::Straggler,
        Self::ServerLeaves,
        Self::FailFast,
        Self::ServerCrash,
        Self::CrashingRequest,
        Self::SilentConnections,
        Self::TruncatedResponse,
        Self::FalseReports,
        Self::StaleReports,
        Self::PlatformDown,
        Self::PlatformHanging,
        Self::PlatformStale,
        Self::PlatformSlow,
        Self::DaemonKill,
        Self::DaemonStop,
        Self::DaemonPause,
        Self::Partition,
        Self::FolderChange,
        Self::InvalidFolder,
    ];

    /// Label for reports and the log.
    pub fn label(self) -> &'static str {
        match self {
            Self::Straggler => "straggler",
            Self::ServerLeaves => "server_leaves",
            Self::FailFast => "fail_fast",
            Self::ServerCrash => "server_crash",
            Self::CrashingRequest => "crashing_request",
            Self::SilentConnections => "silent_connections",
            Self::TruncatedResponse => "truncated_answer",
            Self::FalseReports => "lying_reports",
            Self::StaleReports => "lagging_reports",
            Self::PlatformDown => "platform_down",
            Self::PlatformHanging => "platform_hanging",
            Self::PlatformStale => "platform_stale",
            Self::PlatformSlow => "platform_slow",
            Self::DaemonKill => "daemon_kill",
            Self::DaemonStop => "daemon_stop",
            Self::DaemonPause => "daemon_pause",
            Self::Partition => "split",
            Self::FolderChange => "folder_change",
            Self::InvalidFolder => "bad_folder",
        }
    }

    /// Random time that the fault lasts, within the limits of its kind.
    pub fn random_duration(self, rng: &mut Pcg64Mcg) -> Duration {
        let (min_ms, max_ms) = match self {
            Self::Straggler | Self::FalseReports | Self::StaleReports => (2000, 6000),
            Self::FailFast => (500, 2500),
            Self::PlatformDown | Self::PlatformHanging | Self::PlatformStale => (2000, 10_000),
            Self::PlatformSlow | Self::InvalidFolder => (1000, 5000),
            Self::DaemonPause => (200, 6000),
            Self::Partition => (1000, 8000),
            _ => (0, 1000),
        };
        Duration::from_millis(rng.random_range(min_ms..=max_ms))
    }
}

/// Action that is scheduled when a fault is injected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Ends the faults of a server, by name.
    RestoreServer(String),
    /// Marks a server as leaving in the folder, as its operators do.
    MarkLeaving(String),
    /// Closes a leaving server once it is idle, and starts a replacement.
    ReplaceServer(String),
    /// Ends the fault of the platform.
    RestorePlatform,
    /// Publishes the VM list for the current daemons.
    PublishVmList,
    /// Removes a daemon's address for callers.
    RemoveAddress(std::net::SocketAddr),
    /// Starts a daemon in place of a stopped or killed daemon.
    ReplaceDaemon,
    /// Restores messages between all daemons.
    EndPartition,
    /// Publishes a valid folder.
    PublishFolder,
}
