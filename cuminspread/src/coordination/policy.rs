//! Load balancing policies and their settings; [`super::choice`] implements them.

/// Load balancing policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Policy {
    /// A random server with a free slot.
    Random,
    /// Servers in order, each in turn.
    RoundRobin,
    /// The server with the fewest calls of this daemon, of all servers.
    LeastInFlight,
    /// The server with fewer calls of this daemon, of two random servers.
    PowerOfTwo,
    /// The fastest of the sampled servers that are not hot.
    HotCold,
    /// The cheapest of the next few servers in rotation; skipped servers are considered again
    /// next.
    Rotation,
    /// A slot that this daemon owns, or the cheapest of a few other servers (overflow).
    SlotShares,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 7] = [
        Self::Random,
        Self::RoundRobin,
        Self::LeastInFlight,
        Self::PowerOfTwo,
        Self::HotCold,
        Self::Rotation,
        Self::SlotShares,
    ];

    /// Label for benchmark reports.
    pub fn label(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round_robin",
            Self::LeastInFlight => "least_in_flight",
            Self::PowerOfTwo => "power_of_two",
            Self::HotCold => "hot_cold",
            Self::Rotation => "rotation",
            Self::SlotShares => "slot_shares",
        }
    }
}

/// Settings of the choice of a server.
#[derive(Debug, Clone)]
pub struct ChoiceSettings {
    /// Policy that picks the server of an attempt.
    pub policy: Policy,
    /// Cost of a server in another data centre, for the longer round trip, in microseconds.
    pub far_cost_us: f32,
    /// Age at which the weight of a load report is halved, as a multiple of the mean latency.
    pub report_half_life: f32,
    /// Weight of the estimated load in the cost.
    pub load_weight: f32,
    /// Weight in the cost of the server's latency above the mean of the service.
    pub latency_weight: f32,
    /// Time for which a server counts as full after it refused a call or let one be moved, as a
    /// multiple of the mean latency.
    pub full_for_means: f32,
    /// Number of servers that an overflow compares.
    pub overflow_samples: usize,
    /// Whether an overflow takes servers in rotation instead of at random.
    pub overflow_in_turn: bool,
    /// Factor on the cost of an owned slot; below 1 prefers owned slots.
    pub owned_cost_factor: f32,
    /// Cost below which an owned slot is used without comparison, as a multiple of the mean
    /// latency.
    pub owned_cost_limit: f32,
}

impl Default for ChoiceSettings {
    fn default() -> Self {
        Self {
            policy: Policy::SlotShares,
            far_cost_us: 2_000.0,
            report_half_life: 1.0,
            load_weight: 0.2,
            latency_weight: 0.0,
            full_for_means: 0.4,
            overflow_samples: 3,
            overflow_in_turn: true,
            owned_cost_factor: 0.1,
            owned_cost_limit: 1.0,
        }
    }
}
