//! Mean work, slowdown and load at the servers of one service.

use {
    crate::dispatch::{LoadReport, NOMINAL_PACE},
    std::time::Duration,
};

/// Work assumed before the first answer, as a share of the objective. It is 0.32 to 0.42 for all routes of
/// today's users.
const INITIAL_WORK: f64 = 0.4;
/// Mean slowdown, as a factor, assumed before the first reports: work takes four times as long for a quarter of
/// the time.
const INITIAL_SLOWDOWN: f64 = 1.75;
/// Calls of other entries per slot, assumed before the first reports.
const INITIAL_LOAD: f64 = 0.25;
/// Smoothing factor of the mean slowdown and load; about 30 observations arrive within a second.
const SMOOTHING: f64 = 0.02;
/// Smoothing factor of the mean work; an entry sees a few answers a second.
const WORK_SMOOTHING: f64 = 0.05;

/// Mean work, slowdown and load at the servers of one service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Baseline {
    /// Seconds of work at nominal speed on a server that is not busy.
    work: Option<f64>,
    /// Mean factor by which work takes longer than that.
    pub(super) slowdown: f64,
    /// Mean calls of other entries per slot.
    pub(super) load: f64,
}

impl Baseline {
    pub(super) fn new() -> Self {
        Self { work: None, slowdown: INITIAL_SLOWDOWN, load: INITIAL_LOAD }
    }

    /// Returns the seconds of work at nominal speed for a call with this objective.
    pub(super) fn work(&self, objective: Duration) -> f64 {
        self.work.unwrap_or(INITIAL_WORK * objective.as_secs_f64())
    }

    /// Records the time of a complete answer and the work factor that was expected of the server.
    pub(super) fn observe(&mut self, seconds: f64, work_factor: f64, objective: Duration) {
        let work = self.work(objective);
        // A single answer has little effect, because the slowdown changes during a call and the factor is
        // uncertain.
        let seen = (seconds / work_factor).clamp(work / 4.0, work * 4.0);
        self.work = Some(work + WORK_SMOOTHING * (seen - work));
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
