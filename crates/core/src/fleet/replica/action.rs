//! Actions that a replica requests from its task.

use crate::{
    consensus::Write,
    fleet::{FleetLogEvent, FleetMessage, ReplicaAnswer},
    ids::{Incarnation, InstanceId},
};

/// An action for the task of a replica. Actions are executed in order.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaAction {
    /// Send a message. It may be lost.
    Send {
        /// The receiver.
        to: InstanceId,
        /// The message.
        message: FleetMessage,
    },
    /// Write to the data folder. [`Persisted`](super::ReplicaEvent::Persisted) confirms the sequence number once the
    /// write is durable.
    Write {
        /// Sequence number of the write.
        sequence: u64,
        /// The write.
        write: Write,
    },
    /// Replace the saved directory. It may be lost, and it must not delay a `Write` or make one fail.
    SaveDirectory(Vec<u8>),
    /// Give the data folder a later incarnation than this one and restart the process.
    Renumber(Incarnation),
    /// Answer a request.
    Answer {
        /// Number of the request.
        id: u64,
        /// The answer.
        answer: ReplicaAnswer,
    },
    /// Log a state change.
    Log(FleetLogEvent),
    /// The planned stop is complete.
    Stopped,
    /// An internal invariant is violated; the process must stop.
    InvariantViolated(&'static str),
}
