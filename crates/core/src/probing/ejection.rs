//! Ejection of one server, with trials and reinstatement.

use std::time::{Duration, Instant};

/// Duration of a first ejection. It is short, because a single failure may be caused by the request. One of
/// 20 servers can be missing for this time without harm.
const INITIAL_DURATION: Duration = Duration::from_millis(500);
/// Longest ejection. With one trial per entry in this time, a failing server in each of 3 services gets less
/// than 1% of the calls.
const MAX_DURATION: Duration = Duration::from_secs(30);
/// Time without an ejection, in addition to the longest one, after which the duration is reset.
const RESET_AFTER: Duration = Duration::from_secs(20);
/// A trial whose end is not reported within this time no longer blocks the next one.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Ejection of one server with exponential backoff.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Ejection {
    /// End of the ejection, if the server is ejected.
    until: Option<Instant>,
    /// When the running trial call was sent.
    trial_sent_at: Option<Instant>,
    last_ejection: Option<Instant>,
    ejection_count: u32,
}

impl Ejection {
    /// Returns whether the server is ejected, even if a trial is running.
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

    /// Returns whether the end of a call that is reported now is that of a trial rather than of a call sent
    /// before the ejection.
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

    /// Postpones the trial of a server that did not answer a probe.
    pub(super) fn postpone_trial(&mut self, now: Instant) {
        if self.until.is_some() {
            self.until = Some(now + self.duration() / 2);
        }
    }

    pub(super) fn begin_trial(&mut self, now: Instant) {
        self.trial_sent_at = Some(now);
    }

    /// Ends a trial whose caller disconnected, which provides no information about the server.
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
