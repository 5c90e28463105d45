//! One daemon of a run.

use std::collections::BTreeMap;

use cuminspread::coordination::spread::Spread;
use cuminspread::invariant::InvariantChecks;
use cuminspread::state::Name;
use cuminspread::state::time::Mono;

use crate::config::platform::council_name;

/// One daemon of the run.
#[derive(Debug)]
pub struct Daemon {
    pub(super) name: Name,
    pub(super) centre: usize,
    pub(super) life: u32,
    pub(super) spread: Spread,
    pub(super) invariants: InvariantChecks,
    pub(super) peers: Vec<usize>,
    pub(super) cut: bool,
    pub(super) part: u8,
    pub(super) paused_until: Mono,
    pub(super) watching: Option<u64>,
    /// Number of edits in force, by council.
    pub(super) in_force: BTreeMap<Name, u32>,
    /// The daemon may take calls.
    pub ready: bool,
    /// Bytes sent.
    pub sent: u64,
    /// Messages sent.
    pub messages: u64,
}

impl Daemon {
    /// Its state machine.
    pub fn spread(&self) -> &Spread {
        &self.spread
    }

    /// Number of edits of a council that are in force; none before the first configuration.
    pub fn edits(&self, council: usize) -> Option<u32> {
        self.in_force.get(council_name(council).as_str()).copied()
    }
}
