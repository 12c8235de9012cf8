//! Settings of a replica.

use {
    crate::{config::MAX_CONFIG_BYTES, ids::InstanceId},
    std::time::Duration,
};

/// Bytes of entries that are sent in one message, and of a piece of a snapshot. A longer entry has a message of
/// its own.
pub const MAX_PAYLOAD_BYTES: usize = 60 * 1024;
/// Longest command: the longest operators' text with the fields around it.
pub const MAX_COMMAND_BYTES: usize = MAX_CONFIG_BYTES + 1024;
/// Longest message between replicas, in bytes: leaves 4 KB for the fields around the longest command.
pub const MAX_MESSAGE_BYTES: usize = MAX_COMMAND_BYTES + 4 * 1024;

/// Settings of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConsensusOptions {
    /// This replica.
    pub replica: InstanceId,
    /// All replicas of the group, this one included, in the same order everywhere: 1, 3 or 5. The first
    /// one proposes the formation of a new group.
    pub replicas: Vec<InstanceId>,
    /// Whether replicas may join and leave while the group runs; `replicas` then names the founders only.
    pub is_dynamic: bool,
    /// Whether this replica may take part in forming a new group. A proposal that the folder holds already was
    /// agreed to when it might, and is completed.
    pub may_form_group: bool,
    /// Voters that a dynamic group aims at.
    pub target_voters: usize,
    /// Shortest election timeout; also the time for which a leader that a majority has answered may
    /// act without another answer.
    pub min_election_timeout: Duration,
    /// Longest election timeout.
    pub max_election_timeout: Duration,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Entries after the last snapshot that cause a new one.
    pub snapshot_interval_entries: usize,
    /// Bytes of entries after the last snapshot that cause a new one.
    pub snapshot_interval_bytes: usize,
    /// Messages with entries that may be on the way to one replica.
    pub max_in_flight_messages: usize,
    /// Bytes of entries that may be on the way to one replica. One message may be on the way whatever its size.
    pub max_in_flight_bytes: usize,
    /// Proposals that may wait to be committed, and reads that may wait to be confirmed.
    pub max_pending_proposals: usize,
    /// Bytes of the proposals that may wait to be committed. One proposal may wait whatever its size.
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
