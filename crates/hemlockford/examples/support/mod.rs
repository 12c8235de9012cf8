//! Code that the measurement programs share: groups of instance processes, their metrics, and result tables.
//!
//! The binary must have been built with the same profile as the program: `cargo build --release -p hemlockford --bins
//! --examples`.

#![allow(dead_code)]

#[path = "../../tests/processes/process.rs"]
pub mod process;
#[path = "../../tests/processes/system.rs"]
pub mod system;

pub mod group;
pub mod http;
pub mod machine;
pub mod metrics;
pub mod table;
