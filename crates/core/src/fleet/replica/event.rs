//! What a replica is told.

use crate::{
    fleet::{FleetMessage, ServerRecord},
    ids::{Incarnation, InstanceId, ServerId},
};

/// One thing that a replica is told. Each `id` is unique within one run of the process, and answered once.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaEvent {
    /// The time named by `next_wake` has come.
    Tick,
    /// A message has arrived.
    Receive {
        /// The sender.
        from: InstanceId,
        /// Incarnation of its process.
        incarnation: Incarnation,
        /// The message.
        message: FleetMessage,
    },
    /// A server announced itself.
    Announce {
        /// Number that the answer repeats.
        id: u64,
        /// The record.
        record: ServerRecord,
        /// Wall clock in Unix milliseconds.
        wall_ms: u64,
    },
    /// A server leaves.
    Depart {
        /// Number that the answer repeats.
        id: u64,
        /// The server.
        server: ServerId,
        /// Its incarnation; none for the one that is held, or any that started before now.
        incarnation: Option<u64>,
        /// Wall clock in Unix milliseconds.
        wall_ms: u64,
    },
    /// An operator submits a change.
    Submit {
        /// Number that the answer repeats.
        id: u64,
        /// The text.
        text: Box<str>,
    },
    /// An operator asks for the newest change.
    Read {
        /// Number that the answer repeats.
        id: u64,
    },
    /// The seeds in the settings have changed.
    Seeds(Vec<InstanceId>),
    /// Every write with a sequence up to this one is durable.
    Persisted {
        /// Sequence of the last durable write.
        up_to: u64,
    },
    /// The process is stopping as planned.
    Stop,
}
