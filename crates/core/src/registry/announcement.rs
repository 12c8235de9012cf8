//! What a server says of itself.

use {
    crate::{
        dispatch::ServerState,
        ids::{DataCentreId, Incarnation, ServerId, ServiceId},
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

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
