//! Tests of the binary as processes on loopback, with ports that the operating system chooses.

mod commands;
mod faults;
mod logging;
mod measuring;
mod path;
#[allow(dead_code)]
mod process;
mod relay;
mod system;
