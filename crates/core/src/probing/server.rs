//! What an entry knows of one server.

use {
    super::{
        Ejection, Reported, Usual,
        cost::{BUSY, BUSY_SLOWER},
    },
    crate::{
        dispatch::{LoadReport, NOMINAL_PACE, ServerState, ServerView},
        slots::NameHash,
    },
    std::time::{Duration, Instant},
};

/// Calls beyond the slots that a server queues; it rejects what comes then.
const QUEUE: u32 = 4;
/// A report in an answer cannot count a call that was sent within both ways to the server.
const WAY: Duration = Duration::from_millis(2);
/// Own failures lose their weight in this time.
const FAILURE_MEMORY: Duration = Duration::from_secs(5);
/// Part by which an answer moves the failure rate.
const FAILURE_STEP: f64 = 0.3;
/// Part of the failure rate that is left after a trial that succeeded.
const TRIAL_KEPT: f64 = 0.2;
/// Failed probes in a row that count; each makes the server half as slow again in the estimate.
const MAX_SILENT: u32 = 4;
/// Sheds in a row after which a server is ejected, whatever it reports.
const MAX_SHEDS: u32 = 3;

/// What an entry knows of one server.
#[derive(Clone, Debug)]
pub(super) struct Server {
    pub(super) key: NameHash,
    pub(super) view: ServerView,
    pub(super) is_remote: bool,
    /// When this record became known.
    pub(super) since: Instant,
    /// Own calls in flight.
    pub(super) own: u32,
    /// Own calls sent so far, to tell those that a report cannot count.
    pub(super) sent: u32,
    pub(super) last_sent: Option<Instant>,
    pub(super) last_end: Option<Instant>,
    pub(super) report: Option<Reported>,
    /// When the mean time between probes has passed after all that were sent.
    pub(super) probed_until: Option<Instant>,
    /// Number of the probe that is under way.
    pub(super) probe: Option<u64>,
    /// Probes in a row that failed or were late.
    pub(super) silent: u32,
    pub(super) ejection: Ejection,
    pub(super) is_misdirected: bool,
    /// When a new server gets a call even if others seem better.
    pub(super) due: Option<Instant>,
    sheds: u32,
    failure: f64,
    failure_at: Option<Instant>,
}

impl Server {
    pub(super) fn new(now: Instant, key: NameHash, view: ServerView, is_remote: bool) -> Self {
        Self {
            key,
            view,
            is_remote,
            since: now,
            own: 0,
            sent: 0,
            last_sent: None,
            last_end: None,
            report: None,
            probed_until: None,
            probe: None,
            silent: 0,
            ejection: Ejection::default(),
            is_misdirected: false,
            due: None,
            sheds: 0,
            failure: 0.0,
            failure_at: None,
        }
    }

    pub(super) fn slots(&self) -> u32 {
        self.view.slots.max(1)
    }

    /// Returns whether the server may get calls as far as its announcement goes; the lease is checked at the
    /// time of use.
    pub(super) fn is_announced(&self, now: Instant) -> bool {
        self.view.state == ServerState::Ready && now < self.view.lease_end && !self.is_misdirected
    }

    /// Returns whether the server may get calls other than a trial.
    pub(super) fn is_usable(&self, now: Instant) -> bool {
        self.is_announced(now) && !self.ejection.is_out()
    }

