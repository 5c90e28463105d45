//! Settings of the simulation.

use std::time::Duration;

use crate::config::platform::FolderSize;

/// Sizes and faults of a simulated fleet; fractions are from 0 to 1.
#[derive(Debug, Clone)]
pub struct SimulationSettings {
    /// Seed of the faults and of the daemons.
    pub seed: u64,
    /// Number of daemons.
    pub daemons: usize,
    /// Number of data centres, over which the daemons are spread evenly.
    pub data_centres: usize,
    /// Size of the folder on the platform.
    pub folder: FolderSize,
    /// Fraction of the messages that are lost.
    pub loss_fraction: f64,
    /// Fraction of the messages that arrive twice.
    pub duplicate_fraction: f64,
    /// Longest delay of a message on top of 1 ms.
    pub max_jitter: Duration,
    /// Fraction of the daemons that can't reach the platform.
    pub cut_off_fraction: f64,
    /// Fraction of the reads answered by a replica that lags by up to three revisions.
    pub stale_fraction: f64,
    /// Whether the daemons check versions; tests switch it off to see that a violation is found.
    pub version_check: bool,
}

impl Default for SimulationSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            daemons: 18,
            data_centres: 3,
            folder: FolderSize::default(),
            loss_fraction: 0.0,
            duplicate_fraction: 0.0,
            max_jitter: Duration::from_millis(1),
            cut_off_fraction: 0.0,
            stale_fraction: 0.0,
            version_check: true,
        }
    }
}
