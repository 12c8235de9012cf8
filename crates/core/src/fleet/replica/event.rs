//! Input events of a replica.

use {
    super::Arrival,
    crate::{
        config::CheckedConfig,
        fleet::{FleetMessage, ServerRecord},
        ids::{DataCentreId, Incarnation, InstanceId, ServerId},
    },
};

/// An input event of a replica. Each `id` is unique within one run of the process and is answered exactly once.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaEvent {
    /// The time returned by `next_wake` has been reached.
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
        /// Departing incarnation; `None` for the one in the directory or, if there is none, any that started before
        /// now.
        incarnation: Option<u64>,
        /// Wall clock in Unix milliseconds.
        wall_ms: u64,
    },
    /// An operator submits a change.
    Submit {
        /// Number that the answer repeats.
        id: u64,
        /// The configuration.
        config: CheckedConfig,
    },
    /// An operator asks for the newest change.
    Read {
        /// Number that the answer repeats.
        id: u64,
    },
    /// An operator orders that the servers of a data centre get no calls, or withdraws such an order.
    Evacuate {
        /// Number that the answer repeats.
        id: u64,
        /// The data centre.
        data_centre: DataCentreId,
        /// Whether its servers get no calls.
        is_active: bool,
        /// What is known of the time at which it was sent.
        arrival: Arrival,
        /// Wall clock in Unix milliseconds.
        wall_ms: u64,
    },
    /// The data centres in the settings have changed.
    DataCentres(Vec<DataCentreId>),
    /// The seeds in the settings have changed.
    Seeds(Vec<InstanceId>),
    /// Every write up to this sequence number is durable.
    Persisted {
        /// Sequence number of the last durable write.
        up_to: u64,
    },
    /// The process is shutting down in a controlled way.
    Stop,
}

impl ReplicaEvent {
    /// Returns the name of the event for logs.
    ///
    /// ```
    /// use hemlockford_core::fleet::ReplicaEvent;
    /// assert_eq!(ReplicaEvent::Read { id: 1 }.name(), "read");
    /// ```
    pub fn name(&self) -> &'static str {
        match self {
            Self::Tick => "tick",
            Self::Receive { message, .. } => message.name(),
            Self::Announce { .. } => "announce",
            Self::Depart { .. } => "depart",
            Self::Submit { .. } => "submit",
            Self::Read { .. } => "read",
            Self::Evacuate { .. } => "evacuate",
            Self::DataCentres(_) => "data centres",
            Self::Seeds(_) => "seeds",
            Self::Persisted { .. } => "persisted",
            Self::Stop => "stop",
        }
    }
}
