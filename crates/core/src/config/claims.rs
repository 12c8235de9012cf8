//! Configuration of claims of idempotency keys.

use std::time::Duration;

const DEFAULT_RETENTION: Duration = Duration::from_secs(15 * 60);

/// Configuration of claims of idempotency keys, section `[claims]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimsConfig {
    /// Time for which the outcome of a claimed request is retained.
    pub retention: Duration,
}

impl Default for ClaimsConfig {
    fn default() -> Self {
        Self { retention: DEFAULT_RETENTION }
    }
}
