//! Estimate of the latency and failures of one server.

use {
    super::{HealthOptions, decaying_average::DecayingAverage, ejection::Ejection},
    crate::dispatch::LoadReport,
    std::time::{Duration, Instant},
};

/// Weight of the prior, in observations.
const PRIOR_WEIGHT: f64 = 0.5;
/// Weight of a new load report, in observations; an entry's own answers count up to 8.
const REPORT_WEIGHT: f64 = 1.0;
/// Time in which the weight of a report decays, because its load is soon outdated.
const REPORT_DECAY_TIME: Duration = Duration::from_millis(500);
/// Maximum reported queue that is taken into account, in multiples of the slots, because reports can be
/// misleading.
const MAX_REPORTED_QUEUE: f64 = 4.0;
/// Share of the normal load with which slow start begins.
const INITIAL_SHARE: f64 = 0.1;

/// Estimate of the latency and failures of one server.
#[derive(Clone, Debug)]
pub(super) struct Estimate {
    pub(super) latency: DecayingAverage,
    pub(super) failure: DecayingAverage,
    pub(super) ejection: Ejection,
    /// Time passed to `add_server`, which distinguishes a restarted server from a known one.
    pub(super) ready_since: Instant,
    /// Start of the current slow start.
    pub(super) slow_start_from: Instant,
    pub(super) slots: u32,
    pub(super) is_remote: bool,
    /// Consecutive answers that were much slower than those of the other servers.
    pub(super) slow_answers: u32,
    report: Option<(Instant, LoadReport)>,
}

impl Estimate {
    pub(super) fn new(now: Instant, ready_since: Instant) -> Self {
        Self {
            latency: DecayingAverage::new(now),
            failure: DecayingAverage::new(now),
            ejection: Ejection::new(now),
            ready_since,
            slow_start_from: ready_since,
            slots: 1,
            is_remote: false,
            slow_answers: 0,
            report: None,
        }
    }

    pub(super) fn set_report(&mut self, now: Instant, report: LoadReport) {
        self.report = Some((now, report));
    }

    /// Drops the evidence from before an ejection, so that only the trial calls count.
    pub(super) fn reset(&mut self, now: Instant) {
        self.latency = DecayingAverage::new(now);
        self.failure = DecayingAverage::new(now);
        self.slow_answers = 0;
        self.report = None;
    }

    /// Returns the expected seconds of a call; `typical` is the typical latency of the service in seconds.
    pub(super) fn score(&self, now: Instant, typical: f64, options: &HealthOptions) -> f64 {
        // Measured latencies include the distance to the data centre; assumed ones do not.
        let penalty = if self.is_remote { options.remote_penalty.as_secs_f64() } else { 0.0 };
        let prior = typical + penalty;
        let own_weight = self.latency.weight(now, options.decay_time);
        let (report_weight, reported) = match self.report {
            Some((at, report)) => {
                let age = now.saturating_duration_since(at).as_secs_f64();
                let slots = f64::from(report.slots.max(1));
                let queue = (f64::from(report.in_flight) / slots - 1.0).clamp(0.0, MAX_REPORTED_QUEUE);
                (REPORT_WEIGHT * (-age / REPORT_DECAY_TIME.as_secs_f64()).exp(), typical * (1.0 + queue) + penalty)
            }
            None => (0.0, 0.0),
        };
        let total = own_weight + report_weight + PRIOR_WEIGHT;
        let latency = (own_weight * self.latency.mean() + report_weight * reported + PRIOR_WEIGHT * prior) / total;

        let failure_weight = self.failure.weight(now, options.decay_time);
        let failure = failure_weight * self.failure.mean() / (failure_weight + PRIOR_WEIGHT);
        // For a service slower than the fixed cost, a fast failure would otherwise look cheap.
        let failure_cost = options.failure_cost.as_secs_f64().max(10.0 * typical);
        latency + failure * failure_cost
    }

    /// Returns the share of the normal load that a server in slow start gets; `None` if slow start is over.
    pub(super) fn warm_up_share(&self, now: Instant, slow_start: Duration) -> Option<f64> {
        let age = now.saturating_duration_since(self.slow_start_from);
        (age < slow_start).then(|| INITIAL_SHARE + (1.0 - INITIAL_SHARE) * age.as_secs_f64() / slow_start.as_secs_f64())
    }
}
