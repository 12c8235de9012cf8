//! Options of a replica.

use {
    crate::{config::MAX_CONFIG_BYTES, ids::InstanceId},
    std::time::Duration,
};

/// Maximum size of the entries in a message and of a snapshot piece, in bytes. A larger entry is sent in a message of
/// its own.
pub const MAX_PAYLOAD_BYTES: usize = 60 * 1024;
/// Maximum size of a command, in bytes: the largest configuration and the fields around it.
pub const MAX_COMMAND_BYTES: usize = MAX_CONFIG_BYTES + 1024;
/// Maximum size of a message between replicas, in bytes: 4 KB more than the largest command, for the fields around
/// it.
pub const MAX_MESSAGE_BYTES: usize = MAX_COMMAND_BYTES + 4 * 1024;

/// Options of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConsensusOptions {
    /// Name of this replica.
    pub replica: InstanceId,
    /// All replicas of the group, including this one, in the same order on all replicas: 1, 3 or 5. The first one
    /// proposes the formation of a new group.
    pub replicas: Vec<InstanceId>,
    /// Whether membership may change at runtime; `replicas` then contains only the founders.
    pub is_dynamic: bool,
    /// Whether this replica may take part in forming a new group. A stored proposal that it agreed to earlier is
    /// completed regardless of this option.
    pub may_form_group: bool,
    /// Number of voters that a dynamic group maintains.
    pub target_voters: usize,
    /// Shortest election timeout; also the duration of the leader lease.
    pub min_election_timeout: Duration,
    /// Longest election timeout.
    pub max_election_timeout: Duration,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Number of entries after which a new snapshot is taken.
    pub snapshot_interval_entries: usize,
    /// Size of the entries after which a new snapshot is taken, in bytes.
    pub snapshot_interval_bytes: usize,
    /// Maximum number of unacknowledged messages with entries per replica.
    pub max_in_flight_messages: usize,
    /// Maximum size of unacknowledged entries per replica, in bytes. A single message may exceed it.
    pub max_in_flight_bytes: usize,
    /// Maximum number of uncommitted proposals, and of unconfirmed reads.
    pub max_pending_proposals: usize,
    /// Maximum size of uncommitted proposals, in bytes. A single proposal may exceed it.
    pub max_pending_proposal_bytes: usize,
}

impl Default for ConsensusOptions {
    fn default() -> Self {
        Self {
            replica: InstanceId::default(),
            replicas: Vec::new(),
            is_dynamic: false,
            may_form_group: true,
            target_voters: 3,
            min_election_timeout: Duration::from_millis(600),
            max_election_timeout: Duration::from_millis(1_200),
            heartbeat_interval: Duration::from_millis(150),
            snapshot_interval_entries: 256,
            snapshot_interval_bytes: 4 * 1024 * 1024,
            max_in_flight_messages: 8,
            max_in_flight_bytes: 1024 * 1024,
            max_pending_proposals: 1_024,
            max_pending_proposal_bytes: 4 * 1024 * 1024,
        }
    }
}
