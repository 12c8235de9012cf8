//! Histograms of microseconds.

use {hdrhistogram::Histogram, serde_json::Value};

/// Longest latency that histograms resolve; calls time out much earlier.
const MAX_MICROSECONDS: u64 = 600_000_000;
/// Number of decimal digits to which histograms resolve a latency.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Reported quantiles, with their names.
pub(crate) const QUANTILES: [(&str, f64); 5] =
    [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("p99.9", 0.999), ("max", 1.0)];

/// Creates an empty histogram of microseconds.
pub(crate) fn histogram() -> Histogram<u64> {
    // The library accepts these constant bounds; the fallback is a histogram that resizes itself.
    Histogram::new_with_bounds(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)
        .or_else(|_| Histogram::new(SIGNIFICANT_DIGITS))
        .unwrap_or_else(|_| unreachable!("the library supports three significant digits"))
}

/// Returns the reported quantiles of a histogram by name.
pub(crate) fn quantiles(histogram: &Histogram<u64>) -> Value {
    let pairs =
        QUANTILES.iter().map(|(name, quantile)| ((*name).into(), histogram.value_at_quantile(*quantile).into()));
    Value::Object(pairs.collect())
}
