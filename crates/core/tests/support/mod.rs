//! Test support: dispatchers driven in virtual time.
// Each test program uses only a part of this module.
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
