//! Simulation of a fleet in virtual time: entries that make their own choices, and servers with varying
//! speed.

mod call_result;
mod call_stats;
mod callers;
mod cold_period;
mod cut;
mod entry_balancer;
mod event;
mod named_limit;
mod options;
mod outages;
mod relay;
mod server;
mod serving;
mod simulation;
mod workload;

pub use {
    call_result::{CallResult, ResultKind},
    call_stats::CallStats,
    cold_period::ColdPeriod,
    cut::Cut,
    entry_balancer::EntryBalancer,
    named_limit::NamedLimit,
    options::FleetOptions,
    server::{Fault, SimulatedServer},
    simulation::Fleet,
    workload::Workload,
};
