//! Estimate of the rate at which calls arrive.

use std::time::{Duration, Instant};

/// Time constant of the estimate.
const MEMORY: Duration = Duration::from_millis(700);

/// Estimate of the rate at which calls arrive, with exponentially decreasing weights.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    per_second: f64,
    updated_at: Instant,
}

impl Demand {
    pub(super) fn new(now: Instant) -> Self {
        Self { per_second: 0.0, updated_at: now }
    }

    pub(super) fn record(&mut self, now: Instant, amount: f64) {
        self.per_second = self.per_second(now) + amount / MEMORY.as_secs_f64();
        self.updated_at = now;
    }

    pub(super) fn per_second(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.per_second * (-elapsed.as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }
}
