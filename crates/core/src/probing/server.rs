//! State of one server as an entry knows it.

use {
    super::{
        Baseline, Ejection, LoadSample, ServerLimit, WarmUp,
        cost::{BUSY_SLOWDOWN, BUSY_THRESHOLD},
    },
    crate::{
        dispatch::{Exclusion, LoadReport, NOMINAL_PACE, ServerState, ServerView},
        slots::NameHash,
    },
    std::time::{Duration, Instant},
};

/// Maximum number of slots that is believed. A server announces any number; the slots of all servers are added up.
const MAX_SLOTS: u32 = 1 << 16;
/// Calls that a server queues in addition to its slots before it rejects calls.
const QUEUE_LENGTH: u32 = 4;
/// A report in an answer does not include a call that was sent less than a round trip before.
const ROUND_TRIP: Duration = Duration::from_millis(2);
/// Time in which the weight of the failure rate decays.
const FAILURE_DECAY_TIME: Duration = Duration::from_secs(5);
/// Smoothing factor of the failure rate.
const FAILURE_SMOOTHING: f64 = 0.3;
/// Share of the failure rate that is kept after a successful trial.
const FAILURE_KEPT_AFTER_TRIAL: f64 = 0.2;
/// Consecutive failed probes that are counted; each adds half of the slowdown to the estimate.
const MAX_FAILED_PROBES: u32 = 4;
/// Consecutive rejections after which a server is ejected, whatever load it reports.
const MAX_CONSECUTIVE_SHEDS: u32 = 3;
/// Time after a probe in which a server that may become cold gets calls. Calls follow their probes within 12 ms, and
/// waiting ones after some more.
const PROBE_AGE: Duration = Duration::from_millis(100);
/// Time without a health response after which a server may have become cold unnoticed.
const SILENT_AFTER: Duration = Duration::from_millis(500);
/// Time in which a waiting call uses the slot of one that has ended.
const FREED_SLOT_AGE: Duration = Duration::from_millis(5);

/// State of one server as an entry knows it.
#[derive(Clone, Debug)]
pub(super) struct Server {
    pub(super) name_hash: NameHash,
    pub(super) view: ServerView,
    pub(super) is_remote: bool,
    /// When this record was created.
    pub(super) known_since: Instant,
    /// Own calls in flight.
    pub(super) in_flight: u32,
    /// Number of own calls sent so far, to identify those that a report cannot include.
    pub(super) sent_calls: u32,
    pub(super) last_sent: Option<Instant>,
    pub(super) last_end: Option<Instant>,
    pub(super) load_sample: Option<LoadSample>,
    /// End of the probe intervals of all probes sent so far.
    pub(super) probed_until: Option<Instant>,
    /// When the last probe was answered or failed.
    pub(super) last_probe_end: Option<Instant>,
    /// Identifier of the running probe.
    pub(super) running_probe: Option<u64>,
    /// Consecutive probes that failed, plus one if the last answered one was late. An answer ends the series even if it
    /// is late, because its report shows the load; only that the server is slow is remembered.
    pub(super) failed_probes: u32,
    pub(super) ejection: Ejection,
    pub(super) is_misdirected: bool,
    /// What the server asked for in its answers.
    pub(super) exclusion: Exclusion,
    /// Limit on the rate of calls that the server has named.
    pub(super) limit: Option<ServerLimit>,
    /// Whether the server is cold, if its service limits the calls to cold servers.
    pub(super) warm_up: Option<WarmUp>,
    /// When this entry sends a new server its first call even if other servers seem better.
    pub(super) introduction_due: Option<Instant>,
    consecutive_sheds: u32,
    failure_rate: f64,
    failure_at: Option<Instant>,
}

impl Server {
    pub(super) fn new(now: Instant, name_hash: NameHash, view: ServerView, is_remote: bool) -> Self {
        Self {
            name_hash,
            view,
            is_remote,
            known_since: now,
            in_flight: 0,
            sent_calls: 0,
            last_sent: None,
            last_end: None,
            load_sample: None,
            probed_until: None,
            last_probe_end: None,
            running_probe: None,
            failed_probes: 0,
            ejection: Ejection::default(),
            is_misdirected: false,
            exclusion: Exclusion::default(),
            limit: None,
            warm_up: None,
            introduction_due: None,
            consecutive_sheds: 0,
            failure_rate: 0.0,
            failure_at: None,
        }
    }

