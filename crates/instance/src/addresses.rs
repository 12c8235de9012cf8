//! Addresses that an instance is bound to.

use {serde::Serialize, std::net::SocketAddr};

/// Addresses that an instance is bound to.
#[derive(Clone, Debug, Serialize)]
pub struct Addresses {
    /// Name of the instance.
    pub id: Box<str>,
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// Where it listens for servers, operators and the platform.
    pub admin: SocketAddr,
    /// Where it listens for other instances, over UDP and TCP.
    pub listen: SocketAddr,
}
