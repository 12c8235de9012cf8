//! Limits for the admission of one call to a queue.

/// Limits for the admission of one call to a queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueLimits {
    /// Weight of the customer.
    pub weight: f64,
    /// Calls of the customer that may wait.
    pub max_calls: usize,
    /// Calls of the service that this entry may have in flight; 0 if unknown.
    pub slots: u32,
}
