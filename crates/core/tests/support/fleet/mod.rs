//! A fleet in virtual time: entries that choose on their own, and servers whose pace changes.

mod call_result;
mod call_stats;
mod callers;
mod entry_balancer;
mod event;
mod options;
mod outages;
mod server;
mod simulation;
mod workload;

pub use {
    call_result::{CallResult, ResultKind},
    call_stats::CallStats,
    entry_balancer::EntryBalancer,
    options::FleetOptions,
    server::{Fault, SimulatedServer},
    simulation::Fleet,
    workload::Workload,
};
