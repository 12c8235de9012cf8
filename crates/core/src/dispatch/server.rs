//! A server as the registry knows it.

use {
    crate::ids::{DataCentreId, Incarnation, ServerId},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Instant},
};

/// State that a server announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    /// Not yet able to take calls.
    Starting,
    /// Accepts calls.
    Ready,
    /// Finishes its calls and accepts no new ones.
    Draining,
    /// About to stop; accepts no new calls.
    Leaving,
}

/// A server as the registry knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerView {
    /// Identifier of the server.
    pub id: ServerId,
    /// Incarnation, which increases with every start of the server.
    pub incarnation: Incarnation,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Calls that it can run concurrently.
    pub slots: u32,
    /// Connections that it accepts from all entries together.
    pub connections: u32,
    /// Announced state.
    pub state: ServerState,
    /// End of its lease, after which no new call is sent.
    pub lease_end: Instant,
    /// Time at which it was first seen ready in this incarnation, from which slow start counts.
    pub ready_since: Instant,
    /// Time from which it is warm, as far as it has announced that.
    pub warm_at: Instant,
}
