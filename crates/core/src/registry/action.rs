//! Actions that the registry requests from the task that drives it.

use {
    super::{AnnouncementError, Record},
    crate::ids::{InstanceId, ServerId, ServiceId},
};

/// An action or notification for the task that drives the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryAction {
    /// Send records, which fit in one datagram, to one entry or to all.
    Relay {
        /// Recipient; `None` for every other entry.
        to: Option<InstanceId>,
        /// The records.
        records: Vec<Record>,
    },
    /// Ask another entry for servers whose leases are about to expire here.
    Ask {
        /// Recipient.
        to: InstanceId,
        /// The servers.
        servers: Vec<ServerId>,
    },
    /// The servers of a service have changed.
    Changed(ServiceId),
    /// An announcement was rejected.
    Refused {
        /// Server name in the announcement.
        server: ServerId,
        /// Reason for the rejection.
        error: AnnouncementError,
    },
}
