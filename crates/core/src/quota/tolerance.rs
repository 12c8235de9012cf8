//! Tolerance of the customers' limits.

use std::time::Duration;

/// Tolerance of the customers' limits: in every window, a customer with the rate r and the burst b may run
/// (r x window + b) x (1 + overage) + slack calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTolerance {
    /// Length of the window.
    pub window: Duration,
    /// Share of the limit by which it may be exceeded.
    pub overage: f64,
    /// Number of calls by which it may be exceeded in addition.
    pub slack: f64,
}

impl Default for QuotaTolerance {
    fn default() -> Self {
        Self { window: Duration::from_secs(5), overage: 0.1, slack: 20.0 }
    }
}
