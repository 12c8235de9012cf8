//! The end of one attempt at a server.

use {
    super::{AttemptResult, LoadReport},
    crate::ids::{CallId, ServerId},
    std::time::Duration,
};

/// The end of one attempt at a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinishedAttempt {
    /// The call.
    pub call: CallId,
    /// Server to which the call was sent.
    pub server: ServerId,
    /// Result of the attempt.
    pub result: AttemptResult,
    /// Time from sending the request to the end.
    pub latency: Duration,
    /// Load that the server reported in its answer.
    pub report: Option<LoadReport>,
    /// Whether the caller has no answer yet, so that the call waits for a decision.
    pub wants_decision: bool,
}
