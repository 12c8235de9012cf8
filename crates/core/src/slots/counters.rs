//! Counts of what slot sharing does.

/// Counts of what slot sharing does, since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotCounters {
    /// Messages sent to other entries.
    pub sent: u64,
    /// Messages sent that only renewed leases.
    pub renewals: u64,
    /// Messages taken.
    pub received: u64,
    /// Messages dropped as old, overtaken or meant for an earlier process.
    pub dropped: u64,
    /// Times that this instance became the coordinator of a service.
    pub coordinator_starts: u64,
    /// Times that all permits of a silent entry were taken back.
    pub revocations: u64,
    /// Times that a service had to go on without a coordinator.
    pub fallbacks: u64,
}
