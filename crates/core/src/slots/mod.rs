//! Sharing of server slots between entries by means of permits.
//!
//! A slot is the capacity of a server to process one call at a time. An entry is an instance that accepts calls from
//! callers and forwards them to servers. For each service, one live entry is the coordinator. It grants permits, each
//! for one slot of one server, and never has more permits outstanding for a server than the server has slots. All
//! permits that an entry holds from one coordinator share one lease. At the entry the lease starts when it sent the
//! message that the coordinator acknowledged; at the coordinator it starts when that message arrived. The lease
//! therefore always ends at the entry first.

mod allocation;
mod coordinator;
mod counters;
mod entry_state;
mod exchange;
mod holder;
mod link;
mod max_min;
mod message;
mod name_hash;
mod outbox;
mod roles;
mod server_permits;
mod service;
mod slot_pool;
mod state;

pub use {
    counters::SlotCounters,
    max_min::max_min_shares,
    message::{CustomerDemand, CustomerShare, Holding, Permit, SlotGrant, SlotHeader, SlotMessage, SlotReport},
    name_hash::{NameHash, name_hash},
    state::Slots,
};

use {
    coordinator::Coordinator,
    entry_state::{Allocation, EntryState},
    holder::Holder,
    link::{Link, Received},
    outbox::Outbox,
    server_permits::ServerPermits,
    service::ServiceSlots,
    slot_pool::SlotPool,
    std::time::Duration,
};

/// Time for which permits may be used without a reply from the coordinator.
pub const LEASE_DURATION: Duration = Duration::from_secs(1);
/// Age at which a lease is renewed; two renewals may be lost before it expires.
pub const RENEW_AFTER: Duration = Duration::from_millis(300);
/// Time for which a new coordinator waits for the reports of live entries, and for which an entry waits for
/// a coordinator before it falls back to its own share.
pub const COLLECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of permits in the reports and in the grants of one message. Together with the other limits, it keeps
/// messages below 1,200 bytes, so that their datagrams are not fragmented.
pub const MAX_RECORDS: usize = 12;
/// Maximum number of services without permits in the reports and in the grants of one message.
pub const MAX_SERVICES: usize = 4;
/// Maximum number of customers in the reports and in the grants of one message.
pub const MAX_CUSTOMERS: usize = 10;

/// Minimum time between two messages to one peer.
const MIN_MESSAGE_INTERVAL: Duration = Duration::from_millis(1);
/// Time within which a record is acknowledged if there is nothing else to send.
const ACK_DELAY: Duration = Duration::from_millis(5);
/// Time after which unacknowledged records are retransmitted.
const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(20);
/// Retransmission interval for a peer that has been silent for the duration of a lease. It keeps the cost of a failed
/// peer low until the peer is removed from the list of live entries.
const SILENT_RETRANSMIT_INTERVAL: Duration = Duration::from_millis(100);
/// Number of recent messages whose send times are kept for the lease; far more than are sent within a round trip.
const MAX_SENT_TIMES: usize = 256;
/// Time for which a reported need is valid at the coordinator. It is longer than the interval between two reports of an
/// entry whose calls are still waiting.
const NEED_LIFETIME: Duration = Duration::from_millis(60);
/// Placeholder customer for all calls of an entry that are not listed by customer.
const UNLISTED: NameHash = 0;
/// Time for which an entry reports its demand by customer after a notification that permits are divided by customer.
const LISTING_DURATION: Duration = Duration::from_millis(300);
