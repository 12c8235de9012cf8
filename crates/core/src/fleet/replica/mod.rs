//! A replica of a fleet: the replicated log with the ledger, the directory of servers, and the entries that
//! poll it.

mod action;
mod confirming;
mod contact;
mod event;
mod exchange;
mod jobs;
mod leading;
mod log_driver;
mod machine;
mod options;
mod peers;
mod recent;
mod requests;
mod saving;
mod subscribers;
mod sync;

use {
    confirming::Confirming,
    contact::Contact,
    jobs::{Job, Jobs, Origin},
    peers::Peers,
    recent::Recent,
    requests::Requests,
    subscribers::Subscribers,
};

pub use {action::ReplicaAction, event::ReplicaEvent, machine::Replica, options::ReplicaOptions};

/// Most replicas that an entry is told of.
const MAX_NAMES: usize = 8;
