//! Estimate of each server of one service: expected latency, failure_sum, slow start and ejection.
//!
//! An entry keeps one [`HealthMonitor`] for each service. It is fed with the end of every attempt and answers two
//! questions in constant time: how long a call is expected to take at a server, and whether the server may
//! get calls at all.

mod decaying_average;
mod ejection;
mod eligibility;
mod estimate;
mod monitor;
mod options;

pub use {eligibility::Eligibility, monitor::HealthMonitor, options::HealthOptions};
