//! Measures the latency that an entry adds, by alternating between direct calls and calls through an entry.

use {
    crate::load::{CallStats, CustomerLoad, LoadOptions, LoadSummary, load},
    hemlockford_core::errors::{Result, invalid_input},
    std::{fmt::Write, net::SocketAddr, time::Duration},
};

/// Disturbed rounds allowed for each requested round; beyond that, a measurement ends with fewer rounds.
const MAX_DISTURBED_PER_ROUND: usize = 10;

/// Time before each part in which connections are opened, so that connecting does not count as latency.
const WARM_UP: Duration = Duration::from_millis(100);

/// Options of a measurement of the added latency.
#[derive(Clone, Debug)]
pub struct AddedLatencyOptions {
    /// Addresses at which the entries accept calls.
    pub entries: Vec<SocketAddr>,
    /// Addresses of the servers.
    pub servers: Vec<SocketAddr>,
    /// Rates to measure, in calls per second.
    pub rates: Vec<f64>,
    /// Duration of each part; a round at one rate consists of a direct part and a part through the entries.
    pub duration: Duration,
    /// Number of rounds, whose latencies are merged.
    pub rounds: usize,
    /// Limit for the 99th percentile of how late calls start. Above it, a round counts as disturbed by other load on
    /// the machine; it is discarded and repeated.
    pub late_limit: Duration,
    /// Remaining options of both parts.
    pub load: LoadOptions,
}

impl Default for AddedLatencyOptions {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            servers: Vec::new(),
            rates: vec![1_000.0, 4_000.0, 8_000.0],
            duration: Duration::from_secs(2),
            rounds: 2,
            late_limit: Duration::from_micros(500),
            load: LoadOptions::default(),
        }
    }
}

/// Added latency at one rate.
#[derive(Clone, Debug)]
pub struct AddedLatencyRow {
    /// Rate in calls per second.
    pub rate: f64,
    /// Statistics of the direct calls.
    pub direct: CallStats,
    /// Statistics of the calls through an entry.
    pub through: CallStats,
    /// Latency added at the 99th percentile in each round, in microseconds, in ascending order.
    pub rounds_added_p99: Vec<i64>,
    /// 99th percentile of how late calls started, in microseconds, in the worst part of the rounds that count.
    pub lateness_p99: u64,
    /// Number of rounds discarded because other load disturbed them.
    pub disturbed: usize,
    /// Whether every answer was complete, correct and unique.
    pub is_clean: bool,
}

impl AddedLatencyRow {
    /// Header line of the CSV output.
    pub const CSV_TITLE: &'static str = "rate,direct_p50_us,direct_p99_us,direct_p999_us,through_p50_us,\
        through_p99_us,through_p999_us,added_p50_us,added_p99_us,added_p999_us,rounds_median_added_p99_us,late_p99_us,disturbed_rounds,\
        direct_good,through_good,clean";

    /// Returns the latency that the entry adds at a quantile, in microseconds.
    pub fn added_latency(&self, quantile: f64) -> i64 {
        self.through.quantile(quantile) as i64 - self.direct.quantile(quantile) as i64
    }

    /// Returns the median over the rounds of the latency added at the 99th percentile, in microseconds. A disturbed
    /// round affects it less than the quantile of the merged latencies.
    pub fn median_added_p99(&self) -> i64 {
        self.rounds_added_p99.get(self.rounds_added_p99.len() / 2).copied().unwrap_or_default()
    }

    /// Returns the result as one line of CSV.
    pub fn to_csv(&self) -> String {
        const QUANTILES: [f64; 3] = [0.5, 0.99, 0.999];
        let mut line = format!("{}", self.rate);
        let latencies = [&self.direct, &self.through].map(|tally| QUANTILES.map(|quantile| tally.quantile(quantile)));
        // Writing to a string cannot fail.
        for latency in latencies.as_flattened() {
            let _ = write!(line, ",{latency}");
        }
        for quantile in QUANTILES {
            let _ = write!(line, ",{}", self.added_latency(quantile));
        }
        let _ = write!(line, ",{},{},{}", self.median_added_p99(), self.lateness_p99, self.disturbed);
        let _ = write!(line, ",{},{},{}", self.direct.good(), self.through.good(), self.is_clean);
        line
    }
}

/// Measures the latency that the entries add to direct calls. Blocks until the measurement ends.
pub fn measure_added_latency(options: &AddedLatencyOptions) -> Result<Vec<AddedLatencyRow>> {
    if options.entries.is_empty() || options.servers.is_empty() {
        return Err(invalid_input("added latency needs at least one entry and one server"));
    }
    options.rates.iter().map(|rate| measure_rate(options, *rate)).collect()
}

fn measure_rate(options: &AddedLatencyOptions, rate: f64) -> Result<AddedLatencyRow> {
    let mut row = AddedLatencyRow {
        rate,
        direct: CallStats::default(),
        through: CallStats::default(),
        rounds_added_p99: Vec::new(),
        lateness_p99: 0,
        disturbed: 0,
        is_clean: true,
    };
    let late_limit = options.late_limit.as_micros() as u64;
    while row.rounds_added_p99.len() < options.rounds && row.disturbed < options.rounds * MAX_DISTURBED_PER_ROUND {
        let direct = run_part(options, &options.servers, &mut row)?;
        let through = run_part(options, &options.entries, &mut row)?;
        let lateness = lateness_p99(&direct).max(lateness_p99(&through));
        if lateness > late_limit {
            row.disturbed += 1;
            continue;
        }
        row.lateness_p99 = row.lateness_p99.max(lateness);
        row.rounds_added_p99.push(through.total.quantile(0.99) as i64 - direct.total.quantile(0.99) as i64);
        row.direct.merge(&direct.total);
        row.through.merge(&through.total);
    }
    row.rounds_added_p99.sort_unstable();
    Ok(row)
}

fn lateness_p99(summary: &LoadSummary) -> u64 {
    summary.lateness.value_at_quantile(0.99)
}

fn run_part(options: &AddedLatencyOptions, targets: &[SocketAddr], row: &mut AddedLatencyRow) -> Result<LoadSummary> {
    let summary = load(LoadOptions {
        targets: targets.to_vec(),
        customers: vec![CustomerLoad { name: None, rate: row.rate }],
        warm_up: WARM_UP,
        duration: options.duration,
        ..options.load.clone()
    })?;
    row.is_clean &= summary.is_clean();
    Ok(summary)
}
