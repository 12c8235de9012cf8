//! Open-loop load on fixed arrival times.
//!
//! Calls start at times that are fixed in advance, whatever the answers do, and latency counts from the
//! intended start. A slow answer therefore delays no other call and hides no waiting.

mod call;
mod call_stats;
mod connection;
mod options;
mod outcome;
mod pacer;
mod run;
mod schedule;
mod summary;
mod verify;
mod worker;

pub use {
    call_stats::CallStats,
    options::{Arrivals, CustomerLoad, LoadOptions, MethodShare},
    outcome::{CallOutcome, FaultKind},
    run::load,
    schedule::{Arrival, Schedule},
    summary::LoadSummary,
};