    pub(super) fn slots(&self) -> u32 {
        self.view.slots.clamp(1, MAX_SLOTS)
    }

    /// Returns whether the announced state, the lease and the server's own answers allow new calls; they are checked
    /// at the time of use.
    pub(super) fn is_available(&self, now: Instant) -> bool {
        self.is_open(now)
            && self.limit.as_ref().is_none_or(|limit| limit.may_call(now))
            && self.warm_up.as_ref().is_none_or(|warm_up| warm_up.may_call(now))
    }

    /// Returns whether the server takes calls, possibly not from this entry now because of the limit that it named.
    fn is_open(&self, now: Instant) -> bool {
        self.is_ready(now) && !self.exclusion.applies(now)
    }

    /// Returns whether a probe is due that shows whether the limit of the server still holds, or whether it is cold.
    pub(super) fn is_limit_check_due(&self, now: Instant) -> bool {
        let is_due = self.limit.as_ref().is_some_and(|limit| limit.is_check_due(now))
            || self.warm_up.as_ref().is_some_and(|warm_up| warm_up.is_check_due(now));
        is_due && self.is_open(now)
    }

    /// Returns whether the announced state and the lease allow new calls.
    fn is_ready(&self, now: Instant) -> bool {
        self.view.state == ServerState::Ready && now < self.view.lease_end && !self.is_misdirected
    }

    /// Returns when a server that asked for a pause, named a limit or is cold takes a call of this entry again.
    pub(super) fn pause_end(&self, now: Instant) -> Option<Instant> {
        if !self.is_ready(now) || self.exclusion.is_leaving {
            return None;
        }
        let pause = self.exclusion.paused_until.filter(|until| now < *until);
        let warm_up = self.warm_up.as_ref().filter(|warm_up| !warm_up.may_call(now));
        let pause = pause.max(warm_up.map(|warm_up| warm_up.next_call_at(now)));
        let limit = self.limit.as_ref().filter(|limit| !limit.may_call(now));
        match limit {
            Some(limit) => Some(limit.next_call_at(now)?.max(pause.unwrap_or(now))),
            None => pause,
        }
    }

    /// Returns whether the server may get calls other than a trial.
    pub(super) fn is_usable(&self, now: Instant) -> bool {
        self.is_available(now) && !self.ejection.is_ejected()
    }

    /// Returns whether the server needs a first call or a trial.
    pub(super) fn needs_trial(&self, now: Instant) -> bool {
        let is_new = !self.ejection.is_ejected() && self.introduction_due.is_some_and(|due| now >= due);
        self.is_available(now) && (is_new || self.ejection.is_trial_due(now))
    }

    /// Returns the expected number of calls in flight at the server.
    pub(super) fn load(&self, now: Instant, baseline: &Baseline) -> f64 {
        let mean = baseline.load * f64::from(self.slots());
        f64::from(self.in_flight) + self.load_sample.map_or(mean, |sample| sample.other_calls(now, mean))
    }

    /// Returns the number of slots with the highest throughput. A server slows down when more slots are busy,
    /// so that the fourth of four slots costs more than it gains.
    pub(super) fn useful_slots(&self) -> u32 {
        let slots = self.slots();
        let fast_slots = ((BUSY_THRESHOLD * f64::from(slots)).floor() as u32).max(1);
        if f64::from(slots) / (1.0 + BUSY_SLOWDOWN) > f64::from(fast_slots) { slots } else { fast_slots }
    }

    /// Returns whether the server may get one more call.
    pub(super) fn has_room(&self, now: Instant, baseline: &Baseline) -> bool {
        self.is_warmth_known(now, baseline) && self.load(now, baseline).round() < f64::from(self.useful_slots())
    }

    /// Returns whether the server would queue one more call rather than reject it.
    pub(super) fn has_queue_room(&self, now: Instant, baseline: &Baseline) -> bool {
        self.is_warmth_known(now, baseline) && self.load(now, baseline).round() < f64::from(self.slots() + QUEUE_LENGTH)
    }

