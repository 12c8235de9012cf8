//! Replica of a fleet: the replicated log with the ledger, the directory of servers, and the entries that poll it.

mod action;
mod arrival;
mod capabilities;
mod credit;
mod entry_updates;
mod evacuations;
mod event;
mod exchange;
mod leader_contact;
mod leader_credit;
mod log_driver;
mod machine;
mod operations;
mod options;
mod peers;
mod pending_departures;
mod pending_requests;
mod persistence;
mod recent_configs;
mod recent_departures;
mod relays;
mod request_handling;
mod subscribers;
mod suspects;

use {
    capabilities::Capabilities,
    leader_contact::LeaderContact,
    leader_credit::LeaderCredit,
    operations::{Operation, Operations, Origin},
    peers::Peers,
    pending_departures::PendingDeparture,
    pending_requests::PendingRequests,
    recent_configs::RecentConfigs,
    recent_departures::RecentDepartures,
    relays::Relays,
    subscribers::Subscribers,
};

pub use {action::ReplicaAction, arrival::Arrival, event::ReplicaEvent, machine::Replica, options::ReplicaOptions};

/// Maximum number of replicas reported to an entry.
const MAX_REPLICA_NAMES: usize = 8;
