//! What the registry asks its task to do.

use {
    super::{AnnouncementFault, Record},
    crate::ids::{InstanceId, ServerId, ServiceId},
};

/// One thing for the task to do or to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryAction {
    /// Send records, which fit one datagram, to one entry or to all.
    Relay {
        /// Recipient; every other entry where there is none.
        to: Option<InstanceId>,
        /// What to send.
        records: Vec<Record>,
    },
    /// Ask another entry for servers whose leases run out here.
    Ask {
        /// Recipient.
        to: InstanceId,
        /// The servers.
        servers: Vec<ServerId>,
    },
    /// The servers of a service have changed.
    Changed(ServiceId),
    /// An announcement was refused.
    Refused {
        /// Name that it gave.
        server: ServerId,
        /// Why it was refused.
        fault: AnnouncementFault,
    },
}
