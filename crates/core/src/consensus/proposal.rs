//! What became of a proposal.

use crate::ids::{InstanceId, LogIndex};

/// What became of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalResult {
    /// The command is committed and will never be lost.
    Committed {
        /// Index of its entry.
        index: LogIndex,
    },
    /// The command was not taken because this replica does not lead.
    NotLeader {
        /// The leader, if known.
        leader: Option<InstanceId>,
    },
    /// The command was not taken because it is larger than a message may be.
    TooLarge,
    /// The command was not taken because too many proposals wait to be committed.
    Busy,
    /// The command was taken, but leadership was lost before it was committed; it may yet be committed.
    Unknown,
}
