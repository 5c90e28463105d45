//! Choice of a server for one attempt.
//!
//! - Power of two choices: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing"
//!   (2001).
//! - Hot-cold: servers with a load above a threshold are hot and are avoided; among cold servers
//!   the latency decides. Wydrowski et al., "Load is not what you should balance: Introducing
//!   Prequal" (NSDI 2024). Here the loads come from reports in responses.
//! - Slot shares: the slots of all servers are divided among the daemons. A daemon first uses the
//!   slots that it owns, so that several daemons don't pick the same server by chance, and then
//!   overflows to the cheapest of a few sampled servers.
//!
//! All policies except [`Policy::LeastInFlight`], a baseline, compare a bounded number of servers
//! unless the sampled servers are all full.

use rand::RngExt;
use rand_pcg::Pcg32;

use crate::coordination::policy::{ChoiceSettings, Policy};
use crate::coordination::pool::Pool;
use crate::coordination::server::{CostParams, Server};
use crate::state::time::Mono;

/// Number of owned slots that are compared.
const OWNED_SAMPLES: usize = 4;
/// Maximum number of servers that are tried in the search for one with a free slot.
const MAX_SAMPLES: usize = 8;
/// Number of servers that the hot-cold policy compares.
const HOT_COLD_SAMPLES: usize = 4;
/// Calls per slot from which on a server is hot.
const HOT_CALLS_PER_SLOT: f32 = 0.8;

/// A chosen server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// Identifier of the server.
    pub server: u32,
    /// Index of the owned slot that the attempt uses, in [`Pool::owned_free`]; `None` for an
    /// overflow or another policy.
    pub owned_slot: Option<usize>,
}

/// Inputs of a choice.
#[derive(Debug)]
pub struct Chooser<'a> {
    /// Time of the choice.
    pub now: Mono,
    /// Policy and its settings.
    pub settings: &'a ChoiceSettings,
    /// Parameters of the cost estimate.
    pub params: CostParams,
    /// All servers, indexed by identifier.
    pub servers: &'a [Server],
    /// Servers to avoid because of earlier attempts of the call.
    pub avoid: &'a [u32],
}

