//! Service-level objectives.

use {
    crate::units::{Share, format_duration, parse_duration},
    derive_more::Display,
    std::time::Duration,
};

/// Service-level objective: the share of calls that must complete within a latency.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{share} in {}", format_duration(*latency))]
pub struct Objective {
    /// Minimum share of good calls.
    pub share: Share,
    /// Latency within which a complete response counts as good.
    pub latency: Duration,
}

impl Objective {
    /// Parses an objective such as `99.9% in 250ms`.
    ///
    /// ```
    /// use {hemlockford_core::config::Objective, std::time::Duration};
    /// let objective = Objective::parse("99.9% in 250ms").unwrap();
    /// assert_eq!(objective.latency, Duration::from_millis(250));
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let (share, latency) = text.split_once(" in ")?;
        Some(Self { share: Share::parse(share.trim())?, latency: parse_duration(latency.trim())? })
    }
}

impl Default for Objective {
    fn default() -> Self {
        Self { share: Share::from_millionths(999_000), latency: Duration::from_millis(250) }
    }
}
