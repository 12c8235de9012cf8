//! Fuzzing of decoders in plain tests: mutated inputs from a fixed seed, and checks of what a decoder does with
//! them. Test support; no other crate depends on it outside its tests.

mod fuzz;
mod growth;
mod mutator;
mod postcards;

pub use {
    fuzz::{Fuzz, SEED},
    growth::check_growth,
    mutator::Mutator,
    postcards::{check_postcard, postcards},
};
