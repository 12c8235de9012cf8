//! A call that has arrived and not yet left.

use {
    super::Stage,
    crate::{
        dispatch::Call,
        outcome::{NotRunReason, Outcome, UnknownReason},
        slots::NameHash,
    },
    std::time::{Duration, Instant},
};

/// A call that has arrived and not yet left.
#[derive(Debug)]
pub(super) struct ActiveCall {
    pub(super) call: Call,
    pub(super) service: NameHash,
    pub(super) arrived: Instant,
    /// Whether the call was found too late to make its objective.
    pub(super) is_lapsed: bool,
    pub(super) stage: Stage,
    /// Servers to which the call was sent.
    pub(super) tried: Vec<NameHash>,
    /// Why it is not known whether an earlier attempt ran, if one may have.
    pub(super) doubt: Option<UnknownReason>,
    /// Why the last attempt failed, if it did not run.
    pub(super) refusal: NotRunReason,
}

impl ActiveCall {
    /// Returns the outcome when no further attempt is made: not run only if no attempt may have run.
    pub(super) fn outcome(&self, reason: NotRunReason) -> Outcome {
        self.doubt.map_or(Outcome::NotRun(reason), Outcome::Unknown)
    }

    /// Time left until the answer is late.
    pub(super) fn objective_left(&self, now: Instant) -> Duration {
        let due = (self.arrived + self.call.options.objective).min(self.call.deadline);
        due.saturating_duration_since(now)
    }

    /// Returns whether a failure of the call would do little harm, because another server can take it over.
    pub(super) fn may_fail(&self) -> bool {
        let attempts_left = (self.call.options.attempts as usize).saturating_sub(self.tried.len());
        self.call.idempotent && self.call.replayable && attempts_left > 1
    }
}
