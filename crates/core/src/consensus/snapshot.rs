//! Snapshots of the replicated state machine.

use {
    super::Members,
    crate::ids::{LogIndex, Term},
    derive_more::Debug,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// State of the replicated state machine at an index, which replaces the log up to there.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry that the snapshot covers.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Members as of that entry.
    pub members: Members,
    /// Data of the state machine, opaque to consensus.
    #[debug("{} bytes", data.len())]
    pub data: Arc<[u8]>,
}
