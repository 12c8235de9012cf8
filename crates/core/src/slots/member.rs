//! What a coordinator knows of one entry.

use {
    super::{CustomerDemand, CustomerShare, NEED_LIFETIME, NameHash},
    crate::collections::FastMap,
    std::time::Instant,
};

/// Permits of one server that an entry may hold.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Allotment {
    /// Permits that the entry shall hold.
    pub(super) target: u32,
    /// Most permits that the entry may hold until it confirms the target.
    pub(super) bound: u32,
    /// Permits added that the entry has not confirmed.
    pub(super) raised: u32,
}

/// What a coordinator knows of one entry of a service.
#[derive(Clone, Debug, Default)]
pub(super) struct Member {
    pub(super) allotments: FastMap<NameHash, Allotment>,
    /// The entry's report of all holdings under which the allotments stand.
    pub(super) attach: u32,
    /// Reports up to this one are of no use, as the allotments that they add to are gone.
    pub(super) stale: Option<u32>,
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
    pub(super) listed_at: Option<Instant>,
    /// Sum of the targets.
    pub(super) target: u32,
    /// Sum of the permits added that are not confirmed.
    pub(super) raised: u32,
    /// Idle permits to be asked back.
    pub(super) recall: u32,
    pub(super) recalled_at: Option<Instant>,
    pub(super) shares: Vec<CustomerShare>,
    /// Whether the entry has to be told that permits are divided by customer.
    pub(super) is_listing_due: bool,
    /// Part of all slots that was last found for the entry under overload, and when.
    pub(super) part: Option<(Instant, f64)>,
    /// Servers for which the entry wants no permits for now.
    pub(super) refused: FastMap<NameHash, Instant>,
    pub(super) resync_at: Option<Instant>,
    /// Time of the last grant that added a permit.
    pub(super) granted_at: Option<Instant>,
}

impl Member {
    /// Permits that the entry waits for and that are not on their way to it.
    pub(super) fn unmet(&self, now: Instant) -> u32 {
        let is_current = self.need_at.is_some_and(|at| now < at + NEED_LIFETIME);
        if self.is_complete && is_current { self.need.saturating_sub(self.raised) } else { 0 }
    }

    /// Permits that were taken back and that the entry may still use.
    pub(super) fn leaving(&self) -> u32 {
        self.allotments.values().map(|allotment| allotment.bound - allotment.target).sum()
    }

    /// Permits that the entry did not use when it last reported.
    pub(super) fn idle(&self) -> u32 {
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
    pub(super) fn due(&self, now: Instant) -> f64 {
        match self.part {
            Some((at, part)) if now < at + NEED_LIFETIME => part.max(1.0),
            _ => f64::from(self.load().max(1)),
        }
    }

    /// Forgets what the entry holds, which it has to report anew.
    pub(super) fn reset(&mut self) {
        *self = Self { attach: self.attach, stale: Some(self.attach), ..Self::default() };
    }
}
