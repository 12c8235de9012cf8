//! A stream of calls.

use {
    rand::{RngExt, rngs::SmallRng},
    std::time::Duration,
};

/// A stream of calls of one customer with exponential gaps and service times.
#[derive(Clone, Debug)]
pub struct Traffic {
    pub customer: Box<str>,
    /// Calls a second.
    pub rate: f64,
    pub entries: Vec<usize>,
    /// Mean time that a call takes at a server.
    pub work: Duration,
    pub upload: bool,
    /// Whether service times are exponential; otherwise they are uniform between half and one and a half
    /// times the mean, so that no server is ejected for a few slow answers by chance.
    pub exponential: bool,
}

impl Traffic {
    pub fn draw_work(&self, rng: &mut SmallRng) -> Duration {
        let part: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        self.work.mul_f64(if self.exponential { -part.ln() } else { 0.5 + part })
    }

    pub fn random_interval(&self, rng: &mut SmallRng) -> Duration {
        Duration::from_secs_f64(-rng.random_range(f64::MIN_POSITIVE..1.0f64).ln() / self.rate)
    }
}
