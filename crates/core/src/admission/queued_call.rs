//! A call in a queue.

use {crate::ids::CallId, std::time::Instant};

/// A call that waits for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedCall {
    /// Identifier of the call.
    pub call: CallId,
    /// Whether the request carries a large body.
    pub upload: bool,
    /// Time by which the complete answer is due.
    pub deadline: Instant,
}
