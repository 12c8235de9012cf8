//! Support for fuzz tests of decoders that run as ordinary tests: mutates valid inputs with a fixed seed and checks
//! memory use, run time and results. Used as a development dependency only.

mod fuzzer;
mod linear_time;
mod mutator;
mod postcard_decoder;
mod shape;

pub use {
    fuzzer::{Fuzzer, SEED},
    linear_time::check_linear_time,
    mutator::Mutator,
    postcard_decoder::{check_postcard_decoder, valid_encodings},
    shape::shape,
};
