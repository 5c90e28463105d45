//! Events that the two state machines handle, and the actions that they return.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::protocol::message::Message;
use crate::state::Name;
use crate::state::council::{CouncilConfig, ServiceConfig, Version};
use crate::state::fleet::FleetList;
use crate::state::folder::Fault;
pub use crate::state::folder::{Folder, FolderFile};
use crate::state::load::LoadReport;
use crate::state::time::Mono;

/// Identifier of a call, unique within a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct CallId(pub u64);

/// Number of an attempt within its call, from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Attempt(pub u8);

/// Identifier of a server; [`super::dispatch::Dispatcher::server`] gives its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ServerId(pub u32);

/// A call to a service, as received from its caller.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Call {
    /// Identifier that all events and actions of the call carry.
    pub id: CallId,
    /// Service to call.
    pub service: Arc<ServiceConfig>,
    /// More than one execution has the same effect as one.
    pub idempotent: bool,
    /// Time by which the caller needs the response.
    pub deadline: Mono,
    /// Number of calls above this call in its chain; 0 at the top.
    pub depth: u8,
    /// Retries and hedges left to the rest of the chain; `None` at the top, where the configured
    /// budget applies.
    pub retry_budget: Option<u8>,
    /// Hash of method, path and body; identifies requests that crash servers.
    pub fingerprint: u64,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Ending {
    /// The complete response was read.
    Whole,
    /// The connection was refused, or no byte of the request left the daemon.
    NotSent,
    /// The server refused the request before it started, by an HTTP status that says so.
    Refused,
    /// The server confirmed that it cancelled the request before it started.
    CancelledBeforeStart,
    /// The connection broke after some bytes of the request had left.
    Broken,
    /// No response came in time.
    TimedOut,
    /// The daemon closed the connection after some bytes of the request had left, because the
    /// response is no longer needed.
    Abandoned,
}

/// Input of the dispatcher.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub enum CallEvent {
    /// A council's configuration became active.
    InForce(Arc<CouncilConfig>),
    /// Position of this daemon in the VM list.
    Place {
        /// Position, from 0.
        index: u32,
        /// Number of daemons in the VM list, including those that may have left it recently.
        daemons: u32,
    },
    /// A call was received.
    Arrived(Call),
    /// The status line and headers of a response were read.
    Head {
        /// Call to which the attempt belongs.
        call: CallId,
        /// Attempt whose response it is.
        attempt: Attempt,
        /// HTTP status.
        status: u16,
        /// Load that the server reports; `None` if it sent none.
        load: Option<LoadReport>,
    },
    /// An attempt ended.
    Ended {
        /// Call to which the attempt belongs.
        call: CallId,
        /// Attempt that ended, numbered as in its [`CallAction::Send`].
        attempt: Attempt,
        /// How the attempt ended.
        ending: Ending,
    },
    /// The response of an attempt is too large to buffer and must be streamed to the caller.
    Streaming {
        /// Call to which the attempt belongs.
        call: CallId,
        /// Attempt whose response is streamed.
        attempt: Attempt,
    },
    /// The caller closed its connection.
    CallerGone(CallId),
    /// A probe ended; `load` is `None` if it failed.
    Probed {
        /// Server that was probed.
        server: ServerId,
        /// Load that the server reported.
        load: Option<LoadReport>,
    },
    /// A peer or the platform reports that a server is leaving.
    ServerLeaving {
        /// Council that owns the service.
        council: Name,
        /// Service, unique within its council.
        service: Name,
        /// Name of the server within its service.
        server: Name,
    },
    /// A peer reports that requests of this fingerprint crash servers.
    Crashing(u64),
    /// Time passed.
    Tick,
}

/// Which connection an attempt may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connection {
    /// Any open connection, or a new one.
    Any,
    /// A new connection, or an open one that received bytes recently.
    Live,
    /// Only a new connection.
    New,
}

/// Why a call was refused or its outcome is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// No server of the service takes new calls.
    NoServer,
    /// The queue or a limit is full, or the deadline can't be met.
    Overload,
    /// The council's share of the daemon's capacity is used up.
    CouncilLimit,
    /// The chain of calls is too deep.
    TooDeep,
    /// The deadline passed.
    Deadline,
    /// The server refused the request before it started.
    ServerRefused,
    /// The connection was refused.
    ConnectFailed,
    /// The connection broke.
    ConnectionBroken,
    /// Requests of this fingerprint crash servers.
    Crashing,
    /// The caller closed its connection.
    CallerGone,
    /// The daemon is shutting down.
    Stopping,
}

