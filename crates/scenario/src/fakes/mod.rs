//! Fakes of the disk, the network and the clock that surround the state machines.

mod checks;
mod cluster;
mod disk;
mod net;
mod node;
mod state_machine;

pub(crate) use checks::is_body_durable;
pub use {
    checks::{Checks, Violation},
    cluster::{Cluster, ClusterOptions, Step},
    disk::{DiskImage, FakeDisk, LostWrites},
    net::{FakeNet, Tampering},
    node::Node,
    state_machine::FakeStateMachine,
};
