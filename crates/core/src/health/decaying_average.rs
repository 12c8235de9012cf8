//! Mean of observations whose weight decays with time.

use std::time::{Duration, Instant};

/// Maximum weight of past observations, in observations, so that each new one moves the mean by at least an
/// eighth and a change shows within a few answers.
const MAX_WEIGHT: f64 = 8.0;

/// Mean of observations and the weight of the evidence for it.
#[derive(Clone, Copy, Debug)]
pub(super) struct DecayingAverage {
    mean: f64,
    weight: f64,
    at: Instant,
}

impl DecayingAverage {
    pub(super) fn new(now: Instant) -> Self {
        Self { mean: 0.0, weight: 0.0, at: now }
    }

    pub(super) fn add(&mut self, now: Instant, decay_time: Duration, value: f64) {
        self.weight = self.weight(now, decay_time).min(MAX_WEIGHT - 1.0) + 1.0;
        self.mean += (value - self.mean) / self.weight;
        self.at = self.at.max(now);
    }

    pub(super) fn mean(&self) -> f64 {
        self.mean
    }

    /// Returns the weight of the evidence in observations, which decays with its age.
    pub(super) fn weight(&self, now: Instant, decay_time: Duration) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.weight * (-age.as_secs_f64() / decay_time.as_secs_f64().max(f64::MIN_POSITIVE)).exp()
    }
}
