//! Events and actions of the two state machines.

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

/// One call, unique within a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct CallId(pub u64);

/// One attempt of a call, counted from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Attempt(pub u8);

/// Handle of a server; resolved by [`super::dispatch::Dispatcher::server`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ServerId(pub u32);

/// A call as it arrives.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Call {
    /// Identifier that all events and actions of the call carry.
    pub id: CallId,
    /// Service that it goes to.
    pub service: Arc<ServiceConfig>,
    /// Running it twice does no harm.
    pub idempotent: bool,
    /// Time by which its caller needs the answer.
    pub deadline: Mono,
    /// Calls above it in its chain.
    pub depth: u8,
    /// Extra attempts that the chain may still make; `None` at the top of a chain.
    pub retry_budget: Option<u8>,
    /// Hash of method, path and body, for finding requests that crash servers.
    pub fingerprint: u64,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Ending {
    /// The whole answer was read.
    Complete,
    /// The connection was refused, or no byte of the request left the daemon.
    NotSent,
    /// The server answered with a status that means "refused before start".
    Refused,
    /// The server confirmed a cancellation as before start.
    CancelledBeforeStart,
    /// The connection broke after some bytes of the request had left.
    Broken,
    /// No answer came in time.
    TimedOut,
    /// The daemon closed the connection after some bytes of the request had left, because nobody
    /// waits for the answer any more.
    Abandoned,
}

/// What the dispatcher is told.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub enum CallEvent {
    /// A council's configuration is in force.
    InForce(Arc<CouncilConfig>),
    /// This daemon's place among the daemons of the published list.
    Place {
        /// Position, from 0.
        index: u32,
        /// Number of daemons in the published list, including those that may have left it lately.
        daemons: u32,
    },
    /// A call came in.
    Arrived(Call),
    /// The status line and headers of an answer came.
    Head {
        /// Call.
        call: CallId,
        /// Attempt.
        attempt: Attempt,
        /// HTTP status.
        status: u16,
        /// Load report of the server.
        load: Option<LoadReport>,
    },
    /// An attempt ended.
    Ended {
        /// Call.
        call: CallId,
        /// Attempt.
        attempt: Attempt,
        /// How it ended.
        ending: Ending,
    },
    /// The answer of an attempt is too large to be held, and must go to the caller as it arrives.
    Streaming {
        /// Call.
        call: CallId,
        /// Attempt.
        attempt: Attempt,
    },
    /// The caller went away.
    CallerGone(CallId),
    /// A probe ended; `None` if it failed.
    Probed {
        /// Server that was probed.
        server: ServerId,
        /// Its report.
        load: Option<LoadReport>,
    },
    /// A peer or the platform says that a server is leaving.
    ServerLeaving {
        /// Council.
        council: Name,
        /// Service.
        service: Name,
        /// Server.
        server: Name,
    },
    /// A peer says that requests of this fingerprint crash servers.
    Crashing(u64),
    /// Time passed.
    Tick,
}

/// Which connection an attempt may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connection {
    /// Any open one, or a new one.
    Any,
    /// A new one, or one whose last byte came within the last moments.
    Live,
    /// A new one.
    New,
}

/// Why a call was refused or its outcome is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// No server of the service takes new work.
    NoServer,
    /// Queue or limit is full, or the deadline can't be met.
    Overload,
    /// The council's own share of the daemon is used up.
    CouncilLimit,
    /// The chain of calls is too deep.
    TooDeep,
    /// The deadline passed.
    Deadline,
    /// The server refused it before it started.
    ServerRefused,
    /// The connection was refused.
    ConnectFailed,
    /// The connection broke.
    ConnectionBroken,
    /// Requests like this one crash servers.
    Crashing,
    /// The caller went away.
    CallerGone,
    /// The daemon stops.
    Stopping,
}

