//! What a replica asks its task to do.

use crate::{
    consensus::Write,
    fleet::{FleetLogEvent, FleetMessage, ReplicaAnswer},
    ids::InstanceId,
};

/// One thing for the task of a replica to do. Actions are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaAction {
    /// Send a message. Losing it is allowed.
    Send {
        /// The receiver.
        to: InstanceId,
        /// The message.
        message: FleetMessage,
    },
    /// Write to the data folder; `Persisted` returns the sequence once the write is durable.
    Write {
        /// Sequence of the write.
        sequence: u64,
        /// The write.
        write: Write,
    },
    /// Replace the saved directory. Losing it is allowed, and it must not delay or fail a `Write`.
    SaveDirectory(Vec<u8>),
    /// Answer a request.
    Answer {
        /// Number that the request gave.
        id: u64,
        /// The answer.
        answer: ReplicaAnswer,
    },
    /// A state change that is worth a log line.
    Log(FleetLogEvent),
    /// The planned stop is complete.
    Stopped,
    /// An internal invariant is violated; the process must stop.
    InvariantViolated(&'static str),
}
