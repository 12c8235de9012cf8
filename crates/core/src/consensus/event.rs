//! Events that consensus handles.

use {
    super::Message,
    crate::ids::{InstanceId, LogIndex},
    derive_more::Debug,
    std::sync::Arc,
};

/// An event that consensus handles.
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
    /// Replicate a command.
    Propose {
        /// Identifier that the answer repeats, unique within one run of the process.
        id: u64,
        /// The command.
        #[debug("{} bytes", command.len())]
        command: Arc<[u8]>,
    },
    /// Read the last committed state. The read is answered once a majority has confirmed that this replica was the
    /// leader after this event.
    Read {
        /// Identifier that the answer repeats, unique within one run of the process.
        id: u64,
    },
    /// All write actions up to this sequence number are durable.
    Persisted {
        /// Sequence number of the last durable write.
        up_to: u64,
    },
    /// Data of the state machine after all `Apply` actions up to the index, in response to `TakeSnapshot`.
    SnapshotTaken {
        /// Last entry that the data covers.
        index: LogIndex,
        /// The data.
        #[debug("{} bytes", data.len())]
        data: Arc<[u8]>,
    },
    /// The process is about to stop as planned: transfer leadership and stop standing for election.
    Stop,
}
