//! Open-loop load generator with fixed arrival times.
//!
//! Calls start at predetermined times, independently of earlier answers, and latency is measured from the intended
//! start. A slow answer therefore neither delays other calls nor hides queueing time.

mod call;
mod call_stats;
mod connection;
mod options;
mod outcome;
mod pacer;
mod pipeline;
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
