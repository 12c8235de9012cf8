//! The tasks of an instance of a fleet: an entry or a control replica.
//!
//! All tasks of a process run on one thread, because the machines have less than one processor core. A replica has an
//! additional thread for fsync.

mod admin;
mod balancer_report;
mod balancer_task;
mod drop_log;
mod entry;
mod entry_task;
mod event_times;
mod interface;
mod network;
mod path_check;
mod replica;
mod replica_status;
mod replica_task;
mod translator;

pub use {
    entry::FleetEntry,
    interface::{AdminReply, AdminRequest, PlatformInterface},
    replica::FleetReplica,
};
