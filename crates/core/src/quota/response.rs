//! Answer to a request for credit.

use {
    super::CreditGrant,
    crate::ids::InstanceId,
    serde::{Deserialize, Serialize},
};

/// Answer to a [`CreditRequest`](super::CreditRequest).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditResponse {
    /// Number of the request.
    pub echo: u64,
    /// The leader, if the sender does not lead and knows it.
    pub leader: Option<InstanceId>,
    /// Session of the sender's pool, which differs between leaders and between their terms; 0 if it does not lead.
    pub session: u32,
    /// Number of entries among which the rates are divided.
    pub entries: u32,
    /// Lent credit.
    pub customers: Vec<CreditGrant>,
}
