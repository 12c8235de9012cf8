//! A call that has arrived and has not ended.

use {
    super::Stage,
    crate::{
        dispatch::Call,
        outcome::{NotRunReason, Outcome, UnknownReason},
        quota::CreditTicket,
        slots::NameHash,
    },
    std::time::{Duration, Instant},
};

/// A call that has arrived and has not ended.
#[derive(Debug)]
pub(super) struct ActiveCall {
    pub(super) call: Call,
    pub(super) service: NameHash,
    pub(super) arrived_at: Instant,
    /// Whether it was too late for the call to meet its objective when this was last checked.
    pub(super) missed_objective: bool,
    pub(super) stage: Stage,
    /// Servers to which the call was sent.
    pub(super) tried: Vec<NameHash>,
    /// Entries to which the call was passed on.
    pub(super) relays: Vec<NameHash>,
    /// Why it is unknown whether an earlier attempt ran, if one may have.
    pub(super) unknown_reason: Option<UnknownReason>,
    /// Reason to report if the call is rejected after its last attempt did not run.
    pub(super) rejection_reason: NotRunReason,
    /// Credit that was taken for the next attempt.
    pub(super) credit: Option<CreditTicket>,
    /// Credit that was spent on the last attempt.
    pub(super) spent_credit: Option<CreditTicket>,
}

impl ActiveCall {
    /// Returns the final outcome if no further attempt is made: "not run" only if no attempt may have run.
    pub(super) fn outcome(&self, reason: NotRunReason) -> Outcome {
        self.unknown_reason.map_or(Outcome::NotRun(reason), Outcome::Unknown)
    }

    /// Returns the time left until an answer is late.
    pub(super) fn time_to_objective(&self, now: Instant) -> Duration {
        let due = (self.arrived_at + self.call.options.objective).min(self.call.deadline);
        due.saturating_duration_since(now)
    }

    /// Returns whether the call can be sent to another server if it fails, so that a failure does little
    /// harm.
    pub(super) fn can_be_retried(&self) -> bool {
        let attempts_left = (self.call.options.attempts as usize).saturating_sub(self.tried.len());
        self.call.idempotent && self.call.replayable && attempts_left > 1
    }
}
