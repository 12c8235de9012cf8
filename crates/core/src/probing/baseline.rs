//! Mean work, slowdown and load at the servers of one service.

use {
    super::WorkEstimate,
    crate::dispatch::{LoadReport, NOMINAL_PACE},
};

/// Mean slowdown, as a factor, assumed before the first reports: work takes four times as long for a quarter of
/// the time.
const INITIAL_SLOWDOWN: f64 = 1.75;
/// Calls of other entries per slot, assumed before the first reports.
const INITIAL_LOAD: f64 = 0.25;
/// Smoothing factor of the mean slowdown and load; about 30 observations arrive within a second.
const SMOOTHING: f64 = 0.02;

/// Mean work, slowdown and load at the servers of one service.
#[derive(Clone, Debug)]
pub(super) struct Baseline {
    /// Work at nominal speed on a server that is not busy.
    pub(super) work: WorkEstimate,
    /// Mean factor by which work takes longer than that.
    pub(super) slowdown: f64,
    /// Mean calls of other entries per slot.
    pub(super) load: f64,
}

impl Baseline {
    pub(super) fn new() -> Self {
        Self { work: WorkEstimate::default(), slowdown: INITIAL_SLOWDOWN, load: INITIAL_LOAD }
    }

    /// Records the report of a probe. Unlike the reports in answers, these are not biased towards the moments
    /// at which a server answers.
    pub(super) fn record_report(&mut self, report: LoadReport, own: u32) {
        let slowdown = f64::from(report.pace) / f64::from(NOMINAL_PACE);
        let load = f64::from(report.in_flight.saturating_sub(own)) / f64::from(report.slots.max(1));
        self.slowdown += SMOOTHING * (slowdown - self.slowdown);
        self.load += SMOOTHING * (load.min(4.0) - self.load);
    }
}
