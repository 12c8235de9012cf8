//! Statements of what an entry reads.

use crate::ids::Incarnation;

/// Number of polls with which a statement is sent at first. One of three arrives even if datagrams are lost.
const FIRST_POLLS: u64 = 3;
/// Every n-th later poll is sent with a statement.
const INTERVAL: u64 = 8;

/// Statements of what an entry reads to the replica in use.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Statements {
    incarnation: Incarnation,
    polls: u64,
}

impl Statements {
    /// Counts a poll; returns whether a statement is to be sent with it.
    pub(super) fn is_due(&mut self) -> bool {
        self.polls += 1;
        self.polls <= FIRST_POLLS || self.polls.is_multiple_of(INTERVAL)
    }

    /// Records which process of the replica answers. A new one does not know the statements to the one before.
    pub(super) fn record_incarnation(&mut self, incarnation: Incarnation) {
        if self.incarnation != incarnation {
            *self = Self { incarnation, polls: 0 };
        }
    }
}
