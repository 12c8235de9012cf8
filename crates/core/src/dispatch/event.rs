//! What the dispatcher is told.

use {
    super::{Call, Finish, ServerView},
    crate::{
        ids::{CallId, InstanceId, ServiceId},
        slots::SlotMessage,
        text::Text,
    },
    std::sync::Arc,
};

/// One thing that the dispatcher is told.
#[derive(Clone, Debug)]
pub enum DispatchEvent {
    /// A call has arrived.
    Arrive(Call),
    /// An attempt at a server has ended.
    Finish(Finish),
    /// The caller left before a server was chosen.
    Cancel(CallId),
    /// The servers of a service.
    Servers(ServiceId, Vec<ServerView>),
    /// The live entries.
    Peers(Vec<InstanceId>),
    /// A message from another entry.
    Peer {
        /// The other entry.
        from: InstanceId,
        /// What it says.
        message: SlotMessage,
    },
    /// The text to apply.
    Configure(Arc<Text>),
    /// Time has passed.
    Tick,
}
