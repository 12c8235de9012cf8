//! Exponential backoff.

use std::time::Duration;

/// Delays between attempts that double from a minimum to a maximum.
#[derive(Debug)]
pub(crate) struct Backoff {
    min: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    pub(crate) fn new(min: Duration, max: Duration) -> Self {
        Self { min, max, next: min }
    }

    /// Returns the next delay.
    pub(crate) fn next_delay(&mut self) -> Duration {
        let delay = self.next;
        self.next = (delay * 2).min(self.max);
        delay
    }

    pub(crate) fn reset(&mut self) {
        self.next = self.min;
    }
}
