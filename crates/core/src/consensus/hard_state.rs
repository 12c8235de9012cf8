//! What a replica has promised and must not forget.

use {
    super::Member,
    crate::ids::Term,
    serde::{Deserialize, Serialize},
};

/// What a replica has promised, apart from log entries; it is durable before any message that relies on it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term that the replica has seen.
    pub term: Term,
    /// Candidate that got the vote in this term. Its incarnation is kept because a candidate that lost
    /// its folder may have a shorter log than the one that the vote was given for.
    pub voted_for: Option<Member>,
    /// Whether the replica has applied its own `Admit`, so that it votes and counts.
    pub admitted: bool,
    /// Proposal to form a group that the replica has agreed to.
    pub group_proposal: Option<GroupProposal>,
}

/// A proposal to form a new group. It takes effect only when every replica named has agreed to it, so
/// one replica that is not empty prevents a second group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GroupProposal {
    /// Number of the proposal. A replica agrees only to a number above the one it agreed to before.
    pub ballot: u64,
    /// Every replica of the group with the incarnation of its empty folder.
    pub members: Vec<Member>,
}
