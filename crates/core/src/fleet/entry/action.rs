//! Actions that an entry's link requests from its task.

use {
    crate::{
        config::Configuration,
        dispatch::{RelayAddress, ServerView},
        fleet::{FleetLogEvent, FleetMessage},
        ids::{ChangeNumber, InstanceId, ServiceId},
        quarantine::SuspectRecord,
        quota::CreditResponse,
    },
    derive_more::Debug,
    std::sync::Arc,
};

/// An action for the task of an entry.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryAction {
    /// Send a message. It may be lost.
    Send {
        /// The receiver.
        to: InstanceId,
        /// The message.
        message: FleetMessage,
    },
    /// Parse a long text on another thread, and return the result as [`EntryEvent::Parsed`](super::EntryEvent::Parsed).
    Parse {
        /// Number of the change.
        number: ChangeNumber,
        /// The text.
        #[debug("{} bytes", text.len())]
        text: Arc<str>,
    },
    /// Apply this configuration. Change numbers increase.
    Configure(Arc<Configuration>),
    /// Replace the servers of a service.
    ServersChanged(ServiceId, Vec<ServerView>),
    /// Set the number of live entries in the fleet, at least 1.
    LiveEntries(u32),
    /// Set the index of this entry among the live entries.
    Position(u32),
    /// Whether the entry has the configuration and servers that it needs to serve. It never becomes unready again.
    Ready(bool),
    /// Some entries that take calls from this one.
    Relays(Vec<RelayAddress>),
    /// News of requests under which servers ended.
    Suspects(Vec<SuspectRecord>),
    /// A replica answered a request for credit.
    Credit {
        /// The replica.
        from: InstanceId,
        /// The answer.
        response: CreditResponse,
    },
    /// Log a state change.
    Log(FleetLogEvent),
}
