//! What the link of an entry asks its task to do.

use {
    crate::{
        config::Configuration,
        dispatch::ServerView,
        fleet::{FleetLogEvent, FleetMessage},
        ids::{InstanceId, ServiceId},
    },
    std::sync::Arc,
};

/// One thing for the task of an entry to do.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryAction {
    /// Send a message. Losing it is allowed.
    Send {
        /// The receiver.
        to: InstanceId,
        /// The message.
        message: FleetMessage,
    },
    /// Serve by this text from here on. Numbers rise.
    Configure(Arc<Configuration>),
    /// Use these servers of a service from here on, and no others.
    ServersChanged(ServiceId, Vec<ServerView>),
    /// Live entries of the fleet, at least 1.
    LiveEntries(u32),
    /// Whether the entry holds what it needs to serve. Once ready it stays so.
    Ready(bool),
    /// A state change that is worth a log line.
    Log(FleetLogEvent),
}
