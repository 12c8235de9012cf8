//! Ejection of one server, with trials and reinstatement.

use {
    super::HealthOptions,
    std::time::{Duration, Instant},
};

/// A trial call whose end is not reported within this time no longer blocks the next one.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);
/// A server that was in use for this many times the longest ejection starts again with the initial one.
const RESET_AFTER_EJECTIONS: u32 = 2;

/// Whether a server is in normal use, ejected or on trial.
#[derive(Clone, Copy, Debug)]
enum State {
    Active { since: Instant },
    Ejected { until: Instant },
    Trial { good: u32, in_flight: Option<Instant> },
}

/// Ejection of one server with exponential backoff.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ejection {
    state: State,
    ejection_count: u32,
}

impl Ejection {
    pub(super) fn new(now: Instant) -> Self {
        Self { state: State::Active { since: now }, ejection_count: 0 }
    }

    /// Returns whether the server is out of normal use, even if it is on trial.
    pub(super) fn is_ejected(&self) -> bool {
        !matches!(self.state, State::Active { .. })
    }

    /// Returns whether a trial call may be sent now.
    pub(super) fn may_start_trial(&self, now: Instant) -> bool {
        match self.state {
            State::Active { .. } => false,
            State::Ejected { until } => now >= until,
            State::Trial { in_flight, .. } => {
                in_flight.is_none_or(|sent| now.saturating_duration_since(sent) >= TRIAL_TIMEOUT)
            }
        }
    }

    pub(super) fn eject(&mut self, now: Instant, options: &HealthOptions) {
        if let State::Active { since } = self.state
            && now.saturating_duration_since(since) >= options.max_ejection * RESET_AFTER_EJECTIONS
        {
            self.ejection_count = 0;
        }
        let duration =
            options.initial_ejection.saturating_mul(1_u32.checked_shl(self.ejection_count).unwrap_or(u32::MAX));
        self.ejection_count = self.ejection_count.saturating_add(1);
        self.state = State::Ejected { until: now + duration.min(options.max_ejection) };
    }

    pub(super) fn reinstate(&mut self, now: Instant) {
        self.state = State::Active { since: now };
    }

    pub(super) fn begin_trial(&mut self, now: Instant) {
        if self.may_start_trial(now) {
            let good = if let State::Trial { good, .. } = self.state { good } else { 0 };
            self.state = State::Trial { good, in_flight: Some(now) };
        }
    }

    /// Ends a trial call whose caller disconnected, which provides no information about the server.
    pub(super) fn cancel_trial(&mut self) {
        if let State::Trial { in_flight, .. } = &mut self.state {
            *in_flight = None;
        }
    }

    /// Records the result of a call at an ejected server; returns whether the server is to be reinstated.
    ///
    /// Results that arrive before the end of the ejection belong to earlier calls and are ignored.
    pub(super) fn finish_trial(&mut self, now: Instant, is_good: bool, options: &HealthOptions) -> bool {
        let good = match self.state {
            State::Trial { good, .. } => good,
            State::Ejected { until } if now >= until => 0,
            State::Ejected { .. } | State::Active { .. } => return false,
        };
        if !is_good {
            self.eject(now, options);
            return false;
        }
        self.state = State::Trial { good: good + 1, in_flight: None };
        good + 1 >= options.required_trials
    }
}
