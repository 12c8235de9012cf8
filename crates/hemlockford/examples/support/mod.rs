//! What the measuring programs share: groups of processes, their metrics, and tables.
//!
//! The binary must have been built next to the program: `cargo build --release -p hemlockford --bins
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
