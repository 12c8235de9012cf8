//! Counts of second copies.

use {super::HedgeRefusal, crate::collections::FastMap};

/// Second copies of slow calls since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HedgeCounts {
    /// Copies sent.
    pub sent: u64,
    /// Copies whose answer went to the caller.
    pub won: u64,
    /// Slow calls of which no copy was sent, by reason.
    pub refused: FastMap<HedgeRefusal, u64>,
}
