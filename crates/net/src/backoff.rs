//! Growing waits between attempts.

use std::time::Duration;

/// Waits that double from a shortest to a longest one.
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

    /// Returns the next wait.
    pub(crate) fn take(&mut self) -> Duration {
        let wait = self.next;
        self.next = (wait * 2).min(self.max);
        wait
    }

    pub(crate) fn reset(&mut self) {
        self.next = self.min;
    }
}
