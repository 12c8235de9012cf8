//! The last known load of a server.

use {
    crate::dispatch::{LoadReport, NOMINAL_PACE},
    std::time::{Duration, Instant},
};

/// The speed of a server changes about every 300 ms, so the weight of a reported slowdown decays in this
/// time.
const SLOWDOWN_DECAY_TIME: Duration = Duration::from_millis(300);
/// Calls take 160 to 210 ms, after which other calls are running than those that were reported.
const LOAD_DECAY_TIME: Duration = Duration::from_millis(200);

/// The last known load of a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadSample {
    pub(super) at: Instant,
    /// Calls of other entries that the server was running or had queued.
    other_calls: u32,
    /// Factor by which work took longer than at nominal speed.
    slowdown: f64,
}

impl LoadSample {
    /// Creates a sample from a report that includes `own` calls of this entry.
    pub(super) fn new(now: Instant, report: LoadReport, own: u32) -> Self {
        let slowdown = f64::from(report.pace.max(1)) / f64::from(NOMINAL_PACE);
        Self { at: now, other_calls: report.in_flight.saturating_sub(own), slowdown }
    }

    pub(super) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.at)
    }

    /// Returns the expected slowdown now, which converges from the reported one to the mean.
    pub(super) fn slowdown(&self, now: Instant, mean: f64) -> f64 {
        let weight = weight(self.age(now), SLOWDOWN_DECAY_TIME);
        self.slowdown * weight + mean * (1.0 - weight)
    }

    /// Returns the expected number of calls of other entries now.
    pub(super) fn other_calls(&self, now: Instant, mean: f64) -> f64 {
        let weight = weight(self.age(now), LOAD_DECAY_TIME);
        f64::from(self.other_calls) * weight + mean * (1.0 - weight)
    }
}

fn weight(age: Duration, decay_time: Duration) -> f64 {
    (-age.as_secs_f64() / decay_time.as_secs_f64()).exp()
}
