//! Comparison of calls through an entry with direct calls, in one run and in turn.

use {
    crate::load::{CallStats, CustomerLoad, LoadOptions, LoadSummary, load},
    hemlockford_core::errors::{Result, invalid_input},
    std::{fmt::Write, net::SocketAddr, time::Duration},
};

/// Disturbed rounds for each round that is wanted, after which a comparison ends with fewer.
const MAX_DISTURBED: usize = 10;

/// Time before each part in which connections are opened, so that opening them is not taken for latency.
const WARM_UP: Duration = Duration::from_millis(100);

/// Options of a comparison.
#[derive(Clone, Debug)]
pub struct AddedLatencyOptions {
    /// Caller addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// Addresses of the servers.
    pub servers: Vec<SocketAddr>,
    /// Rates in calls a second.
    pub rates: Vec<f64>,
    /// Length of each part; every rate has one part direct and one through in each round.
    pub duration: Duration,
    /// Rounds, over which the latencies are put together.
    pub rounds: usize,
    /// Lateness of the calls' starts at the 99th percentile above which a round is taken to be disturbed by
    /// something else on the machine. It is left out and repeated.
    pub late_limit: Duration,
    /// The other options of both parts.
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

/// Result at one rate.
#[derive(Clone, Debug)]
pub struct AddedLatencyRow {
    /// Calls a second.
    pub rate: f64,
    /// Direct calls.
    pub direct: CallStats,
    /// Calls through an entry.
    pub through: CallStats,
    /// Difference at the 99th percentile in each round, in microseconds and in rising order.
    pub rounds_added_p99: Vec<i64>,
    /// How late calls were started at the 99th percentile, in microseconds, in the worst part of the
    /// rounds that count.
    pub lateness_p99: u64,
    /// Rounds that were left out because the machine was disturbed.
    pub disturbed: usize,
    /// Whether every answer was whole, right and not repeated.
    pub is_clean: bool,
}

impl AddedLatencyRow {
    /// Title line of the CSV form.
    pub const CSV_TITLE: &'static str = "rate,direct_p50_us,direct_p99_us,direct_p999_us,through_p50_us,\
        through_p99_us,through_p999_us,added_p50_us,added_p99_us,added_p999_us,rounds_median_added_p99_us,late_p99_us,disturbed_rounds,\
        direct_good,through_good,clean";

    /// Returns what the entry adds at a quantile, in microseconds.
    pub fn added_latency(&self, quantile: f64) -> i64 {
        self.through.quantile(quantile) as i64 - self.direct.quantile(quantile) as i64
    }

    /// Returns the median over the rounds of the difference at the 99th percentile, in microseconds. A round
    /// that was disturbed by something else on the machine moves it less than the merged figure.
    pub fn median_added_p99(&self) -> i64 {
        self.rounds_added_p99.get(self.rounds_added_p99.len() / 2).copied().unwrap_or_default()
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
            let _ = write!(line, ",{}", self.added_latency(quantile));
        }
        let _ = write!(line, ",{},{},{}", self.median_added_p99(), self.lateness_p99, self.disturbed);
        let _ = write!(line, ",{},{},{}", self.direct.good(), self.through.good(), self.is_clean);
        line
    }
}

/// Measures what the entries add to direct calls. Blocks until the end.
pub fn measure_added_latency(options: &AddedLatencyOptions) -> Result<Vec<AddedLatencyRow>> {
    if options.entries.is_empty() || options.servers.is_empty() {
        return Err(invalid_input("both entries and servers are needed"));
    }
    options.rates.iter().map(|rate| compare(options, *rate)).collect()
}

fn compare(options: &AddedLatencyOptions, rate: f64) -> Result<AddedLatencyRow> {
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
    while row.rounds_added_p99.len() < options.rounds && row.disturbed < options.rounds * MAX_DISTURBED {
        let direct = part(options, &options.servers, &mut row)?;
        let through = part(options, &options.entries, &mut row)?;
        let late = lateness_p99(&direct).max(lateness_p99(&through));
        if late > late_limit {
            row.disturbed += 1;
            continue;
        }
        row.lateness_p99 = row.lateness_p99.max(late);
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

fn part(options: &AddedLatencyOptions, targets: &[SocketAddr], row: &mut AddedLatencyRow) -> Result<LoadSummary> {
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
