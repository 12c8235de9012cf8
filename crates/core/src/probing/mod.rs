//! Choice of a server in a fleet, by probing on arrival.
//!
//! [`Balancer`] takes the place of the dispatcher there, with the same events and actions. It shares nothing
//! with other entries. What it knows of a server is the last report and its own calls since, so a call is
//! sent only after a few promising servers were probed, and the expected cost of each decides.

mod active;
mod asking;
mod balancer;
mod cost;
mod deciding;
mod ejection;
mod entry_count;
mod finishing;
mod options;
mod probe;
mod queue;
mod queueing;
mod reported;
mod sending;
mod server;
mod servers;
mod service;
mod stage;
mod usual;

pub use {balancer::Balancer, options::BalancerOptions};

use {
    active::ActiveCall, cost::Cost, ejection::Ejection, entry_count::EntryCount, probe::RunningProbe, queue::Queue,
    reported::Reported, server::Server, servers::Servers, service::ServiceState, stage::Stage, usual::Usual,
};
