//! Fault matrix: every fault at every step of every exchange of the replicated log.

mod cell;
mod exchange;
mod fault;
mod generate;

pub use {
    cell::{Cell, CellResult, Sabotage},
    exchange::Exchange,
    fault::Fault,
    generate::{Summary, groups, run, singles, steps},
};
