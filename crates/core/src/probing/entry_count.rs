//! The number of live entries among which the slack of the retry budget is divided.

use std::time::{Duration, Instant};

/// The highest number of live entries reported within the last window.
///
/// A replica that has just started knows few entries, and the share of the slack that was spent under a
/// higher number still counts in the window.
#[derive(Clone, Debug)]
pub(super) struct EntryCount {
    count: usize,
    /// The highest number reported since it fell below the count, and when it fell.
    pending_decrease: Option<(usize, Instant)>,
    is_reported: bool,
}

impl EntryCount {
    /// Creates a count that is used until the first number is reported.
    pub(super) fn assumed(count: usize) -> Self {
        Self { count: count.max(1), pending_decrease: None, is_reported: false }
    }

    /// Records the number of live entries.
    pub(super) fn update(&mut self, now: Instant, count: usize) {
        let count = count.max(1);
        if !self.is_reported || count >= self.count {
            *self = Self { count, pending_decrease: None, is_reported: true };
            return;
        }
        let (highest, since) = self.pending_decrease.unwrap_or((count, now));
        self.pending_decrease = Some((highest.max(count), since));
    }

    /// Returns the number of entries to divide by.
    pub(super) fn get(&mut self, now: Instant, window: Duration) -> usize {
        if let Some((highest, since)) = self.pending_decrease
            && now.saturating_duration_since(since) >= window
        {
            (self.count, self.pending_decrease) = (highest, None);
        }
        self.count
    }
}
