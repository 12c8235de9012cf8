//! Durable state of a replica other than its log.

use {
    super::Member,
    crate::ids::Term,
    serde::{Deserialize, Serialize},
};

/// Durable state of a replica other than its log. It is durable before any message that relies on it is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term that the replica has seen.
    pub term: Term,
    /// Candidate that received the vote in this term. Its incarnation is included because a candidate that lost its
    /// data folder may have a shorter log than the one that the vote was granted for.
    pub voted_for: Option<Member>,
    /// Whether the replica has applied its own `Admit`, so that its votes and acknowledgements count.
    pub admitted: bool,
    /// Proposal to form a group that the replica has agreed to.
    pub group_proposal: Option<GroupProposal>,
}

/// A proposal to form a new group. It takes effect only when every replica in it has agreed, so that a single replica
/// with a non-empty folder prevents a second group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GroupProposal {
    /// Ballot number. A replica agrees only to a higher ballot than the one that it agreed to before.
    pub ballot: u64,
    /// All replicas of the group with the incarnations of their empty folders.
    pub members: Vec<Member>,
}
