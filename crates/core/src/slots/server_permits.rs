//! What an entry may use of one server.

/// What an entry may use of one server and what it uses.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerPermits {
    /// Permits granted by the coordinator.
    pub(super) granted: u32,
    /// Calls in flight.
    pub(super) in_flight: u32,
    /// Slots that the entry may use while no coordinator can be reached.
    pub(super) fallback: u32,
    /// Number of the message that first carried the permits granted.
    pub(super) version: u64,
    /// Whether the server takes new calls.
    pub(super) is_open: bool,
    /// Position in the list of permits with free permits.
    pub(super) position: Option<usize>,
    /// Free permits counted in the holder's total.
    pub(super) counted: u32,
}

impl ServerPermits {
    /// Returns the permits held: what may be used or what is in use, whichever is greater.
    pub(super) fn held(&self) -> u32 {
        self.granted.max(self.in_flight)
    }

    /// Returns whether nothing needs to be remembered of the permits.
    pub(super) fn is_unused(&self) -> bool {
        self.granted == 0 && self.in_flight == 0 && !self.is_open
    }
}
