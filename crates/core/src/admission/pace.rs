//! How long calls of a service take.

use std::time::Duration;

/// Part of the average that one answer replaces: an average over about 30 answers follows a change of load
/// within a few hundred milliseconds and is not moved much by one slow answer.
const GAIN: f64 = 1.0 / 32.0;
/// Assumed before the first answer.
const FIRST: Duration = Duration::from_millis(5);
/// Bounds of what an upload costs in terms of a look-up, so that a few odd answers cannot distort turns.
const UPLOAD_COST: std::ops::RangeInclusive<f64> = 1.0..=32.0;

/// Average time that calls of a service take at a server, uploads apart from the others.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    seconds: [Option<f64>; 2],
}

impl Pace {
    /// Takes the time of one answer.
    pub fn observe(&mut self, upload: bool, latency: Duration) {
        let (average, latency) = (&mut self.seconds[usize::from(upload)], latency.as_secs_f64());
        *average = Some(average.map_or(latency, |average| average + GAIN * (latency - average)));
    }

    /// Returns the expected time of a call.
    ///
    /// ```
    /// use {hemlockford_core::admission::Pace, std::time::Duration};
    /// let mut pace = Pace::default();
    /// pace.observe(false, Duration::from_millis(10));
    /// assert_eq!(pace.service_time(false), Duration::from_millis(10));
    /// ```
    pub fn service_time(&self, upload: bool) -> Duration {
        let either = self.seconds[usize::from(upload)].or(self.seconds[usize::from(!upload)]);
        either.map_or(FIRST, Duration::from_secs_f64)
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
