//! Chooses the server for a request from load probes sent just before the request.
//!
//! Load pattern: at any moment a quarter or more of the servers is several times slower than usual,
//! a different set about every tenth of a second. The load reported with a server's last response
//! is stale by the next request, so a few servers are probed right before each attempt (power of
//! two choices with fresh reports: Mitzenmacher, 2001; Wydrowski et al., "Prequal", NSDI 2024).
//! Near servers (this data centre) are probed first; if none of those can answer in time, the other
//! near servers follow, and then far servers (other data centres).
//!
//! A score estimates the value of sending a request to a server: the chance of a response within
//! the latency target, less the cost of distance. It is computed from the reported load, the ratio
//! of measured to expected response times, overdue requests and failures.

use std::time::Duration;

use rand::RngExt as _;
use rand_pcg::Pcg32;

mod distance;
mod load_reporting;
mod load_slowdown;
mod server_state;
mod settings;
mod subset;

pub use distance::RoundTrips;
pub use load_reporting::LoadReporting;
pub use load_slowdown::{
    LoadSlowdown, SlowdownSamples, TimeRatios, slowdown_report_interval, useful_slots,
};
pub use server_state::{AttemptEnd, PlacementContext, ServerLoad, ServerState};
pub use settings::PlacementSettings;
pub use subset::{PROBE_RATE_HALF_LIFE, subset_size};

/// Next step of a placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Send to the candidate with this index.
    Send(usize),
    /// Probe more near servers.
    ProbeNear,
    /// Probe far servers.
    ProbeFar,
    /// Probe again after [`PlacementSettings::pause`].
    Pause,
}

/// State of a placement in its current round of probes.
#[derive(Debug, Clone, Copy, Default)]
pub struct Progress {
    /// Near servers not yet probed in this round.
    pub near_unprobed: usize,
    /// Far servers not yet probed in this round.
    pub far_unprobed: usize,
    /// Time since the placement began; [`PlacementContext::near_wait`] if there are no near servers to
    /// wait for.
    pub waited: Duration,
    /// A server that names a limit and takes a request of this daemon now.
    pub limited: Option<LimitedServer>,
}

/// A server that names a limit on its requests, and is in need.
#[derive(Debug, Clone, Copy)]
pub struct LimitedServer {
    /// Index of the candidate.
    pub index: usize,
    /// It is asked first, since its limit may have ended.
    pub needs_confirmation: bool,
}

/// Picks up to `count` servers to probe, in descending order of score plus noise.
///
/// `candidates` are pairs of an index and the server's state.
pub fn shortlist<'a>(
    candidates: impl Iterator<Item = (usize, &'a ServerState)>,
    cx: &PlacementContext,
    settings: &PlacementSettings,
    count: usize,
    rng: &mut Pcg32,
) -> Vec<usize> {
    // Noise as large as the usual score difference between two fast, free servers spreads the
    // choice over both.
    let scored = candidates.map(|(i, server)| {
        let noise: f32 = rng.random_range(0.0..0.3);
        // While requests wait, the subset has no room; any other server may have some.
        let bonus = if server.in_subset && !cx.contended {
            settings.subset_bonus
        } else {
            0.0
        };
        (server.score(cx, settings) + noise + bonus, i)
    });
    let mut scored: Vec<(f32, usize)> = scored.collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0));
    scored.into_iter().take(count).map(|(_, i)| i).collect()
}

/// Whether a pending probe is unlikely to find a much better server than those in `probed`.
pub fn is_settled<'a>(
    mut probed: impl Iterator<Item = &'a ServerState>,
    cx: &PlacementContext,
    settings: &PlacementSettings,
) -> bool {
    let best = cx.accept_score(settings) / settings.accept_fraction;
    probed.any(|s| s.score(cx, settings) >= settings.settle_fraction * best)
}

/// Decides the next step from the state of the probed servers.
///
/// A server that names a limit takes what no other near server takes well; it isn't probed, as
/// probes are requests to it.
pub fn decide<'a>(
    probed: impl Iterator<Item = (usize, &'a ServerState)>,
    cx: &PlacementContext,
    progress: Progress,
    settings: &PlacementSettings,
) -> Step {
    if let Some(limited) = progress.limited
        && limited.needs_confirmation
    {
        return Step::Send(limited.index);
    }
    let (mut near_probed, mut far_probed) = (0, 0);
    // A server that hasn't answered its probe may be full, and drop the request without an answer.
    let scored = probed.filter_map(|(i, s)| {
        let count = if s.near {
            &mut near_probed
        } else {
            &mut far_probed
        };
        *count += 1;
        let score = s.score(cx, settings);
        s.is_reported(cx, settings).then_some((score, i))
    });
    let best = scored.max_by(|a, b| a.0.total_cmp(&b.0));
    // After `near_wait` a far server is accepted as readily as a near one.
    let near_wait = cx
        .near_wait
        .min(cx.target_left.mul_f32(settings.max_near_wait_fraction));
    let near_only = progress.waited < near_wait;
    let fraction = if near_only {
        1.0
    } else {
        1.0 - settings.far_cost / settings.accept_fraction
    };
    if let Some((score, i)) = best
        && score >= cx.accept_score(settings) * fraction
    {
        return Step::Send(i);
    }
    if progress.near_unprobed > 0 && near_probed < settings.max_probed {
        return Step::ProbeNear;
    }
    if let Some(limited) = progress.limited {
        return Step::Send(limited.index);
    }
    // While the target can still be met, waiting is better than a bad choice: a server may get
    // faster or free a slot.
    let needed = cx.processing_time.mul_f32(1.3) + settings.pause;
    let can_wait = cx.target_left > needed;
    if can_wait && near_only {
        return Step::Pause;
    }
    if progress.far_unprobed > 0 && far_probed < settings.max_probed {
        return Step::ProbeFar;
    }
    match best {
        Some((score, i)) if !can_wait && score > 0.0 => Step::Send(i),
        _ => Step::Pause,
    }
}
