//! What the registry is told.

use {
    super::{Announcement, Digest, Record},
    crate::ids::{InstanceId, ServerId},
    std::time::Duration,
};

/// One thing that the registry is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryEvent {
    /// A server announced itself here.
    Announce(Announcement),
    /// Another entry relayed what servers told it.
    Relay {
        /// Time for which the message was under way.
        age: Duration,
        /// What it relayed.
        records: Vec<Record>,
    },
    /// Another entry reported its digest.
    Digest {
        /// The other entry.
        from: InstanceId,
        /// Its digest.
        digest: Digest,
    },
    /// Another entry asks for servers whose leases run out at it.
    Ask {
        /// The other entry.
        from: InstanceId,
        /// The servers.
        servers: Vec<ServerId>,
    },
    /// Time has passed.
    Tick,
}