    /// Returns whether the server should get the next call to see how it does.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        let is_new = !self.ejection.is_out() && self.due.is_some_and(|due| now >= due);
        self.is_announced(now) && (is_new || self.ejection.is_trial_due(now))
    }

    /// Expected calls in flight at the server.
    pub(super) fn load(&self, now: Instant, usual: &Usual) -> f64 {
        let mean = usual.load * f64::from(self.slots());
        f64::from(self.own) + self.report.map_or(mean, |report| report.others(now, mean))
    }

    /// Slots with which the server gets through the most work: it works slower while more of them are busy, by
    /// which the fourth of four slots costs more than it gains.
    pub(super) fn useful_slots(&self) -> u32 {
        let slots = self.slots();
        let quiet = ((BUSY * f64::from(slots)).floor() as u32).max(1);
        if f64::from(slots) / (1.0 + BUSY_SLOWER) > f64::from(quiet) { slots } else { quiet }
    }

    /// Returns whether the server may get one more call.
    pub(super) fn has_room(&self, now: Instant, usual: &Usual) -> bool {
        self.load(now, usual).round() < f64::from(self.useful_slots())
    }

    /// Returns whether the server would queue one more call rather than reject it.
    pub(super) fn has_queue(&self, now: Instant, usual: &Usual) -> bool {
        self.load(now, usual).round() < f64::from(self.slots() + QUEUE)
    }

    /// Expected factor on the usual time of work.
    pub(super) fn pace(&self, now: Instant, usual: &Usual) -> f64 {
        let pace = self.report.map_or(usual.pace, |report| report.pace(now, usual.pace));
        pace * (1.0 + 0.5 * f64::from(self.silent.min(MAX_SILENT)))
    }

    /// Expected part of calls that fail.
    pub(super) fn failure(&self, now: Instant) -> f64 {
        let Some(at) = self.failure_at else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.failure * (-age / FAILURE_MEMORY.as_secs_f64()).exp()
    }

    /// Counts an own call that is sent.
    pub(super) fn begin(&mut self, now: Instant) {
        if self.ejection.is_out() {
            self.ejection.begin_trial(now);
        }
        self.own += 1;
        self.sent = self.sent.wrapping_add(1);
        self.last_sent = Some(now);
        self.due = None;
    }

    /// Counts an own call that has ended.
    pub(super) fn end(&mut self, now: Instant) {
        self.own = self.own.saturating_sub(1);
        self.last_end = Some(now);
    }

    /// Takes the report in an answer, after the call was counted as ended.
    pub(super) fn take_report(&mut self, now: Instant, report: LoadReport) {
        let is_unseen = self.last_sent.is_some_and(|at| now.saturating_duration_since(at) < WAY);
        let seen = self.own.saturating_sub(u32::from(is_unseen));
        self.report = Some(Reported::new(now, report, seen));
    }

    /// Takes the report of a probe that was begun when `sent` calls had been sent; returns the own calls that
    /// it counts.
    pub(super) fn take_probe(&mut self, now: Instant, report: LoadReport, sent: u32) -> u32 {
        let since = self.sent.wrapping_sub(sent);
        let seen = self.own.saturating_sub(since);
        self.report = Some(Reported::new(now, report, seen));
        self.silent = 0;
        seen
    }

    /// Takes the load of a server that shed a call without a report.
    pub(super) fn assume_full(&mut self, now: Instant) {
        let report = LoadReport { in_flight: self.slots() + QUEUE, slots: self.slots(), pace: NOMINAL_PACE };
        self.report = Some(Reported::new(now, report, self.own));
    }

    /// Takes a call that succeeded.
    pub(super) fn succeed(&mut self, now: Instant) {
        self.failure = self.failure(now) * (1.0 - FAILURE_STEP);
        self.failure_at = Some(now);
        self.sheds = 0;
        self.silent = 0;
    }

    /// Takes a trial that succeeded. A single failure may have been the fault of its request; a server that
    /// fails again is ejected for longer.
    pub(super) fn pass_trial(&mut self) {
        self.failure *= TRIAL_KEPT;
    }

    /// Takes a call that failed.
    pub(super) fn fail(&mut self, now: Instant) {
        let failure = self.failure(now);
        self.failure = failure + FAILURE_STEP * (1.0 - failure);
        self.failure_at = Some(now);
    }

    /// Takes a call that was shed; returns whether that counts as a failure: the server was idle by its own
    /// report, or sheds call after call.
    pub(super) fn shed(&mut self, now: Instant, report: Option<LoadReport>) -> bool {
        self.sheds += 1;
        let is_idle = report.is_some_and(|report| report.in_flight < report.slots);
        let is_failure = is_idle || self.sheds >= MAX_SHEDS;
        if is_failure {
            self.fail(now);
        } else if report.is_none() {
            self.assume_full(now);
        }
        is_failure
    }
}
