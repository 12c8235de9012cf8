//! What is known about one server.

use {
    super::{HealthOptions, decaying_average::DecayingAverage, ejection::Ejection},
    crate::dispatch::LoadReport,
    std::time::{Duration, Instant},
};

/// Weight of what is assumed without evidence, in observations.
const PRIOR_WEIGHT: f64 = 0.5;
/// Weight of a fresh load report, in observations; an entry's own answers count up to 8.
const REPORT_WEIGHT: f64 = 1.0;
/// Reports lag; one loses its weight in this time.
const REPORT_DECAY_TIME: Duration = Duration::from_millis(500);
/// Queue in multiples of the slots that a report is believed at most, because reports also mislead.
const MAX_REPORTED_QUEUE: f64 = 4.0;
/// Load that a server starts with when it becomes ready.
const INITIAL_SHARE: f64 = 0.1;

/// What is known about one server.
#[derive(Clone, Debug)]
pub(super) struct Estimate {
    pub(super) latency: DecayingAverage,
    pub(super) failure: DecayingAverage,
    pub(super) ejection: Ejection,
    /// Time that `introduce` gave, which tells a restarted server from a known one.
    pub(super) ready_since: Instant,
    /// Start of the current slow start.
    pub(super) slow_start_from: Instant,
    pub(super) slots: u32,
    pub(super) is_remote: bool,
    /// Answers in a row that were much slower than those of the other servers.
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

    /// Drops the evidence from before an ejection, so that the trial calls alone decide.
    pub(super) fn reset(&mut self, now: Instant) {
        self.latency = DecayingAverage::new(now);
        self.failure = DecayingAverage::new(now);
        self.slow_answers = 0;
        self.report = None;
    }

    /// Expected seconds of a call, with `typical` seconds as the latency of the service.
    pub(super) fn score(&self, now: Instant, typical: f64, options: &HealthOptions) -> f64 {
        // Measured answers contain the way to the data centre already; what is only assumed does not.
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
        // A service slower than the fixed cost would otherwise make a fast failure look cheap.
        let failure_cost = options.failure_cost.as_secs_f64().max(10.0 * typical);
        latency + failure * failure_cost
    }

    /// Part of the normal load that a server in slow start gets; `None` once it is over.
    pub(super) fn warm_up_share(&self, now: Instant, slow_start: Duration) -> Option<f64> {
        let age = now.saturating_duration_since(self.slow_start_from);
        (age < slow_start).then(|| INITIAL_SHARE + (1.0 - INITIAL_SHARE) * age.as_secs_f64() / slow_start.as_secs_f64())
    }
}
