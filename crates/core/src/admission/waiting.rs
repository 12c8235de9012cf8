//! A call that waits.

use {crate::ids::CallId, std::time::Instant};

/// A call that waits for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// Number of the call.
    pub call: CallId,
    /// Whether the request carries a large body.
    pub upload: bool,
    /// Time by which the whole answer is due.
    pub deadline: Instant,
}
