//! Credit that the leader lends.

use {
    crate::slots::NameHash,
    serde::{Deserialize, Serialize},
};

/// Credit of one customer that the leader lends to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditGrant {
    /// Hash of the customer's name.
    pub customer: NameHash,
    /// Credit that is lent in addition to what the entry holds.
    pub lent: u32,
    /// Credit that the entry may hold, including the calls that it has admitted and not sent. It gives back what it
    /// holds beyond that.
    pub target: u32,
    /// Whether the customer exceeds its rate, so that calls beyond the credit are to be refused at once.
    pub is_exceeded: bool,
}
