//! A change that a replica has named and that has not arrived.

use {
    crate::ids::ChangeNumber,
    std::time::{Duration, Instant},
};

/// Time after which a change that the replica has named and that has not arrived is logged. It is half of the time
/// within which a change must be in force.
const OVERDUE_AFTER: Duration = Duration::from_secs(1);
/// A change that a replica has named and that has not arrived.
#[derive(Clone, Debug)]
pub(super) struct MissingChange {
    number: ChangeNumber,
    named_at: Instant,
    is_logged: bool,
}

impl MissingChange {
    pub(super) fn new(now: Instant, number: ChangeNumber) -> Self {
        Self { number, named_at: now, is_logged: false }
    }

    pub(super) fn number(&self) -> ChangeNumber {
        self.number
    }

    /// Returns the change once if it is overdue.
    pub(super) fn take_overdue(&mut self, now: Instant) -> Option<ChangeNumber> {
        let is_due = !self.is_logged && now.saturating_duration_since(self.named_at) >= OVERDUE_AFTER;
        self.is_logged |= is_due;
        is_due.then_some(self.number)
    }
}
