//! Model checker: exhaustive search of the states of small consensus groups within given bounds.
//!
//! Every possible next step is tried from every state: which message is delivered, lost or reordered, whose timer
//! fires, and which replica crashes before or after its writes are durable, loses its data folder, starts or transfers
//! leadership. States with equal fingerprints are explored once. docs/notes/consensus.md lists what the bounds exclude.
//!
//! The search is implemented here because the model checker `stateright`, which would suit states that can be cloned
//! and hashed, was not available from the package registry.

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