    /// Returns whether this entry may send a call although the server may have become cold since it was last probed;
    /// only health responses state that. If the usual rate of calls is no danger to a cold server, one call at a time is
    /// sent without a recent probe. Otherwise calls follow probes, and a slot that became free is used once more.
    fn is_warmth_known(&self, now: Instant, baseline: &Baseline) -> bool {
        let Some(warm_up) = &self.warm_up else { return true };
        let age = |at: Option<Instant>| at.map_or(Duration::MAX, |at| now.saturating_duration_since(at));
        let probe_age = age(self.last_probe_end);
        let is_alone = self.in_flight == 0;
        if probe_age <= PROBE_AGE {
            return self.failed_probes == 0 || is_alone;
        }
        let has_answered = probe_age <= SILENT_AFTER && self.failed_probes == 0;
        match warm_up.tolerates(baseline.calls_per_second(self.slots())) {
            true => has_answered || is_alone,
            false => has_answered && age(self.last_end) <= FREED_SLOT_AGE,
        }
    }

    /// Returns whether the server is cold and tolerates few calls.
    pub(super) fn is_cold(&self, now: Instant) -> bool {
        self.warm_up.as_ref().is_some_and(|warm_up| warm_up.is_cold(now))
    }

    /// Returns the expected factor by which work takes longer than at nominal speed.
    pub(super) fn slowdown(&self, now: Instant, baseline: &Baseline) -> f64 {
        let slowdown = self.load_sample.map_or(baseline.slowdown, |sample| sample.slowdown(now, baseline.slowdown));
        slowdown * (1.0 + 0.5 * f64::from(self.failed_probes.min(MAX_FAILED_PROBES)))
    }

    /// Returns the expected share of calls that fail.
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
        if let Some(warm_up) = &mut self.warm_up {
            warm_up.record_call(now);
        }
        self.introduction_due = None;
    }

    /// Counts an own call that has ended.
    pub(super) fn end_call(&mut self, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.last_end = Some(now);
    }

    /// Records the report in an answer, after the call was counted as ended.
    pub(super) fn record_report(&mut self, now: Instant, report: LoadReport) {
        let is_unseen = self.last_sent.is_some_and(|at| now.saturating_duration_since(at) < ROUND_TRIP);
        let own_calls = self.in_flight.saturating_sub(u32::from(is_unseen));
        self.load_sample = Some(LoadSample::new(now, report, own_calls));
    }

    /// Records the report of a probe that was started when `sent` calls had been sent; returns the number of
    /// own calls that the report includes.
    pub(super) fn record_probe(&mut self, now: Instant, report: LoadReport, sent: u32) -> u32 {
        let since = self.sent_calls.wrapping_sub(sent);
        let own_calls = self.in_flight.saturating_sub(since);
        self.load_sample = Some(LoadSample::new(now, report, own_calls));
        self.failed_probes = 0;
        own_calls
    }

    /// Assumes a full queue for a server that rejected a call without a report.
    pub(super) fn assume_full(&mut self, now: Instant) {
        let report = LoadReport { in_flight: self.slots() + QUEUE_LENGTH, slots: self.slots(), pace: NOMINAL_PACE };
        self.load_sample = Some(LoadSample::new(now, report, self.in_flight));
    }

    /// Records a successful call.
    pub(super) fn record_success(&mut self, now: Instant) {
        self.failure_rate = self.failure_rate(now) * (1.0 - FAILURE_SMOOTHING);
        self.failure_at = Some(now);
        self.consecutive_sheds = 0;
        self.failed_probes = 0;
    }

    /// Records a successful trial. Part of the failure rate is dropped, because a single failure may have
    /// been caused by its request. A server that fails again is ejected for longer.
    pub(super) fn pass_trial(&mut self) {
        self.failure_rate *= FAILURE_KEPT_AFTER_TRIAL;
    }

    /// Records a failed call.
    pub(super) fn record_failure(&mut self, now: Instant) {
        let failure_rate = self.failure_rate(now);
        self.failure_rate = failure_rate + FAILURE_SMOOTHING * (1.0 - failure_rate);
        self.failure_at = Some(now);
    }

    /// Records a call that the server rejected because of its load. Returns whether that counts as a failure:
    /// the server reported free slots, or has rejected several calls in a row.
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
