//! What a coordinator knows of one entry.

use {
    super::{CustomerDemand, CustomerShare, NEED_LIFETIME, NameHash},
    crate::collections::FastMap,
    std::time::Instant,
};

/// Permits of one server that an entry may hold.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Allocation {
    /// Permits that the entry shall hold.
    pub(super) target: u32,
    /// Most permits that the entry may hold until it confirms the target.
    pub(super) upper_bound: u32,
    /// Permits added that the entry has not confirmed.
    pub(super) unconfirmed: u32,
}

/// What a coordinator knows of one entry of a service.
#[derive(Clone, Debug, Default)]
pub(super) struct EntryState {
    pub(super) allocations: FastMap<NameHash, Allocation>,
    /// The entry's report of all holdings under which the allocations stand.
    pub(super) full_report: u32,
    /// Reports up to this one are of no use, as the allocations that they add to are gone.
    pub(super) stale_report: Option<u32>,
    /// Whether all that the entry holds is known.
    pub(super) is_complete: bool,
    /// Whether the entry has to be told that its report is complete.
    pub(super) is_adoption_due: bool,
    /// Whether the entry has to report all it holds anew.
    pub(super) is_resync_due: bool,
    pub(super) need: u32,
    pub(super) need_at: Option<Instant>,
    pub(super) in_flight: u32,
    pub(super) demand: Vec<CustomerDemand>,
    /// Time of the last report that listed customers.
    pub(super) demand_at: Option<Instant>,
    /// Sum of the targets.
    pub(super) target: u32,
    /// Sum of the permits added that are not confirmed.
    pub(super) unconfirmed: u32,
    /// Idle permits to be asked back.
    pub(super) recall: u32,
    pub(super) recalled_at: Option<Instant>,
    pub(super) shares: Vec<CustomerShare>,
    /// Whether the entry has to be told that permits are divided by customer.
    pub(super) is_overload_notice_due: bool,
    /// Part of all slots that was last found for the entry under overload, and when.
    pub(super) fair_share: Option<(Instant, f64)>,
    /// Servers for which the entry wants no permits for now.
    pub(super) refused: FastMap<NameHash, Instant>,
    pub(super) resync_at: Option<Instant>,
    /// Time of the last grant that added a permit.
    pub(super) granted_at: Option<Instant>,
}

impl EntryState {
    /// Permits that the entry waits for and that are not on their way to it.
    pub(super) fn unmet_need(&self, now: Instant) -> u32 {
        let is_current = self.need_at.is_some_and(|at| now < at + NEED_LIFETIME);
        if self.is_complete && is_current { self.need.saturating_sub(self.unconfirmed) } else { 0 }
    }

    /// Permits that were taken back and that the entry may still use.
    pub(super) fn pending_release(&self) -> u32 {
        self.allocations.values().map(|allocation| allocation.upper_bound - allocation.target).sum()
    }

    /// Permits that the entry did not use when it last reported.
    pub(super) fn idle_permits(&self) -> u32 {
        self.target.saturating_sub(self.in_flight + self.need)
    }

    /// Calls that the entry has waiting or in flight.
    pub(super) fn load(&self) -> u32 {
        // An entry reports when it has more calls or fewer; between two reports its permits are in use.
        self.need + if self.need > 0 { self.target.max(self.in_flight) } else { self.target }
    }

    /// Returns whether the entry wants no permits for a server for now.
    pub(super) fn refuses(&self, now: Instant, server: NameHash) -> bool {
        self.refused.get(&server).is_some_and(|until| now < *until)
    }

    /// Permits that are due to the entry: its part under overload, otherwise what it can use. A long queue
    /// at one entry must not draw all free permits there.
    pub(super) fn entitlement(&self, now: Instant) -> f64 {
        match self.fair_share {
            Some((at, fair_share)) if now < at + NEED_LIFETIME => fair_share.max(1.0),
            _ => f64::from(self.load().max(1)),
        }
    }

    /// Forgets what the entry holds, which it has to report anew.
    pub(super) fn reset(&mut self) {
        *self = Self { full_report: self.full_report, stale_report: Some(self.full_report), ..Self::default() };
    }
}
