//! Input events of the registry.

use {
    super::{Announcement, Digest, Record},
    crate::ids::{InstanceId, ServerId},
    std::time::Duration,
};

/// An input event of the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryEvent {
    /// A server announced itself to this entry.
    Announce(Announcement),
    /// Another entry relayed announcements.
    Relay {
        /// Time since the message was sent.
        age: Duration,
        /// The relayed records.
        records: Vec<Record>,
    },
    /// Another entry reported its digest.
    Digest {
        /// The other entry.
        from: InstanceId,
        /// Its digest.
        digest: Digest,
    },
    /// Another entry asks for servers whose leases are about to expire there.
    Ask {
        /// The other entry.
        from: InstanceId,
        /// The servers.
        servers: Vec<ServerId>,
    },
    /// Periodic timer.
    Tick,
}
