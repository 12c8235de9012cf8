//! Times at which refused calls may come back.

use {
    rand::{RngExt, rngs::SmallRng},
    std::time::{Duration, Instant},
};

/// Shortest time after which a refused call may come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Longest time after which a refused call may come back. A caller waits for at most a third of its time left, which is
/// 4 s with a deadline of 12 s.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);
/// Lowest rate of credit that is assumed, in calls per second.
const MIN_RATE: f64 = 0.1;
/// Range of the random factor that keeps callers that were refused together from coming back together.
const SPREAD: std::ops::Range<f64> = 1.0..1.25;

/// Spreads the return of refused calls over the time in which credit for them is expected.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refusals {
    /// Time for which the credit is expected to be used by calls that were refused.
    reserved_until: Instant,
}

impl Refusals {
    pub(super) fn new(now: Instant) -> Self {
        Self { reserved_until: now }
    }

    /// Returns the time after which the next refused call may come back, given the expected credit per second.
    pub(super) fn next(&mut self, now: Instant, credit_rate: f64, rng: &mut SmallRng) -> Duration {
        let interval = Duration::from_secs_f64(1.0 / credit_rate.max(MIN_RATE));
        let due = self.reserved_until.max(now) + interval;
        let wait = due.saturating_duration_since(now);
        if wait <= MAX_RETRY_AFTER {
            self.reserved_until = due;
            let spread = wait.max(MIN_RETRY_AFTER).mul_f64(rng.random_range(SPREAD));
            return spread.min(MAX_RETRY_AFTER);
        }
        // More calls were refused than there will be credit for within the longest time.
        MAX_RETRY_AFTER.mul_f64(rng.random_range(0.5..1.0))
    }
}
