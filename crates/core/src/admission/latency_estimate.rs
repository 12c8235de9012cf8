//! Estimate of how long calls of a service take.

use std::time::Duration;

/// Smoothing factor of the moving averages. An average over about 30 answers follows a change of load within
/// a few hundred milliseconds, and a single slow answer moves it little.
const SMOOTHING: f64 = 1.0 / 32.0;
/// Mean deviations above the average within which nearly every call ends; with exponentially distributed
/// times 96% do.
const BOUND_DEVIATIONS: f64 = 3.0;
/// Mean that is assumed before the first answer.
const INITIAL_LATENCY: Duration = Duration::from_millis(5);
/// Range of an upload's cost relative to a look-up's, so that a few outliers cannot distort the fair queue.
const UPLOAD_COST_RANGE: std::ops::RangeInclusive<f64> = 1.0..=32.0;

/// Moving averages of the time that a service's calls take at a server, separately for uploads and look-ups.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyEstimate {
    means: [Option<f64>; 2],
    deviations: [f64; 2],
}

impl LatencyEstimate {
    /// Records the latency of one answer.
    pub fn observe(&mut self, upload: bool, latency: Duration) {
        let (kind, latency) = (usize::from(upload), latency.as_secs_f64());
        let average = self.means[kind].unwrap_or(latency);
        self.means[kind] = Some(average + SMOOTHING * (latency - average));
        self.deviations[kind] += SMOOTHING * ((latency - average).abs() - self.deviations[kind]);
    }

    /// Returns the expected latency of a call.
    ///
    /// ```
    /// use {hemlockford_core::admission::LatencyEstimate, std::time::Duration};
    /// let mut latency_estimate = LatencyEstimate::default();
    /// latency_estimate.observe(false, Duration::from_millis(10));
    /// assert_eq!(latency_estimate.mean(false), Duration::from_millis(10));
    /// ```
    pub fn mean(&self, upload: bool) -> Duration {
        let either = self.means[usize::from(upload)].or(self.means[usize::from(!upload)]);
        either.map_or(INITIAL_LATENCY, Duration::from_secs_f64)
    }

    /// Returns the time within which nearly every call ends. A call with less time left is not worth a slot,
    /// because its answer would probably come too late.
    pub fn upper_bound(&self, upload: bool) -> Duration {
        self.mean(upload) + Duration::from_secs_f64(BOUND_DEVIATIONS * self.deviations[usize::from(upload)])
    }

    /// Returns the slot time of a call relative to that of a look-up.
    pub fn cost(&self, upload: bool) -> f64 {
        match self.means {
            [Some(other), Some(own)] if upload => {
                (own / other.max(1e-6)).clamp(*UPLOAD_COST_RANGE.start(), *UPLOAD_COST_RANGE.end())
            }
            _ => 1.0,
        }
    }
}
