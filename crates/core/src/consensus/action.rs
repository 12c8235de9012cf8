//! What consensus asks its task to do.

use {
    super::{Entry, HardState, Message, ProposalResult, Snapshot},
    crate::ids::{InstanceId, LogIndex, Term},
    std::sync::Arc,
};

/// One thing for the consensus task to do. Actions are carried out in order.
///
/// The write actions `SaveHardState`, `Append`, `Truncate` and `SaveSnapshot` carry a rising sequence, which
/// `ConsensusEvent::Persisted` returns once the write is durable. Writes may share one fsync.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConsensusAction {
    /// Send a message. Losing it is allowed.
    Send {
        /// The receiver.
        to: InstanceId,
        /// The message.
        message: Message,
    },
    /// Write the vote.
    SaveHardState {
        /// Sequence of the write.
        sequence: u64,
        /// The vote.
        hard_state: HardState,
    },
    /// Append entries to the stored log.
    Append {
        /// Sequence of the write.
        sequence: u64,
        /// Entries in order, following the last stored one.
        entries: Vec<Entry>,
    },
    /// Remove entries from the end of the stored log.
    Truncate {
        /// Sequence of the write.
        sequence: u64,
        /// First entry to remove.
        from: LogIndex,
    },
    /// Write a snapshot and remove the entries that it covers. When the stored log does not contain the
    /// last covered entry with the same term, remove the whole log.
    SaveSnapshot {
        /// Sequence of the write.
        sequence: u64,
        /// The snapshot.
        snapshot: Arc<Snapshot>,
    },
    /// Give the state machine's data after all `Apply` actions so far with `SnapshotTaken`.
    TakeSnapshot {
        /// Index to return.
        index: LogIndex,
    },
    /// Replace the state machine's data.
    RestoreSnapshot {
        /// The snapshot.
        snapshot: Arc<Snapshot>,
    },
    /// Apply a committed command to the state machine.
    Apply {
        /// Index of its entry. Indexes rise and have gaps, where entries carry no command.
        index: LogIndex,
        /// The command.
        command: Arc<[u8]>,
    },
    /// Answer a proposal. It follows the `Apply` of the same command.
    Answer {
        /// Number of the proposal.
        id: u64,
        /// The result.
        result: ProposalResult,
    },
    /// This replica leads from here on.
    BecomeLeader {
        /// Its term.
        term: Term,
    },
    /// This replica follows from here on, or follows another leader.
    BecomeFollower {
        /// Its term.
        term: Term,
        /// The leader, if known.
        leader: Option<InstanceId>,
    },
    /// The planned stop is complete: this replica does not lead any more.
    Stopped,
    /// An invariant is broken; the process stops.
    InvariantViolated(&'static str),
}
