//! A replica of a fleet: the replicated log with the ledger, the directory of servers, and the entries that
//! poll it.

mod action;
mod event;
mod options;

pub use {action::ReplicaAction, event::ReplicaEvent, options::ReplicaOptions};
