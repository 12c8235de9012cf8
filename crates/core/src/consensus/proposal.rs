//! Results of proposals and reads.

use crate::ids::{InstanceId, LogIndex};

/// Result of a proposal or a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalResult {
    /// The command is committed and will not be lost.
    Committed {
        /// Index of its entry.
        index: LogIndex,
    },
    /// The command was rejected because this replica is not the leader.
    NotLeader {
        /// The leader, if known.
        leader: Option<InstanceId>,
    },
    /// The command was rejected because it is larger than [`MAX_COMMAND_BYTES`](super::MAX_COMMAND_BYTES).
    TooLarge,
    /// The command was rejected because too many proposals are uncommitted.
    Busy,
    /// Leadership was lost before the command was committed; it may still be committed.
    Unknown,
}
