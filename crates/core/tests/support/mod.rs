//! Test support: dispatchers driven in virtual time.
#![allow(dead_code, unreachable_pub)]

mod cluster;
mod server;
mod traffic;

pub use {cluster::Cluster, server::Server, traffic::Traffic};
