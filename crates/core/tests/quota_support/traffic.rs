//! Traffic of the customers.

use {
    hemlockford_core::{
        config::Configuration,
        quota::QuotaLimit,
        slots::{NameHash, name_hash},
    },
    rand::{RngExt, rngs::SmallRng},
    std::time::Duration,
};

/// A customer: its limit, and the calls that it sends.
#[derive(Clone)]
pub struct Customer {
    pub name: String,
    pub rate: f64,
    pub burst: f64,
    /// Calls per second that it sends.
    pub sent: f64,
    /// Share of its calls at each entry, summed up.
    pub spread: Vec<f64>,
    pub hash: NameHash,
}

impl Customer {
    pub fn new(name: &str, rate: f64, burst: f64, sent: f64) -> Self {
        Self { name: name.into(), rate, burst, sent, spread: Vec::new(), hash: name_hash(name) }
    }

    pub fn limit(&self) -> QuotaLimit {
        QuotaLimit { rate: self.rate, burst: self.burst }
    }

    /// Draws which entries get how much of the traffic. Entries differ by up to ten times, and some get none.
    pub fn spread_over(&mut self, entries: usize, rng: &mut SmallRng) {
        let mut sum = 0.0;
        self.spread = (0..entries)
            .map(|_| {
                sum += if rng.random_bool(0.2) { 0.0 } else { rng.random_range(0.1..1.0) };
                sum
            })
            .collect();
        if sum == 0.0 {
            self.spread = (1..=entries).map(|index| index as f64).collect();
        }
    }

    /// Returns the entry that gets the next call.
    pub fn entry(&self, rng: &mut SmallRng) -> usize {
        let sum = self.spread.last().copied().unwrap_or(1.0);
        let drawn = rng.random_range(0.0..sum);
        self.spread.partition_point(|end| *end <= drawn).min(self.spread.len() - 1)
    }

    /// Returns the time until the next call.
    pub fn pause(&self, rng: &mut SmallRng) -> Duration {
        let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        Duration::from_secs_f64((-uniform.ln() / self.sent).min(1e6))
    }
}

/// Returns a configuration with the limits of these customers.
pub fn configuration(number: u64, customers: &[Customer]) -> Configuration {
    let mut text = format!("[change]\nnumber = {number}\n");
    for customer in customers {
        text += &format!("[customer {}]\nrate = {}\nburst = {}\n", customer.name, customer.rate, customer.burst);
    }
    Configuration::parse(&text).expect("valid configuration")
}
