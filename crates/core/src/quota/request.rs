//! Request for credit.

use {
    super::{Acknowledgement, CreditDemand},
    serde::{Deserialize, Serialize},
};

/// Requests credit from the leader; sent by an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditRequest {
    /// Number of the request, which increases and which the answer repeats.
    pub number: u64,
    /// Last answer that the entry received from a leader.
    pub acknowledged: Option<Acknowledgement>,
    /// Number of entries among which the rates were divided according to the last answer, or 0 if there was none lately.
    pub entries: u32,
    /// Customers with traffic or credit at the entry.
    pub customers: Vec<CreditDemand>,
}
