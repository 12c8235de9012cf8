//! Estimate of each server of one service: expected latency, failures, slow start and ejection.
//!
//! An entry keeps one [`Health`] for each service. It is fed with the end of every attempt and answers two
//! questions in constant time: how long a call is expected to take at a server, and whether the server may
//! get calls at all.

mod average;
mod ejection;
mod estimate;
mod monitor;
mod options;
mod standing;

pub use {monitor::Health, options::HealthOptions, standing::Standing};
