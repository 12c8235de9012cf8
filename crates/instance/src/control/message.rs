//! Messages to the control task.

use {
    super::Status,
    hemlockford_core::{
        control::{PeerMessage, SubmitAnswer},
        ids::InstanceId,
        registry::Announcement,
    },
    tokio::sync::oneshot,
};

/// A message to the control task.
pub(crate) enum ControlMessage {
    /// A server announced itself at this instance.
    Announce(Announcement),
    /// An operator submits a configuration.
    Submit(Box<str>, oneshot::Sender<SubmitAnswer>),
    /// A message from another instance.
    Receive { from: InstanceId, message: PeerMessage },
    /// All writes up to this sequence number are durable.
    Persisted(u64),
    /// Requests the status of the instance.
    Status(oneshot::Sender<Status>),
    /// The instance is about to stop and is no longer ready.
    Drain,
    /// The instance stops; the reply is sent after the leadership transfer.
    Stop(oneshot::Sender<()>),
}
