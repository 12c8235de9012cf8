//! A fleet in virtual time: entries that choose on their own, and servers whose pace changes.

mod call_end;
mod callers;
mod chooser;
mod event;
mod options;
mod outages;
mod server;
mod simulation;
mod tally;
mod workload;

pub use {
    call_end::{CallEnd, Ending},
    chooser::Chooser,
    options::FleetOptions,
    server::{FakeServer, Fault},
    simulation::Fleet,
    tally::Tally,
    workload::Workload,
};
