//! Test support: dispatchers driven in virtual time.
// Each test program uses its own part of this.
#![allow(dead_code, unused_imports, unreachable_pub)]

mod cluster;
mod entries;
mod probes;
mod server;
mod traffic;

pub use {
    cluster::{Cluster, SERVICE},
    probes::{BudgetUse, Probe},
    server::Server,
    traffic::Traffic,
};
