//! Demand of an entry for credit of a customer.

use {
    crate::slots::NameHash,
    serde::{Deserialize, Serialize},
};

/// Demand of an entry for credit of one customer. The numbers are absolute, so that a lost request does no harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditDemand {
    /// Hash of the customer's name.
    pub customer: NameHash,
    /// Calls that arrive at the entry, admitted or refused, in tenths of a call per second.
    pub demand: u32,
    /// Calls that wait for credit.
    pub waiting: u32,
    /// Unused credit that the entry holds.
    pub credit: u32,
    /// Admitted calls that have not been sent to a server.
    pub queued: u32,
    /// Credit that the entry gives back with this request.
    pub returned: u32,
}
