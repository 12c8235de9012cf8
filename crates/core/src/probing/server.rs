//! What an entry knows of one server.

use {
    super::{
        Baseline, Ejection, LoadSample,
        cost::{BUSY_SLOWDOWN, BUSY_THRESHOLD},
    },
    crate::{
        dispatch::{LoadReport, NOMINAL_PACE, ServerState, ServerView},
        slots::NameHash,
    },
    std::time::{Duration, Instant},
};

/// Calls beyond the slots that a server queues; it rejects what comes then.
const QUEUE_LENGTH: u32 = 4;
/// A report in an answer cannot count a call that was sent within both ways to the server.
const ROUND_TRIP: Duration = Duration::from_millis(2);
/// Own failures lose their weight in this time.
const FAILURE_DECAY_TIME: Duration = Duration::from_secs(5);
/// Part by which an answer moves the failure rate.
const FAILURE_SMOOTHING: f64 = 0.3;
/// Part of the failure rate that is left after a trial that succeeded.
const FAILURE_KEPT_AFTER_TRIAL: f64 = 0.2;
/// Failed probes in a row that count; each makes the server half as slow again in the estimate.
const MAX_FAILED_PROBES: u32 = 4;
/// Sheds in a row after which a server is ejected, whatever it reports.
const MAX_CONSECUTIVE_SHEDS: u32 = 3;

/// What an entry knows of one server.
#[derive(Clone, Debug)]
pub(super) struct Server {
    pub(super) key: NameHash,
    pub(super) view: ServerView,
    pub(super) is_remote: bool,
    /// When this record became known.
    pub(super) known_since: Instant,
    /// Own calls in flight.
    pub(super) in_flight: u32,
    /// Own calls sent so far, to tell those that a report cannot count.
    pub(super) sent_calls: u32,
    pub(super) last_sent: Option<Instant>,
    pub(super) last_end: Option<Instant>,
    pub(super) load_sample: Option<LoadSample>,
    /// When the mean time between probes has passed after all that were sent.
    pub(super) probed_until: Option<Instant>,
    /// Number of the probe that is under way.
    pub(super) running_probe: Option<u64>,
    /// Probes in a row that failed or were late.
    pub(super) failed_probes: u32,
    pub(super) ejection: Ejection,
    pub(super) is_misdirected: bool,
    /// When a new server gets a call even if others seem better.
    pub(super) introduction_due: Option<Instant>,
    consecutive_sheds: u32,
    failure_rate: f64,
    failure_at: Option<Instant>,
}

impl Server {
    pub(super) fn new(now: Instant, key: NameHash, view: ServerView, is_remote: bool) -> Self {
        Self {
            key,
            view,
            is_remote,
            known_since: now,
            in_flight: 0,
            sent_calls: 0,
            last_sent: None,
            last_end: None,
            load_sample: None,
            probed_until: None,
            running_probe: None,
            failed_probes: 0,
            ejection: Ejection::default(),
            is_misdirected: false,
            introduction_due: None,
            consecutive_sheds: 0,
            failure_rate: 0.0,
            failure_at: None,
        }
    }

    pub(super) fn slots(&self) -> u32 {
        self.view.slots.max(1)
    }

    /// Returns whether the server may get calls as far as its announcement goes; the lease is checked at the
    /// time of use.
    pub(super) fn is_available(&self, now: Instant) -> bool {
        self.view.state == ServerState::Ready && now < self.view.lease_end && !self.is_misdirected
    }

    /// Returns whether the server may get calls other than a trial.
    pub(super) fn is_usable(&self, now: Instant) -> bool {
        self.is_available(now) && !self.ejection.is_ejected()
    }

    /// Returns whether the server should get the next call to see how it does.
    pub(super) fn needs_trial(&self, now: Instant) -> bool {
        let is_new = !self.ejection.is_ejected() && self.introduction_due.is_some_and(|due| now >= due);
        self.is_available(now) && (is_new || self.ejection.is_trial_due(now))
    }

    /// Expected calls in flight at the server.
    pub(super) fn load(&self, now: Instant, baseline: &Baseline) -> f64 {
        let mean = baseline.load * f64::from(self.slots());
        f64::from(self.in_flight) + self.load_sample.map_or(mean, |sample| sample.other_calls(now, mean))
    }

    /// Slots with which the server gets through the most work: it works slower while more of them are busy, by
    /// which the fourth of four slots costs more than it gains.
    pub(super) fn useful_slots(&self) -> u32 {
        let slots = self.slots();
        let quiet = ((BUSY_THRESHOLD * f64::from(slots)).floor() as u32).max(1);
        if f64::from(slots) / (1.0 + BUSY_SLOWDOWN) > f64::from(quiet) { slots } else { quiet }
    }

