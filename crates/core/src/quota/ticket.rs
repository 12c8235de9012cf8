//! Credit that a call has taken.

use crate::slots::NameHash;

/// Credit that an admitted call has taken and not spent yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CreditTicket {
    /// Hash of the customer's name.
    pub(super) customer: NameHash,
    /// Number of times that the entry's credit of the customer had expired.
    pub(super) epoch: u32,
}
