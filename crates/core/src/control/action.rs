//! What the control part asks its task to do.

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

/// One thing for the control task to do. Actions are carried out in order.
#[derive(Clone, Debug)]
pub enum ControlAction {
    /// Send a message over UDP; it fits one datagram.
    SendDatagram {
        /// The receiver.
        to: InstanceId,
        /// The message.
        message: PeerMessage,
    },
    /// Send a message over TCP. Losing it is allowed, for example if no connection can be opened at once.
    SendStream {
        /// The receiver.
        to: InstanceId,
        /// The message.
        message: PeerMessage,
    },
    /// Write to the data folder and report the sequence with `ControlEvent::Persisted` once it is durable.
    Write {
        /// Rising sequence of the write.
        sequence: u64,
        /// What to write.
        write: Write,
    },
    /// Use this text from now on.
    Install(Arc<Configuration>),
    /// Answer a request of the instance itself.
    Answer(Answer),
    /// The servers of a service.
    ServersChanged(ServiceId, Vec<ServerView>),
    /// The live instances, this one included.
    LivePeers(Vec<InstanceId>),
    /// The instance may serve calls until the given time, or not at all. It is to be compared with the time
    /// of use, as a frozen process does not hear that the time has passed.
    ServeUntil(Option<Instant>),
    /// A state change that is worth a log line.
    Log(ControlLogEvent),
    /// The planned stop is complete.
    Stopped,
    /// An invariant is broken; the process stops.
    InvariantViolated(&'static str),
}
