//! How long calls of a service take.

use std::time::Duration;

/// Part of the average that one answer replaces: an average over about 30 answers follows a change of load
/// within a few hundred milliseconds and is not moved much by one slow answer.
const GAIN: f64 = 1.0 / 32.0;
/// Mean deviations above the average within which nearly every call ends; with exponential times 96 in 100 do.
const SAFE_DEVIATIONS: f64 = 3.0;
/// Assumed before the first answer.
const FIRST: Duration = Duration::from_millis(5);
/// Bounds of what an upload costs in terms of a look-up, so that a few odd answers cannot distort turns.
const UPLOAD_COST: std::ops::RangeInclusive<f64> = 1.0..=32.0;

/// Average time that calls of a service take at a server, uploads apart from the others.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallTime {
    seconds: [Option<f64>; 2],
    deviation: [f64; 2],
}

impl CallTime {
    /// Takes the time of one answer.
    pub fn observe(&mut self, upload: bool, latency: Duration) {
        let (kind, latency) = (usize::from(upload), latency.as_secs_f64());
        let average = self.seconds[kind].unwrap_or(latency);
        self.seconds[kind] = Some(average + GAIN * (latency - average));
        self.deviation[kind] += GAIN * ((latency - average).abs() - self.deviation[kind]);
    }

    /// Returns the expected time of a call.
    ///
    /// ```
    /// use {hemlockford_core::admission::CallTime, std::time::Duration};
    /// let mut call_time = CallTime::default();
    /// call_time.observe(false, Duration::from_millis(10));
    /// assert_eq!(call_time.service_time(false), Duration::from_millis(10));
    /// ```
    pub fn service_time(&self, upload: bool) -> Duration {
        let either = self.seconds[usize::from(upload)].or(self.seconds[usize::from(!upload)]);
        either.map_or(FIRST, Duration::from_secs_f64)
    }

    /// Returns the time within which nearly every call ends. A call with less time left is not worth a slot:
    /// its answer would often come too late to count.
    pub fn safe_time(&self, upload: bool) -> Duration {
        self.service_time(upload) + Duration::from_secs_f64(SAFE_DEVIATIONS * self.deviation[usize::from(upload)])
    }

    /// Returns the slot time of a call in terms of that of a look-up.
    pub fn cost(&self, upload: bool) -> f64 {
        match self.seconds {
            [Some(other), Some(own)] if upload => {
                (own / other.max(1e-6)).clamp(*UPLOAD_COST.start(), *UPLOAD_COST.end())
            }
            _ => 1.0,
        }
    }
}
