//! Estimate of the age of a peer's message.

use std::time::{Duration, Instant};

/// A message counts for calibration if its transit time is known to be below this. It bounds the error of
/// every age, and with the 2.5 s lease of a server it stays within the 3 s target for servers that leave.
const MAX_TRANSIT: Duration = Duration::from_millis(500);

/// Permitted difference between the rates of two clocks is 1 in this many (200 ppm). Without an allowance
/// two clocks that differ by 50 ppm would make every message look 4.3 s old after a day.
const DRIFT_DIVISOR: u32 = 5_000;

/// Relation between the clock of a peer's process and the own clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerClock {
    /// The own time at which the peer's clock was zero, at the least, in milliseconds since `base`.
    least_ms: Option<i64>,
    updated: Instant,
    base: Instant,
}

impl PeerClock {
    pub(crate) fn new(now: Instant) -> Self {
        Self { least_ms: None, updated: now, base: now }
    }

    /// Takes a message whose transit took at most `transit`.
    pub(crate) fn calibrate(&mut self, now: Instant, clock_ms: u64, transit: Duration) {
        if transit > MAX_TRANSIT {
            return;
        }
        let offset = self.offset(now, clock_ms);
        let drift = (now.saturating_duration_since(self.updated) / DRIFT_DIVISOR).as_millis() as i64;
        // The update time moves only with whole milliseconds of drift, so that frequent messages do not
        // round the allowance down to nothing.
        match self.least_ms {
            Some(least) if offset >= least + drift => {
                if drift > 0 {
                    self.least_ms = Some(least + drift);
                    self.updated = now;
                }
            }
            _ => {
                self.least_ms = Some(offset);
                self.updated = now;
            }
        }
    }

    /// Returns the age of a message, or nothing before the clock is calibrated.
    pub(crate) fn age(&self, now: Instant, clock_ms: u64) -> Option<Duration> {
        let excess = self.offset(now, clock_ms) - self.least_ms?;
        Some(Duration::from_millis(excess.max(0) as u64))
    }

    fn offset(&self, now: Instant, clock_ms: u64) -> i64 {
        let own = now.saturating_duration_since(self.base).as_millis() as i64;
        own.saturating_sub(i64::try_from(clock_ms).unwrap_or(i64::MAX))
    }
}
