//! Roles of a replica.

use {
    super::Progress,
    crate::{
        collections::{FastMap, FastSet},
        ids::{InstanceId, LogIndex},
    },
    std::{collections::VecDeque, time::Instant},
};

/// Role of a replica in its term.
#[derive(Clone, Debug)]
pub(super) enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it could win an election; holds the replicas that said yes.
    PreCandidate(FastSet<InstanceId>),
    /// Stands for election; holds the replicas that granted their vote.
    Candidate(FastSet<InstanceId>),
    /// Leads.
    Leader(Box<Leader>),
}

/// State of a leader.
#[derive(Clone, Debug)]
pub(super) struct Leader {
    /// What is known of the other replicas.
    pub progress: FastMap<InstanceId, Progress>,
    /// Number of the last heartbeat round.
    pub round: u64,
    /// Rounds that a majority may yet answer, with the time that they were sent.
    pub pending_rounds: VecDeque<(u64, Instant)>,
    /// Last round that a majority has answered.
    pub confirmed_round: u64,
    /// When that round was sent; before the first one, when leadership began.
    pub confirmed_at: Instant,
    /// When the next heartbeat is due.
    pub next_heartbeat: Instant,
    /// Proposals that wait to be committed: index of the entry and number of the proposal.
    pub pending_proposals: VecDeque<(LogIndex, u64)>,
    /// Bytes of these proposals.
    pub pending_proposal_bytes: usize,
    /// Reads that wait: the round that has to be confirmed and the number of the read.
    pub pending_reads: VecDeque<(u64, u64)>,
    /// Heartbeats sent, without rounds that were begun for reads.
    pub heartbeat_count: u64,
    /// Replicas that the others were told of.
    pub sent_replica_list: Vec<InstanceId>,
    /// Since when there are more voters than the target.
    pub excess_voters_since: Option<Instant>,
    /// When a planned stop gives up handing over.
    pub transfer_deadline: Option<Instant>,
    /// Whether a replica was asked to take over since the last heartbeat.
    pub timeout_now_sent: bool,
}
