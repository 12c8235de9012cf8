//! Checks of the admitted calls.

use {
    hemlockford_core::quota::{QuotaLimit, QuotaTolerance},
    std::time::{Duration, Instant},
};

/// Returns the largest number of calls in any window, and the time at which it begins.
pub fn densest_window(times: &[Instant], window: Duration) -> (usize, Option<Instant>) {
    let mut most = (0, None);
    let mut end = 0;
    for (first, start) in times.iter().enumerate() {
        while end < times.len() && times[end].duration_since(*start) < window {
            end += 1;
        }
        if end - first > most.0 {
            most = (end - first, Some(*start));
        }
    }
    most
}

/// Returns by how much of the bound the densest window uses it.
pub fn bound_use(times: &[Instant], limit: QuotaLimit) -> f64 {
    let tolerance = QuotaTolerance::default();
    densest_window(times, tolerance.window).0 as f64 / limit.bound(tolerance)
}
