//! Actions that the control plane returns to the task that drives it.

use {
    super::{Answer, ControlLogEvent, PeerMessage},
    crate::{
        config::Configuration,
        consensus::Write,
        dispatch::ServerView,
        ids::{InstanceId, ServiceId},
    },
    std::{sync::Arc, time::Instant},
};

/// An action for the task that drives the control plane. Actions are executed in order.
#[derive(Clone, Debug)]
pub enum ControlAction {
    /// Send a message over UDP; it fits into one datagram.
    SendDatagram {
        /// The receiver.
        to: InstanceId,
        /// The message.
        message: PeerMessage,
    },
    /// Send a message over TCP. It may be lost, for example if no connection is available.
    SendStream {
        /// The receiver.
        to: InstanceId,
        /// The message.
        message: PeerMessage,
    },
    /// Write to the data folder and report the sequence number with `ControlEvent::Persisted` once the write is
    /// durable.
    Write {
        /// Increasing sequence number of the write.
        sequence: u64,
        /// The write.
        write: Write,
    },
    /// Apply this configuration.
    Install(Arc<Configuration>),
    /// Answer a request of the instance itself.
    Answer(Answer),
    /// The servers of a service have changed; the list is complete.
    ServersChanged(ServiceId, Vec<ServerView>),
    /// The live instances have changed; the list includes this instance.
    LivePeers(Vec<InstanceId>),
    /// The instance may serve calls until the given time, or not at all. Users must compare it with the current time,
    /// because a suspended process does not learn that the time has passed.
    ServeUntil(Option<Instant>),
    /// A state change to log.
    Log(ControlLogEvent),
    /// The planned stop is complete.
    Stopped,
    /// An invariant is violated; the process must stop.
    InvariantViolated(&'static str),
}
