//! What entries tell each other of servers.

use {
    super::Announcement,
    crate::ids::{Incarnation, ServerId},
    serde::{Deserialize, Serialize},
};

/// What one entry tells another of a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The whole announcement, sent when something else than the lease has changed and for repair.
    Full {
        /// The announcement.
        announcement: Announcement,
        /// Its age when the record was sent, in milliseconds.
        age_ms: u32,
        /// Whether the sender does not know how late the announcement was when it arrived.
        doubted: bool,
    },
    /// The server announced itself again with nothing changed.
    Renewal {
        /// Name of the server.
        server: ServerId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Sequence of the announcement.
        sequence: u64,
        /// Time since the start of the server, in milliseconds.
        uptime_ms: u64,
        /// Age of the announcement when the record was sent, in milliseconds.
        age_ms: u32,
    },
}

impl Record {
    /// Returns the name of the server.
    pub fn server(&self) -> &str {
        match self {
            Self::Full { announcement, .. } => &announcement.server,
            Self::Renewal { server, .. } => server,
        }
    }

    /// Returns the age when the record was sent, in milliseconds.
    pub fn age_ms(&self) -> u32 {
        match self {
            Self::Full { age_ms, .. } | Self::Renewal { age_ms, .. } => *age_ms,
        }
    }
}