    /// Returns whether the server may get one more call.
    pub(super) fn has_room(&self, now: Instant, baseline: &Baseline) -> bool {
        self.load(now, baseline).round() < f64::from(self.useful_slots())
    }

    /// Returns whether the server would queue one more call rather than reject it.
    pub(super) fn has_queue_room(&self, now: Instant, baseline: &Baseline) -> bool {
        self.load(now, baseline).round() < f64::from(self.slots() + QUEUE_LENGTH)
    }

    /// Expected factor on the usual time of work.
    pub(super) fn slowdown(&self, now: Instant, baseline: &Baseline) -> f64 {
        let slowdown = self.load_sample.map_or(baseline.slowdown, |sample| sample.slowdown(now, baseline.slowdown));
        slowdown * (1.0 + 0.5 * f64::from(self.failed_probes.min(MAX_FAILED_PROBES)))
    }

    /// Expected part of calls that fail.
    pub(super) fn failure_rate(&self, now: Instant) -> f64 {
        let Some(at) = self.failure_at else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.failure_rate * (-age / FAILURE_DECAY_TIME.as_secs_f64()).exp()
    }

    /// Counts an own call that is sent.
    pub(super) fn start_call(&mut self, now: Instant) {
        if self.ejection.is_ejected() {
            self.ejection.begin_trial(now);
        }
        self.in_flight += 1;
        self.sent_calls = self.sent_calls.wrapping_add(1);
        self.last_sent = Some(now);
        self.introduction_due = None;
    }

    /// Counts an own call that has ended.
    pub(super) fn end_call(&mut self, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.last_end = Some(now);
    }

    /// Takes the report in an answer, after the call was counted as ended.
    pub(super) fn record_report(&mut self, now: Instant, report: LoadReport) {
        let is_unseen = self.last_sent.is_some_and(|at| now.saturating_duration_since(at) < ROUND_TRIP);
        let own_calls = self.in_flight.saturating_sub(u32::from(is_unseen));
        self.load_sample = Some(LoadSample::new(now, report, own_calls));
    }

    /// Takes the report of a probe that was begun when `sent` calls had been sent; returns the own calls that
    /// it counts.
    pub(super) fn record_probe(&mut self, now: Instant, report: LoadReport, sent: u32) -> u32 {
        let since = self.sent_calls.wrapping_sub(sent);
        let own_calls = self.in_flight.saturating_sub(since);
        self.load_sample = Some(LoadSample::new(now, report, own_calls));
        self.failed_probes = 0;
        own_calls
    }

    /// Takes the load of a server that shed a call without a report.
    pub(super) fn assume_full(&mut self, now: Instant) {
        let report = LoadReport { in_flight: self.slots() + QUEUE_LENGTH, slots: self.slots(), pace: NOMINAL_PACE };
        self.load_sample = Some(LoadSample::new(now, report, self.in_flight));
    }

    /// Takes a call that succeeded.
    pub(super) fn record_success(&mut self, now: Instant) {
        self.failure_rate = self.failure_rate(now) * (1.0 - FAILURE_SMOOTHING);
        self.failure_at = Some(now);
        self.consecutive_sheds = 0;
        self.failed_probes = 0;
    }

    /// Takes a trial that succeeded. A single failure may have been the fault of its request; a server that
    /// fails again is ejected for longer.
    pub(super) fn pass_trial(&mut self) {
        self.failure_rate *= FAILURE_KEPT_AFTER_TRIAL;
    }

    /// Takes a call that failed.
    pub(super) fn record_failure(&mut self, now: Instant) {
        let failure_rate = self.failure_rate(now);
        self.failure_rate = failure_rate + FAILURE_SMOOTHING * (1.0 - failure_rate);
        self.failure_at = Some(now);
    }

    /// Takes a call that was shed; returns whether that counts as a failure: the server was idle by its own
    /// report, or sheds call after call.
    pub(super) fn record_shed(&mut self, now: Instant, report: Option<LoadReport>) -> bool {
        self.consecutive_sheds += 1;
        let is_idle = report.is_some_and(|report| report.in_flight < report.slots);
        let is_failure = is_idle || self.consecutive_sheds >= MAX_CONSECUTIVE_SHEDS;
        if is_failure {
            self.record_failure(now);
        } else if report.is_none() {
            self.assume_full(now);
        }
        is_failure
    }
}
