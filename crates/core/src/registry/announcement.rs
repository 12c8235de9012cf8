//! Announcement of a server.

use {
    crate::{
        dispatch::ServerState,
        ids::{DataCentreId, Incarnation, ServerId, ServiceId},
    },
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Maximum length of a name, so that a record always fits in a datagram.
const MAX_NAME_BYTES: usize = 64;

/// Maximum number of slots or connections that a server may announce; larger numbers are rejected as errors.
const MAX_CAPACITY: u32 = 1 << 20;

/// Maximum uptime of a server, 20 years, so that time arithmetic cannot overflow.
const MAX_UPTIME_MS: u64 = 20 * 366 * 24 * 3_600_000;

/// Reason for which an announcement is rejected.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum AnnouncementError {
    /// A name is empty or longer than 64 bytes.
    #[display("names must have 1 to 64 bytes")]
    Name,
    /// The address has an unspecified host or no port.
    #[display("address must have a host and a port")]
    Address,
    /// The number of slots or connections is zero or too large.
    #[display("slots and connections must be from 1 to 1048576")]
    Capacity,
    /// The uptime of the server is too long.
    #[display("uptime must be below 20 years")]
    Uptime,
    /// The registry already holds the maximum number of servers.
    #[display("too many servers")]
    TooMany,
}

/// Announcement of a server, sent as the JSON body of `POST /announce` to any entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Name of the server.
    pub server: ServerId,
    /// Service that it runs.
    pub service: ServiceId,
    /// Address on which it accepts calls.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Maximum number of connections from all entries together.
    pub connections: u32,
    /// State of the server.
    pub state: ServerState,
    /// Sequence number, which increases with every announcement of one incarnation.
    pub sequence: u64,
    /// Incarnation, which increases with every start of the server.
    pub incarnation: Incarnation,
    /// Uptime of the server, in milliseconds.
    pub uptime_ms: u64,
    /// Number of calls that it is processing or has queued.
    pub in_flight: u32,
}

impl Announcement {
    /// Checks that every field is within its limits.
    pub fn check(&self) -> Result<(), AnnouncementError> {
        let is_name = |name: &str| (1..=MAX_NAME_BYTES).contains(&name.len());
        let is_capacity = |number: u32| (1..=MAX_CAPACITY).contains(&number);
        if !(is_name(&self.server) && is_name(&self.service) && is_name(&self.data_centre)) {
            return Err(AnnouncementError::Name);
        }
        if self.address.ip().is_unspecified() || self.address.port() == 0 {
            return Err(AnnouncementError::Address);
        }
        if !(is_capacity(self.slots) && is_capacity(self.connections)) {
            return Err(AnnouncementError::Capacity);
        }
        if self.uptime_ms > MAX_UPTIME_MS {
            return Err(AnnouncementError::Uptime);
        }
        Ok(())
    }

    /// Returns whether the server no longer accepts calls. This is final for its incarnation.
    pub fn is_final(&self) -> bool {
        matches!(self.state, ServerState::Draining | ServerState::Leaving)
    }
}
