//! Link of an entry to the replicas: finds a current replica, polls it, and installs its configuration and servers.

mod action;
mod configure;
mod credit;
mod credit_route;
mod event;
mod known_replicas;
mod machine;
mod missing_change;
mod options;
mod received_config;
mod relays;
mod search;
mod sent_polls;
mod server_set;
mod statements;
mod suspects;

use {
    credit_route::CreditRoute,
    known_replicas::KnownReplicas,
    missing_change::MissingChange,
    received_config::{ReceivedConfig, UpdateResult, is_long},
    search::ReplicaSearch,
    sent_polls::SentPolls,
    server_set::ServerSet,
    statements::Statements,
};

pub use {action::EntryAction, event::EntryEvent, machine::EntryLink, options::EntryOptions};
