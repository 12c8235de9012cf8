//! Health of the servers of one service: expected latency, failures, slow start and ejection.
//!
//! An entry keeps one [`HealthMonitor`] per service, which is informed of the end of every attempt. It
//! answers two questions in constant time: how long a call to a server is expected to take, and whether the
//! server may get calls at all.

mod decaying_average;
mod ejection;
mod eligibility;
mod estimate;
mod monitor;
mod options;

pub use {eligibility::Eligibility, monitor::HealthMonitor, options::HealthOptions};
