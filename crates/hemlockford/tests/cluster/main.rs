//! Tests of several instances as processes on loopback, with killed and frozen processes, cut links and lost data
//! folders.

#[path = "../processes/process.rs"]
#[allow(dead_code)]
mod process;
#[path = "../processes/system.rs"]
#[allow(dead_code)]
mod system;

mod changes;
mod claims;
mod cluster;
mod member;
mod peer_relay;
mod replicas;
mod serving;
