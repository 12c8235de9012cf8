//! Highest number that was reported recently.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Highest of the numbers that were reported within a window.
#[derive(Clone, Debug)]
pub(super) struct PeakCount {
    window: Duration,
    /// Times and numbers, without those that a later and not lower one makes irrelevant.
    reports: VecDeque<(Instant, u32)>,
}

impl PeakCount {
    pub(super) fn new(window: Duration) -> Self {
        Self { window, reports: VecDeque::new() }
    }

    pub(super) fn record(&mut self, now: Instant, count: u32) {
        while self.reports.back().is_some_and(|(_, last)| *last <= count) {
            self.reports.pop_back();
        }
        self.reports.push_back((now, count));
        self.remove_old(now);
    }

    /// Returns the highest number; the last one stays valid until another is reported.
    pub(super) fn get(&mut self, now: Instant) -> u32 {
        self.remove_old(now);
        self.reports.front().map_or(0, |(_, count)| *count)
    }

    fn remove_old(&mut self, now: Instant) {
        // A number held until the next one was reported.
        while let Some((next, _)) = self.reports.get(1)
            && now.saturating_duration_since(*next) >= self.window
        {
            self.reports.pop_front();
        }
    }
}
