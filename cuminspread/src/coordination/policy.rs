//! Ways to choose a server, and their settings; [`super::choice`] carries them out.

/// Way to choose a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Policy {
    /// Any server with room.
    Random,
    /// Servers in turn.
    RoundRobin,
    /// Fewest calls of this daemon, over all servers.
    LeastInFlight,
    /// Fewer calls of this daemon, of two random servers.
    PowerOfTwo,
    /// Fastest of the sampled servers that are not hot.
    HotCold,
    /// Cheapest of the next few servers in turn; those passed over stay next.
    Rotation,
    /// Owned slots first, then the cheapest of a few sampled servers.
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

    /// Label for reports.
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

/// Settings of the choice.
#[derive(Debug, Clone)]
pub struct ChoiceSettings {
    /// Way to choose.
    pub policy: Policy,
    /// Extra round trip to another data centre, in microseconds.
    pub far_cost_us: f32,
    /// Age at which a report counts for half, as a multiple of the mean latency.
    pub report_half_life: f32,
    /// Weight of the estimated load in the cost of a server.
    pub load_weight: f32,
    /// Weight of a latency above the service's in the cost of a server.
    pub latency_weight: f32,
    /// Time for which a server counts as full after a call was taken back, in mean latencies.
    pub full_for_means: f32,
    /// Servers that an overflow compares.
    pub overflow_samples: usize,
    /// Overflow in turn instead of at random.
    pub overflow_in_turn: bool,
    /// Part of its estimated cost that an owned slot counts for.
    pub owned_cost_factor: f32,
    /// Cost below which an owned slot is taken without comparison, as a multiple of the mean.
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