impl Reason {
    /// Label for logs, metrics and answers.
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

/// Final word on a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Pass on the answer of this attempt.
    Deliver(Attempt),
    /// No server started it.
    NotRun {
        /// Why.
        reason: Reason,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// Nothing is proven.
    Unknown(Reason),
}

/// What the dispatcher asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum CallAction {
    /// Send an attempt.
    Send {
        /// Call.
        call: CallId,
        /// Attempt.
        attempt: Attempt,
        /// Server to send to.
        server: ServerId,
        /// Connection to use.
        connection: Connection,
        /// Extra attempts to pass on to the server's own calls.
        retry_budget: u8,
    },
    /// Cancel an attempt; its end is still reported.
    Cancel {
        /// Call.
        call: CallId,
        /// Attempt.
        attempt: Attempt,
    },
    /// Answer the caller. The answer of the attempt may still be arriving.
    Finish {
        /// Call.
        call: CallId,
        /// What to tell.
        verdict: Verdict,
    },
    /// Ask a server for its load.
    Probe(ServerId),
    /// Send a [`CallEvent::Tick`] no later than this.
    WakeAt(Mono),
    /// Tell the peers that a server is leaving.
    TellLeaving(ServerId),
    /// Tell the peers that requests of this fingerprint crash servers.
    TellCrashing(u64),
}

/// What a daemon's peer state machine is told.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub enum Event {
    /// Time passed.
    Tick,
    /// An authenticated message came.
    Received {
        /// Sending VM.
        from: Name,
        /// Incarnation of the sender.
        incarnation: u64,
        /// The message.
        message: Message,
    },
    /// The platform's list of VMs was read.
    FleetRead(FleetList),
    /// The platform's folder was read.
    FolderRead(Folder),
    /// A watch of the platform's folder ended without anything newer.
    FolderUnchanged,
    /// A read of the platform's folder failed or timed out.
    ReadFailed,
    /// A watch of the platform's list of VMs ended without anything newer.
    FleetUnchanged,
    /// A read of the platform's list of VMs failed or timed out.
    FleetFailed,
    /// This daemon found a server leaving.
    ServerLeaving {
        /// Council.
        council: Name,
        /// Service.
        service: Name,
        /// Server.
        server: Name,
    },
    /// This daemon found requests of this fingerprint crashing servers.
    Crashing(u64),
    /// The daemon stops as planned: tell the peers, then [`Action::Stopped`].
    Stop,
}

/// What a daemon's peer state machine asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a message; small ones by UDP, large ones by TCP.
    Send {
        /// Receiving VM, of the list given by [`Action::Peers`].
        to: Name,
        /// The message.
        message: Message,
    },
    /// Use this list to find the addresses of peers.
    Peers(FleetList),
    /// Read or watch the platform's folder for a revision above this one.
    ReadFolder {
        /// Last revision read.
        after: u64,
    },
    /// Read or watch the platform's list of VMs for a revision above this one.
    ReadFleet {
        /// Last revision read.
        after: u64,
    },
    /// Put a council's configuration in force.
    InForce(Arc<CouncilConfig>),
    /// Tell operators that a council's newest files are refused, and the last good ones stay in
    /// force; without faults, that they no longer are.
    Refused {
        /// Council.
        council: Name,
        /// Version of the files.
        version: Version,
        /// Faults, with file, line, section and key.
        faults: Arc<[Fault]>,
    },
    /// This daemon's place among the daemons of the published list.
    Place {
        /// Position, from 0.
        index: u32,
        /// Number of daemons, including those that left the list lately.
        daemons: u32,
    },
    /// The daemon may take calls.
    Ready,
    /// A peer found a server leaving.
    ServerLeaving {
        /// Council.
        council: Name,
        /// Service.
        service: Name,
        /// Server.
        server: Name,
    },
    /// A peer found requests of this fingerprint crashing servers.
    Crashing(u64),
    /// The peers were told of the planned stop.
    Stopped,
}
