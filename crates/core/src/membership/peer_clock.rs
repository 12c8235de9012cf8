//! Estimates the age of messages from a peer.

use std::time::{Duration, Instant};

/// Maximum transit time of a message that is used for calibration. It bounds the error of every age; added to the
/// 2.5 s lease of a server it stays within the 3 s target for servers that leave.
const MAX_TRANSIT: Duration = Duration::from_millis(500);

/// Inverse of the tolerated rate difference between two clocks (200 ppm). Without this tolerance two clocks whose
/// rates differ by 50 ppm would make every message look 4.3 s old after a day.
const DRIFT_DIVISOR: u32 = 5_000;

/// Offset between the clock of a peer's process and the local clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerClock {
    /// Smallest observed local time at which the peer's clock was zero, in milliseconds since `base`.
    min_offset_ms: Option<i64>,
    updated: Instant,
    base: Instant,
}

impl PeerClock {
    pub(crate) fn new(now: Instant) -> Self {
        Self { min_offset_ms: None, updated: now, base: now }
    }

    /// Updates the offset from a message whose transit took at most `transit`.
    pub(crate) fn calibrate(&mut self, now: Instant, clock_ms: u64, transit: Duration) {
        if transit > MAX_TRANSIT {
            return;
        }
        let offset = self.offset(now, clock_ms);
        let drift = (now.saturating_duration_since(self.updated) / DRIFT_DIVISOR).as_millis() as i64;
        // The update time only advances when the drift is at least one millisecond. Otherwise frequent messages
        // would always round the drift down to zero.
        match self.min_offset_ms {
            Some(min_offset) if offset >= min_offset + drift => {
                if drift > 0 {
                    self.min_offset_ms = Some(min_offset + drift);
                    self.updated = now;
                }
            }
            _ => {
                self.min_offset_ms = Some(offset);
                self.updated = now;
            }
        }
    }

    /// Returns the age of a message, or `None` before the clock is calibrated.
    pub(crate) fn age(&self, now: Instant, clock_ms: u64) -> Option<Duration> {
        let excess = self.offset(now, clock_ms) - self.min_offset_ms?;
        Some(Duration::from_millis(excess.max(0) as u64))
    }

    fn offset(&self, now: Instant, clock_ms: u64) -> i64 {
        let own = now.saturating_duration_since(self.base).as_millis() as i64;
        own.saturating_sub(i64::try_from(clock_ms).unwrap_or(i64::MAX))
    }
}
