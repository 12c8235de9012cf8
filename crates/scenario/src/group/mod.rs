//! Dynamic groups of replicas on a virtual clock: replicas join, fall silent, lose their disks and come back.

mod checks;
mod options;
mod replica;
mod world;

pub use {checks::GroupChecks, options::GroupOptions, replica::GroupReplica, world::Group};
