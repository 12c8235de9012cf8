//! Weighted distribution of a route's requests among its services.

use {
    hemlockford_core::config::RouteTarget,
    rand::{RngExt, rngs::SmallRng},
    std::cell::RefCell,
};

/// Maximum number of initial steps; each step selects a service, as for one request.
const MAX_INITIAL_STEPS: u64 = 1_000;

/// Selects the services of a route by weight and spreads them evenly over successive requests (smooth weighted
/// round-robin).
#[derive(Debug)]
pub(crate) struct WeightedSplit {
    weights: Vec<i64>,
    credits: RefCell<Vec<i64>>,
}

impl WeightedSplit {
    /// Creates a split that starts at a random position of its cycle. Otherwise many entries with few requests each
    /// would all start with the service of the greatest weight.
    pub(crate) fn new(targets: &[RouteTarget], rng: &mut SmallRng) -> Self {
        let weights: Vec<i64> = targets.iter().map(|target| i64::from(target.weight)).collect();
        let split = Self { credits: RefCell::new(vec![0; weights.len()]), weights };
        let cycle = split.weights.iter().sum::<i64>().clamp(1, MAX_INITIAL_STEPS as i64);
        for _ in 0..rng.random_range(0..cycle) {
            split.next_position();
        }
        split
    }

    /// Returns the position of the next service; 0 if no service has a weight.
    pub(crate) fn next_position(&self) -> usize {
        let mut credits = self.credits.borrow_mut();
        for (credit, weight) in credits.iter_mut().zip(&self.weights) {
            *credit += weight;
        }
        let weighted = (0..credits.len()).filter(|position| self.weights[*position] > 0);
        let Some(chosen) = weighted.max_by_key(|position| (credits[*position], std::cmp::Reverse(*position))) else {
            return 0;
        };
        credits[chosen] -= self.weights.iter().sum::<i64>();
        chosen
    }
}
