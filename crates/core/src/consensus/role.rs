//! Roles of a replica.

use {
    super::Progress,
    crate::{
        collections::{FastMap, FastSet},
        ids::{InstanceId, LogIndex},
    },
    std::{collections::VecDeque, time::Instant},
};

/// Role of a replica in the current term.
#[derive(Clone, Debug)]
pub(super) enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks for pre-votes; holds the replicas that granted theirs.
    PreCandidate(FastSet<InstanceId>),
    /// Stands for election; holds the replicas that granted their vote.
    Candidate(FastSet<InstanceId>),
    /// Leads the group.
    Leader(Box<Leader>),
}

/// State of a leader.
#[derive(Clone, Debug)]
pub(super) struct Leader {
    /// Progress of the other replicas.
    pub progress: FastMap<InstanceId, Progress>,
    /// Number of the last heartbeat round.
    pub round: u64,
    /// Rounds that no majority has acknowledged yet, with their start times.
    pub pending_rounds: VecDeque<(u64, Instant)>,
    /// Last round that a majority has acknowledged.
    pub confirmed_round: u64,
    /// Start time of that round; before the first one, the start of leadership.
    pub confirmed_at: Instant,
    /// When the next heartbeat is due.
    pub next_heartbeat: Instant,
    /// Uncommitted proposals: index of the entry and identifier of the proposal.
    pub pending_proposals: VecDeque<(LogIndex, u64)>,
    /// Size of these proposals, in bytes.
    pub pending_proposal_bytes: usize,
    /// Pending reads: the round to be confirmed and the identifier of the read.
    pub pending_reads: VecDeque<(u64, u64)>,
    /// Number of heartbeats sent, not counting rounds that were started for reads.
    pub heartbeat_count: u64,
    /// The last replica list that was sent.
    pub sent_replica_list: Vec<InstanceId>,
    /// Since when there are more voters than the target.
    pub excess_voters_since: Option<Instant>,
    /// Time at which a leadership transfer is abandoned and the leader steps down.
    pub transfer_deadline: Option<Instant>,
    /// Whether `TimeoutNow` was sent since the last heartbeat.
    pub timeout_now_sent: bool,
}
