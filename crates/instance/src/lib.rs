//! The tasks of a running instance and the channels between them.
//!
//! Each task owns its sockets and its state and exchanges messages with the others: HTTP workers accept callers, the
//! dispatcher task chooses servers, the control task maintains membership, servers and the configuration, the storage
//! task writes to the data folder, the report task counts the error budget burn, and the admin task serves HTTP to
//! servers, operators and the platform.

mod addresses;
mod admin;
mod admin_connection;
mod answer_gate;
mod client_stream;
mod clock;
mod control;
mod counters;
mod dispatcher;
mod durable_state;
mod fleet;
mod http;
mod instance;
mod instance_message;
mod measure_metrics;
mod panic_guard;
mod peers;
mod pending_decisions;
mod prober;
mod quota_metrics;
mod report;
mod settings;
mod sockets;
mod storage;

pub use {
    addresses::Addresses,
    fleet::{AdminReply, AdminRequest, FleetEntry, FleetReplica, PlatformInterface},
    instance::Instance,
    settings::{FleetRole, FleetSettings, Peer, Settings},
};
