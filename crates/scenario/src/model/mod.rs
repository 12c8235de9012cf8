//! Exhaustive search over small groups of replicas within stated bounds.
//!
//! Every choice of the next step is tried from every state: which message arrives, is lost or overtakes others, whose
//! timer fires, who crashes before or after its writes are durable, loses its folder, starts or hands over. States
//! with equal fingerprints are explored once. What the bounds leave out is listed in docs/notes/consensus.md.
//!
//! The search is part of this crate because the model checker `stateright`, which suits states that can be cloned and
//! hashed, was not available from the package registry.

mod actions;
mod bounds;
mod choice;
mod describe;
mod history;
mod options;
mod progress;
mod replica;
mod report;
mod search;
mod start;
mod steps;
mod world;

pub use {
    bounds::Bounds,
    choice::{Choice, Event, WriteOutcome},
    history::History,
    options::{Defect, ModelOptions, Seeds, Start},
    replica::ModelReplica,
    report::Report,
    search::search,
    world::World,
};
