//! Server records that entries exchange.

use {
    super::Announcement,
    crate::ids::{Incarnation, ServerId},
    serde::{Deserialize, Serialize},
};

/// A record about a server, sent from one entry to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The complete announcement, sent for repair and when anything other than the lease has changed.
    Full {
        /// The announcement.
        announcement: Announcement,
        /// Age of the announcement when the record was sent, in milliseconds.
        age_ms: u32,
        /// Whether the sender does not know how long the announcement was delayed before it arrived.
        is_delay_unknown: bool,
    },
    /// The server announced itself again without changes.
    Renewal {
        /// Name of the server.
        server: ServerId,
        /// Incarnation of the server.
        incarnation: Incarnation,
        /// Sequence number of the announcement.
        sequence: u64,
        /// Uptime of the server, in milliseconds.
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

    /// Returns the age of the announcement when the record was sent, in milliseconds.
    pub fn age_ms(&self) -> u32 {
        match self {
            Self::Full { age_ms, .. } | Self::Renewal { age_ms, .. } => *age_ms,
        }
    }
}
