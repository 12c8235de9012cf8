//! Fault matrix of the replicated log: injects every fault at every step of every exchange.

mod cell;
mod exchange;
mod fault;
mod generate;

pub use {
    cell::{Cell, CellResult, Defect},
    exchange::Exchange,
    fault::Fault,
    generate::{Summary, count_steps, random_faults, run, single_faults},
};
