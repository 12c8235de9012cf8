//! Sharing of server slots between entries by permits.
//!
//! For each service one live entry is the coordinator. It hands out permits, each for one slot of one
//! server, and never has more outstanding for a server than the server has slots. All permits that an entry
//! has from one coordinator share one lease. The entry counts it from when it sent the message that the
//! coordinator acknowledged, the coordinator from when that message arrived, so it ends at the entry first.

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

/// Time for which permits may be used without an answer from the coordinator.
pub const LEASE_DURATION: Duration = Duration::from_secs(1);
/// Time after which a lease is renewed; two renewals may be lost before it ends.
pub const RENEW_AFTER: Duration = Duration::from_millis(300);
/// Time for which a new coordinator waits for the reports of live entries, and for which an entry waits for
/// a coordinator before it goes on with its own share.
pub const COLLECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Permits that one message lists each way. With the other limits a message stays under 1,200 bytes, so
/// that its datagram is not fragmented.
pub const MAX_RECORDS: usize = 12;
/// Services that one message lists each way without permits.
pub const MAX_SERVICES: usize = 4;
/// Customers that one message lists each way.
pub const MAX_CUSTOMERS: usize = 10;

/// Least time between two messages to one peer.
const MIN_MESSAGE_INTERVAL: Duration = Duration::from_millis(1);
/// Time within which a record is acknowledged when there is nothing else to say.
const ACK_DELAY: Duration = Duration::from_millis(5);
/// Time after which records without acknowledgement are sent again.
const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(20);
/// The same for a peer that has been silent for a lease, so that one that is gone costs little until the
/// list of live entries says so.
const SILENT_RETRANSMIT_INTERVAL: Duration = Duration::from_millis(100);
/// Messages whose time of sending is remembered for the lease; far more than are sent within a round trip.
const MAX_SENT_TIMES: usize = 256;
/// Time for which a coordinator believes a reported need. It is longer than the time between two reports
/// of an entry whose calls go on waiting.
const NEED_LIFETIME: Duration = Duration::from_millis(60);
/// Customer that stands for all calls of an entry that are not listed by customer.
const UNLISTED: NameHash = 0;
/// Time for which an entry lists its customers after it was told that permits are divided by customer.
const LISTING_DURATION: Duration = Duration::from_millis(300);
