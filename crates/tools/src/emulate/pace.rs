//! Pace of a server whose machine is shared with other load.

use {
    hemlockford_core::dispatch::NOMINAL_PACE,
    rand::{Rng, RngExt},
    std::time::{Duration, Instant},
};

/// Duration of a period with constant pace.
const PERIOD: Duration = Duration::from_millis(300);
/// Pace while other load keeps the machine busy: percent of the nominal time that a call takes.
const SLOW_PACE: u32 = 400;
/// Share of the periods with the slow pace.
const SLOW_SHARE: f64 = 0.25;

/// Generator of the pace, which changes randomly from period to period.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    period_end: Instant,
    pace: u32,
}

impl Pace {
    /// Creates a generator whose first period begins now.
    pub(super) fn new(now: Instant) -> Self {
        Self { period_end: now, pace: NOMINAL_PACE }
    }

    /// Returns the current pace in percent and the end of its period.
    pub(super) fn current(&mut self, now: Instant, rng: &mut impl Rng) -> (u32, Instant) {
        if now >= self.period_end {
            // Skips the periods that passed without a call. The pace of a period does not depend on the one before.
            let overdue = now - self.period_end;
            let skipped = overdue.as_nanos() / PERIOD.as_nanos();
            self.period_end += PERIOD * u32::try_from(skipped + 1).unwrap_or(u32::MAX);
            self.pace = if rng.random_bool(SLOW_SHARE) { SLOW_PACE } else { NOMINAL_PACE };
        }
        (self.pace, self.period_end)
    }
}
