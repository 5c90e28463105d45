//! Spreads a route's requests over its services by weight.
//!
//! Smooth weighted round robin keeps each daemon's own counts within one request of the weights, so
//! that the fleet's counts are close to them also where each daemon sees few requests. Daemons start
//! at random points; otherwise all would send their first requests to the same service.

use rand::RngExt as _;
use rand_pcg::Pcg32;

/// State of one route.
#[derive(Debug, Clone, Default)]
pub struct WeightedRoundRobin {
    weights: Vec<u32>,
    credit: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Part that takes the next request; `None` if all weights are zero.
    pub fn next(&mut self, weights: &[u32], rng: &mut Pcg32) -> Option<usize> {
        let total: i64 = weights.iter().copied().map(i64::from).sum();
        if total == 0 {
            return None;
        }
        if self.weights != weights {
            self.weights = weights.to_vec();
            self.credit = weights
                .iter()
                .map(|w| rng.random_range(0..=i64::from(*w)))
                .collect();
        }
        for (credit, weight) in self.credit.iter_mut().zip(weights) {
            *credit += i64::from(*weight);
        }
        let (i, credit) = self
            .credit
            .iter_mut()
            .enumerate()
            .filter(|(i, _)| weights[*i] > 0)
            .max_by_key(|(_, c)| **c)?;
        *credit -= total;
        Some(i)
    }
}
