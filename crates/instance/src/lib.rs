//! The tasks of a running instance and their wiring.
//!
//! Each task owns its sockets and its state and talks to the others by messages: HTTP workers accept
//! callers, the dispatcher's task chooses servers, the control task keeps membership, servers and the
//! text, the storage task writes to the data folder, the report task keeps the service-level burn, and
//! the admin task speaks HTTP with servers, operators and the platform.

mod addresses;
mod admin;
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
