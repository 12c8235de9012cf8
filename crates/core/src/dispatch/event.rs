//! What the dispatcher is told.

use {
    super::{Call, Finish, ServerView},
    crate::{
        ids::{CallId, ServiceId},
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
    /// The text to apply.
    Configure(Arc<Text>),
    /// Time has passed.
    Tick,
}
