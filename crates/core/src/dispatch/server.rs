//! A server as the registry sees it.

use {
    crate::ids::{DataCentreId, ServerId},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Instant},
};

/// State that a server announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    /// Not yet able to take calls.
    Starting,
    /// Takes calls.
    Ready,
    /// Finishes its calls and takes no new ones.
    Draining,
    /// About to stop; takes no new calls.
    Leaving,
}

/// A server as the registry sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerView {
    /// Name of the server.
    pub id: ServerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// Calls that it can run at a time.
    pub slots: u32,
    /// Connections that it accepts from all entries together.
    pub connections: u32,
    /// Announced state.
    pub state: ServerState,
    /// End of its lease; no new call is sent from then on.
    pub lease_end: Instant,
    /// Time at which it was first seen ready in this incarnation, for slow start.
    pub ready_since: Instant,
}
