//! Messages between replicas.

use {
    super::{Entry, GroupProposal, Members},
    crate::ids::{Incarnation, InstanceId, LogIndex, Term},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// One message from a replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// Term of the sender; in a pre-vote request and its answer the term that the candidate would enter.
    pub term: Term,
    /// Incarnation of the sender's data folder.
    pub incarnation: Incarnation,
    /// Whether the sender has applied its own `Admit`; in a dynamic group, whether it is a voter by its own log.
    pub admitted: bool,
    /// What the message says.
    pub body: MessageBody,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageBody {
    /// A replica that is not admitted tells of itself.
    Hello {
        /// Proposal to form a group that it has agreed to.
        group_proposal: Option<GroupProposal>,
        /// Whether it may take part in forming a group: its folder holds neither log entries nor a snapshot.
        empty: bool,
    },
    /// Asks an empty replica to agree to forming a group.
    Form(GroupProposal),
    /// Every replica has agreed to the proposal.
    Formed(GroupProposal),
    /// Asks whether a vote would be granted, without changing any term.
    PreVoteRequest {
        /// Last entry of the candidate's log.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
    },
    /// Answer to a pre-vote request.
    PreVote {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Asks for a vote.
    VoteRequest {
        /// Last entry of the candidate's log.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
        /// Whether the leader asked the candidate to take over, so that a recent leader is no obstacle.
        leadership_transfer: bool,
    },
    /// Answer to a vote request.
    Vote {
        /// Incarnation of the candidate that asked.
        candidate: Incarnation,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries of the leader's log; without entries a heartbeat.
    Append {
        /// Number of the leader's heartbeat round; the reply returns it.
        round: u64,
        /// Entry before the first one carried.
        prev_index: LogIndex,
        /// Term of that entry.
        prev_term: Term,
        /// Entries in order.
        entries: Vec<Entry>,
        /// Last entry that the leader knows to be committed.
        commit: LogIndex,
    },
    /// Answer to `Append`.
    Appended {
        /// Round of the message that is answered.
        round: u64,
        /// Last entry up to which the logs agree and are durable, or, if `conflict` is set, the highest
        /// entry from which the leader should try again.
        index: LogIndex,
        /// Whether the log does not contain the entry before the first one carried.
        conflict: bool,
    },
    /// A piece of a snapshot.
    SnapshotPiece {
        /// Number of the leader's heartbeat round; the reply returns it.
        round: u64,
        /// Last entry that the snapshot covers.
        index: LogIndex,
        /// Term of that entry.
        term: Term,
        /// Admitted incarnations at that entry.
        members: Members,
        /// Size of the whole data, in bytes.
        total: u64,
        /// Position of this piece in the data.
        offset: u64,
        /// The piece.
        piece: Arc<[u8]>,
    },
    /// Answer to `SnapshotPiece`.
    SnapshotReceived {
        /// Round of the message that is answered.
        round: u64,
        /// Last entry that the snapshot covers.
        index: LogIndex,
        /// Position of the next piece that is wanted.
        offset: u64,
    },
    /// The leader is stopping and asks the replica to stand for election at once.
    TimeoutNow,
    /// In a dynamic group: the leader has committed entries that the receiver was sent before.
    Commit {
        /// Last entry that is committed.
        index: LogIndex,
    },
    /// In a dynamic group: the replicas that the sender knows. The leader tells all replicas; another replica
    /// answers a `Hello`.
    Replicas {
        /// The leader, if the sender knows one that may still act.
        leader: Option<InstanceId>,
        /// Voters and learners.
        replicas: Vec<InstanceId>,
    },
}
