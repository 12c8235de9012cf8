//! What became of one call.

use std::time::Instant;

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResultKind {
    InTime,
    Late,
    Rejected,
    Failed,
    /// Part of its worth that a call lost because it was held before it was refused, in addition to its end.
    HoldCost(f64),
}

/// What became of one call.
#[derive(Clone, Copy, Debug)]
pub struct CallResult {
    /// When the caller first called.
    pub first_attempt_at: Instant,
    pub workload: usize,
    pub kind: ResultKind,
}
