//! Small stand-ins for the disk, the network and the clock around the state machines.

mod checks;
mod cluster;
mod disk;
mod machine;
mod net;
mod node;

pub(crate) use checks::is_body_durable;
pub use {
    checks::{Checks, Violation},
    cluster::{Cluster, ClusterOptions, Step},
    disk::{FakeDisk, Image, Lie},
    machine::FakeMachine,
    net::{FakeNet, Forgery},
    node::Node,
};