impl Chooser<'_> {
    /// Chooses a server of the pool; `None` if no server can take the attempt.
    pub fn choose(&self, pool: &mut Pool, rng: &mut Pcg32) -> Option<Choice> {
        if pool.candidates.is_empty() {
            return None;
        }
        let found = match self.settings.policy {
            Policy::Random => self.sample(&pool.candidates, rng),
            Policy::RoundRobin => self.round_robin(pool),
            Policy::LeastInFlight => self.fewest(&pool.candidates),
            Policy::PowerOfTwo => self.power_of_two(&pool.candidates, rng),
            Policy::HotCold => self.hot_cold(&pool.candidates, rng),
            Policy::Rotation => self.rotate(pool).map(|(_, id)| id),
            Policy::SlotShares => return self.slot_shares(pool, rng),
        };
        let server = found.or_else(|| self.fewest(&pool.candidates))?;
        Some(Choice {
            server,
            owned_slot: None,
        })
    }

    fn get(&self, id: u32) -> &Server {
        &self.servers[id as usize]
    }

    fn is_available(&self, id: u32) -> bool {
        let server = self.get(id);
        let open = server.in_flight < server.max_in_flight && !server.is_ejected(self.now);
        open && !self.avoid.contains(&id)
    }

    fn cost(&self, id: u32) -> f32 {
        self.get(id).cost(self.now, &self.params)
    }

    fn sample(&self, ids: &[u32], rng: &mut Pcg32) -> Option<u32> {
        if ids.is_empty() {
            return None;
        }
        let mut picks = (0..MAX_SAMPLES).map(|_| ids[rng.random_range(0..ids.len())]);
        picks.find(|id| self.is_available(*id))
    }

    fn round_robin(&self, pool: &mut Pool) -> Option<u32> {
        let count = pool.candidates.len();
        for _ in 0..count.min(MAX_SAMPLES) {
            pool.cursor = (pool.cursor + 1) % count;
            let id = pool.candidates[pool.cursor];
            if self.is_available(id) {
                return Some(id);
            }
        }
        None
    }

    /// The server with the fewest attempts in flight, of all that can take another. Scans all
    /// servers; also the fallback when no sampled server can take the attempt.
    fn fewest(&self, ids: &[u32]) -> Option<u32> {
        let open = ids.iter().copied().filter(|id| self.is_available(*id));
        open.min_by_key(|id| self.get(*id).in_flight)
    }

    fn power_of_two(&self, ids: &[u32], rng: &mut Pcg32) -> Option<u32> {
        let first = self.sample(ids, rng)?;
        let second = self.sample(ids, rng)?;
        let fewer = self.get(second).in_flight < self.get(first).in_flight;
        Some(if fewer { second } else { first })
    }

    fn hot_cold(&self, ids: &[u32], rng: &mut Pcg32) -> Option<u32> {
        let mut best: Option<(bool, f32, u32)> = None;
        for _ in 0..HOT_COLD_SAMPLES {
            let Some(id) = self.sample(ids, rng) else {
                continue;
            };
            let server = self.get(id);
            let load = server.estimated_load(self.now, &self.params) / server.slots.max(1) as f32;
            let hot = load >= HOT_CALLS_PER_SLOT;
            let rank = if hot { load } else { server.latency.mean() };
            let better = best.is_none_or(|(h, r, _)| (hot, rank) < (h, r));
            if better {
                best = Some((hot, rank, id));
            }
        }
        best.map(|(_, _, id)| id)
    }

    /// The cheapest of the next few servers in rotation; skipped servers are considered again next.
    fn rotate(&self, pool: &mut Pool) -> Option<(f32, u32)> {
        let count = pool.rotation.len();
        let mut best: Option<(f32, usize)> = None;
        let mut compared = 0;
        for step in 0..count.min(MAX_SAMPLES) {
            let position = (pool.cursor + step) % count;
            let id = pool.rotation[position];
            if !self.is_available(id) {
                continue;
            }
            let cost = self.cost(id);
            if best.is_none_or(|(c, _)| cost < c) {
                best = Some((cost, position));
            }
            compared += 1;
            if compared == self.settings.overflow_samples {
                break;
            }
        }
        let (cost, position) = best?;
        let id = pool.rotation[position];
        let next = pool.cursor % count;
        pool.rotation.swap(next, position);
        pool.cursor = (next + 1) % count;
        Some((cost, id))
    }

    fn slot_shares(&self, pool: &mut Pool, rng: &mut Pcg32) -> Option<Choice> {
        let owned = self.owned_slot(pool, rng);
        if let Some((cost, choice)) = owned
            && cost < self.settings.owned_cost_limit * self.params.mean_us
        {
            return Some(choice);
        }
        let overflow = if self.settings.overflow_in_turn {
            self.rotate(pool)
        } else {
            self.overflow(pool, rng)
        };
        match (owned, overflow) {
            (Some((cost, choice)), Some((other, _))) if cost <= other => Some(choice),
            (owned, None) => owned.map(|(_, choice)| choice),
            (_, Some((_, server))) => Some(Choice {
                server,
                owned_slot: None,
            }),
        }
    }

    fn owned_slot(&self, pool: &Pool, rng: &mut Pcg32) -> Option<(f32, Choice)> {
        let free = &pool.owned_free;
        let mut best: Option<(f32, Choice)> = None;
        for _ in 0..OWNED_SAMPLES.min(free.len()) {
            let position = rng.random_range(0..free.len());
            let server = free[position];
            if !self.is_available(server) {
                continue;
            }
            let cost = self.settings.owned_cost_factor * self.cost(server);
            if best.is_none_or(|(c, _)| cost < c) {
                let owned_slot = Some(position);
                best = Some((cost, Choice { server, owned_slot }));
            }
        }
        best
    }

    /// The cheapest of one sampled server in this data centre and some sampled in any.
    fn overflow(&self, pool: &Pool, rng: &mut Pcg32) -> Option<(f32, u32)> {
        let near = &pool.candidates[..pool.near];
        let mut best = self.sample(near, rng).map(|id| (self.cost(id), id));
        for _ in 1..self.settings.overflow_samples {
            let Some(id) = self.sample(&pool.candidates, rng) else {
                continue;
            };
            let cost = self.cost(id);
            if best.is_none_or(|(c, _)| cost < c) {
                best = Some((cost, id));
            }
        }
        best.or_else(|| self.fewest(&pool.candidates).map(|id| (self.cost(id), id)))
    }
}
