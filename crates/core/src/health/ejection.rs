//! Ejection of one server and its way back.

use {
    super::HealthOptions,
    std::time::{Duration, Instant},
};

/// A trial call that was not reported back in this time no longer blocks the next one.
const TRIAL_LAPSE: Duration = Duration::from_secs(10);
/// A server that stayed in for this many longest ejections starts again with the first one.
const FORGIVE_AFTER: u32 = 2;

/// Where a server stands between its normal load and ejection.
#[derive(Clone, Copy, Debug)]
enum State {
    In { since: Instant },
    Out { until: Instant },
    OnTrial { good: u32, in_flight: Option<Instant> },
}

/// Ejection of one server with exponential back-off.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ejection {
    state: State,
    times: u32,
}

impl Ejection {
    pub(super) fn new(now: Instant) -> Self {
        Self { state: State::In { since: now }, times: 0 }
    }

    /// Returns whether the server is kept out of the normal load, on trial or not.
    pub(super) fn is_out(&self) -> bool {
        !matches!(self.state, State::In { .. })
    }

    /// Returns whether a trial call may be sent now.
    pub(super) fn may_try(&self, now: Instant) -> bool {
        match self.state {
            State::In { .. } => false,
            State::Out { until } => now >= until,
            State::OnTrial { in_flight, .. } => {
                in_flight.is_none_or(|sent| now.saturating_duration_since(sent) >= TRIAL_LAPSE)
            }
        }
    }

    pub(super) fn eject(&mut self, now: Instant, options: &HealthOptions) {
        if let State::In { since } = self.state
            && now.saturating_duration_since(since) >= options.longest_ejection * FORGIVE_AFTER
        {
            self.times = 0;
        }
        let length = options.first_ejection.saturating_mul(1_u32.checked_shl(self.times).unwrap_or(u32::MAX));
        self.times = self.times.saturating_add(1);
        self.state = State::Out { until: now + length.min(options.longest_ejection) };
    }

    pub(super) fn let_back(&mut self, now: Instant) {
        self.state = State::In { since: now };
    }

    pub(super) fn begin_trial(&mut self, now: Instant) {
        if self.may_try(now) {
            let good = if let State::OnTrial { good, .. } = self.state { good } else { 0 };
            self.state = State::OnTrial { good, in_flight: Some(now) };
        }
    }

    /// Ends a trial call whose caller left, which shows nothing about the server.
    pub(super) fn abandon_trial(&mut self) {
        if let State::OnTrial { in_flight, .. } = &mut self.state {
            *in_flight = None;
        }
    }

    /// Counts an answer of a server that is out; returns whether the server is to be let back.
    ///
    /// Answers that arrive before the ejection is over belong to calls from before it and are ignored.
    pub(super) fn finish_trial(&mut self, now: Instant, is_good: bool, options: &HealthOptions) -> bool {
        let good = match self.state {
            State::OnTrial { good, .. } => good,
            State::Out { until } if now >= until => 0,
            State::Out { .. } | State::In { .. } => return false,
        };
        if !is_good {
            self.eject(now, options);
            return false;
        }
        self.state = State::OnTrial { good: good + 1, in_flight: None };
        good + 1 >= options.trials
    }
}
