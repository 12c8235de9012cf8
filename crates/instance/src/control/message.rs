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
    /// A server announced itself here.
    Announce(Announcement),
    /// An operator submits a text.
    Submit(Box<str>, oneshot::Sender<SubmitAnswer>),
    /// Another instance sent a message.
    Receive { from: InstanceId, message: PeerMessage },
    /// Every write up to this sequence is durable.
    Persisted(u64),
    /// Asks for the state.
    Status(oneshot::Sender<Status>),
    /// The instance is about to stop: it is not ready any more.
    Drain,
    /// The instance stops; the answer follows once leadership is handed over.
    Stop(oneshot::Sender<()>),
}
