//! Shared types and the decision logic of hemlockford, without I/O.
//!
//! The logic consists of deterministic state machines that take events and the current time as input and return
//! actions. This crate does not use sockets, clocks, threads, tasks, the environment or a global random number
//! generator, so the same code runs in the process, in scripted scenarios and in the fault matrix.

pub mod admission;
pub mod burn;
pub mod collections;
pub mod config;
pub mod consensus;
pub mod control;
pub mod dispatch;
pub mod errors;
pub mod fleet;
pub mod freshness;
pub mod health;
pub mod ids;
pub mod ledger;
pub mod measure;
pub mod membership;
pub mod outcome;
pub mod probing;
pub mod quarantine;
pub mod quota;
pub mod registry;
pub mod retry;
pub mod slots;
pub mod units;
