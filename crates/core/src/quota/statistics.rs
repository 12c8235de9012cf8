//! Numbers of calls that an entry admitted and refused.

/// Numbers of calls of limited customers that an entry admitted and refused since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CreditStatistics {
    /// Calls that took credit.
    pub admitted: u64,
    /// Calls refused because their customer exceeds its rate.
    pub over_limit: u64,
    /// Calls refused because the leader did not lend credit in time.
    pub no_answer: u64,
    /// Calls refused because the entry is cut off from the leader.
    pub cut_off: u64,
}
