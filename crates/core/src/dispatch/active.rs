//! A call that has arrived and has not ended.

use {
    super::Call,
    crate::{
        outcome::{NotRunReason, Outcome, UnknownReason},
        slots::NameHash,
    },
};

/// A call that has arrived and has not ended.
#[derive(Debug)]
pub(super) struct ActiveCall {
    pub(super) call: Call,
    pub(super) service: NameHash,
    /// Server that runs the call, if any.
    pub(super) server: Option<NameHash>,
    /// Servers that failed the call.
    pub(super) tried: Vec<NameHash>,
    /// Why it is unknown whether an earlier attempt ran, if one may have.
    pub(super) unknown_reason: Option<UnknownReason>,
    /// Whether this entry holds the call's retry token.
    pub(super) has_retry_token: bool,
    /// Whether an attempt passed a retry token to the server.
    pub(super) token_forwarded: bool,
    /// Whether the running attempt requested a load report.
    pub(super) report_requested: bool,
}

impl ActiveCall {
    /// Returns the final outcome if no further attempt is made: "not run" only if no attempt may have run.
    pub(super) fn outcome(&self, reason: NotRunReason) -> Outcome {
        self.unknown_reason.map_or(Outcome::NotRun(reason), Outcome::Unknown)
    }
}
