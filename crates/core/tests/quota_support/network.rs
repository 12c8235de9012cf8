//! Delay, loss and repetition of messages.

use {
    super::MS,
    rand::{RngExt, rngs::SmallRng},
    std::time::Duration,
};

/// Properties of all links.
#[derive(Clone, Copy)]
pub struct Network {
    pub loss: f64,
    pub repetition: f64,
    /// Share of messages with a long delay.
    pub slow: f64,
    pub max_delay: Duration,
}

impl Network {
    /// Links within a region: 1 to 4 ms, no loss.
    pub const CALM: Self = Self { loss: 0.0, repetition: 0.0, slow: 0.0, max_delay: MS };
    /// Links that lose, delay and repeat messages.
    pub const POOR: Self = Self { loss: 0.05, repetition: 0.05, slow: 0.05, max_delay: Duration::from_millis(700) };

    /// Returns the delays of the copies of one message that arrive.
    pub fn deliver(&self, rng: &mut SmallRng) -> Vec<Duration> {
        let copies = 1 + usize::from(rng.random_bool(self.repetition));
        let mut delays = Vec::new();
        for _ in 0..copies {
            if rng.random_bool(self.loss) {
                continue;
            }
            let limit = if rng.random_bool(self.slow) { self.max_delay } else { 4 * MS };
            delays.push(MS + limit.saturating_sub(MS).mul_f64(rng.random_range(0.0..1.0)));
        }
        delays
    }
}
