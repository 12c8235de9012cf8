//! Dynamic groups of replicas on a virtual clock: replicas join, become unreachable, lose their disks and return.

mod checks;
mod options;
mod replica;
mod world;

pub use {checks::GroupChecks, options::GroupOptions, replica::GroupReplica, world::Group};
