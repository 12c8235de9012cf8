//! How long work takes on a server's machine at a moment.

use {
    hemlockford_core::dispatch::NOMINAL_PACE,
    rand::{Rng, RngExt},
    std::time::{Duration, Instant},
};

/// Time for which a pace lasts.
const PERIOD: Duration = Duration::from_millis(300);
/// Pace of a machine that others keep busy, in percent.
const SLOW_PACE: u32 = 400;
/// Part of the periods with the slow pace.
const SLOW_SHARE: f64 = 0.25;

/// Pace of the current period.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    end: Instant,
    pace: u32,
}

impl Pace {
    /// Makes a pace whose first period begins now.
    pub(super) fn new(now: Instant) -> Self {
        Self { end: now, pace: NOMINAL_PACE }
    }

    /// Returns the pace in percent and the end of its period.
    pub(super) fn at(&mut self, now: Instant, rng: &mut impl Rng) -> (u32, Instant) {
        if now >= self.end {
            // Periods in which nobody asked are passed over, because each is drawn without regard to the last.
            let late = now - self.end;
            let passed = late.as_nanos() / PERIOD.as_nanos();
            self.end += PERIOD * u32::try_from(passed + 1).unwrap_or(u32::MAX);
            self.pace = if rng.random_bool(SLOW_SHARE) { SLOW_PACE } else { NOMINAL_PACE };
        }
        (self.pace, self.end)
    }
}
