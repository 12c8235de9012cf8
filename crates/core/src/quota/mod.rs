//! Limits on the rates of customers over all entries of a fleet.
//!
//! The leader of the replicas keeps a [`CreditPool`], which fills at the customers' rates and lends credit to entries.
//! Each entry keeps a [`CreditHolder`], which admits calls with that credit. Every entry stands for an equal part of
//! the rates and of their tolerance. Either the leader uses that part while the entry is connected to it, or the entry
//! itself while it is cut off from any leader, but never both. See docs/design/quotas.md.

mod acknowledgement;
mod admission;
mod credit_demand;
mod credit_grant;
mod demand;
mod held_credit;
mod holder;
mod limit;
mod own_part;
mod pool;
mod pool_customer;
mod pool_entry;
mod refusals;
mod request;
mod response;
mod session;
mod statistics;
mod ticket;
mod tolerance;

use {
    demand::Demand, held_credit::HeldCredit, own_part::OwnPart, pool_customer::PoolCustomer, pool_entry::PoolEntry,
    refusals::Refusals, session::Session,
};

pub use {
    acknowledgement::Acknowledgement,
    admission::{Admission, RefusalCause},
    credit_demand::CreditDemand,
    credit_grant::CreditGrant,
    holder::{CreditHolder, HolderAction},
    limit::QuotaLimit,
    pool::CreditPool,
    request::CreditRequest,
    response::CreditResponse,
    statistics::CreditStatistics,
    ticket::CreditTicket,
    tolerance::QuotaTolerance,
};

use std::time::Duration;

/// Maximum number of customers in one message. A message of this size fits in a datagram of 1,232 bytes.
pub const MAX_LISTED_CUSTOMERS: usize = 80;

/// Time for which lent credit may be used, counted from the sending of the request that was answered.
const LEASE: Duration = Duration::from_millis(1_000);
/// Time after the sending of a request after which its answer is ignored.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time since the sending of the last answered request after which an entry is cut off. The leader has stopped
/// counting it as connected before: the answer arrived within [`ANSWER_TIMEOUT`], and the leader counts the entry for
/// less than the difference of the two times after it received the request.
const CUT_OFF_AFTER: Duration = Duration::from_millis(1_250);
/// Time since the sending of the last answered request after which an entry no longer uses its own part. The leader
/// keeps that part free for as long. Later it cannot tell a cut-off entry from one that has ended.
const OWN_PART_UNTIL: Duration = Duration::from_secs(10);
