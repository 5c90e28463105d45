//! Settings of the choice of a server.

use std::time::Duration;

/// Settings of the choice; fractions are from 0 to 1.
#[derive(Debug, Clone)]
pub struct PlacementSettings {
    /// Servers probed in the first round.
    pub first_probes: usize,
    /// Servers probed in each further round.
    pub next_probes: usize,
    /// Servers with fresh reports, near ones and far ones each, from which on no more are probed in
    /// this round: if none of them has room, the others are unlikely to have any.
    pub max_probed: usize,
    /// Fraction of the best score in reach from which a server is chosen without further probes.
    pub accept_fraction: f32,
    /// Fraction of the best score in reach from which pending probes aren't waited for.
    pub settle_fraction: f32,
    /// Score that a response right at the latency target loses against an immediate response.
    pub latency_cost: f32,
    /// Chance that a server without a fresh report is as fast as usual.
    pub unreported_confidence: f32,
    /// Score added to the servers of this daemon's subset when servers to probe are picked.
    pub subset_bonus: f32,
    /// Fewest near servers of a service in this daemon's subset; enough to find a fast one.
    pub min_subset_size: usize,
    /// Most near servers of a service in this daemon's subset.
    pub max_subset_size: usize,
    /// Fraction of a request's value that it costs to leave the data centre.
    pub far_cost: f32,
    /// Pause before the same servers are probed again; short against the time for which a server
    /// keeps its speed.
    pub pause: Duration,
    /// Longest wait for a near server before far servers are probed, as a multiple of the time by which
    /// the round trip to a far server is longer.
    pub near_wait_round_trips: f32,
    /// Longest such wait at any distance, and while the distance isn't known.
    pub max_near_wait: Duration,
    /// Longest wait for a near server as a fraction of the time until the latency target.
    pub max_near_wait_fraction: f32,
    /// Age up to which a report counts as new, so that the server isn't probed again.
    pub fresh_age: Duration,
    /// Age up to which a report shows the load at which a request begins to run.
    pub exact_age: Duration,
    /// Age from which a report is ignored.
    pub max_report_age: Duration,
    /// Half-life of the latency ratio and the error rate of a server.
    pub half_life: Duration,
    /// Time for which a server is avoided after a failure; it doubles with each failure in a row.
    pub first_avoid: Duration,
    /// Longest time for which a server is avoided.
    pub max_avoid: Duration,
    /// Smallest latency ratio recorded for a server that lost the race against a hedge.
    pub lost_race_ratio: f32,
    /// Fraction of its slots in use from which a server counts as nearly full.
    pub nearly_full_fraction: f32,
    /// Score that a nearly full server loses for each multiple by which its requests take longer.
    pub nearly_full_cost: f32,
    /// Slowness above which a late request doesn't take a slot while other requests wait.
    pub max_contended_slowness: f32,
    /// Factor on the score of a server without a free slot.
    pub full_factor: f32,
    /// Factor on the processing time at a server that has just started.
    pub cold_factor: f32,
    /// Value of a late response; a response in time has the value 1.
    pub late_value: f32,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            first_probes: 2,
            next_probes: 3,
            max_probed: 8,
            accept_fraction: 0.75,
            settle_fraction: 0.93,
            latency_cost: 0.08,
            unreported_confidence: 0.6,
            subset_bonus: 0.5,
            min_subset_size: 3,
            max_subset_size: 8,
            far_cost: 0.2,
            pause: Duration::from_millis(25),
            near_wait_round_trips: 4.0,
            max_near_wait: Duration::from_millis(60),
            max_near_wait_fraction: 0.25,
            fresh_age: Duration::from_millis(12),
            exact_age: Duration::from_millis(2),
            max_report_age: Duration::from_millis(100),
            half_life: Duration::from_secs(2),
            first_avoid: Duration::from_millis(250),
            max_avoid: Duration::from_secs(2),
            lost_race_ratio: 3.0,
            nearly_full_fraction: 0.8,
            nearly_full_cost: 0.1,
            max_contended_slowness: 2.0,
            full_factor: 0.4,
            cold_factor: 2.0,
            late_value: 0.1,
        }
    }
}
