//! Checks of the admitted calls.

use {
    super::World,
    hemlockford_core::quota::{QuotaLimit, QuotaTolerance},
    std::time::{Duration, Instant},
};

/// Time within which all entries in touch learn of a change.
const CHANGE_TIME: Duration = Duration::from_secs(2);

/// Returns the largest part of the bound that the calls in any window reach, and the beginning of that window.
pub fn bound_use(times: &[Instant], limits: &[(Instant, QuotaLimit)]) -> (f64, Option<Instant>) {
    let tolerance = QuotaTolerance::default();
    let mut most = (0.0, None);
    let mut end = 0;
    for (first, start) in times.iter().enumerate() {
        while end < times.len() && times[end] - *start < tolerance.window {
            end += 1;
        }
        let bound_use = (end - first) as f64 / bound(*start, limits, tolerance);
        if bound_use > most.0 {
            most = (bound_use, Some(*start));
        }
    }
    most
}

/// Returns the highest bound that holds in the window that begins at this time.
fn bound(start: Instant, limits: &[(Instant, QuotaLimit)], tolerance: QuotaTolerance) -> f64 {
    let is_past = |index: usize| {
        let replaced_at = limits.get(index + 1).map(|(at, _)| *at);
        replaced_at.is_some_and(|at| start >= at + CHANGE_TIME + tolerance.window)
    };
    let is_in_force = |index: usize| limits[index].0 < start + tolerance.window && !is_past(index);
    let bounds = (0..limits.len()).filter(|index| is_in_force(*index)).map(|index| limits[index].1.bound(tolerance));
    bounds.fold(0.0, f64::max)
}

impl World {
    /// Checks that no window holds more calls of a customer than its limit permits. A lowered limit takes effect a
    /// window after the time in which all entries learn of it.
    pub fn check_bounds(&self) {
        let mut most = (0.0, "");
        for ((customer, record), limits) in self.customers.iter().zip(&self.records).zip(&self.limits) {
            let (bound_use, start) = bound_use(&record.admitted, limits);
            let after = start.map(|start| start - self.start);
            assert!(bound_use <= 1.0, "customer {}: {bound_use:.2} of the bound at {after:?}", customer.name);
            if bound_use > most.0 {
                most = (bound_use, &customer.name);
            }
        }
        println!("densest window: {:.2} of the bound, customer {}", most.0, most.1);
    }
}
