//! Counters of slot sharing.

/// Counters of slot sharing since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotCounters {
    /// Messages sent to other instances.
    pub sent: u64,
    /// Messages sent that only renewed leases.
    pub renewals: u64,
    /// Messages accepted.
    pub received: u64,
    /// Messages dropped because they were outdated, out of order or sent to an earlier process.
    pub dropped: u64,
    /// Number of times that this instance became the coordinator of a service.
    pub coordinator_starts: u64,
    /// Number of times that all permits of a silent entry were revoked.
    pub revocations: u64,
    /// Number of times that a service fell back to this entry's own share because no coordinator was reachable.
    pub fallbacks: u64,
}
