//! Spreads a route's requests over its services by weight.
//!
//! Smooth weighted round robin keeps each daemon's own counts within one request of the weights, so
//! that the counts of the whole fleet follow the weights even if each daemon gets few requests.
//! Each daemon starts at a random point; otherwise all would send their first requests to one
//! service.

use rand::RngExt as _;
use rand_pcg::Pcg32;

/// Round-robin state of one route.
#[derive(Debug, Clone, Default)]
pub struct WeightedRoundRobin {
    weights: Vec<u32>,
    credits: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Index of the weight that takes the next request; `None` if all weights are zero.
    ///
    /// Starts again at a random point when the weights change.
    pub fn next(&mut self, weights: &[u32], rng: &mut Pcg32) -> Option<usize> {
        let total: i64 = weights.iter().copied().map(i64::from).sum();
        if total == 0 {
            return None;
        }
        if self.weights != weights {
            self.weights = weights.to_vec();
            self.credits = weights
                .iter()
                .map(|w| rng.random_range(0..=i64::from(*w)))
                .collect();
        }
        for (credit, weight) in self.credits.iter_mut().zip(weights) {
            *credit += i64::from(*weight);
        }
        let (i, credit) = self
            .credits
            .iter_mut()
            .enumerate()
            .filter(|(i, _)| weights[*i] > 0)
            .max_by_key(|(_, c)| **c)?;
        *credit -= total;
        Some(i)
    }
}
