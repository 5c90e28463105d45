//! Settings, events and counts of the spread of configuration.

use std::time::Duration;

use crate::coordination::event::Folder;
use crate::coordination::spread::ConfigCounts;
use crate::protocol::spread::SpreadMessage;
use crate::state::Name;
use crate::state::fleet::FleetList;

/// Settings of the spread of configuration.
#[derive(Debug, Clone)]
pub struct SpreadSettings {
    /// Name of this VM.
    pub name: Name,
    /// Data centre of this VM.
    pub data_centre: Name,
    /// Seed of the random choices.
    pub seed: u64,
    /// Number of daemons in each data centre that watch the platform's folder.
    pub readers: usize,
    /// Number of peers that a change is pushed to.
    pub fanout: usize,
    /// Time between two summaries.
    pub round_interval: Duration,
    /// Time after which a change is pushed again, to newly chosen random peers.
    pub second_push_delay: Duration,
    /// Time without contact of any known daemon with the platform after which daemons that are not
    /// readers read, too.
    pub stale_after: Duration,
    /// Number of peers that must answer before a new daemon is ready.
    pub ready_answers: usize,
    /// Longest time that a new daemon waits for these answers.
    pub ready_timeout: Duration,
    /// Time without an event after which the process is assumed to have been paused.
    pub pause_gap: Duration,
    /// Whether older versions are refused; tests switch it off to see that the invariant check
    /// fails.
    pub version_check: bool,
}

impl Default for SpreadSettings {
    fn default() -> Self {
        Self {
            name: Name::default(),
            data_centre: Name::default(),
            seed: 1,
            readers: 3,
            fanout: 4,
            round_interval: Duration::from_secs(1),
            second_push_delay: Duration::from_millis(250),
            stale_after: Duration::from_secs(20),
            ready_answers: 3,
            ready_timeout: Duration::from_secs(3),
            pause_gap: Duration::from_secs(2),
            version_check: true,
        }
    }
}

/// Input of the spread of configuration.
#[derive(Debug, Clone)]
pub enum SpreadEvent {
    /// Time passed.
    Tick,
    /// The live peers to exchange configuration with.
    Peers(Vec<Name>),
    /// The VM list; decides which daemons are readers.
    Fleet(FleetList),
    /// A peer sent a message.
    Received {
        /// Sending VM.
        from: Name,
        /// The message.
        message: SpreadMessage,
    },
    /// The platform's folder was read.
    FolderRead(Folder),
    /// A watch of the platform's folder ended without a newer revision.
    FolderUnchanged,
    /// A read of the platform's folder failed or timed out.
    ReadFailed,
}

/// Counts since the start of the spread of configuration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SpreadCounts {
    /// Contents accepted and refused.
    pub contents: ConfigCounts,
    /// Reads of the platform's folder; a watch counts once.
    pub reads: u64,
    /// Reads that returned an earlier revision than the known one.
    pub stale_reads: u64,
    /// Responses from peers whose files were incomplete or did not match their digest.
    pub damaged: u64,
}
