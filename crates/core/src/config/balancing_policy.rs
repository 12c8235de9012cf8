//! Load-balancing policies.

use derive_more::Display;

/// Load-balancing policy: how an entry selects the server of a call.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum BalancingPolicy {
    /// Server slots are shared between entries by permits.
    #[default]
    #[display("permits")]
    Permits,
    /// Any ready server, at random.
    #[display("random")]
    Random,
    /// Ready servers in turn.
    #[display("round-robin")]
    RoundRobin,
    /// The ready server with the fewest calls in flight from this entry.
    #[display("least-in-flight")]
    LeastInFlight,
}

impl BalancingPolicy {
    /// All policies, in the order of the documentation.
    pub const ALL: [Self; 4] = [Self::Permits, Self::Random, Self::RoundRobin, Self::LeastInFlight];

    /// Parses the name of a policy in the configuration.
    ///
    /// ```
    /// use hemlockford_core::config::BalancingPolicy;
    /// assert_eq!(BalancingPolicy::parse("random"), Some(BalancingPolicy::Random));
    /// ```
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|policy| policy.to_string() == name)
    }
}
