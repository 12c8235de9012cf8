//! What consensus is told.

use {
    super::Message,
    crate::ids::{InstanceId, LogIndex},
    std::sync::Arc,
};

/// One thing that consensus is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConsensusEvent {
    /// Time has passed; expected about every 50 ms.
    Tick,
    /// A message from another replica has arrived.
    Receive {
        /// The sender.
        from: InstanceId,
        /// The message.
        message: Message,
    },
    /// A command is to be replicated.
    Propose {
        /// Number that the answer repeats, unique within one run of the process.
        id: u64,
        /// The command.
        command: Arc<[u8]>,
    },
    /// The state as of the last commit is to be read. The answer follows once a majority has confirmed that
    /// this replica led after the event.
    Read {
        /// Number that the answer repeats, unique within one run of the process.
        id: u64,
    },
    /// Every write action with a sequence up to this one is durable.
    Persisted {
        /// Sequence of the last durable write.
        up_to: u64,
    },
    /// The state machine's data after all `Apply` actions up to the index, as asked by `TakeSnapshot`.
    SnapshotTaken {
        /// Last entry that the data covers.
        index: LogIndex,
        /// The data.
        data: Arc<[u8]>,
    },
    /// The process is stopping as planned: hand over leadership and stand for election no more.
    Stop,
}
