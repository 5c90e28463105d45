//! Chooses a server by what it says of itself a moment before the request is sent.
//!
//! Load pattern: a quarter or more of the servers is several times slower than usual at any moment,
//! others each time, for about a tenth of a second. What a server said with its last answer is worth
//! nothing by the next request, so a few servers are asked right before a send (power of two choices
//! with fresh reports: Mitzenmacher, 2001; Wydrowski et al., "Prequal", NSDI 2024). Near ones are
//! asked first; if none of them can answer in time, the rest of the near ones, and then far ones.
//!
//! A score estimates the value of sending to a server: the chance of an answer within the aim, less
//! what distance costs. Scores rest on the report, on how long the server's own answers took against
//! what it said, on requests that it has had for too long, and on failures.

use std::time::Duration;

use rand::RngExt as _;
use rand_pcg::Pcg32;

mod load_slowdown;
mod server_state;
mod settings;

pub use load_slowdown::LoadSlowdown;
pub use server_state::{AttemptEnd, PlacementContext, ServerLoad, ServerState};
pub use settings::PlacementSettings;

/// Next step of a placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Send to this one of the candidates.
    Send(usize),
    /// Ask more near servers.
    ProbeNear,
    /// Ask servers of other data centres.
    ProbeFar,
    /// Ask again after a pause.
    Pause,
}

/// What a placement has tried so far.
#[derive(Debug, Clone, Copy, Default)]
pub struct Progress {
    /// Near servers that were not yet asked in this round.
    pub near_unprobed: usize,
    /// Far servers that were not yet asked in this round.
    pub far_unprobed: usize,
    /// Time since the first look.
    pub waited: Duration,
}

/// Picks up to `count` servers to ask, the most promising first.
///
/// `candidates` are pairs of an index and what is believed of that server.
pub fn shortlist<'a>(
    candidates: impl Iterator<Item = (usize, &'a ServerState)>,
    need: &PlacementContext,
    settings: &PlacementSettings,
    count: usize,
    rng: &mut Pcg32,
) -> Vec<usize> {
    // Noise as large as what separates two good servers spreads the choice over them.
    let scored = candidates.map(|(i, standing)| {
        let noise: f32 = rng.random_range(0.0..0.3);
        let own = if standing.in_subset {
            settings.subset_bonus
        } else {
            0.0
        };
        (standing.score(need, settings) + noise + own, i)
    });
    let mut scored: Vec<(f32, usize)> = scored.collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0));
    scored.into_iter().take(count).map(|(_, i)| i).collect()
}

/// Whether no answer that is still out can be much better than those that came.
pub fn is_settled<'a>(
    mut asked: impl Iterator<Item = &'a ServerState>,
    need: &PlacementContext,
    settings: &PlacementSettings,
) -> bool {
    let best = need.good(settings) / settings.accept_fraction;
    asked.any(|s| s.score(need, settings) >= settings.settle_fraction * best)
}

/// Decides what follows from the reports of the servers that were asked.
pub fn decide<'a>(
    asked: impl Iterator<Item = (usize, &'a ServerState)>,
    need: &PlacementContext,
    progress: Progress,
    settings: &PlacementSettings,
) -> Step {
    let scored = asked.map(|(i, s)| (s.score(need, settings), i));
    let best = scored.max_by(|a, b| a.0.total_cmp(&b.0));
    // Once the near ones had their time, a far one is as good.
    let near_only = progress.waited < settings.near_wait;
    let part = if near_only {
        1.0
    } else {
        1.0 - settings.far_cost / settings.accept_fraction
    };
    if let Some((score, i)) = best
        && score >= need.good(settings) * part
    {
        return Step::Send(i);
    }
    if progress.near_unprobed > 0 {
        return Step::ProbeNear;
    }
    // Until the latest start that still meets the aim, a server may get faster or free.
    let latest = need.processing_time.mul_f32(1.3) + settings.pause;
    let can_wait = need.target_left > latest;
    if can_wait && progress.waited < settings.near_wait {
        return Step::Pause;
    }
    if progress.far_unprobed > 0 {
        return Step::ProbeFar;
    }
    match best {
        Some((score, i)) if !can_wait && score > 0.0 => Step::Send(i),
        _ => Step::Pause,
    }
}
