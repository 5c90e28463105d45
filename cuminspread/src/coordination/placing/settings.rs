//! Settings of the choice of a server.

use std::time::Duration;

/// Settings of the choice.
#[derive(Debug, Clone)]
pub struct PlacingSettings {
    /// Servers asked first.
    pub first_look: usize,
    /// Servers asked in each further round.
    pub next_look: usize,
    /// Part of the best score in reach from which a server is taken without asking more.
    pub good: f32,
    /// Part of the best score in reach from which other answers aren't waited for.
    pub best: f32,
    /// What an answer at the aim itself loses against one at once.
    pub haste: f32,
    /// Chance that a server without a fresh report is as fast as usual.
    pub trust: f32,
    /// Score that a server of this daemon's own subset gets beyond others in a shortlist.
    pub own: f32,
    /// Near servers of one service in this daemon's own subset.
    pub subset: usize,
    /// Part of a request's value that it costs to leave the data centre.
    pub far_cost: f32,
    /// Pause before the same servers are asked again; a fraction of how long a speed lasts.
    pub pause: Duration,
    /// Longest wait for a near server before far ones are asked.
    pub near_wait: Duration,
    /// Age up to which a report is used as if it had just been asked for.
    pub fresh: Duration,
    /// Age at which a report is worth nothing.
    pub report_life: Duration,
    /// Time in which a belief about a slow or failing server halves.
    pub half_life: Duration,
    /// First time for which a server that failed is avoided; it doubles with each failure in a row.
    pub avoid: Duration,
    /// Longest time for which a server is avoided.
    pub max_avoid: Duration,
    /// Least factor on the time of a server that a second one has outrun.
    pub outrun: f32,
    /// Part of its slots from which on a server counts as nearly full.
    pub nearly_full: f32,
    /// Cost of a nearly full server for each multiple by which its work takes longer.
    pub crowded: f32,
    /// Slowness from which on a late request doesn't take a slot that others wait for.
    pub too_slow: f32,
    /// Factor on the score of a server without a free slot.
    pub full: f32,
    /// Factor on the work of a server that has just started.
    pub cold: f32,
    /// Value of a late answer against one in time.
    pub late: f32,
}

impl Default for PlacingSettings {
    fn default() -> Self {
        Self {
            first_look: 2,
            next_look: 3,
            good: 0.75,
            best: 0.93,
            haste: 0.08,
            trust: 0.6,
            own: 0.5,
            subset: 8,
            far_cost: 0.2,
            pause: Duration::from_millis(25),
            near_wait: Duration::from_millis(60),
            fresh: Duration::from_millis(12),
            report_life: Duration::from_millis(100),
            half_life: Duration::from_secs(2),
            avoid: Duration::from_millis(250),
            max_avoid: Duration::from_secs(2),
            outrun: 3.0,
            nearly_full: 0.8,
            crowded: 0.4,
            too_slow: 2.0,
            full: 0.4,
            cold: 2.0,
            late: 0.1,
        }
    }
}
