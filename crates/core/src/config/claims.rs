//! How long claims of idempotency keys are kept.

use std::time::Duration;

const DEFAULT_RETENTION: Duration = Duration::from_secs(15 * 60);

/// Settings of claims, section `[claims]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimsConfig {
    /// Time for which the outcome of a claimed request is kept.
    pub retention: Duration,
}

impl Default for ClaimsConfig {
    fn default() -> Self {
        Self { retention: DEFAULT_RETENTION }
    }
}
