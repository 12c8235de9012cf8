//! A stream of calls.

use {
    rand::{RngExt, rngs::SmallRng},
    std::time::Duration,
};

/// A stream of calls of one customer, with exponentially distributed intervals and service times.
#[derive(Clone, Debug)]
pub struct Traffic {
    pub customer: Box<str>,
    /// Calls per second.
    pub rate: f64,
    pub entries: Vec<usize>,
    /// Mean duration of a call at a server.
    pub work: Duration,
    pub upload: bool,
    /// Whether service times are exponentially distributed. Otherwise they are uniform between 0.5 and 1.5
    /// times the mean, so that no server is ejected because of a few answers that are slow by chance.
    pub exponential: bool,
}

impl Traffic {
    pub fn draw_work(&self, rng: &mut SmallRng) -> Duration {
        let fraction: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        self.work.mul_f64(if self.exponential { -fraction.ln() } else { 0.5 + fraction })
    }

    pub fn random_interval(&self, rng: &mut SmallRng) -> Duration {
        Duration::from_secs_f64(-rng.random_range(f64::MIN_POSITIVE..1.0f64).ln() / self.rate)
    }
}
