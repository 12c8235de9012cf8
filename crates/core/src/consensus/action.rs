//! Actions that consensus returns to the task that drives it.

use {
    super::{Entry, HardState, Message, ProposalResult, Snapshot},
    crate::ids::{InstanceId, LogIndex, Term},
    derive_more::Debug,
    std::sync::Arc,
};

/// An action for the task that drives consensus. Actions are executed in order.
///
/// The write actions `SaveHardState`, `Append`, `Truncate` and `SaveSnapshot` carry an increasing sequence number.
/// `ConsensusEvent::Persisted` returns it once the write is durable. Writes may share one fsync.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConsensusAction {
    /// Send a message. It may be lost.
    Send {
        /// The receiver.
        to: InstanceId,
        /// The message.
        message: Message,
    },
    /// Write the hard state.
    SaveHardState {
        /// Sequence of the write.
        sequence: u64,
        /// The hard state.
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
        /// Index of the first entry to remove.
        from: LogIndex,
    },
    /// Write a snapshot and remove the entries that it covers. If the stored log does not contain the last covered
    /// entry with the same term, remove the whole log.
    SaveSnapshot {
        /// Sequence of the write.
        sequence: u64,
        /// The snapshot.
        snapshot: Arc<Snapshot>,
    },
    /// Serialize the state machine after all `Apply` actions so far and return the data with `SnapshotTaken`.
    TakeSnapshot {
        /// Index to return with the data.
        index: LogIndex,
    },
    /// Replace the state of the state machine.
    RestoreSnapshot {
        /// The snapshot.
        snapshot: Arc<Snapshot>,
    },
    /// Apply a committed command to the state machine.
    Apply {
        /// Index of its entry. Indexes increase, with gaps where entries carry no command.
        index: LogIndex,
        /// The command.
        #[debug("{} bytes", command.len())]
        command: Arc<[u8]>,
    },
    /// Answer a proposal or a read. The answer to a proposal follows the `Apply` of its command.
    Answer {
        /// Identifier of the proposal or read.
        id: u64,
        /// The result.
        result: ProposalResult,
    },
    /// This replica became the leader.
    BecomeLeader {
        /// The current term.
        term: Term,
    },
    /// This replica became a follower, or its leader changed.
    BecomeFollower {
        /// The current term.
        term: Term,
        /// The leader, if known.
        leader: Option<InstanceId>,
    },
    /// The planned stop is complete: this replica is no longer the leader.
    Stopped,
    /// An invariant is violated; the process must stop.
    InvariantViolated(&'static str),
}
