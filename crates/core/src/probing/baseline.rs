//! What is usual at the servers of one service.

use {
    crate::dispatch::{LoadReport, NOMINAL_PACE},
    std::time::Duration,
};

/// Work that is assumed before the first answer, as a part of the objective. It is 0.32 to 0.42 of it for
/// every route of today's users.
const INITIAL_WORK: f64 = 0.4;
/// Mean pace that is assumed before the first reports: a quarter of the time work takes four times as long.
const INITIAL_SLOWDOWN: f64 = 1.75;
/// Calls of other entries at a server, per slot, that are assumed before the first reports.
const INITIAL_LOAD: f64 = 0.25;
/// Part by which an observation moves a mean. Some 30 observations come in within a second.
const SMOOTHING: f64 = 0.02;
/// Part by which an answer moves the work; an entry sees a few answers a second.
const WORK_SMOOTHING: f64 = 0.05;

/// What is usual at the servers of one service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Baseline {
    /// Seconds of work at usual pace on a server that is not busy.
    work: Option<f64>,
    /// Mean factor on it.
    pub(super) slowdown: f64,
    /// Mean calls of other entries per slot.
    pub(super) load: f64,
}

impl Baseline {
    pub(super) fn new() -> Self {
        Self { work: None, slowdown: INITIAL_SLOWDOWN, load: INITIAL_LOAD }
    }

    /// Seconds of work at usual pace for a call with this objective.
    pub(super) fn work(&self, objective: Duration) -> f64 {
        self.work.unwrap_or(INITIAL_WORK * objective.as_secs_f64())
    }

    /// Takes the time of a whole answer, and the factor on work that was expected of the server.
    pub(super) fn observe(&mut self, seconds: f64, work_factor: f64, objective: Duration) {
        let work = self.work(objective);
        // The factor is uncertain as the pace changes during a call, so a single answer moves little.
        let seen = (seconds / work_factor).clamp(work / 4.0, work * 4.0);
        self.work = Some(work + WORK_SMOOTHING * (seen - work));
    }

    /// Takes the report of a probe, which shows a server at a time that its answers did not choose.
    pub(super) fn record_report(&mut self, report: LoadReport, own: u32) {
        let slowdown = f64::from(report.pace) / f64::from(NOMINAL_PACE);
        let load = f64::from(report.in_flight.saturating_sub(own)) / f64::from(report.slots.max(1));
        self.slowdown += SMOOTHING * (slowdown - self.slowdown);
        self.load += SMOOTHING * (load.min(4.0) - self.load);
    }
}
