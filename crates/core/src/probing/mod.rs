//! Choice of a server at an entry of a fleet, by probing when a call arrives.
//!
//! [`Balancer`] replaces the dispatcher in a fleet, with the same events and actions. Entries share no state but
//! the requests that crash servers, and pass calls on to each other if they lose the path to the servers.
//! An entry knows a server by its last load report and by its own calls since then. Therefore it probes a few
//! promising servers before it sends a call, and chooses the one with the lowest expected cost.

mod active;
mod attempt_end;
mod balancer;
mod baseline;
mod cost;
mod credit;
mod credit_queue;
mod ejection;
mod entry_count;
mod fleet_position;
mod headroom;
mod hedge_counts;
mod hedging;
mod hedging_calls;
mod load_sample;
mod options;
mod path_monitor;
mod probe_round;
mod queue;
mod relaying;
mod relays;
mod running_probe;
mod selection;
mod sending;
mod server;
mod server_limit;
mod servers;
mod service;
mod stage;
mod suspects;
mod waiting;
mod warm_up;
mod warm_up_report;
mod work_estimate;

pub use {
    balancer::Balancer,
    hedge_counts::HedgeCounts,
    hedging::{HedgeCase, HedgeRefusal, Hedging},
    options::BalancerOptions,
    warm_up_report::{ColdServer, WarmUpReport},
};

use {
    active::ActiveCall,
    baseline::Baseline,
    cost::Cost,
    credit_queue::CreditQueue,
    ejection::Ejection,
    entry_count::EntryCount,
    fleet_position::FleetPosition,
    load_sample::LoadSample,
    path_monitor::PathMonitor,
    queue::Queue,
    relays::Relays,
    running_probe::RunningProbe,
    server::Server,
    server_limit::ServerLimit,
    servers::Servers,
    service::ServiceState,
    stage::{HedgeTimer, RunningAttempt, Stage},
    warm_up::{WarmUp, WarmUpRule},
    work_estimate::WorkEstimate,
};
