//! Shared types and every decision of hemlockford, without I/O.
//!
//! Each decision is a plain state machine: typed events and a time go in, typed actions come out.
//! No socket, clock, thread, task, environment access or global random source is used here, so the
//! same code runs in the process, in the scripted scenarios and in the fault matrix.

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
pub mod registry;
pub mod retry;
pub mod slots;
pub mod units;
