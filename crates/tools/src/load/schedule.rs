//! Schedule of arrivals, which is fully determined by the options and the seed.

use {
    super::options::{Arrivals, LoadOptions},
    crate::emulate::exponential,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

/// Arrival of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time since the start of the run.
    pub at: Duration,
    /// Sequence number within the run.
    pub number: u64,
    /// Index of the customer.
    pub customer: usize,
    /// Index of the method.
    pub method: usize,
}

/// Iterator over the arrivals of a run, in the order of their times.
#[derive(Debug)]
pub struct Schedule {
    arrivals: Arrivals,
    end: f64,
    rates: Vec<f64>,
    /// Time of the next arrival of each customer, in seconds.
    next: Vec<f64>,
    /// Time of the first arrival of each customer, in seconds.
    first: Vec<f64>,
    /// Number of arrivals of each customer so far.
    counts: Vec<u64>,
    weights: Vec<u32>,
    number: u64,
    max_calls: u64,
    rng: SmallRng,
}

impl Schedule {
    /// Creates the schedule of a run.
    ///
    /// ```
    /// use hemlockford_tools::load::{LoadOptions, Schedule};
    /// let schedule = Schedule::new(&LoadOptions::default());
    /// assert_eq!(schedule.count(), 500);
    /// ```
    pub fn new(options: &LoadOptions) -> Self {
        let mut rng = SmallRng::seed_from_u64(options.seed);
        let rates: Vec<_> = options.customers.iter().map(|customer| customer.rate).collect();
        // Staggers the customers within their interval, so that they do not arrive in lockstep.
        let next = rates.iter().enumerate().map(|(index, rate)| match options.arrivals {
            Arrivals::Constant => index as f64 / rates.len() as f64 / rate,
            Arrivals::Poisson => exponential(&mut rng) / rate,
        });
        let next: Vec<_> = next.collect();
        Self {
            arrivals: options.arrivals,
            end: (options.warm_up + options.duration).as_secs_f64(),
            rates,
            first: next.clone(),
            counts: vec![0; next.len()],
            next,
            weights: options.methods.iter().map(|share| share.weight).collect(),
            number: 0,
            max_calls: options.max_calls,
            rng,
        }
    }

    fn sample_method(&mut self) -> usize {
        let total: u32 = self.weights.iter().sum();
        if self.weights.len() < 2 || total == 0 {
            return 0;
        }
        let mut remaining = self.rng.random_range(0..total);
        for (index, weight) in self.weights.iter().enumerate() {
            match remaining.checked_sub(*weight) {
                Some(rest) => remaining = rest,
                None => return index,
            }
        }
        0
    }
}

impl Iterator for Schedule {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let (customer, at) =
            self.next.iter().copied().enumerate().min_by(|(_, first), (_, second)| first.total_cmp(second))?;
        if at >= self.end || self.number >= self.max_calls {
            return None;
        }
        self.counts[customer] += 1;
        self.next[customer] = match self.arrivals {
            // Multiplies instead of adding up intervals, so that rounding errors do not accumulate.
            Arrivals::Constant => self.first[customer] + self.counts[customer] as f64 / self.rates[customer],
            Arrivals::Poisson => at + exponential(&mut self.rng) / self.rates[customer],
        };
        let arrival =
            Arrival { at: Duration::from_secs_f64(at), number: self.number, customer, method: self.sample_method() };
        self.number += 1;
        Some(arrival)
    }
}
