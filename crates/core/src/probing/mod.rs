//! Choice of a server in a fleet, by probing on arrival.
//!
//! [`Balancer`] takes the place of the dispatcher there, with the same events and actions. It shares nothing
//! with other entries. What it knows of a server is the last report and its own calls since, so a call is
//! sent only after a few promising servers were probed, and the expected cost of each decides.

mod active;
mod attempt_end;
mod balancer;
mod baseline;
mod cost;
mod ejection;
mod entry_count;
mod load_sample;
mod options;
mod probe_round;
mod queue;
mod running_probe;
mod selection;
mod sending;
mod server;
mod servers;
mod service;
mod stage;
mod waiting;

pub use {balancer::Balancer, options::BalancerOptions};

use {
    active::ActiveCall, baseline::Baseline, cost::Cost, ejection::Ejection, entry_count::EntryCount,
    load_sample::LoadSample, queue::Queue, running_probe::RunningProbe, server::Server, servers::Servers,
    service::ServiceState, stage::Stage,
};
