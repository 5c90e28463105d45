//! Settings of the choice of a server.

use std::time::Duration;

/// Settings of the choice.
#[derive(Debug, Clone)]
pub struct PlacementSettings {
    /// Servers asked first.
    pub first_probes: usize,
    /// Servers asked in each further round.
    pub next_probes: usize,
    /// Part of the best score in reach from which a server is taken without asking more.
    pub accept_fraction: f32,
    /// Part of the best score in reach from which other answers aren't waited for.
    pub settle_fraction: f32,
    /// What an answer at the aim itself loses against one at once.
    pub latency_cost: f32,
    /// Chance that a server without a fresh report is as fast as usual.
    pub unreported_confidence: f32,
    /// Score that a server of this daemon's own subset gets beyond others in a shortlist.
    pub subset_bonus: f32,
    /// Near servers of one service in this daemon's own subset.
    pub subset_size: usize,
    /// Part of a request's value that it costs to leave the data centre.
    pub far_cost: f32,
    /// Pause before the same servers are asked again; a fraction of how long a speed lasts.
    pub pause: Duration,
    /// Longest wait for a near server before far ones are asked.
    pub near_wait: Duration,
    /// Age up to which a report is used as if it had just been asked for.
    pub fresh_age: Duration,
    /// Age at which a report is worth nothing.
    pub max_report_age: Duration,
    /// Time in which a belief about a slow or failing server halves.
    pub half_life: Duration,
    /// First time for which a server that failed is avoided; it doubles with each failure in a row.
    pub first_avoid: Duration,
    /// Longest time for which a server is avoided.
    pub max_avoid: Duration,
    /// Least factor on the time of a server that a second one has outrun.
    pub lost_race_ratio: f32,
    /// Part of its slots from which on a server counts as nearly full.
    pub nearly_full_fraction: f32,
    /// Cost of a nearly full server for each multiple by which its work takes longer.
    pub nearly_full_cost: f32,
    /// Slowness from which on a late request doesn't take a slot that others wait for.
    pub max_contended_slowness: f32,
    /// Factor on the score of a server without a free slot.
    pub full_factor: f32,
    /// Factor on the work of a server that has just started.
    pub cold_factor: f32,
    /// Value of a late answer against one in time.
    pub late_value: f32,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            first_probes: 2,
            next_probes: 3,
            accept_fraction: 0.75,
            settle_fraction: 0.93,
            latency_cost: 0.08,
            unreported_confidence: 0.6,
            subset_bonus: 0.5,
            subset_size: 8,
            far_cost: 0.2,
            pause: Duration::from_millis(25),
            near_wait: Duration::from_millis(60),
            fresh_age: Duration::from_millis(12),
            max_report_age: Duration::from_millis(100),
            half_life: Duration::from_secs(2),
            first_avoid: Duration::from_millis(250),
            max_avoid: Duration::from_secs(2),
            lost_race_ratio: 3.0,
            nearly_full_fraction: 0.8,
            nearly_full_cost: 0.4,
            max_contended_slowness: 2.0,
            full_factor: 0.4,
            cold_factor: 2.0,
            late_value: 0.1,
        }
    }
}
