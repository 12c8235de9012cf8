//! Mean work, slowdown and load at the servers of one service.

use {
    super::WorkEstimate,
    crate::dispatch::{LoadReport, NOMINAL_PACE},
    std::time::{Duration, Instant},
};

/// Mean slowdown, as a factor, assumed before the first reports: work takes four times as long for a quarter of
/// the time.
const INITIAL_SLOWDOWN: f64 = 1.75;
/// Calls of other entries per slot, assumed before the first reports.
const INITIAL_LOAD: f64 = 0.25;
/// Smoothing factor of the mean slowdown and load; about 30 observations arrive within a second.
const SMOOTHING: f64 = 0.02;
/// Time in which the weight of an arrival decays, in seconds.
const ARRIVAL_DECAY_TIME: f64 = 5.0;

/// Mean work, slowdown and load at the servers of one service.
#[derive(Clone, Debug)]
pub(super) struct Baseline {
    /// Work at nominal speed on a server that is not busy.
    pub(super) work: WorkEstimate,
    /// Mean factor by which work takes longer than that.
    pub(super) slowdown: f64,
    /// Mean calls of other entries per slot.
    pub(super) load: f64,
    /// Calls per second that arrive at this entry, and when that was determined.
    arrivals: f64,
    arrivals_at: Option<Instant>,
    /// Servers per entry.
    servers_per_entry: f64,
}

impl Baseline {
    pub(super) fn new() -> Self {
        Self {
            work: WorkEstimate::default(),
            slowdown: INITIAL_SLOWDOWN,
            load: INITIAL_LOAD,
            arrivals: 0.0,
            arrivals_at: None,
            servers_per_entry: 1.0,
        }
    }

    /// Returns the calls per second of all entries at a server with as many slots, according to the load of the servers
    /// or the calls of this entry. Neither is exact: work is learnt slowly, and entries get unequal traffic. Before the
    /// first answer only the calls count, since an entry that then refused them would never learn the work.
    pub(super) fn calls_per_second(&self, slots: u32) -> f64 {
        let by_load = |work: f64| self.load * f64::from(slots) / (work * self.slowdown);
        let by_load = self.work.observed_mean().map_or(0.0, by_load);
        by_load.max(self.arrivals / self.servers_per_entry)
    }

    /// Records the arrival of a call.
    pub(super) fn record_arrival(&mut self, now: Instant, entries: usize, servers: usize) {
        let elapsed = self.arrivals_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let kept = (-elapsed.as_secs_f64() / ARRIVAL_DECAY_TIME).exp();
        self.arrivals = self.arrivals * kept + 1.0 / ARRIVAL_DECAY_TIME;
        self.arrivals_at = Some(now);
        self.servers_per_entry = servers.max(1) as f64 / entries.max(1) as f64;
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
