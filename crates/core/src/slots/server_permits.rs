//! Permits of an entry for one server.

/// Permits of an entry for one server, and their use.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerPermits {
    /// Number of permits granted by the coordinator.
    pub(super) granted: u32,
    /// Number of calls in flight.
    pub(super) in_flight: u32,
    /// Number of slots that the entry may use while no coordinator is reachable.
    pub(super) fallback: u32,
    /// Sequence number of the message that first carried the granted permits.
    pub(super) version: u64,
    /// Whether the server is open for new calls.
    pub(super) is_open: bool,
    /// Position in the holder's list of servers with free permits.
    pub(super) position: Option<usize>,
    /// Number of free permits included in the holder's total.
    pub(super) counted: u32,
}

impl ServerPermits {
    /// Returns the number of permits held: the greater of those granted and those in use.
    pub(super) fn held(&self) -> u32 {
        self.granted.max(self.in_flight)
    }

    /// Returns whether there is no state to keep for the server.
    pub(super) fn is_unused(&self) -> bool {
        self.granted == 0 && self.in_flight == 0 && !self.is_open
    }
}
