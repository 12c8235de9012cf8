//! A fleet in virtual time: entries that choose on their own, and servers whose pace changes.

mod chooser;
mod event;
mod options;
mod server;
mod simulation;
mod tally;
mod workload;

pub use {
    chooser::Chooser,
    options::FleetOptions,
    server::{FakeServer, Fault},
    simulation::Fleet,
    tally::Tally,
    workload::Workload,
};
