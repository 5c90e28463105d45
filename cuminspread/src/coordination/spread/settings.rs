//! Settings, events and counts of configuration spread.

use std::time::Duration;

use crate::coordination::event::Folder;
use crate::coordination::spread::ConfigCounts;
use crate::protocol::spread::SpreadMessage;
use crate::state::Name;
use crate::state::fleet::FleetList;

/// Settings of configuration spread.
#[derive(Debug, Clone)]
pub struct SpreadSettings {
    /// Name of this VM.
    pub name: Name,
    /// Data centre of this VM.
    pub data_centre: Name,
    /// Seed of the random choices.
    pub seed: u64,
    /// Daemons that watch the platform, in each data centre.
    pub readers: usize,
    /// Peers that a change is pushed to.
    pub fanout: usize,
    /// Time between two summaries.
    pub round_interval: Duration,
    /// Time after which a change is pushed a second time.
    pub second_push_delay: Duration,
    /// Age of the youngest news of the platform beyond which other daemons read, too.
    pub stale_after: Duration,
    /// Peers that must answer before a new daemon is ready.
    pub ready_answers: usize,
    /// Longest time that a new daemon waits for their answers.
    pub ready_timeout: Duration,
    /// Time without an event after which the process is taken to have been paused.
    pub pause_gap: Duration,
    /// Refuses older versions; switched off only by tests, to see the violation.
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

/// What configuration spread is told.
#[derive(Debug, Clone)]
pub enum SpreadEvent {
    /// Time passed.
    Tick,
    /// Live peers, without this daemon.
    Peers(Vec<Name>),
    /// The published list of VMs; decides which daemons watch the platform.
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
    /// A watch of the platform's folder ended without anything newer.
    FolderUnchanged,
    /// A read of the platform's folder failed or timed out.
    ReadFailed,
}

/// Counts of what configuration spread did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SpreadCounts {
    /// Contents taken and refused.
    pub contents: ConfigCounts,
    /// Reads of the platform's folder; a watch counts once.
    pub reads: u64,
    /// Reads that brought an older revision than the known one.
    pub stale_reads: u64,
    /// Files from peers that did not match their digest.
    pub damaged: u64,
}
