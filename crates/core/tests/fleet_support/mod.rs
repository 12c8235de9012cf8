//! Simulation of replicas, entries and servers in virtual time, over links that lose, duplicate and reorder datagrams.

// No test file uses everything.
#![allow(dead_code)]

mod checks;
mod disk;
mod faults;
mod links;
mod node;
pub mod operator;
mod requests;
mod server;
mod streams;
pub mod texts;
mod world;

pub use {
    links::Links,
    node::{Entry, ReplicaNode},
    server::Server,
    streams::Streams,
    texts::text,
    world::{World, ms},
};
