//! What a server says of itself.

use {
    crate::{
        dispatch::ServerState,
        ids::{DataCentreId, Incarnation, ServerId, ServiceId},
    },
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Longest permitted name, so that a record always fits a datagram.
const MAX_NAME_BYTES: usize = 64;

/// Most slots or connections that a server may announce; a larger number is taken for an error.
const MAX_CAPACITY: u32 = 1 << 20;

/// Longest permitted time since the start of a server, 20 years, so that times cannot overflow.
const MAX_UPTIME_MS: u64 = 20 * 366 * 24 * 3_600_000;

/// Why an announcement is refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum AnnouncementFault {
    /// A name is empty or longer than 64 bytes.
    #[display("names must have 1 to 64 bytes")]
    Name,
    /// No connection can be opened to the address.
    #[display("address must have a host and a port")]
    Address,
    /// The number of slots or connections is zero or too large.
    #[display("slots and connections must be from 1 to 1048576")]
    Capacity,
    /// The time since the start of the server is too long.
    #[display("uptime must be below 20 years")]
    Uptime,
    /// As many servers are known as are permitted.
    #[display("too many servers")]
    TooMany,
}

/// What a server says of itself, as the JSON body of `POST /announce` at any entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Name of the server.
    pub server: ServerId,
    /// Service that it runs.
    pub service: ServiceId,
    /// Where it listens for calls.
    pub address: SocketAddr,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// Calls that it can run at a time.
    pub slots: u32,
    /// Connections that it accepts from all entries together.
    pub connections: u32,
    /// Its state.
    pub state: ServerState,
    /// Number that rises with every announcement of one incarnation.
    pub sequence: u64,
    /// Number that rises with every start of the server.
    pub incarnation: Incarnation,
    /// Time since the start of the server, in milliseconds.
    pub uptime_ms: u64,
    /// Calls that it is running or holds in its own queue.
    pub in_flight: u32,
}

impl Announcement {
    /// Checks that every field is within its limits.
    pub fn check(&self) -> Result<(), AnnouncementFault> {
        let is_name = |name: &str| (1..=MAX_NAME_BYTES).contains(&name.len());
        let is_capacity = |number: u32| (1..=MAX_CAPACITY).contains(&number);
        if !(is_name(&self.server) && is_name(&self.service) && is_name(&self.data_centre)) {
            return Err(AnnouncementFault::Name);
        }
        if self.address.ip().is_unspecified() || self.address.port() == 0 {
            return Err(AnnouncementFault::Address);
        }
        if !(is_capacity(self.slots) && is_capacity(self.connections)) {
            return Err(AnnouncementFault::Capacity);
        }
        if self.uptime_ms > MAX_UPTIME_MS {
            return Err(AnnouncementFault::Uptime);
        }
        Ok(())
    }

    /// Returns whether the server said that it takes no new work, which is final for its incarnation.
    pub fn is_final(&self) -> bool {
        matches!(self.state, ServerState::Draining | ServerState::Leaving)
    }
}
