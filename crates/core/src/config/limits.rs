//! Bounds on what callers may send.

use std::time::Duration;

/// Bounds on what callers may send, section `[limits]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub header_bytes: u64,
    /// Largest body of a request, in bytes.
    pub body_bytes: u64,
    /// Time within which the head of a request must arrive.
    pub header_timeout: Duration,
    /// Time for which an idle connection of a caller is kept.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 64 * 1024,
            body_bytes: u64::MAX,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
        }
    }
}
