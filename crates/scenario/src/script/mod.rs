//! The scenario language: `.scn` files that drive the control parts of several instances.
//!
//! One step stands on a line; `#` starts a comment. docs/notes/membership.md lists the steps. The disk is
//! that of `fakes`; every invariant is checked every 50 ms of scenario time.

mod check;
mod events;
mod fault;
mod network;
mod node;
mod run;
mod server;
mod step;
mod world;

pub use {
    check::Checks,
    fault::{Fault, Trigger},
    network::{Kind, Network, Rule, RuleEffect},
    node::{Node, NodeState},
    run::run,
    server::Server,
    step::Step,
    world::{Forge, World, WorldOptions, text},
};
