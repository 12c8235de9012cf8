//! Bounds for one call that is to wait.

/// Bounds for one call that is to wait.
#[derive(Clone, Copy, Debug)]
pub struct QueueLimits {
    /// Weight of the customer.
    pub weight: f64,
    /// Calls of the customer that may wait.
    pub limit: usize,
    /// Calls that the entry can have in flight for the service; 0 if that is not known.
    pub slots: u32,
}
