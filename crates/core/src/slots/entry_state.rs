//! State of one entry at a coordinator.

use {
    super::{CustomerDemand, CustomerShare, NEED_LIFETIME, NameHash},
    crate::collections::FastMap,
    std::time::Instant,
};

/// Permits of one server that an entry may hold.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Allocation {
    /// Number of permits that the entry is to hold.
    pub(super) target: u32,
    /// Maximum number of permits that the entry may hold until it confirms the target.
    pub(super) upper_bound: u32,
    /// Number of added permits that the entry has not confirmed.
    pub(super) unconfirmed: u32,
}

/// State of one entry of a service at its coordinator.
#[derive(Clone, Debug, Default)]
pub(super) struct EntryState {
    pub(super) allocations: FastMap<NameHash, Allocation>,
    /// Number of the entry's full report on which the allocations are based.
    pub(super) full_report: u32,
    /// Reports up to this full report are ignored, because the allocations that they refer to were discarded.
    pub(super) stale_report: Option<u32>,
    /// Whether all holdings of the entry are known.
    pub(super) is_complete: bool,
    /// Whether the entry must be notified that its permits are adopted.
    pub(super) is_adoption_due: bool,
    /// Whether the entry must be asked for a full report.
    pub(super) is_resync_due: bool,
    pub(super) need: u32,
    pub(super) need_at: Option<Instant>,
    pub(super) in_flight: u32,
    pub(super) demand: Vec<CustomerDemand>,
    /// Time of the last report with demand by customer.
    pub(super) demand_at: Option<Instant>,
    /// Sum of the targets of all servers.
    pub(super) target: u32,
    /// Sum of the unconfirmed permits of all servers.
    pub(super) unconfirmed: u32,
    /// Number of idle permits to recall.
    pub(super) recall: u32,
    pub(super) recalled_at: Option<Instant>,
    pub(super) shares: Vec<CustomerShare>,
    /// Whether the entry must be notified that permits are divided by customer.
    pub(super) is_overload_notice_due: bool,
    /// Time and result of the last computation of the entry's fair share under overload.
    pub(super) fair_share: Option<(Instant, f64)>,
    /// Servers for which the entry refuses permits, with the end of the refusal.
    pub(super) refused: FastMap<NameHash, Instant>,
    pub(super) resync_at: Option<Instant>,
    /// Time of the last grant that added a permit.
    pub(super) granted_at: Option<Instant>,
}

impl EntryState {
    /// Returns the number of permits that the entry needs beyond those already granted but unconfirmed.
    pub(super) fn unmet_need(&self, now: Instant) -> u32 {
        let is_current = self.need_at.is_some_and(|at| now < at + NEED_LIFETIME);
        if self.is_complete && is_current { self.need.saturating_sub(self.unconfirmed) } else { 0 }
    }

    /// Returns the number of reclaimed permits that the entry may still be using.
    pub(super) fn pending_release(&self) -> u32 {
        self.allocations.values().map(|allocation| allocation.upper_bound - allocation.target).sum()
    }

    /// Returns the number of permits that were unused in the last report.
    pub(super) fn idle_permits(&self) -> u32 {
        self.target.saturating_sub(self.in_flight + self.need)
    }

    /// Returns the estimated number of waiting calls and calls in flight.
    pub(super) fn load(&self) -> u32 {
        // An entry reports when its number of calls changes; until then, its permits are assumed to be in use.
        self.need + if self.need > 0 { self.target.max(self.in_flight) } else { self.target }
    }

    /// Returns whether the entry currently refuses permits for a server.
    pub(super) fn refuses(&self, now: Instant, server: NameHash) -> bool {
        self.refused.get(&server).is_some_and(|until| now < *until)
    }

    /// Returns the number of permits that the entry is entitled to: its fair share under overload, otherwise its load.
    /// A long queue at one entry must not attract all free permits.
    pub(super) fn entitlement(&self, now: Instant) -> f64 {
        match self.fair_share {
            Some((at, fair_share)) if now < at + NEED_LIFETIME => fair_share.max(1.0),
            _ => f64::from(self.load().max(1)),
        }
    }

    /// Discards the holdings of the entry, which must send a full report.
    pub(super) fn reset(&mut self) {
        *self = Self { full_report: self.full_report, stale_report: Some(self.full_report), ..Self::default() };
    }
}
