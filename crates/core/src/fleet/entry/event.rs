//! Input events of an entry's link.

use {
    crate::{
        config::Configuration,
        fleet::FleetMessage,
        ids::{ChangeNumber, Incarnation, InstanceId, ServerId},
        quarantine::SuspectRecord,
        quota::CreditRequest,
    },
    std::sync::Arc,
};

/// An input event of an entry's link.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryEvent {
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
    /// A text was parsed.
    Parsed {
        /// Number of the change.
        number: ChangeNumber,
        /// The configuration; `None` if this version cannot read it.
        config: Option<Arc<Configuration>>,
    },
    /// A server told this entry in an answer that it is leaving.
    ServerLeaving(ServerId),
    /// This entry learned something about a request under which servers ended.
    Suspect(SuspectRecord),
    /// This entry needs credit for calls of customers with a limit.
    Credit(CreditRequest),
    /// This entry is stopping and takes no more calls from other entries.
    Stopping,
    /// The seeds in the settings have changed.
    Seeds(Vec<InstanceId>),
}

impl EntryEvent {
    /// Returns the name of the event for logs.
    ///
    /// ```
    /// use hemlockford_core::fleet::EntryEvent;
    /// assert_eq!(EntryEvent::Tick.name(), "tick");
    /// ```
    pub fn name(&self) -> &'static str {
        match self {
            Self::Tick => "tick",
            Self::Receive { message, .. } => message.name(),
            Self::Parsed { .. } => "parsed",
            Self::ServerLeaving(_) => "server leaving",
            Self::Suspect(_) => "suspect",
            Self::Credit(_) => "credit",
            Self::Stopping => "stopping",
            Self::Seeds(_) => "seeds",
        }
    }
}
