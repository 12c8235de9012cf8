//! Histograms of microseconds.

use {hdrhistogram::Histogram, serde_json::Value};

/// Longest latency that is told apart; a call is given up long before.
const HIGHEST_MICROSECONDS: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
/// Quantiles of reports.
pub(crate) const QUANTILES: [(&str, f64); 5] =
    [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("p99.9", 0.999), ("max", 1.0)];

/// Makes an empty histogram of microseconds.
pub(crate) fn histogram() -> Histogram<u64> {
    // The bounds are constants that the library accepts; a histogram that grows is the fallback.
    Histogram::new_with_bounds(1, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)
        .or_else(|_| Histogram::new(SIGNIFICANT_DIGITS))
        .unwrap_or_else(|_| unreachable!("three digits are within the library's limits"))
}

/// Returns the quantiles of a histogram by name.
pub(crate) fn quantiles(histogram: &Histogram<u64>) -> Value {
    let pairs =
        QUANTILES.iter().map(|(name, quantile)| ((*name).into(), histogram.value_at_quantile(*quantile).into()));
    Value::Object(pairs.collect())
}
