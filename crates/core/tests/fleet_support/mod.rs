//! A few replicas, entries and servers over links that lose, duplicate and reorder datagrams, in virtual time.

// Each test file uses a part of it.
#![allow(dead_code)]

mod checks;
mod disk;
mod faults;
mod links;
mod node;
pub mod operator;
mod requests;
mod server;
mod world;

pub use {
    links::Links,
    node::{Entry, ReplicaNode},
    server::Server,
    world::{World, ms, text},
};
