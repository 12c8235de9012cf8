//! The pool of credit that a leader lends from.

use {
    crate::{
        ids::ChangeNumber,
        quota::{CreditPool, QuotaLimit, QuotaTolerance},
    },
    std::time::Instant,
};

/// The pool of credit that a leader lends from. It exists only while this replica leads and a customer has a limit.
#[derive(Debug)]
pub(super) struct LeaderCredit {
    tolerance: QuotaTolerance,
    /// Number of the next pool, by which entries tell the pools apart.
    next_session: u32,
    /// Change whose limits are in force.
    change: Option<ChangeNumber>,
    pub(super) pool: Option<CreditPool>,
}

impl LeaderCredit {
    pub(super) fn new(first_session: u32, tolerance: QuotaTolerance) -> Self {
        Self { tolerance, next_session: first_session, change: None, pool: None }
    }

    /// Drops the pool, because this replica does not lead.
    pub(super) fn drop_pool(&mut self) {
        (self.pool, self.change) = (None, None);
    }

    /// Creates a pool if there is none, and applies the limits of the newest change.
    pub(super) fn update(&mut self, now: Instant, change: ChangeNumber, text: &str) {
        if let Some(pool) = &mut self.pool {
            pool.advance(now);
        }
        if self.change == Some(change) {
            return;
        }
        self.change = Some(change);
        // Limits that this version cannot read stay as they are.
        let Some(limits) = QuotaLimit::read(text) else { return };
        if limits.is_empty() {
            self.pool = None;
            return;
        }
        let pool = self.pool.get_or_insert_with(|| {
            self.next_session = self.next_session.wrapping_add(1).max(1);
            CreditPool::new(now, self.next_session, self.tolerance)
        });
        pool.set_limits(now, limits);
    }
}