impl Reason {
    /// Label for logs, metrics and responses.
    pub fn label(self) -> &'static str {
        match self {
            Self::NoServer => "no_server",
            Self::Overload => "overload",
            Self::CouncilLimit => "council_limit",
            Self::TooDeep => "too_deep",
            Self::Deadline => "deadline",
            Self::ServerRefused => "server_refused",
            Self::ConnectFailed => "connect_failed",
            Self::ConnectionBroken => "connection_broken",
            Self::Crashing => "crashing",
            Self::CallerGone => "caller_gone",
            Self::Stopping => "stopping",
        }
    }
}

/// What the caller is told about a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Pass on the response of this attempt.
    Deliver(Attempt),
    /// No server started the call.
    NotRun {
        /// Why the call was not run.
        reason: Reason,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// A server may have started the call.
    Unknown(Reason),
}

/// Output of the dispatcher.
#[derive(Debug, Clone, PartialEq)]
pub enum CallAction {
    /// Send an attempt.
    Send {
        /// Call to send, as received in [`CallEvent::Arrived`].
        call: CallId,
        /// Number that the events of this attempt must carry.
        attempt: Attempt,
        /// Server to send to.
        server: ServerId,
        /// Connection to use.
        connection: Connection,
        /// Retries and hedges that the server may spend on its own calls for this one.
        retry_budget: u8,
    },
    /// Cancel an attempt; a [`CallEvent::Ended`] still follows.
    Cancel {
        /// Call to which the attempt belongs.
        call: CallId,
        /// Attempt to cancel, numbered as in its [`CallAction::Send`].
        attempt: Attempt,
    },
    /// Answer the caller. The response of the attempt may still be arriving.
    Finish {
        /// Call whose caller is answered.
        call: CallId,
        /// What to tell the caller.
        verdict: Verdict,
    },
    /// Probe a server.
    Probe(ServerId),
    /// Send a [`CallEvent::Tick`] no later than this time.
    WakeAt(Mono),
    /// Send to the peers that a server is leaving.
    TellLeaving(ServerId),
    /// Send to the peers that requests of this fingerprint crash servers.
    TellCrashing(u64),
}

/// Input of the peer state machine.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub enum Event {
    /// Time passed.
    Tick,
    /// An authenticated message of a peer was received.
    Received {
        /// Sending VM.
        from: Name,
        /// Incarnation of the sender; grows with each start.
        incarnation: u64,
        /// The message.
        message: Message,
    },
    /// The platform's VM list was read.
    FleetRead(FleetList),
    /// The platform's folder was read.
    FolderRead(Folder),
    /// A watch of the platform's folder ended without a newer revision.
    FolderUnchanged,
    /// A read of the platform's folder failed or timed out.
    ReadFailed,
    /// A watch of the platform's VM list ended without a newer revision.
    FleetUnchanged,
    /// A read of the platform's VM list failed or timed out.
    FleetFailed,
    /// This daemon detected that a server is leaving.
    ServerLeaving {
        /// Council that owns the service.
        council: Name,
        /// Service, unique within its council.
        service: Name,
        /// Name of the server within its service.
        server: Name,
    },
    /// This daemon detected that requests of this fingerprint crash servers.
    Crashing(u64),
    /// The daemon stops gracefully: notify some peers, then return [`Action::Stopped`].
    Stop,
}

/// Output of the peer state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a message; small ones by UDP, large ones by TCP.
    Send {
        /// Receiving VM; its address is in the list of the last [`Action::Peers`].
        to: Name,
        /// The message.
        message: Message,
    },
    /// Use the addresses of peers in this VM list.
    Peers(FleetList),
    /// Read or watch the platform's folder for a revision above this one.
    ReadFolder {
        /// Last revision read.
        after: u64,
    },
    /// Read or watch the platform's VM list for a revision above this one.
    ReadFleet {
        /// Last revision read.
        after: u64,
    },
    /// Activate a council's configuration.
    InForce(Arc<CouncilConfig>),
    /// Tell operators that a council's latest files are refused and its last accepted
    /// configuration stays active. Empty `faults` mean that the files are no longer refused.
    Refused {
        /// Council that owns the files.
        council: Name,
        /// Version of the files.
        version: Version,
        /// Faults, with file, line, section and key.
        faults: Arc<[Fault]>,
    },
    /// Position of this daemon in the VM list.
    Place {
        /// Position, from 0.
        index: u32,
        /// Number of daemons, including those that left the list recently.
        daemons: u32,
    },
    /// The daemon may accept calls.
    Ready,
    /// A peer detected that a server is leaving.
    ServerLeaving {
        /// Council that owns the service.
        council: Name,
        /// Service, unique within its council.
        service: Name,
        /// Name of the server within its service.
        server: Name,
    },
    /// A peer detected that requests of this fingerprint crash servers.
    Crashing(u64),
    /// The messages about the graceful stop are queued; the daemon may exit.
    Stopped,
}
