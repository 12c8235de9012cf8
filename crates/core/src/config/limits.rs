//! Limits for requests and connections of callers.

use std::time::Duration;

/// Limits for requests and connections of callers, section `[limits]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub header_bytes: u64,
    /// Maximum size of a request body in bytes.
    pub body_bytes: u64,
    /// Time within which a request head must arrive.
    pub header_timeout: Duration,
    /// Time after which an idle connection of a caller is closed.
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
