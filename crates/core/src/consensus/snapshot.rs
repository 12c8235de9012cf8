//! State of the replicated state machine at one index.

use {
    super::Members,
    crate::ids::{LogIndex, Term},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// State of the replicated state machine at one index, in place of the log up to there.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry that the snapshot covers.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Admitted incarnations at that entry.
    pub members: Members,
    /// State of the state machine, opaque to consensus.
    pub data: Arc<[u8]>,
}
