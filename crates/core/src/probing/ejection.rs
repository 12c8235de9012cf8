//! Ejection of one server and its way back.

use std::time::{Duration, Instant};

/// Length of a first ejection. A single failure may be the fault of its request, so it is short: a server of
/// 20 that is out for this time is not missed.
const INITIAL_DURATION: Duration = Duration::from_millis(500);
/// Longest ejection. With one trial of each entry in this time, a failing server of each of 3 services gets
/// under 1 in 100 of the calls.
const MAX_DURATION: Duration = Duration::from_secs(30);
/// Time without a failure after which the next ejection is a first one again.
const RESET_AFTER: Duration = Duration::from_secs(20);
/// A trial that was not reported back in this time does not block the next one.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Ejection of one server; each one is twice as long as the one before.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Ejection {
    /// End of the ejection, if the server is out.
    until: Option<Instant>,
    /// When a trial call was sent.
    trial_sent_at: Option<Instant>,
    last_ejection: Option<Instant>,
    ejection_count: u32,
}

impl Ejection {
    /// Returns whether the server is out, on trial or not.
    pub(super) fn is_ejected(&self) -> bool {
        self.until.is_some()
    }

    /// Returns when the ejection ends.
    pub(super) fn until(&self) -> Option<Instant> {
        self.until
    }

    /// Returns whether a trial call may be sent now.
    pub(super) fn is_trial_due(&self, now: Instant) -> bool {
        let is_free = self.trial_sent_at.is_none_or(|sent| now.saturating_duration_since(sent) >= TRIAL_TIMEOUT);
        self.until.is_some_and(|until| now >= until) && is_free
    }

    /// Returns whether an end that is reported now belongs to a trial, not to a call from before the ejection.
    pub(super) fn is_on_trial(&self) -> bool {
        self.trial_sent_at.is_some()
    }

    pub(super) fn eject(&mut self, now: Instant) {
        if self.last_ejection.is_some_and(|last| now.saturating_duration_since(last) >= RESET_AFTER + MAX_DURATION) {
            self.ejection_count = 0;
        }
        self.until = Some(now + self.duration());
        self.ejection_count = self.ejection_count.saturating_add(1);
        self.trial_sent_at = None;
        self.last_ejection = Some(now);
    }

    /// Puts off the trial of a server that did not answer a probe.
    pub(super) fn postpone_trial(&mut self, now: Instant) {
        if self.until.is_some() {
            self.until = Some(now + self.duration() / 2);
        }
    }

    pub(super) fn begin_trial(&mut self, now: Instant) {
        self.trial_sent_at = Some(now);
    }

    /// Ends a trial whose caller left, which shows nothing about the server.
    pub(super) fn cancel_trial(&mut self) {
        self.trial_sent_at = None;
    }

    pub(super) fn reinstate(&mut self) {
        self.until = None;
        self.trial_sent_at = None;
    }

    fn duration(&self) -> Duration {
        INITIAL_DURATION.saturating_mul(1_u32.checked_shl(self.ejection_count).unwrap_or(u32::MAX)).min(MAX_DURATION)
    }
}
