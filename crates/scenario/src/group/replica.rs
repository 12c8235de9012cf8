//! One replica of a group with its settings.

use {
    crate::fakes::Node,
    hemlockford_core::{consensus::Consensus, ids::InstanceId},
};

/// One replica of a group with its settings.
#[derive(Debug)]
pub struct GroupReplica {
    /// The replica with its disk and state machine.
    pub node: Node,
    /// Names of the founders.
    pub seeds: Vec<InstanceId>,
    /// Whether it may take part in forming a group.
    pub may_form_group: bool,
    /// Last entry applied.
    pub applied: u64,
}

impl GroupReplica {
    /// The running state machine.
    pub fn consensus(&self) -> Option<&Consensus> {
        self.node.consensus.as_ref()
    }

    /// Whether a running process is a voter by its own log.
    pub fn is_voter(&self) -> bool {
        self.node.is_admitted()
    }
}
