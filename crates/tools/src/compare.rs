//! Comparison of calls through an entry with direct calls, in one run and in turn.

use {
    crate::load::{CustomerLoad, LoadOptions, Tally, load},
    hemlockford_core::errors::{Result, invalid_input},
    std::{fmt::Write, net::SocketAddr, time::Duration},
};

/// Options of a comparison.
#[derive(Clone, Debug)]
pub struct AddedOptions {
    /// Caller addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// Addresses of the servers.
    pub servers: Vec<SocketAddr>,
    /// Rates in calls a second.
    pub rates: Vec<f64>,
    /// Length of each part; every rate has one part direct and one through in each round.
    pub time: Duration,
    /// Rounds, over which the latencies are put together.
    pub rounds: usize,
    /// The other options of both parts.
    pub load: LoadOptions,
}

impl Default for AddedOptions {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            servers: Vec::new(),
            rates: vec![1_000.0, 4_000.0, 8_000.0],
            time: Duration::from_secs(2),
            rounds: 2,
            load: LoadOptions::default(),
        }
    }
}

/// Result at one rate.
#[derive(Clone, Debug)]
pub struct AddedRow {
    /// Calls a second.
    pub rate: f64,
    /// Direct calls.
    pub direct: Tally,
    /// Calls through an entry.
    pub through: Tally,
    /// Whether every answer was whole, right and not repeated.
    pub is_clean: bool,
}

impl AddedRow {
    /// Title line of the CSV form.
    pub const CSV_TITLE: &'static str = "rate,direct_p50_us,direct_p99_us,direct_p999_us,through_p50_us,\
        through_p99_us,through_p999_us,added_p50_us,added_p99_us,added_p999_us,direct_good,through_good,clean";

    /// Returns what the entry adds at a quantile, in microseconds.
    pub fn added(&self, quantile: f64) -> i64 {
        self.through.quantile(quantile) as i64 - self.direct.quantile(quantile) as i64
    }

    /// Returns one line of CSV.
    pub fn to_csv(&self) -> String {
        const QUANTILES: [f64; 3] = [0.5, 0.99, 0.999];
        let mut line = format!("{}", self.rate);
        let latencies = [&self.direct, &self.through].map(|tally| QUANTILES.map(|quantile| tally.quantile(quantile)));
        // Writing to a string cannot fail.
        for latency in latencies.as_flattened() {
            let _ = write!(line, ",{latency}");
        }
        for quantile in QUANTILES {
            let _ = write!(line, ",{}", self.added(quantile));
        }
        let _ = write!(line, ",{},{},{}", self.direct.good(), self.through.good(), self.is_clean);
        line
    }
}

/// Measures what the entries add to direct calls. Blocks until the end.
pub fn added(options: &AddedOptions) -> Result<Vec<AddedRow>> {
    if options.entries.is_empty() || options.servers.is_empty() {
        return Err(invalid_input("both entries and servers are needed"));
    }
    let mut rows = Vec::new();
    for rate in &options.rates {
        let mut row = AddedRow { rate: *rate, direct: Tally::default(), through: Tally::default(), is_clean: true };
        for _ in 0..options.rounds {
            for (targets, tally) in [(&options.servers, &mut row.direct), (&options.entries, &mut row.through)] {
                let summary = load(LoadOptions {
                    targets: targets.clone(),
                    customers: vec![CustomerLoad { name: None, rate: *rate }],
                    time: options.time,
                    ..options.load.clone()
                })?;
                tally.merge(&summary.total);
                row.is_clean &= summary.is_clean();
            }
        }
        rows.push(row);
    }
    Ok(rows)
}
