//! Messages between replicas.

use {
    super::{Entry, GroupProposal, Members},
    crate::ids::{Incarnation, InstanceId, LogIndex, Term},
    derive_more::Debug,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// A message between replicas.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// Term of the sender; in a pre-vote request and its answer, the term that the candidate would enter.
    pub term: Term,
    /// Incarnation of the sender's data folder.
    pub incarnation: Incarnation,
    /// Whether the sender has applied its own `Admit`; in a dynamic group, whether it is a voter according to its own
    /// log.
    pub admitted: bool,
    /// Content of the message.
    pub body: MessageBody,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageBody {
    /// Announces a replica that is not admitted or looks for the leader.
    Hello {
        /// The formation proposal that it has agreed to.
        group_proposal: Option<GroupProposal>,
        /// Whether it may take part in forming a group, which requires a data folder without log entries and
        /// snapshot.
        empty: bool,
    },
    /// Asks a replica with an empty folder to agree to a formation proposal.
    Form(GroupProposal),
    /// Reports that every replica has agreed to the proposal.
    Formed(GroupProposal),
    /// Asks whether a vote would be granted, without changing the term.
    PreVoteRequest {
        /// Index of the last entry of the candidate's log.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
    },
    /// Response to `PreVoteRequest`.
    PreVote {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Asks for a vote.
    VoteRequest {
        /// Index of the last entry of the candidate's log.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
        /// Whether the leader asked the candidate to take over, in which case recent contact with the leader does not
        /// prevent the vote.
        leadership_transfer: bool,
    },
    /// Response to `VoteRequest`.
    Vote {
        /// Incarnation of the candidate that sent the request.
        candidate: Incarnation,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries of the leader's log; a heartbeat if there are none.
    Append {
        /// Number of the leader's heartbeat round, which the response returns.
        round: u64,
        /// Index of the entry before the first one in the message.
        prev_index: LogIndex,
        /// Term of that entry.
        prev_term: Term,
        /// Entries in order.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit: LogIndex,
    },
    /// Response to `Append`.
    Appended {
        /// Round of the request.
        round: u64,
        /// Index up to which the logs match and are durable, or, with `conflict`, the highest index after which the
        /// leader should retry.
        index: LogIndex,
        /// Whether the log does not contain the entry before the first one in the request.
        conflict: bool,
    },
    /// A piece of a snapshot.
    SnapshotPiece {
        /// Number of the leader's heartbeat round, which the response returns.
        round: u64,
        /// Index of the last entry that the snapshot covers.
        index: LogIndex,
        /// Term of that entry.
        term: Term,
        /// Members as of that entry.
        members: Members,
        /// Total size of the snapshot data, in bytes.
        total: u64,
        /// Offset of this piece in the data.
        offset: u64,
        /// Data of the piece.
        #[debug("{} bytes", piece.len())]
        piece: Arc<[u8]>,
    },
    /// Response to `SnapshotPiece`.
    SnapshotReceived {
        /// Round of the request.
        round: u64,
        /// Index of the last entry that the snapshot covers.
        index: LogIndex,
        /// Offset of the next expected piece.
        offset: u64,
    },
    /// The leader transfers leadership: the receiver should stand for election at once.
    TimeoutNow,
    /// In a dynamic group: the leader has committed entries that the receiver was already sent.
    Commit {
        /// Commit index of the leader.
        index: LogIndex,
    },
    /// In a dynamic group: the replicas that the sender knows. The leader sends it to all replicas, other replicas in
    /// response to `Hello`.
    Replicas {
        /// The leader, if the sender knows one that may still be active.
        leader: Option<InstanceId>,
        /// Voters and learners.
        replicas: Vec<InstanceId>,
    },
}
