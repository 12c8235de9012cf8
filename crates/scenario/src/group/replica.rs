//! A replica of a simulated group with its settings.

use {
    crate::fakes::Node,
    hemlockford_core::{consensus::Consensus, ids::InstanceId},
};

/// A replica of a simulated group with its settings.
#[derive(Debug)]
pub struct GroupReplica {
    /// Replica with its disk and state machine.
    pub node: Node,
    /// Seed replicas used to find or form the group.
    pub seeds: Vec<InstanceId>,
    /// Whether it may take part in forming a group.
    pub may_form_group: bool,
    /// Index of the last applied entry.
    pub applied: u64,
}

impl GroupReplica {
    /// Returns the consensus state machine if the process is running.
    pub fn consensus(&self) -> Option<&Consensus> {
        self.node.consensus.as_ref()
    }

    /// Returns whether the process is running and a voter according to its own log.
    pub fn is_voter(&self) -> bool {
        self.node.is_admitted()
    }
}
