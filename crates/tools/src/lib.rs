//! Stand-in servers and an open-loop load generator, for experiments and tests.

mod emulate;
mod load;

pub use {
    emulate::{EmulateOptions, emulate},
    load::{LoadOptions, LoadSummary, load},
};
