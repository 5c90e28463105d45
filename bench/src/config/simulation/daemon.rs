//! Simulated daemon.

use std::collections::BTreeMap;

use cuminspread::coordination::spread::Spread;
use cuminspread::invariant::InvariantChecks;
use cuminspread::state::Name;
use cuminspread::state::time::Mono;

use crate::config::platform::council_name;

/// Simulated daemon.
#[derive(Debug)]
pub struct Daemon {
    pub(super) name: Name,
    pub(super) data_centre: usize,
    /// Number of replacements before this daemon.
    pub(super) generation: u32,
    pub(super) spread: Spread,
    pub(super) invariants: InvariantChecks,
    /// Indices of the peers.
    pub(super) peers: Vec<usize>,
    /// Whether the daemon can't reach the platform.
    pub(super) cut_off: bool,
    /// Side of the network partition; daemons on different sides can't reach each other.
    pub(super) partition: u8,
    pub(super) paused_until: Mono,
    /// Revision after which the open read asks for a change; `None` without an open read.
    pub(super) watched_revision: Option<u64>,
    /// Number of edits in the active configuration, by council.
    pub(super) active_edits: BTreeMap<Name, u32>,
    /// Whether the daemon has reported that it is ready for calls.
    pub ready: bool,
    /// Bytes sent to other daemons, including [`super::ENVELOPE_BYTES`] per message.
    pub sent_bytes: u64,
    /// Messages sent to other daemons.
    pub messages: u64,
}

impl Daemon {
    /// State machine under test.
    pub fn spread(&self) -> &Spread {
        &self.spread
    }

    /// Number of edits in the active configuration of a council; `None` while it has none.
    pub fn edits(&self, council: usize) -> Option<u32> {
        self.active_edits
            .get(council_name(council).as_str())
            .copied()
    }
}
