//! What became of one call.

use std::time::Instant;

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    InTime,
    Late,
    Refused,
    Failed,
    /// Part of its worth that a call lost because it was held before it was refused, in addition to its end.
    Held(f64),
}

/// What became of one call.
#[derive(Clone, Copy, Debug)]
pub struct CallEnd {
    /// When the caller first called.
    pub first: Instant,
    pub workload: usize,
    pub ending: Ending,
}
