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

mod crowding;
mod settings;
mod standing;

pub use crowding::Crowding;
pub use settings::PlacingSettings;
pub use standing::{End, Need, Room, Standing};

/// Next step of a placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Send to this one of the candidates.
    Send(usize),
    /// Ask more near servers.
    LookNear,
    /// Ask servers of other data centres.
    LookFar,
    /// Ask again after a pause.
    Pause,
}

/// What a placement has tried so far.
#[derive(Debug, Clone, Copy, Default)]
pub struct Progress {
    /// Near servers that were not yet asked in this round.
    pub near_left: usize,
    /// Far servers that were not yet asked in this round.
    pub far_left: usize,
    /// Time since the first look.
    pub waited: Duration,
}

/// Picks up to `count` servers to ask, the most promising first.
///
/// `candidates` are pairs of an index and what is believed of that server.
pub fn shortlist<'a>(
    candidates: impl Iterator<Item = (usize, &'a Standing)>,
    need: &Need,
    settings: &PlacingSettings,
    count: usize,
    rng: &mut Pcg32,
) -> Vec<usize> {
    // Noise as large as what separates two good servers spreads the choice over them.
    let scored = candidates.map(|(i, standing)| {
        let noise: f32 = rng.random_range(0.0..0.3);
        let own = if standing.own { settings.own } else { 0.0 };
        (standing.score(need, settings) + noise + own, i)
    });
    let mut scored: Vec<(f32, usize)> = scored.collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0));
    scored.into_iter().take(count).map(|(_, i)| i).collect()
}

/// Whether no answer that is still out can be much better than those that came.
pub fn is_settled<'a>(
    mut asked: impl Iterator<Item = &'a Standing>,
    need: &Need,
    settings: &PlacingSettings,
) -> bool {
    let best = need.good(settings) / settings.good;
    asked.any(|s| s.score(need, settings) >= settings.best * best)
}

/// Decides what follows from the reports of the servers that were asked.
pub fn decide<'a>(
    asked: impl Iterator<Item = (usize, &'a Standing)>,
    need: &Need,
    progress: Progress,
    settings: &PlacingSettings,
) -> Step {
    let scored = asked.map(|(i, s)| (s.score(need, settings), i));
    let best = scored.max_by(|a, b| a.0.total_cmp(&b.0));
    // Once the near ones had their time, a far one is as good.
    let near_only = progress.waited < settings.near_wait;
    let part = if near_only {
        1.0
    } else {
        1.0 - settings.far_cost / settings.good
    };
    if let Some((score, i)) = best
        && score >= need.good(settings) * part
    {
        return Step::Send(i);
    }
    if progress.near_left > 0 {
        return Step::LookNear;
    }
    // Until the latest start that still meets the aim, a server may get faster or free.
    let latest = need.work.mul_f32(1.3) + settings.pause;
    let can_wait = need.aim_left > latest;
    if can_wait && progress.waited < settings.near_wait {
        return Step::Pause;
    }
    if progress.far_left > 0 {
        return Step::LookFar;
    }
    match best {
        Some((score, i)) if !can_wait && score > 0.0 => Step::Send(i),
        _ => Step::Pause,
    }
}
