//! Result of one call.

use std::time::Instant;

/// Kind of result of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResultKind {
    InTime,
    Late,
    Rejected,
    Failed,
    /// Share of its value that a call lost because it was queued before it was rejected; recorded in addition
    /// to the actual result.
    HoldCost(f64),
}

/// Result of one call.
#[derive(Clone, Copy, Debug)]
pub struct CallResult {
    /// When the caller made its first attempt.
    pub first_attempt_at: Instant,
    /// Entry at which it arrived.
    pub entry: usize,
    pub workload: usize,
    pub kind: ResultKind,
}
